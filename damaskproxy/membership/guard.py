"""Detects that the process was paused or that its event loop is late."""

from collections.abc import Callable

__all__ = ["TICK_S", "StallGuard"]

TICK_S = 0.5


class StallGuard:
    """Decides whether a timeout seen by this process is evidence about a peer.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    stall_s : float
        Lateness beyond the tick from which the process counts as stalled.
    recovery_s : float
        Time after a stall during which timeouts are not trusted.
    on_stall : callable
        Called with the gap in seconds, once for each stall.

    Notes
    -----
    Call `trusted` before acting on a timeout. It compares the clock with the last tick
    itself, so the order in which tasks resume after a pause does not matter.
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
        self._last_tick_s = now_s()
        self._untrusted_until_s = self._last_tick_s

    def restart(self) -> None:
        """Measure from now; the time since the last tick does not count as a stall."""
        self._last_tick_s = self._now_s()

    def tick(self) -> None:
        """Compare the clock with the last tick; call at least every ``TICK_S``."""
        now_s = self._now_s()
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if 0 <= gap_s <= self._limit_s:
            return
        self._untrusted_until_s = now_s + self._recovery_s
        self._on_stall(gap_s)

    def trusted(self) -> bool:
        """Return whether a timeout that has just expired is evidence about a peer."""
        self.tick()
        return self._now_s() >= self._untrusted_until_s
