"""Counts of requests, refusals, further attempts and latencies of one node."""

from bisect import bisect_left
from collections import Counter

from damaskproxy.forwarding.calls import Answer, NotRun, Result

__all__ = ["LATENCY_BUCKETS_S", "LatencyCounts", "RequestStats"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""From a call to the own machine to the longest usual deadline."""
SERVICES_MAX = 1000
"""Twice the services of the largest planned mesh; others are counted together."""
OTHER_SERVICES = "other"


class LatencyCounts:
    """Requests by the bucket of their time.

    Attributes
    ----------
    counts : list of int
        One for each of `LATENCY_BUCKETS_S` and one beyond.
    sum_s : float
        Sum of all times.
    """

    __slots__ = ("counts", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, elapsed_s: float) -> None:
        """Count one request."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, elapsed_s)] += 1
        self.sum_s += elapsed_s


class RequestStats:
    """Counts since the start of the process.

    Plain integers, since a request passes through here on its way; the metrics
    listener turns them into the format of the monitoring system.

    Attributes
    ----------
    requests : Counter
        Requests of this machine that ended, by service and status.
    refusals : Counter
        Requests of this machine that were answered as not run, by reason.
    repeats : Counter
        Further attempts, by what became of the attempt before.
    calls_refused : Counter
        Calls of any node that the backend server beside this node did not run, by
        reason.
    latencies : dict of str to LatencyCounts
        Times of the requests of this machine, by service.
    """

    def __init__(self):
        self.requests: Counter[tuple[str, int]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.calls_refused: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}

    def request_ended(self, service: str, status: int, elapsed_s: float) -> None:
        """Count a request of this machine."""
        latency = self.latencies.get(service)
        if latency is None:
            if len(self.latencies) >= SERVICES_MAX:
                service = OTHER_SERVICES
            latency = self.latencies.setdefault(service, LatencyCounts())
        latency.add(elapsed_s)
        self.requests[service, status] += 1

    def request_refused(self, reason: str) -> None:
        """Count a request that was answered as not run."""
        self.refusals[reason] += 1

    def repeated(self, earlier: Result) -> None:
        """Count a further attempt after one that ended as `earlier`."""
        if isinstance(earlier, NotRun):
            self.retries[earlier.reason] += 1
        elif isinstance(earlier, Answer):
            self.retries["backend-error"] += 1
        else:
            self.retries["unknown"] += 1

    def call_refused(self, reason: str) -> None:
        """Count a call that was not run here."""
        self.calls_refused[reason] += 1
