"""Circuit breaker: holds back requests of a route that mostly fail."""

import random
from collections.abc import Callable

from damaskproxy.common.clock import boot_s

__all__ = ["RouteBreaker"]

OUTCOME_WEIGHT = 0.05
"""Weight of the newest outcome; some twenty outcomes decide."""
HEALTHY_SHARE = 0.5
"""Share of served requests from which on all are admitted."""
ADMITTED_MIN = 0.25
"""Share that is admitted although all fail, so that an end of the trouble shows within
a second at some ten requests a second."""
FORGET_HALF_LIFE_S = 1.5
"""Failures are forgotten without traffic, well within the time for recovery."""


class RouteBreaker:
    """Share of the requests of one route that are worth starting.

    A request whose calls fail has cost work at each service above. When most requests
    of a route end so, fewer are started; the others are refused at once.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float] = random.random):
        self._draw = draw
        self._served_share = 1.0
        self._at_s = boot_s()

    def admits(self) -> bool:
        """Tell whether the next request may start."""
        share = self._share_now() / HEALTHY_SHARE
        return share >= 1 or self._draw() < max(share, ADMITTED_MIN)

    def ended(self, *, is_served: bool) -> None:
        """Learn from a request that was started."""
        share = self._share_now()
        self._served_share = share + (is_served - share) * OUTCOME_WEIGHT
        self._at_s = boot_s()

    def _share_now(self) -> float:
        age_s = boot_s() - self._at_s
        failed = (1 - self._served_share) * 0.5 ** (age_s / FORGET_HALF_LIFE_S)
        return 1 - failed
