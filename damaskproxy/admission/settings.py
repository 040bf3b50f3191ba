"""Settings of admission."""

from typing import Annotated

import msgspec

__all__ = ["AdmissionSettings"]

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Duration = Annotated[int, msgspec.Meta(ge=1, le=60_000)]


class AdmissionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the admission controller of one backend server.

    Parameters
    ----------
    adaptive_limit : bool
        Whether the concurrency limit may adapt below the announced slots.
    latency_tolerance : float
        Ratio of the median to the lowest latency above which a lower limit is tried.
    limit_min_samples : int
        Responses required for a decision about the limit.
    queue_per_slot : float
        Queued calls allowed per slot.
    queue_min : int
        Queued calls always allowed, also on a small backend server.
    queue_wait_max_ms : int
        Expected wait above which a call is refused, so that it can run on another
        backend server; at least half the cost of a typical call.
    interval_ms : int
        Window over which the queue delay is evaluated; at least the cost of a typical
        call.
    queue_target_ms : int
        Queue delay that a whole window must exceed to count as overload; at least a
        quarter of the cost of a typical call.
    admission_level : bool
        Whether the admission level is lowered under overload.
    level_headroom : float
        Share of the measured service rate left unused when the level is lowered.
    level_plateau_ms : int
        Time with a low queue delay in which the level returns to its value before it
        was lowered.
    level_reopen_ms : int
        Time with a low queue delay after the plateau in which the level rises over its
        full range.
    newest_first : bool
        Whether calls of one priority are served newest first under persistent overload.
    expected_time_check : bool
        Whether calls that cannot finish before their deadline are refused.
    long_factor : float
        Cost relative to the median route above which a route counts as long work.
    long_share : float
        Share of the slots that long work may occupy while short work is queued.
    long_reserve : float
        Share of the slots that long work beyond its share leaves free.
    """

    adaptive_limit: bool = True
    latency_tolerance: Annotated[float, msgspec.Meta(gt=1)] = 2.0
    limit_min_samples: Count = 50
    queue_per_slot: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    queue_min: Count = 16
    queue_wait_max_ms: Duration = 50
    interval_ms: Duration = 100
    queue_target_ms: Duration = 15
    admission_level: bool = True
    level_headroom: Share = 0.03
    level_plateau_ms: Duration = 400
    level_reopen_ms: Duration = 800
    newest_first: bool = True
    expected_time_check: bool = True
    long_factor: Annotated[float, msgspec.Meta(gt=1)] = 8.0
    long_share: Share = 0.5
    long_reserve: Share = 0.1
