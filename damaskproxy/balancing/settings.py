"""Settings of balancing."""

from typing import Annotated

import msgspec

__all__ = ["BalancingSettings"]

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Duration = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class BalancingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the choice of backend servers.

    Parameters
    ----------
    candidates : int
        Sampled members that are compared, at least one of them local.
    remote_factor : float
        How much worse a member of another data centre is taken to be.
    load_fresh_ms : int
        Age at which a load report no longer counts.
    reported_load_weight : float
        Weight of the reported calls in flight against those of this node. Reports are
        late, so all callers choose the same member, the more so the higher the weight.
    latency_decay_ms : int
        Time in which a latency above the usual one fades.
    slow_start_answers : int
        Answers after which a new member is taken as often as the others.
    slow_start_share : float
        Share that it starts with.
    ejection_failures : int
        Consecutive failures after which a member is ejected.
    ejection_ms, ejection_max_ms : int
        First and longest time of an ejection; it doubles in between.
    ejected_share_max : float
        Share of a service that may be ejected at once.
    early_refusal : bool
        Whether calls beyond the last reported level are refused on this node.
    probe_share : float
        Share of those calls that are sent all the same.
    hedge_percentile : float
        Share of the answers of a route that arrive before the hedge delay.
    hedge_median_factor : float
        Highest hedge delay, as a multiple of the median; slow moments of the servers
        raise the percentile of a route when it is needed most.
    hedge_min_samples : int
        Answers that a hedge delay needs.
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
