"""Bounds that the platform sets for nodes, translated from its names."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass

from damaskproxy.events import log_event
from damaskproxy.platform import events

__all__ = ["Bounds", "decode_bounds"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that a node must keep; the defaults are those of the users' sites.

    Parameters
    ----------
    retry_ratio : float
        Retries per request to a service, over all nodes.
    retry_slack : float
        Retries of a service allowed beyond the ratio, over all nodes.
    stop_grace_s : float
        Time from SIGTERM until the platform kills the process.
    quota_window_s : float
        Length of the windows in which the requests of an organisation are counted.
    quota_overshoot, quota_slack : float
        Requests beyond the allowance of an organisation that are tolerated in a window,
        as a share of the allowance and as a number.
    configuration_ms : float
        Time from the confirmation of a configuration until it has to be in force.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 47
    stop_grace_s: float = 6.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    configuration_ms: float = 2000


PLATFORM_NAMES = {
    "retryBudgetRatio": "retry_ratio",
    "budgetSlack": "retry_slack",
    "configApplyMs": "configuration_ms",
    "graceS": "stop_grace_s",
}
OPTIONAL_NAMES = {
    "quotaWindowS": "quota_window_s",
    "quotaOvershoot": "quota_overshoot",
    "quotaSlack": "quota_slack",
}
"""Bounds that most platforms leave out, since they limit no organisation."""


def decode_bounds(settings: Mapping[str, object]) -> Bounds:
    """Return the bounds in `settings`; one that is not a number keeps its default."""
    bounds = {}
    for name, field in {**PLATFORM_NAMES, **OPTIONAL_NAMES}.items():
        if name in OPTIONAL_NAMES and name not in settings:
            continue
        value = settings.get(name)
        if isinstance(value, (int, float)):
            bounds[field] = value
        else:
            log_event(logger, events.BOUND_MISSING, name=name, value=value)
    return Bounds(**bounds)
