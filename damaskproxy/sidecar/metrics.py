"""Prometheus metrics and status object of a sidecar."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from damaskproxy.common.clock import boot_s
from damaskproxy.forwarding import LATENCY_BUCKETS_S
from damaskproxy.http1 import Request, Response
from damaskproxy.sidecar.memory import peak_memory_bytes
from damaskproxy.sidecar.organisations import (
    collect_organisations,
    describe_organisations,
)

if TYPE_CHECKING:
    from damaskproxy.sidecar.sidecar import Sidecar

__all__ = ["describe", "make_metrics_handler", "render_metrics"]

METRICS_PATH = b"/metrics"
STATUS_PATH = b"/status"
BUCKET_LABELS = (*(str(bound_s) for bound_s in LATENCY_BUCKETS_S), "+Inf")


def describe(sidecar: "Sidecar") -> dict[str, Any]:
    """Return the status object, which ``damask-node top`` displays."""
    record = sidecar.backend.published_record()
    load = sidecar.target.load()
    return {
        "node_id": sidecar.settings.node_id,
        "data_centre": sidecar.settings.data_centre,
        "uptime_s": round(boot_s() - sidecar.started_s, 1),
        "is_ready": sidecar.is_ready,
        "is_stopping": sidecar.is_stopping,
        "is_store_dark": sidecar.store_watcher.is_store_unavailable,
        "follows_store": sidecar.propagation.sources.is_first,
        "sources": sidecar.propagation.sources.ids(),
        "store_era": sidecar.propagation.contact.era,
        "store_restores": sidecar.propagation.contact.restores,
        "store_age_s": round(sidecar.propagation.contact.age_s(), 2),
        "store_contact": sidecar.propagation.contact.contact().node_id,
        "configuration_version": sidecar.configuration.version,
        "backend": None if record is None else msgspec.to_builtins(record),
        "load": None if load is None else msgspec.structs.asdict(load),
        "in_flight": sidecar.target.in_flight,
        "held_bytes": sidecar.servers["caller"].held_bytes,
        "held": sidecar.held_bytes(),
        "peak_memory_bytes": peak_memory_bytes(),
        "connections": len(sidecar.servers["caller"].connections),
        "links": len(sidecar.links.open_links()),
        "members": [_member(record) for record in sidecar.directory.records()],
        "requests": {
            f"{service} {status}": count
            for (service, status), count in sidecar.stats.requests.items()
        },
        "refusals": dict(sidecar.stats.refusals),
        "repeats": dict(sidecar.stats.retries),
        "calls_refused": dict(sidecar.stats.calls_refused),
        **describe_organisations(sidecar),
    }


def _member(record) -> dict[str, str]:
    backend = record.backend
    return {
        "node_id": record.node_id,
        "data_centre": record.data_centre,
        "service": backend.service if backend else "",
        "state": str(backend.state if backend else record.state),
    }


class _Collector:
    """Prometheus collector that reads the counters of a node at scrape time."""

    def __init__(self, sidecar: "Sidecar"):
        self._sidecar = sidecar

    def collect(self) -> Iterator:
        """Yield all metric families."""
        # Imported here to save memory, which is charged, on nodes without scrapes.
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        stats = self._sidecar.stats
        requests = CounterMetricFamily(
            "damask_requests", "Requests that ended", labels=["service", "status"]
        )
        for (service, status), count in stats.requests.items():
            requests.add_metric([service, str(status)], count)
        yield requests
        for name, text, counts in (
            ("damask_refusals", "Requests answered as not run", stats.refusals),
            ("damask_retries", "Further attempts", stats.retries),
            ("damask_calls_refused", "Calls not run here", stats.calls_refused),
        ):
            family = CounterMetricFamily(name, text, labels=["reason"])
            for reason, count in counts.items():
                family.add_metric([str(reason)], count)
            yield family
        yield from collect_organisations(self._sidecar)
        seconds = HistogramMetricFamily(
            "damask_request_seconds", "Time of a request", labels=["service"]
        )
        for service, latency in stats.latencies.items():
            total, buckets = 0, []
            for label, count in zip(BUCKET_LABELS, latency.counts):
                total += count
                buckets.append((label, total))
            seconds.add_metric([service], buckets, latency.sum_s)
        yield seconds
        closures = CounterMetricFamily(
            "damask_closures",
            "Requests refused before they were handled, and connections closed",
            labels=["listener", "kind"],
        )
        for name, counts in self._sidecar.closures().items():
            for kind, count in counts.items():
                closures.add_metric([name, str(kind)], count)
        yield closures
        restores = CounterMetricFamily(
            "damask_store_restores", "Times that the store returned from an older copy"
        )
        restores.add_metric([], self._sidecar.propagation.contact.restores)
        yield restores
        held = GaugeMetricFamily(
            "damask_memory_held_bytes", "Bytes held for others", labels=["purpose"]
        )
        for name, count in self._sidecar.held_bytes().items():
            held.add_metric([name.removesuffix("_bytes")], count)
        yield held
        for name, value in self._gauges().items():
            family = GaugeMetricFamily(name, name.replace("_", " "))
            family.add_metric([], value)
            yield family

    def _gauges(self) -> dict[str, float]:
        sidecar = self._sidecar
        load = sidecar.target.load()
        return {
            "damask_ready": float(sidecar.is_ready and not sidecar.is_stopping),
            "damask_store_dark": float(sidecar.store_watcher.is_store_unavailable),
            "damask_follows_store": float(sidecar.propagation.sources.is_first),
            "damask_store_era": sidecar.propagation.contact.era,
            "damask_store_age_seconds": sidecar.propagation.contact.age_s(),
            "damask_store_feed_open": float(sidecar.propagation.contact.has_live_feed),
            "damask_configuration_version": sidecar.configuration.version,
            "damask_members": len(sidecar.directory),
            "damask_in_flight": sidecar.target.in_flight,
            "damask_queued": load.queued if load else 0,
            "damask_concurrency_limit": load.limit if load else 0,
            "damask_admission_level": load.level if load else 0,
            "damask_held_bytes": sidecar.servers["caller"].held_bytes,
            "damask_unsent_response_bytes": sidecar.servers["caller"].unsent_bytes,
            "damask_unsent_link_bytes": sidecar.links.unsent_bytes,
            "damask_peak_memory_bytes": peak_memory_bytes(),
            "damask_links": len(sidecar.links.open_links()),
            "damask_log_lines_dropped": sidecar.dropped_log_lines(),
        }


def render_metrics(sidecar: "Sidecar") -> bytes:
    """Return the metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(sidecar))
    return generate_latest(registry)


def make_metrics_handler(sidecar: "Sidecar"):
    """Return the handler of the metrics listener."""

    async def handle(request: Request) -> Response:
        path = request.target.partition(b"?")[0]
        if request.method != b"GET" or path not in (METRICS_PATH, STATUS_PATH):
            return Response(404)
        if path == STATUS_PATH:
            body = msgspec.json.encode(describe(sidecar))
            return Response(200, [(b"Content-Type", b"application/json")], body)
        content_type = b"text/plain; version=0.0.4; charset=utf-8"
        return Response(200, [(b"Content-Type", content_type)], render_metrics(sidecar))

    return handle
