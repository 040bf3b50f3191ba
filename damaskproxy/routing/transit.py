"""Time that a frame spent between two nodes, without a common clock."""

from collections.abc import Callable

import msgspec

from damaskproxy.wire import Call

__all__ = ["TransitClock", "stamp_ms"]

MS_PER_S = 1000


def stamp_ms(now_s: Callable[[], float]) -> int:
    """Return the sender's monotonic time in milliseconds, at least 1."""
    return max(1, int(now_s() * MS_PER_S))


class TransitClock:
    """Delays of the frames of one stream beyond its fastest frame.

    Parameters
    ----------
    now_s : callable
        Monotonic clock of the receiver.

    Notes
    -----
    The clocks of two nodes differ by an unknown constant. The smallest difference
    between arrival and sending that a stream has shown contains that constant and the
    shortest transit; what exceeds it is delay.
    """

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._least_ms: int | None = None

    def delay_ms(self, sent_ms: int) -> int:
        """Return the delay of a frame that arrives now, 0 without a time stamp."""
        if not sent_ms:
            return 0
        difference_ms = int(self._now_s() * MS_PER_S) - sent_ms
        if self._least_ms is None or difference_ms < self._least_ms:
            self._least_ms = difference_ms
        return difference_ms - self._least_ms

    def arrived(self, call: Call) -> Call:
        """Return `call` with its budgets less its delay.

        Notes
        -----
        A submission that was held up in the network would otherwise start after its
        caller was told that the outcome is unknown, and after a later send of the same
        key was told that it was not run.
        """
        delay_ms = self.delay_ms(call.sent_ms)
        if not delay_ms:
            return call
        return msgspec.structs.replace(
            call,
            deadline_ms=max(0, call.deadline_ms - delay_ms),
            start_by_ms=max(0, call.start_by_ms - delay_ms),
        )
