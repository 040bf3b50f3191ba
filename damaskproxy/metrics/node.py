"""Counters, gauges and histograms of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from damaskproxy.common import RefusalReason, RetryReason

__all__ = ["NodeMetrics"]

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class NodeMetrics:
    """Metrics of one node, in a separate registry.

    Parameters
    ----------
    registry : CollectorRegistry, optional
        Registry that ``/metrics`` exposes; a new one by default.

    Notes
    -----
    The label of each reason is created at the start with a count of 0, so that a rate
    over a rare reason includes its first occurrence.
    """

    def __init__(self, registry: CollectorRegistry | None = None):
        self.registry = registry or CollectorRegistry()
        refusals = Counter(
            "damask_refusals", "Refused calls", ["reason"], registry=self.registry
        )
        retries = Counter(
            "damask_retries", "Further attempts", ["reason"], registry=self.registry
        )
        self._refusals = {reason: refusals.labels(reason) for reason in RefusalReason}
        self._retries = {reason: retries.labels(reason) for reason in RetryReason}
        self._calls = Counter(
            "damask_calls",
            "Calls answered, by service and status class",
            ["service", "status"],
            registry=self.registry,
        )
        self._call_seconds = Histogram(
            "damask_call_seconds",
            "Time from a caller's request to its answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.late_answers = Counter(
            "damask_late_answers",
            "Answers whose attempt was no longer waited for",
            registry=self.registry,
        )
        self.members = Gauge(
            "damask_members", "Known members", ["state"], registry=self.registry
        )
        self.in_flight = Gauge(
            "damask_in_flight",
            "Calls running on the local backend server",
            registry=self.registry,
        )
        self.queued = Gauge(
            "damask_queued",
            "Calls waiting for the local backend server",
            registry=self.registry,
        )
        self.limit = Gauge(
            "damask_concurrency_limit",
            "Concurrency limit of the local backend server",
            registry=self.registry,
        )

        # Cached, since looking up a label set takes longer than counting.
        self._call_counters: dict[tuple[str, str], Counter] = {}
        self._call_timers: dict[str, Histogram] = {}

    def count_call(self, service: str, status: str) -> None:
        """Count a completed call.

        Parameters
        ----------
        service : str
            Service of the call.
        status : str
            Status class such as ``2xx``, ``refused`` or ``cancelled``.
        """
        counter = self._call_counters.get((service, status))
        if counter is None:
            counter = self._calls.labels(service, status)
            self._call_counters[service, status] = counter
        counter.inc()

    def observe_call(self, service: str, elapsed_s: float) -> None:
        """Record the duration of a call from a caller or the local backend server."""
        timer = self._call_timers.get(service)
        if timer is None:
            timer = self._call_timers[service] = self._call_seconds.labels(service)
        timer.observe(elapsed_s)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refused call."""
        self._refusals[reason].inc()

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry."""
        self._retries[reason].inc()
