"""Histogram of recent latencies with buckets of equal ratio."""

import math

__all__ = ["LatencyHistogram"]

LOWEST_S = 0.0001
RATIO = 1.08
BUCKET_COUNT = 180
FORGET_AT = 2000

_LOG_RATIO = math.log(RATIO)


class LatencyHistogram:
    """Counts per bucket; older answers fade as new ones arrive.

    Notes
    -----
    Buckets are 8% wide from 0.1 ms to about 100 s. All counts are halved when 2,000
    answers are held, which keeps the percentiles those of the last few thousand.
    """

    def __init__(self):
        self._counts = [0] * BUCKET_COUNT
        self.total = 0

    def add(self, elapsed_s: float) -> None:
        """Count one answer."""
        if elapsed_s <= LOWEST_S:
            bucket = 0
        else:
            bucket = int(math.log(elapsed_s / LOWEST_S) / _LOG_RATIO)
        self._counts[min(bucket, BUCKET_COUNT - 1)] += 1
        self.total += 1
        if self.total >= FORGET_AT:
            self._counts = [count // 2 for count in self._counts]
            self.total = sum(self._counts)

    def percentile_s(self, share: float) -> float:
        """Return the upper edge of the bucket that holds the percentile."""
        left = self.total * share
        for bucket, count in enumerate(self._counts):
            left -= count
            if left <= 0 and count:
                return LOWEST_S * RATIO ** (bucket + 1)
        return LOWEST_S * RATIO**BUCKET_COUNT
