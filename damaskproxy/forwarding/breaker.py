"""Circuit breaker for routes whose requests mostly fail."""

import random
from collections.abc import Callable

from damaskproxy.common.clock import boot_s

__all__ = ["RouteBreaker"]

OUTCOME_WEIGHT = 0.05
"""Weight of the newest outcome in the average, which spans some twenty outcomes."""
HEALTHY_SHARE = 0.5
"""Share of served requests at and above which all requests are admitted."""
MIN_ADMITTED_SHARE = 0.25
"""Share of requests that is admitted even if all fail, so that a recovery is noticed
within a second at a rate of some ten requests a second."""
FAILURE_HALF_LIFE_S = 1.5
"""Failures decay without traffic, well within the time allowed for recovery."""


class RouteBreaker:
    """Circuit breaker of one route.

    A request whose calls fail has already cost work at each service on the path to the
    failure. When most requests of a route fail, only a share of them is admitted and
    the others are refused at once.

    Parameters
    ----------
    draw : callable
        Returns a random number in the interval from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float] = random.random):
        self._draw = draw
        self._served_share = 1.0
        self._updated_s = boot_s()

    def admits(self) -> bool:
        """Tell whether the next request may start."""
        share = self._current_share() / HEALTHY_SHARE
        return share >= 1 or self._draw() < max(share, MIN_ADMITTED_SHARE)

    def record_outcome(self, *, is_served: bool) -> None:
        """Record whether a request that was started has been served."""
        share = self._current_share()
        self._served_share = share + (is_served - share) * OUTCOME_WEIGHT
        self._updated_s = boot_s()

    def _current_share(self) -> float:
        age_s = boot_s() - self._updated_s
        failed = (1 - self._served_share) * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
        return 1 - failed
