"""Settings that disable one mechanism each, to measure its contribution."""

from dataclasses import replace

from benchmarks.mesh import MeshSettings
from damaskproxy.admission import AdmissionSettings
from damaskproxy.balancing import BalancingSettings
from damaskproxy.retries import RetrySettings

__all__ = ["MECHANISMS"]

_DEFAULT = MeshSettings()


def _admission(**changes) -> MeshSettings:
    return replace(_DEFAULT, admission=AdmissionSettings(**changes))


def _balancing(**changes) -> MeshSettings:
    return replace(_DEFAULT, balancing=BalancingSettings(**changes))


MECHANISMS = {
    "adaptive-limit": _admission(adaptive_limit=False),
    "admission-level": _admission(admission_level=False),
    "newest-first": _admission(newest_first=False),
    "expected-time-check": _admission(expected_time_check=False),
    "early-refusal": _balancing(early_refusal=False),
    "sampled-choice": _balancing(candidates=1),
    "local-preference": _balancing(remote_factor=1.0),
    "slow-start": _balancing(slow_start_share=1.0),
    "ejection": _balancing(ejected_share_max=0.0),
    "hedging": replace(_DEFAULT, hedging=False),
    "retry-ratio": replace(_DEFAULT, retries=RetrySettings(ratio=1.0, saved_max=1e6)),
    "retries": replace(_DEFAULT, retry_allowance=0),
}
