"""Detection of a process that was paused or whose event loop is late."""

from collections.abc import Callable

__all__ = ["TICK_S", "StallGuard"]

TICK_S = 0.5


class StallGuard:
    """Tells whether timeouts seen by this process can be trusted.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    stall_s : float
        Lateness beyond the tick from which the process counts as stalled.
    recovery_s : float
        Time after a stall in which its timeouts are not trusted.
    on_stall : callable
        Called with the gap in seconds, once for each stall.

    Notes
    -----
    Whoever draws a conclusion from a timeout asks `trusted`, which compares the clock
    with the last tick itself. The order in which tasks resume after a pause therefore
    does not matter.
    """

    def __init__(
        self,
        *,
        now_s: Callable[[], float],
        stall_s: float,
        recovery_s: float,
        on_stall: Callable[[float], None],
    ):
        self._now_s = now_s
        self._limit_s = TICK_S + stall_s
        self._recovery_s = recovery_s
        self._on_stall = on_stall
        self._last_s = now_s()
        self._distrust_until_s = self._last_s

    def restart(self) -> None:
        """Count from now, without regarding the time before as a stall."""
        self._last_s = self._now_s()

    def tick(self) -> None:
        """Compare the clock with the last tick; call at least every ``TICK_S``."""
        now_s = self._now_s()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        if 0 <= gap_s <= self._limit_s:
            return
        self._distrust_until_s = now_s + self._recovery_s
        self._on_stall(gap_s)

    def trusted(self) -> bool:
        """Tell whether a timeout that just passed says something about a peer."""
        self.tick()
        return self._now_s() >= self._distrust_until_s
