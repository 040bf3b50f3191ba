"""Delay of the frames of a peer on the network."""

from damaskproxy.common.clock import boot_s

__all__ = ["SENT_MS_MASK", "DelayMeter"]

MS_PER_S = 1000
DELAY_WINDOW_S = 10.0
"""Time after which the minimum clock offset is measured again."""
SENT_MS_MASK = 0x7FFFFFFF


class DelayMeter:
    """Estimates the network delay of frames beyond the minimum.

    The clocks of both nodes differ by an unknown offset, so only the excess over the
    minimum difference between receipt and sending can be measured.
    """

    def __init__(self):
        self._min_offset_ms = self._next_min_offset_ms = None
        self._window_end_s = 0.0

    def delay_ms(self, sent_ms: int) -> int:
        """Return the excess delay of a frame that arrives now."""
        now_s = boot_s()
        offset_ms = (int(now_s * MS_PER_S) - sent_ms) & SENT_MS_MASK
        if self._min_offset_ms is None or now_s >= self._window_end_s:
            self._min_offset_ms = (
                offset_ms
                if self._next_min_offset_ms is None
                else self._next_min_offset_ms
            )
            self._next_min_offset_ms = offset_ms
            self._window_end_s = now_s + DELAY_WINDOW_S
        self._next_min_offset_ms = min(self._next_min_offset_ms, offset_ms)
        self._min_offset_ms = min(self._min_offset_ms, offset_ms)
        return offset_ms - self._min_offset_ms
