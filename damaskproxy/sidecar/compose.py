"""Composition root of a sidecar."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import fields

from damaskproxy.admission import AdmissionController
from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.allowances import AllowanceBounds, Allowances
from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Fiber
from damaskproxy.common.memory import NEW_WORK_SHARE, MemoryAccount, MemoryBudget
from damaskproxy.directory import (
    CurrentConfiguration,
    Directory,
    MemberRecord,
    OwnRowWriter,
    StoreWatcher,
    apply_encoded_configuration,
)
from damaskproxy.forwarding import (
    AnswerSizes,
    Backend,
    HelloFrame,
    LinkHandlers,
    LinkMemory,
    Links,
    MemberSelector,
    Origin,
    ParentRequests,
    PoisonRequestDetector,
    RequestStats,
    ServerCheck,
    Target,
)
from damaskproxy.forwarding.link import Link
from damaskproxy.http1 import (
    ClientLimits,
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
from damaskproxy.propagation import Propagation
from damaskproxy.retries import RetryBudget, RetrySettings
from damaskproxy.sidecar.listener_limits import (
    LINK_BYTES,
    descriptor_limit,
    limits_of_listener,
    peer_connections_max,
)
from damaskproxy.sidecar.metrics import make_metrics_handler
from damaskproxy.sidecar.settings import SidecarSettings, to_address
from damaskproxy.sidecar.sidecar import Sidecar

__all__ = ["compose"]

MS_PER_S = 1000
RETRY_RATIO_SHARE = 0.6
"""Share of the permitted retry ratio that nodes use. The downstream calls of a retried
request are counted at the node that sends them, which may have no retry tokens; with
0.85 they exceeded the retry budget of a service at the end of long call chains by
1 %."""
HELD_MEMORY_SHARE = 0.5
"""Share of the memory limit for all bytes that the node holds for clients, backend
servers and other nodes together (`MemoryBudget`). The rest is for the process, which
needs 30 to 80 MB, and for what is not counted: the connections of other nodes, the
other listeners and the client of the store. Work that
has not run yet gets four fifths of the budget; the other fifth is for the answers of
work that has run."""
ACCOUNT_MEMORY_SHARE = 0.25
"""Share of the memory limit for each purpose: request bodies of clients, bodies of
calls of other nodes, results of other nodes that are being read, responses that clients
have not read, frames that other nodes have not read. Responses of the backend server
that are being read have a share of their own in the settings. Responses that clients
have not read may exceed their share, but no new ones are begun then; if the budget is
exceeded, the connection with the largest of them is cut."""
PEER_PARTIAL_SHARE = 0.125
"""Share of the memory limit for connections of other nodes, and for partly read frames
apart from the bodies of calls and answers; half of it for each."""
CONTROL_LIMITS = ClientLimits(max_body_bytes=64 << 10)
CONTROL_HELD_BYTES, CONTROL_UNSENT_BYTES = 1 << 20, 4 << 20
"""A status report has some 300 bytes; the state for a node that starts has some 100 KB
for 300 members."""
PROBE_LIMITS = ClientLimits(max_body_bytes=4 << 10)
PROBE_HELD_BYTES, PROBE_UNSENT_BYTES = 64 << 10, 1 << 20
CONTROL_OVERHEAD_BYTES, PROBE_OVERHEAD_BYTES = 2 << 20, 1 << 20
"""Connections, unparsed bytes, fields and queued requests of the control listener, and
of the readiness and the metrics listener each. Half of it is for connections."""
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
    started_ms = int(time.time() * MS_PER_S)
    sidecar: Sidecar
    configuration = CurrentConfiguration()
    poison_detector = PoisonRequestDetector(
        settings.node_id,
        lambda: sidecar.update_record(crashes=poison_detector.local_crashes),
    )
    bounds = decode_bounds(settings.bounds)
    retry_ratio = bounds.retry_ratio * RETRY_RATIO_SHARE
    retry_budget = RetryBudget(
        RetrySettings(ratio=retry_ratio, saved_max=RETRY_CAPACITY_MIN)
    )
    member_selector = MemberSelector(
        settings.data_centre, rng, lambda: directory.running_count
    )
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
        member_selector.apply_limit(record)
        allowances.member_changed(record)
        propagation.member_changed(record)

    directory = Directory(member_changed)

    backend_reported = asyncio.Event()

    def backend_changed() -> None:
        backend_reported.set()
        server_check.backend_changed()
        target.apply_backend_state()
        sidecar.update_record(backend=backend.published_record())

    backend = Backend(settings.heartbeat_interval_ms, backend_changed)
    responses = settings.responses
    limit_bytes = settings.memory_limit_mb << 20
    memory = MemoryBudget(int(limit_bytes * HELD_MEMORY_SHARE))
    account_bytes = int(limit_bytes * ACCOUNT_MEMORY_SHARE)
    partial_bytes = int(limit_bytes * PEER_PARTIAL_SHARE)
    link_memory = LinkMemory(
        *(MemoryAccount(account_bytes, memory) for _ in fields(LinkMemory)[:-1]),
        partial=MemoryAccount(partial_bytes // 2, memory),
    )
    descriptors = descriptor_limit()
    peer_limits = limits_of_listener("peer", partial_bytes, descriptors, LINK_BYTES)
    response_memory = ResponseMemory(int(limit_bytes * responses.memory_share), memory)

    def has_room_for_responses(count: int) -> bool:
        # Room is reserved for the responses that are being read, so these don't count.
        responses_account, unsent = response_memory.account, link_memory.unsent
        others = memory.held_bytes - responses_account.held_bytes
        return (
            count <= responses_account.limit_bytes
            and unsent.held_bytes + count <= unsent.limit_bytes
            and others + count <= NEW_WORK_SHARE * memory.limit_bytes
        )

    def has_room_for_unread(count: int) -> bool:
        unread = servers["caller"].unsent.account
        return unread.held_bytes + count <= account_bytes and unread.fits(count)

    pool = ConnectionPool(
        to_address(settings.backend_address),
        limits=ResponseLimits(
            responses.max_head_bytes, responses.max_fields, responses.max_body_bytes
        ),
        memory=response_memory,
    )
    server_check = ServerCheck(backend, pool, HEADERS, configuration)
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
        link_memory.calls,
        AnswerSizes(has_room_for_responses, response_memory.account.limit_bytes // 2),
    )
    configuration.on_change(lambda _: target.apply_backend_state())

    def link_lost(link: Link) -> None:
        propagation.lost(link)
        allowances.lost(link)

    links = Links(
        lambda: HelloFrame(settings.node_id, sidecar.record.incarnation, True),
        LinkHandlers(
            target.run_remote,
            lambda: configuration.version,
            lambda link, frame: propagation.handle(link, frame),
            lambda link: link_lost(link),
            lambda link, frame: allowances.handle(link, frame),
        ),
        VOLATILE_HEADERS,
        member_selector.clear_backoff,
        link_memory,
        lambda: peer_connections_max(peer_limits, descriptors, len(directory)),
        peer_limits.backlog,
    )
    allowances = Allowances(
        settings.node_id,
        directory,
        links.open,
        AllowanceBounds(
            bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack
        ),
    )
    configuration.on_change(allowances.apply)
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
        AnswerSizes(has_room_for_unread, account_bytes // 2),
        allowances,
    )
    propagation = Propagation(
        settings.node_id,
        lambda: sidecar.record,
        directory,
        configuration,
        apply_configuration=lambda encoded: apply_encoded_configuration(
            configuration, encoded, decode_configuration
        ),
        handle_own_record=lambda record: sidecar.handle_own_record(record),
        connect=lambda member: sidecar.connect_for_propagation(member),
        schedule_flush=lambda delay_s: asyncio.get_running_loop().call_later(
            delay_s, propagation.flush
        ),
        configuration_bound_s=bounds.configuration_ms / MS_PER_S,
        rng=rng,
    )
    store = PlatformStore(to_address(settings.store_address))
    store_watcher = StoreWatcher(
        store,
        configuration,
        directory,
        decode_configuration,
        settings.node_id,
        propagation.contact,
        propagation.publish,
        lambda: sidecar.update_record(),
        rng,
    )
    own_row_writer = OwnRowWriter(
        store, store_watcher, lambda record: sidecar.broadcast(record), rng
    )

    control = make_control_handler(
        backend,
        settings.backend_address,
        configuration.may_have_service,
        lambda: sidecar.wait_until_stored(),
        lambda: sidecar.announce_leave(),
        lambda: sidecar.unconfirmed_reason(),
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
            account_bytes,
            memory.limit_bytes,
            memory,
            limits_of_listener("caller", account_bytes, descriptors),
        ),
        "readiness": _make_probe_server("readiness", readiness, descriptors),
        "control": HttpServer(
            "control",
            control,
            lambda: CONTROL_LIMITS,
            held_max_bytes=CONTROL_HELD_BYTES,
            unsent_max_bytes=CONTROL_UNSENT_BYTES,
            listener_limits=limits_of_listener(
                "control", CONTROL_OVERHEAD_BYTES, descriptors
            ),
        ),
    }
    memory.on_shortage(servers["caller"].unsent.give_up_largest)
    peer = to_address(settings.listeners.peer)
    sidecar = Sidecar(
        settings=settings,
        configuration=configuration,
        directory=directory,
        backend=backend,
        server_check=server_check,
        target=target,
        pool=pool,
        links=links,
        origin=origin,
        store=store,
        store_watcher=store_watcher,
        own_row_writer=own_row_writer,
        propagation=propagation,
        poison_detector=poison_detector,
        servers=servers,
        record=MemberRecord(
            settings.node_id,
            started_ms,
            0,
            settings.data_centre,
            peer.host,
            peer.port,
            MemberState.SERVING,
        ),
        rng=rng,
        stats=stats,
        started_s=boot_s(),
        started_ms=started_ms,
        dropped_log_lines=dropped_log_lines,
        backend_reported=backend_reported,
        response_memory=response_memory,
        memory=memory,
        link_memory=link_memory,
        allowances=allowances,
    )
    if settings.listeners.metrics is not None:
        servers["metrics"] = _make_probe_server(
            "metrics", make_metrics_handler(sidecar), descriptors
        )
    if not settings.is_first_start:
        sidecar.require_verification()
    return sidecar


def _make_probe_server(name: str, handle, descriptors: int) -> HttpServer:
    """Return a listener for requests without bodies."""
    return HttpServer(
        name,
        handle,
        lambda: PROBE_LIMITS,
        held_max_bytes=PROBE_HELD_BYTES,
        unsent_max_bytes=PROBE_UNSENT_BYTES,
        listener_limits=limits_of_listener(name, PROBE_OVERHEAD_BYTES, descriptors),
    )
