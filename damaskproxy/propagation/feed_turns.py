"""When the nodes that follow the store renew their feeds."""

from collections.abc import Callable

__all__ = ["DETECTION_S", "FEED_LATE_S", "FeedTurns", "renewal_interval_s"]

DETECTION_S = 1.25
"""Time from the end of a feed that the store does not answer until another node has
found a change and all have it: `FEED_LATE_S`, two ticks of the propagation, the spread
of the calls to the store, and 0.15 s for the way through several data centres."""
RENEWAL_MIN_S, RENEWAL_MAX_S = 0.5, 3.0
"""Limits on the interval in which one of the nodes that follow the store renews its
feed. The longest one is the time that is allowed after a disruption."""
FEED_LATE_S = 0.5
"""Time after its end from which on a feed without a response counts as no contact. A
store responds within some milliseconds, a slow one within half a second. For a response
that is merely later, all nodes of the data centre would call the store."""
FEED_WAIT_MAX_S = 30.0
"""Longest wait of a feed that the store allows."""
TURN_MARGIN = 0.1
"""Share of the interval before its turn in which a feed is not renewed once more."""
NEVER_S = float("inf")


def renewal_interval_s(configuration_bound_s: float) -> float:
    """Return the interval in which one of the nodes renews its feed.

    A feed that the store does not answer delivers nothing until it ends. The nodes
    renew their feeds in turn, so that within the bound on configurations one of them
    finds out and its data centre asks the store.

    Parameters
    ----------
    configuration_bound_s : float
        Time from the confirmation of a configuration until it has to be in force.
    """
    interval_s = max(configuration_bound_s - DETECTION_S, RENEWAL_MIN_S)
    return min(interval_s, RENEWAL_MAX_S)


class FeedTurns:
    """Turn of a node on the clock of the store, which all nodes share.

    So the nodes keep their turns whenever they open their feeds.

    Parameters
    ----------
    interval_s : float
        Time between the turns of two data centres.
    turn, turns : callable
        Return the turn of the own data centre, from 0, and the number of turns.
    now_s : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        interval_s: float,
        turn: Callable[[], int],
        turns: Callable[[], int],
        now_s: Callable[[], float],
    ):
        self._interval_s = interval_s
        self._turn = turn
        self._turns = turns
        self._now_s = now_s
        self._store_ahead_s = 0.0
        self._end_s = NEVER_S

    def begin_feed(self) -> float:
        """Return how long a feed that is opened now may wait."""
        now_s = self._now_s()
        turn_s = self._interval_s * self._turn()
        period_s = self._interval_s * self._turns()
        wait_s = (turn_s - now_s - self._store_ahead_s) % period_s
        if wait_s < TURN_MARGIN * self._interval_s:
            wait_s += period_s
        wait_s = min(wait_s, FEED_WAIT_MAX_S)
        self._end_s = now_s + wait_s
        return wait_s

    def end_feed(self) -> None:
        """Record that no feed waits for the store."""
        self._end_s = NEVER_S

    def is_feed_late(self) -> bool:
        """Tell whether the response to a feed is late."""
        return self._now_s() > self._end_s + FEED_LATE_S

    def set_store_clock(self, clock_s: float) -> None:
        """Record the clock of the store, 0 if it names none."""
        self._store_ahead_s = clock_s - self._now_s() if clock_s else 0.0
