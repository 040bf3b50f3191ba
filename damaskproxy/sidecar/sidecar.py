"""Components and state of a sidecar."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from damaskproxy.allowances import Allowances
from damaskproxy.common.memory import MemoryBudget
from damaskproxy.directory import (
    CurrentConfiguration,
    Directory,
    MemberRecord,
    OwnRowWriter,
    StoreWatcher,
)
from damaskproxy.forwarding import (
    Backend,
    LinkMemory,
    Links,
    Origin,
    PoisonRequestDetector,
    RecordRequestFrame,
    RequestStats,
    ServerCheck,
    StateFrame,
    Target,
)
from damaskproxy.http1 import (
    ConnectionPool,
    HttpServer,
    ResponseMemory,
)
from damaskproxy.platform import (
    PlatformStore,
)
from damaskproxy.propagation import Propagation
from damaskproxy.sidecar.settings import SidecarSettings

__all__ = ["Sidecar"]

START_MARGIN_MS = 5000
"""Time after the start of this process from which on a start of the backend server is
certainly later; the clock of the machine may be set in between."""


@dataclass(slots=True)
class Sidecar:
    """Components and state of a sidecar."""

    settings: SidecarSettings
    configuration: CurrentConfiguration
    directory: Directory
    backend: Backend
    server_check: ServerCheck
    target: Target
    pool: ConnectionPool
    links: Links
    origin: Origin
    store: PlatformStore
    store_watcher: StoreWatcher
    own_row_writer: OwnRowWriter
    propagation: Propagation
    poison_detector: PoisonRequestDetector
    servers: dict[str, HttpServer]
    record: MemberRecord
    rng: random.Random
    stats: RequestStats
    started_s: float
    started_ms: int
    dropped_log_lines: Callable[[], int]
    backend_reported: asyncio.Event
    response_memory: ResponseMemory
    memory: MemoryBudget
    link_memory: LinkMemory
    allowances: Allowances
    own_record_restored: asyncio.Event = field(default_factory=asyncio.Event)
    acknowledged_leave: tuple[str, int] | None = None
    connect_tasks: set[asyncio.Task] = field(default_factory=set)
    is_ready: bool = False
    is_stopping: bool = False

    def update_record(self, **changes) -> None:
        """Change the record of this node and publish it."""
        self.record = self.record.successor(**changes)
        self.directory.merge(self.record)
        self.propagation.publish(self.record)
        if (
            self.is_ready
            or self.store_watcher.has_read_members
            or self.own_record_restored.is_set()
        ):
            self.own_row_writer.publish(self.record)

    async def wait_until_stored(self) -> None:
        """Wait until the newest record is stored, with the leaves of the restored one.

        A record that is stored before that may be without the backend server.
        """
        await self.own_record_restored.wait()
        await self.own_row_writer.wait_until_stored()

    def unconfirmed_reason(self) -> str:
        """Return why a leave that is not stored is not to be confirmed, or nothing."""
        if not self.own_record_restored.is_set():
            return "the record from before the start is not restored"
        if not self.own_row_writer.has_stored:
            return "no record has been stored since the start"
        if self.is_stopping:
            # It would end before the record is stored.
            return "the node is stopping"
        known = self.backend.record
        is_acknowledged = (
            known is not None and known.incarnation_key == self.acknowledged_leave
        )
        if not is_acknowledged:
            # After a restart, this node would learn the leave from them.
            return "no other node has acknowledged it"
        return ""

    def require_verification(self) -> None:
        """Serve no backend server that may have left before this process began."""
        self.backend.require_verification(self.started_ms + START_MARGIN_MS)

    def announce_leave(self) -> None:
        """Send the own record to all connected nodes and request it back from them."""
        for link in self.links.open_links():
            link.write(StateFrame(b"", [self.record]))
            link.write(RecordRequestFrame(self.settings.node_id))

    def broadcast(self, record: MemberRecord) -> None:
        """Send a record to all nodes with an open connection."""
        for link in self.links.open_links():
            link.write(StateFrame(b"", [record]))

    def handle_own_record(self, record: MemberRecord) -> None:
        """Handle a record of this node that another node has."""
        is_same_machine = record.host == self.record.host
        if is_same_machine and record.backend is not None:
            self.backend.restore_named(record.backend)
            if record.backend.is_leaving:
                self.acknowledged_leave = record.backend.incarnation_key
        if record.order >= self.record.order and record != self.record:
            # Another node removed the record of this node, which still runs.
            self.record = msgspec.structs.replace(
                self.record, incarnation=record.incarnation, version=record.version
            )
            self.update_record()

    def connect_for_propagation(self, member: MemberRecord) -> None:
        """Open a connection to a member and report the result to the propagation."""

        async def connect() -> None:
            link = await self.links.open(member)
            self.propagation.connected(member.node_id, link)

        task = asyncio.create_task(connect())
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def held_bytes(self) -> dict[str, int]:
        """Return the bytes that requests and responses hold, by purpose."""
        caller, links = self.servers["caller"], self.link_memory
        return {
            "request_body_bytes": caller.held_bytes,
            "call_body_bytes": links.calls.held_bytes,
            "response_bytes": self.response_memory.total_bytes,
            "link_result_bytes": links.results.held_bytes,
            "link_partial_bytes": links.partial.held_bytes,
            "overhead_bytes": caller.overhead.held_bytes,
            "unread_response_bytes": caller.unsent.account.held_bytes,
            "unread_link_bytes": links.unsent.held_bytes,
            "unsent_response_bytes": caller.unsent_bytes,
            "unsent_link_bytes": self.links.unsent_bytes,
            "budget_bytes": self.memory.held_bytes,
            "budget_limit_bytes": self.memory.limit_bytes,
        }

    def closures(self) -> dict[str, Mapping[str, int]]:
        """Return the refusals and closed connections of each listener, by kind."""
        counts = {name: s.closures.counts for name, s in self.servers.items()}
        return {**counts, "peer": self.links.closures}

    def encoded_state(self) -> bytes:
        """Return the encoded configuration and members for a node that starts."""
        records = list(self.directory.records())
        return msgspec.msgpack.encode(StateFrame(self.configuration.encoded, records))
