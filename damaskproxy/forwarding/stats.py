"""Counters of requests, refusals, retries and latencies of one node."""

from bisect import bisect_left
from collections import Counter

from damaskproxy.forwarding.calls import Answer, NotRun, Result
from damaskproxy.forwarding.organisation_stats import OrganisationStats

__all__ = ["LATENCY_BUCKETS_S", "LatencyCounts", "RequestStats"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the buckets, from a call on the same VM to the longest usual
deadline."""
SERVICES_MAX = 1000
"""Services with latencies of their own, twice as many as in the largest planned mesh;
further services are counted together."""
OTHER_SERVICES = "other"


class LatencyCounts:
    """Latency histogram.

    Attributes
    ----------
    counts : list of int
        Requests in each of `LATENCY_BUCKETS_S`, and above the last.
    sum_s : float
        Sum of all latencies.
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
    """Counters since the start of the process.

    They are plain integers to keep the cost per request low; the metrics listener
    converts them to the format of the monitoring system.

    Attributes
    ----------
    requests : Counter
        Finished requests of callers on this VM, by service and status.
    refusals : Counter
        Requests of callers on this VM that were refused as not run, by reason.
    retries : Counter
        Retries, by the result of the attempt before.
    calls_refused : Counter
        Calls of any node that the local backend server did not run, by reason.
    latencies : dict of str to LatencyCounts
        Latencies of the requests of callers on this VM, by service.
    organisations : OrganisationStats
        Counters by organisation.
    """

    def __init__(self):
        self.requests: Counter[tuple[str, int]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.calls_refused: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}
        self.organisations = OrganisationStats()

    def request_ended(self, service: str, status: int, elapsed_s: float) -> None:
        """Count a finished request of a caller on this VM."""
        latency = self.latencies.get(service)
        if latency is None:
            if len(self.latencies) >= SERVICES_MAX:
                service = OTHER_SERVICES
            latency = self.latencies.setdefault(service, LatencyCounts())
        latency.add(elapsed_s)
        self.requests[service, status] += 1

    def request_refused(self, reason: str, organisation: str = "") -> None:
        """Count a request that was refused as not run.

        Parameters
        ----------
        reason : str
            Why it was refused.
        organisation : str
            Name of the organisation that sent it, empty without one.
        """
        self.refusals[reason] += 1
        if organisation:
            self.organisations.request_refused(organisation, reason)

    def record_retry(self, earlier: Result) -> None:
        """Count a retry after an attempt that ended with `earlier`."""
        if isinstance(earlier, NotRun):
            self.retries[earlier.reason] += 1
        elif isinstance(earlier, Answer):
            self.retries["backend-error"] += 1
        else:
            self.retries["unknown"] += 1

    def call_refused(self, reason: str, organisation: str = "") -> None:
        """Count a call that the local backend server did not run.

        Parameters
        ----------
        reason : str
            Why it was not run.
        organisation : str
            Name of the organisation of the root request, empty without one.
        """
        self.calls_refused[reason] += 1
        if organisation:
            self.organisations.call_refused(organisation)
