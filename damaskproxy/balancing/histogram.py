"""Latency histogram with exponential buckets and decay."""

import math

__all__ = ["LatencyHistogram"]

LOWEST_S = 0.0001
RATIO = 1.08
BUCKET_COUNT = 180
HALVE_AT_SAMPLES = 2000

_LOG_RATIO = math.log(RATIO)


class LatencyHistogram:
    """Histogram of recent latencies; the weight of older ones decays.

    Notes
    -----
    Buckets are 8% wide from 0.1 ms to about 100 s. All counts are halved whenever they
    add up to 2,000, so that the percentiles reflect the last few thousand responses.
    """

    def __init__(self):
        self._counts = [0] * BUCKET_COUNT
        self.total = 0

    def add(self, elapsed_s: float) -> None:
        """Count the latency of one response."""
        if elapsed_s <= LOWEST_S:
            bucket = 0
        else:
            bucket = int(math.log(elapsed_s / LOWEST_S) / _LOG_RATIO)
        self._counts[min(bucket, BUCKET_COUNT - 1)] += 1
        self.total += 1
        if self.total >= HALVE_AT_SAMPLES:
            self._counts = [count // 2 for count in self._counts]
            self.total = sum(self._counts)

    def percentile_s(self, share: float) -> float:
        """Return the upper bound of the bucket that contains the percentile."""
        remaining = self.total * share
        for bucket, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0 and count:
                return LOWEST_S * RATIO ** (bucket + 1)
        return LOWEST_S * RATIO**BUCKET_COUNT
