"""Composition root: builds the components of a node and connects them."""

import asyncio
import random
import time
from collections.abc import Sequence

from damaskproxy.admission import AdmissionController
from damaskproxy.balancing import Balancer
from damaskproxy.common import new_attempt_id
from damaskproxy.config import NodeSettings
from damaskproxy.ledger import (
    AttemptGuard,
    KeyRing,
    Ledger,
    OutcomeWriter,
    PinnedKeys,
    ScopedKeys,
    never_retry,
)
from damaskproxy.membership import ControlClient, ControlServer, Extras, Membership
from damaskproxy.metrics import NodeMetrics
from damaskproxy.model import Address, Member, MemberState, Placement
from damaskproxy.move import DrainPlanner, SectionPoller, SectionStore
from damaskproxy.node.admin import AdminListener
from damaskproxy.node.control import (
    make_describe_handler,
    make_describer,
    make_handover_handler,
)
from damaskproxy.node.heirs import make_find_heir
from damaskproxy.node.listeners import HttpListener
from damaskproxy.node.parts import Addresses, Parts
from damaskproxy.node.reporting import make_refresh, make_status
from damaskproxy.node.shared_state import SharedState
from damaskproxy.node.state import NodeState, make_entry_gate, make_target_gate
from damaskproxy.quarantine import Quarantine
from damaskproxy.retries import RetryBudget
from damaskproxy.routing import (
    AnnouncementReply,
    BackendClient,
    BackendExecutor,
    BackendListener,
    CallHandler,
    Dispatcher,
    Gateway,
    LocalBackend,
    PeerServer,
    PeerStreams,
    RequestReader,
    Submitter,
    Target,
)
from damaskproxy.store import open_objects, open_table
from damaskproxy.wire import Answer, Call, Hello, Purpose, Refused

__all__ = ["compose"]

MS_PER_S = 1000
NO_ADDRESS = Address("", 0)
"""Placeholder for a listener that is not open yet."""


def compose(
    settings: NodeSettings, *, now_s=time.monotonic, wall_s=time.time, seed=None
) -> Parts:
    """Build a node; nothing is started.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    now_s, wall_s : callable
        Monotonic and wall clock, in seconds.
    seed : int, optional
        Seed of all random choices; from the operating system by default.

    Returns
    -------
    Parts
        Components for `damaskproxy.node.lifecycle`.
    """
    rng = random.Random(seed)
    incarnation = int(wall_s() * MS_PER_S)
    state = NodeState()
    metrics = NodeMetrics()
    addresses = Addresses(*[NO_ADDRESS] * 5)
    table = open_table(settings.platform)
    objects = open_objects(settings.platform)

    sections = SectionStore()
    quarantine = Quarantine(
        wall_ms=lambda: int(wall_s() * MS_PER_S), settings=settings.quarantine
    )
    shared = SharedState(sections, quarantine)
    control_client = ControlClient(settings.membership, now_s=now_s)
    membership = Membership(
        _own_member(settings, incarnation),
        call=control_client.call,
        settings=settings.membership,
        now_s=now_s,
        sleep=asyncio.sleep,
        rng=rng,
        extras=Extras(shared.state, shared.missing, shared.merge),
        table=table,
    )
    sections.on_change(lambda _section: membership.push_extra())

    key_ring = KeyRing(
        settings.node_id,
        incarnation,
        [secret.encode() for secret in settings.mesh_secrets],
        wall_s=wall_s,
        settings=settings.ledger,
    )
    outcomes = OutcomeWriter(
        table,
        key_ring,
        now_s=now_s,
        rng=rng,
        settings=settings.ledger,
        on_written=lambda key: ledger.mark_written(key),
    )
    ledger = Ledger(
        settings.node_id,
        incarnation,
        key_ring=key_ring,
        now_s=now_s,
        wall_s=wall_s,
        new_attempt_id=lambda: new_attempt_id(rng),
        settings=settings.ledger,
        read_outcome=outcomes.read,
        on_outcome=outcomes.add,
        retry=never_retry,
    )
    scoped_keys = ScopedKeys(key_ring)

    def backend_changed() -> None:
        service, slots = backend.service, backend.slots
        membership.update_self(service=service, slots=slots)

    backend = LocalBackend(settings.routing, now_s, backend_changed)
    backend_client = BackendClient(
        connect_timeout_s=settings.routing.connect_timeout_ms / MS_PER_S,
        max_body_bytes=settings.routing.max_body_bytes,
    )
    executor = BackendExecutor(
        backend,
        backend_client,
        quarantine,
        settings.node_id,
        now_s,
        wall_s,
        on_ended=scoped_keys.remove,
        on_quarantine=membership.push_extra,
    )
    target = Target(
        backend,
        executor,
        AttemptGuard(now_s=now_s, settings=settings.ledger),
        quarantine,
        lambda slots: AdmissionController(
            slots, now_s=now_s, settings=settings.admission
        ),
        make_target_gate(state, membership.is_isolated),
        now_s,
    )

    hello = Hello(settings.node_id, incarnation)
    streams = PeerStreams(hello, settings.routing, now_s, metrics.late_answers.inc)
    balancer = Balancer(
        settings.data_centre, now_s=now_s, rng=rng, settings=settings.balancing
    )
    dispatcher = Dispatcher(
        membership,
        balancer,
        streams,
        target,
        quarantine,
        RetryBudget(settings.retries),
        now_s,
        rng,
        metrics.count_retry,
        make_not_leaving_filter(sections),
        membership.push_extra,
    )
    submitter = Submitter(
        dispatcher,
        ledger,
        key_ring,
        PinnedKeys(table, key_ring, settings=settings.ledger),
        membership,
        streams,
        make_find_heir(table),
        now_s,
    )

    async def serve_peer(call: Call) -> Answer | Refused:
        if call.purpose is Purpose.SUBMIT:
            return await submitter.submit_locally(call)
        return await target.run(call)

    def cancel_peer(attempt_id: str) -> None:
        target.cancel(attempt_id)
        ledger.cancel(attempt_id)

    peer_server = PeerServer(lambda: hello, serve_peer, cancel_peer, settings.routing)
    handler = CallHandler(
        RequestReader(sections.route, settings.routing, rng),
        submitter.submit,
        metrics,
        now_s,
        rng,
        scoped_keys,
    )
    expiry_ms = settings.ledger.key_lifetime_ms

    def issue_keys(count: int) -> tuple[list[str], int]:
        return key_ring.issue(count), int(wall_s() * MS_PER_S) + expiry_ms

    entry_gate = make_entry_gate(
        state,
        lambda: parts.listeners["call"].connection_count,
        settings.routing.max_connections,
    )
    gateway = Gateway(handler, issue_keys, entry_gate, rng)

    def identity() -> AnnouncementReply:
        member = membership.self_member()
        instance_prefix = f"{member.service}/{settings.data_centre}/{settings.node_id}"
        return AnnouncementReply(
            f"{instance_prefix}/{backend.generation}",
            settings.node_id,
            settings.data_centre,
            f"http://{addresses.backend}",
            settings.routing.announce_every_ms,
            member.state,
        )

    backend_listener = BackendListener(
        handler, backend, executor.attempts, identity, rng
    )
    planner = DrainPlanner(
        sections,
        self_member=membership.self_member,
        members=lambda service: [
            member for member in membership.members() if member.service == service
        ],
        describe=make_describer(control_client),
        start_drain=state.drain_requested.set,
        settings=settings.drain,
    )
    poller = SectionPoller(
        table,
        objects,
        sections,
        polls=lambda: settings.node_id in membership.pollers(settings.data_centre),
        neighbour_versions=lambda: (
            [shared.peer_versions()] if len(membership.members()) > 1 else []
        ),
        now_s=now_s,
        rng=rng,
        settings=settings.poller,
    )
    control_server = ControlServer(
        {
            "Exchange": membership.handle_exchange,
            "ProbeVia": membership.handle_probe_via,
            "Handover": make_handover_handler(ledger, membership, incarnation),
            "Describe": make_describe_handler(membership, executor, target, sections),
        }
    )
    parts = Parts(
        settings=settings,
        incarnation=incarnation,
        rng=rng,
        state=state,
        metrics=metrics,
        table=table,
        objects=objects,
        control_client=control_client,
        control_server=control_server,
        membership=membership,
        sections=sections,
        poller=poller,
        planner=planner,
        key_ring=key_ring,
        ledger=ledger,
        outcomes=outcomes,
        quarantine=quarantine,
        balancer=balancer,
        backend=backend,
        backend_client=backend_client,
        executor=executor,
        target=target,
        streams=streams,
        peer_server=peer_server,
        gateway=gateway,
        listeners={},
        addresses=addresses,
    )
    admin = AdminListener(
        metrics.registry,
        state.not_ready_reason,
        make_status(parts),
        make_refresh(parts),
    )
    handlers = {
        "call": gateway.handle,
        "backend": backend_listener.handle,
        "peer": peer_server.handle,
        "admin": admin.handle,
    }
    parts.listeners = {
        name: HttpListener(
            name,
            getattr(settings.listeners, name),
            handle,
            max_body_bytes=settings.routing.max_body_bytes,
        )
        for name, handle in handlers.items()
    }
    return parts


def make_not_leaving_filter(sections: SectionStore):
    """Return the filter for members outside the data centres that a service leaves."""

    def not_leaving(service: str, members: Sequence[Member]) -> Sequence[Member]:
        found = sections.service(service)
        if found is None or Placement.LEAVING not in found.placement.values():
            return members
        return [
            member
            for member in members
            if found.placement.get(member.data_centre) != Placement.LEAVING
        ]

    return not_leaving


def _own_member(settings: NodeSettings, incarnation: int) -> Member:
    return Member(
        node_id=settings.node_id,
        incarnation=incarnation,
        version=1,
        region=settings.region,
        data_centre=settings.data_centre,
        peer=NO_ADDRESS,
        control=NO_ADDRESS,
        call=NO_ADDRESS,
        state=MemberState.STARTING,
    )
