"""Settings of the section poller and of the drain planner."""

from typing import Annotated

import msgspec

__all__ = ["DrainSettings", "PollerSettings"]

Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class PollerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and delays of `SectionPoller`.

    Parameters
    ----------
    poll_ms : int
        Interval between reads of the head by a selected poller. A section has to be in
        force on all nodes within 3 s; 0.5 s leaves most of this to its dissemination.
    slow_poll_ms : int
        Interval between reads of the head by any other node: 42 reads/s at 5,000 nodes.
    retry_ms : int
        Pause of a selected poller after a failed read, if longer than `poll_ms`.
    cold_spread_ms : int
        Time over which nodes that start together spread their first reads: 1,000
        reads/s at 5,000 nodes, half the capacity of the platform's services.
    cold_retry_ms : int
        Maximum pause between attempts of a starting node that has no sections.
    alone_ms : int
        Time to wait for neighbours before the snapshot alone makes a node ready.
    snapshot_check_ms : int
        Mean interval between comparisons of the snapshot with the sections of a
        selected poller.
    snapshot_spread_ms : int
        Time over which the selected pollers spread their writes after a change, so that
        the first one writes the snapshot and the others find it up to date.
    """

    poll_ms: Millis = 500
    slow_poll_ms: Millis = 120_000
    retry_ms: Millis = 1_000
    cold_spread_ms: Millis = 5_000
    cold_retry_ms: Millis = 30_000
    alone_ms: Millis = 5_000
    snapshot_check_ms: Millis = 10_000
    snapshot_spread_ms: Millis = 2_000


class DrainSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the draining of the nodes of a service that leave a data centre.

    Parameters
    ----------
    report_ms : int
        Interval between rounds of load reports from the nodes of a service.
    min_rounds : int
        Number of rounds before the first decision.
    window_rounds : int
        Number of recent rounds whose largest count of calls in flight is used, so that
        a short drop in demand does not start a drain.
    max_load_share : float
        Share of the remaining warm capacity that the calls in flight may use.
    max_concurrent : int
        Maximum number of concurrent requests for reports.
    """

    report_ms: Millis = 2_000
    min_rounds: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    window_rounds: Annotated[int, msgspec.Meta(ge=1, le=100)] = 5
    max_load_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.8
    max_concurrent: Annotated[int, msgspec.Meta(ge=1, le=256)] = 16
