"""Settings of balancing."""

from typing import Annotated

import msgspec

__all__ = ["BalancingSettings"]

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Duration = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class BalancingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the selection of backend servers.

    Parameters
    ----------
    candidates : int
        Number of sampled members to compare, at least one of them local.
    remote_factor : float
        Factor by which the score of a member in another data centre is worsened.
    load_fresh_ms : int
        Age from which a load report is ignored.
    reported_load_weight : float
        Weight of the reported calls in flight relative to those of this node. Reports
        are delayed, so a higher weight makes more callers choose the same member.
    latency_decay_ms : int
        Time in which a latency above the typical one decays.
    slow_start_answers : int
        Responses after which a new member is selected as often as the others.
    slow_start_share : float
        Initial share of a new member.
    ejection_failures : int
        Consecutive failures after which a member is ejected.
    ejection_ms, ejection_max_ms : int
        Initial and maximum duration of an ejection; it doubles with each ejection.
    ejected_share_max : float
        Maximum share of the members of a service that are ejected at the same time.
    early_refusal : bool
        Whether this node refuses calls beyond the last reported admission level.
    probe_share : float
        Share of those calls that are sent nevertheless.
    hedge_percentile : float
        Share of the responses of a route that arrive within the hedge delay.
    hedge_median_factor : float
        Maximum hedge delay, as a multiple of the median latency; while backend servers
        are slow, the percentile rises just when hedging is needed most.
    hedge_min_samples : int
        Responses required to compute a hedge delay.
    """

    candidates: Annotated[int, msgspec.Meta(ge=1, le=8)] = 3
    remote_factor: Annotated[float, msgspec.Meta(ge=1)] = 1.3
    load_fresh_ms: Duration = 300
    reported_load_weight: Share = 0.0
    latency_decay_ms: Duration = 1000
    slow_start_answers: Count = 50
    slow_start_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1
    ejection_failures: Count = 5
    ejection_ms: Duration = 2000
    ejection_max_ms: Duration = 30_000
    ejected_share_max: Share = 1 / 3
    early_refusal: bool = True
    probe_share: Share = 0.02
    hedge_percentile: Annotated[float, msgspec.Meta(ge=0.5, le=0.999)] = 0.95
    hedge_median_factor: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    hedge_min_samples: Count = 20
