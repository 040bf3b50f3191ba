"""Composition root of a sidecar."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from damaskproxy.admission import AdmissionController
from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Fiber
from damaskproxy.directory import (
    CurrentConfiguration,
    Directory,
    MemberRecord,
    OwnRowWriter,
    StoreWatcher,
    apply_encoded_configuration,
)
from damaskproxy.forwarding import (
    Backend,
    HelloFrame,
    LinkHandlers,
    Links,
    MemberSelector,
    Origin,
    ParentRequests,
    PoisonRequestDetector,
    RequestStats,
    StateFrame,
    StateRequestFrame,
    Target,
)
from damaskproxy.http1 import (
    ConnectionPool,
    HttpServer,
    ResponseLimits,
    ResponseMemory,
)
from damaskproxy.model import MemberState
from damaskproxy.platform import (
    HEADERS,
    VOLATILE_HEADERS,
    PlatformStore,
    decode_bounds,
    decode_configuration,
    make_control_handler,
    make_readiness_handler,
)
from damaskproxy.retries import RetryBudget, RetrySettings
from damaskproxy.sidecar.metrics import make_metrics_handler
from damaskproxy.sidecar.settings import SidecarSettings, to_address

__all__ = ["Sidecar", "compose"]

MS_PER_S = 1000
RETRY_RATIO_SHARE = 0.6
"""Share of the permitted retry ratio that nodes use. The downstream calls of a retried
request are counted at the node that sends them, which may have no retry tokens; with
0.85 they exceeded the retry budget of a service at the end of long call chains by
1 %."""
HELD_MEMORY_SHARE = 0.25
"""Share of the memory limit for request bodies; each body is also buffered by the
connection to another node while it is sent, and the process itself needs some 30 MB."""
RETRY_SLACK_SHARE = 0.6
"""Share of the platform's retry slack that the retry budgets of all nodes may hold."""
RETRY_CAPACITY_MIN, RETRY_CAPACITY_MAX = 1.0, 2.0
"""Limits on the retry tokens per service that a node can accumulate; the value between
them depends on the number of nodes."""

ADMISSION_SETTINGS = AdmissionSettings(
    adaptive_limit=False,
    newest_first=False,
    queue_wait_max_ms=300,
    queue_per_slot=2.0,
)


@dataclass(slots=True)
class Sidecar:
    """Components and state of a sidecar."""

    settings: SidecarSettings
    configuration: CurrentConfiguration
    directory: Directory
    backend: Backend
    target: Target
    pool: ConnectionPool
    links: Links
    origin: Origin
    store: PlatformStore
    store_watcher: StoreWatcher
    own_row_writer: OwnRowWriter
    poison_detector: PoisonRequestDetector
    servers: dict[str, HttpServer]
    record: MemberRecord
    rng: random.Random
    stats: RequestStats
    started_s: float
    dropped_log_lines: Callable[[], int]
    on_state: Callable[[], None] | None = None
    is_ready: bool = False
    is_stopping: bool = False

    def update_record(self, **changes) -> None:
        """Change the record of this node and publish it."""
        version = self.record.version + 1
        self.record = msgspec.structs.replace(self.record, version=version, **changes)
        self.directory.merge(self.record)
        if self.is_ready or self.store_watcher.has_read_members:
            self.own_row_writer.publish(self.record)

    def broadcast(self, record: MemberRecord) -> None:
        """Send a record to all nodes with an open connection."""
        for link in self.links.open_links():
            link.write(StateFrame(b"", [record]))

    def answer_state_request(self, request: StateRequestFrame) -> StateFrame | None:
        """Return what the requesting node lacks, None if nothing."""
        configuration = self.configuration
        is_newer = configuration.version > request.configuration_version
        encoded = configuration.encoded if is_newer else b""
        records = []
        if request.directory_digest not in (None, self.directory.digest()):
            records = list(self.directory.records())
        return StateFrame(encoded, records) if encoded or records else None

    def apply_state(self, state: StateFrame) -> None:
        """Merge a configuration and records received from another node."""
        if state.configuration:
            apply_encoded_configuration(
                self.configuration, state.configuration, decode_configuration
            )
        for record in state.records:
            if record.node_id != self.settings.node_id:
                self.directory.merge(record)
            elif record.backend is not None and record.host == self.record.host:
                self.backend.restore_leave(record.backend)
        if self.on_state is not None:
            self.on_state()

    def encoded_state(self) -> bytes:
        """Return the encoded configuration and members for a node that starts."""
        records = list(self.directory.records())
        return msgspec.msgpack.encode(StateFrame(self.configuration.encoded, records))


def compose(
    settings: SidecarSettings,
    *,
    seed: int | None = None,
    dropped_log_lines: Callable[[], int] = lambda: 0,
) -> Sidecar:
    """Build a node; nothing is started.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    seed : int, optional
        Seed of all random choices; from the operating system by default.
    dropped_log_lines : callable
        Returns how many log lines were dropped because of a slow reader.
    """
    rng = random.Random(seed)
    sidecar: Sidecar
    configuration = CurrentConfiguration()
    poison_detector = PoisonRequestDetector(
        settings.node_id,
        lambda: sidecar.update_record(crashes=poison_detector.local_crashes),
    )
    bounds = decode_bounds(settings.bounds)
    retry_budget = RetryBudget(
        RetrySettings(
            ratio=bounds.retry_ratio * RETRY_RATIO_SHARE, saved_max=RETRY_CAPACITY_MIN
        )
    )
    member_selector = MemberSelector(settings.data_centre, rng)
    known_incarnations: dict[str, tuple] = {}

    def member_changed(record: MemberRecord) -> None:
        poison_detector.merge_crashes(record)
        capacity = bounds.retry_slack * RETRY_SLACK_SHARE / max(len(directory), 1)
        retry_budget.set_capacity(
            min(max(capacity, RETRY_CAPACITY_MIN), RETRY_CAPACITY_MAX)
        )
        backend_id = record.backend.instance_id if record.backend else ""
        incarnations = (record.incarnation, backend_id)
        if known_incarnations.get(record.node_id) != incarnations:
            known_incarnations[record.node_id] = incarnations
            member_selector.reset(record.node_id)
            links.close_outdated(record)

    directory = Directory(member_changed)

    def backend_changed() -> None:
        target.apply_backend_state()
        sidecar.update_record(backend=backend.published_record())

    backend = Backend(settings.heartbeat_interval_ms, backend_changed)
    responses = settings.responses
    pool = ConnectionPool(
        to_address(settings.backend_address),
        limits=ResponseLimits(
            responses.max_head_bytes, responses.max_fields, responses.max_body_bytes
        ),
        memory=ResponseMemory(
            int((settings.memory_limit_mb << 20) * responses.memory_share)
        ),
    )
    parent_requests = ParentRequests()
    stats = RequestStats()
    target = Target(
        backend,
        pool,
        HEADERS,
        poison_detector,
        parent_requests,
        lambda slots: AdmissionController(
            slots, now_s=boot_s, settings=ADMISSION_SETTINGS
        ),
        stats,
        configuration.max_connections,
    )
    configuration.on_change(lambda _: target.apply_backend_state())
    links = Links(
        lambda: HelloFrame(settings.node_id, sidecar.record.incarnation),
        LinkHandlers(
            target.run,
            lambda: configuration.version,
            lambda request: sidecar.answer_state_request(request),
            lambda state: sidecar.apply_state(state),
        ),
        VOLATILE_HEADERS,
        member_selector.clear_backoff,
    )
    origin = Origin(
        settings.node_id,
        lambda: sidecar.settings.service,
        configuration,
        directory,
        member_selector,
        target.run,
        links.run,
        retry_budget,
        poison_detector,
        parent_requests,
        HEADERS,
        stats,
        rng,
    )
    store = PlatformStore(to_address(settings.store_address))
    store_watcher = StoreWatcher(
        store, configuration, directory, decode_configuration, settings.node_id, rng
    )
    own_row_writer = OwnRowWriter(
        store, store_watcher, lambda record: sidecar.broadcast(record), rng
    )

    control = make_control_handler(
        backend,
        settings.backend_address,
        configuration.may_have_service,
        own_row_writer.wait_until_stored,
        lambda: sidecar.encoded_state(),
    )
    readiness = make_readiness_handler(
        lambda: sidecar.is_ready and not sidecar.is_stopping
    )
    servers = {
        "caller": HttpServer(
            "caller",
            origin.handle,
            configuration.client_limits,
            Fiber,
            int(settings.memory_limit_mb * HELD_MEMORY_SHARE) << 20,
        ),
        "readiness": HttpServer("readiness", readiness),
        "control": HttpServer("control", control),
    }
    peer = to_address(settings.listeners.peer)
    sidecar = Sidecar(
        settings=settings,
        configuration=configuration,
        directory=directory,
        backend=backend,
        target=target,
        pool=pool,
        links=links,
        origin=origin,
        store=store,
        store_watcher=store_watcher,
        own_row_writer=own_row_writer,
        poison_detector=poison_detector,
        servers=servers,
        record=MemberRecord(
            settings.node_id,
            int(time.time() * MS_PER_S),
            0,
            settings.data_centre,
            peer.host,
            peer.port,
            MemberState.SERVING,
        ),
        rng=rng,
        stats=stats,
        started_s=boot_s(),
        dropped_log_lines=dropped_log_lines,
    )
    if settings.listeners.metrics is not None:
        servers["metrics"] = HttpServer("metrics", make_metrics_handler(sidecar))
    return sidecar
