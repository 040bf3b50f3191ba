"""Limit on the calls per second that a backend server has named."""

__all__ = ["MIN_PER_S", "RateLimit"]

MIN_PER_S = 0.5
"""Lowest rate of calls. Without any call, nobody would learn that a limit of zero has
ended."""
BURST_S = 0.2
"""Time for which unused calls are saved up, since calls do not arrive evenly."""
ROUNDING = 1e-6
"""Share of a call by which rounding may leave the bucket short after a wait."""


class RateLimit:
    """Token bucket for calls to one backend server.

    Parameters
    ----------
    per_s : float
        Calls per second.
    now_s : float
        Current time, in seconds.
    """

    def __init__(self, per_s: float, now_s: float):
        self.set_rate(per_s)
        self._tokens = 1.0
        self._updated_s = now_s

    def set_rate(self, per_s: float) -> None:
        """Change the calls per second; tokens that were saved up are kept."""
        self.per_s = max(per_s, MIN_PER_S)
        self._burst = max(1.0, self.per_s * BURST_S)

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next call may start, 0 if it may start now."""
        self._refill(now_s)
        missing = 1 - self._tokens
        return missing / self.per_s if missing > ROUNDING else 0.0

    def take(self, now_s: float) -> None:
        """Count a call that starts."""
        self._refill(now_s)
        self._tokens -= 1

    def _refill(self, now_s: float) -> None:
        earned = (now_s - self._updated_s) * self.per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated_s = now_s
