"""Nodes that learn from each other on virtual time, without a network."""

import asyncio
import contextlib
import random

from damaskproxy.directory import (
    BackendRecord,
    Configuration,
    CurrentConfiguration,
    Directory,
    HistoryLost,
    MemberRecord,
    OwnRowWriter,
    RecordError,
    Row,
    Rows,
    StoreError,
    StorePosition,
    StoreWatcher,
    WriteOutcome,
    apply_encoded_configuration,
)
from damaskproxy.directory.following import MEMBER_TABLE, OPERATOR_TABLE
from damaskproxy.forwarding.frames import encode_frame
from damaskproxy.http1 import ClientLimits
from damaskproxy.model import MemberState
from damaskproxy.platform.store import (
    FEED_GRACE_S,
    PATH_ATTEMPTS,
    PATH_TIMEOUT_S,
    READ_TIMEOUT_S,
)
from damaskproxy.propagation import Propagation
from damaskproxy.sidecar.joining import FIRST_READ_S

__all__ = ["VirtualMesh", "VirtualNode", "VirtualStore"]

STORE_S = 0.004
LOCAL_S, REMOTE_S = 0.0003, 0.0015
CONNECT_TIMEOUT_S = 0.3
DEAD_PEER_S = 2.0
"""Time in which the kernel detects that the store does not react."""
CHECK_S = 0.2
TICK_S = 0.2
RESTART_S = 0.8


def now_s():
    """Return the clock of the running event loop."""
    return asyncio.get_running_loop().time()


def decode(encoded):
    """Decode a configuration that consists of its version."""
    if not encoded.isdigit():
        raise RecordError(f"invalid configuration {encoded!r}")
    return Configuration(int(encoded), (), {}, ClientLimits(), encoded)


class VirtualStore:
    """Row store with faults for all or for some nodes."""

    def __init__(self):
        self.version = 0
        self.era = 0
        self.rows = {}
        self.copies = []
        self.calls = []
        self.is_down = False
        self.refused = set()
        self.cut = set()
        self.is_silent = False
        self.silent_to = set()
        self.lost_share = 0.0
        self.oldest_version = 0
        self.rng = random.Random(1)
        self._changed = asyncio.Event()

    def put_row(self, table, key, value):
        """Write a row and wake up the feeds."""
        self.version += 1
        self.rows[table, key] = Row(key, self.version, value)
        self.copies.append((now_s(), self.version, dict(self.rows)))
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self, age_s):
        """Return to the copy of some seconds ago; later writes are lost."""
        copies = [c for c in self.copies if c[0] <= now_s() - age_s]
        self.copies = copies or self.copies[:1]
        _, self.version, rows = self.copies[-1]
        self.rows = dict(rows)
        self.oldest_version = min(self.oldest_version, self.version)
        self.era += 1

    def answers(self, node_id):
        """Tell whether calls of a node are answered, if only by an error."""
        return not (self.is_silent or node_id in self.silent_to)

    def position(self):
        """Return the current position."""
        return StorePosition(self.era, self.version)

    def changes_after(self, table, after):
        """Return the rows of a table that were written after a version."""
        rows = [r for (t, _), r in self.rows.items() if t == table]
        return sorted((r for r in rows if r.version > after), key=lambda r: r.version)

    async def wait_for_change(self, wait_s):
        """Wait until any row is written."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._changed.wait()

    def client(self, node_id):
        """Return the store as one node reaches it."""
        return _StoreClient(self, node_id)


class _StoreClient:
    def __init__(self, store, node_id):
        self._store = store
        self._node_id = node_id

    async def read(self, table):
        return await self._within(READ_TIMEOUT_S, self._read(table))

    async def changes(self, table, after, wait_ms):
        timeout_s = wait_ms / 1000 + FEED_GRACE_S
        return await self._within(timeout_s, self._changes(table, after, wait_ms))

    async def write(self, table, writes):
        return await self._within(READ_TIMEOUT_S, self._write(table, writes))

    async def check_path(self):
        if self._node_id in self._store.cut:
            await asyncio.sleep(PATH_ATTEMPTS * PATH_TIMEOUT_S)
            raise StoreError("cut off")
        await asyncio.sleep(STORE_S / 2)

    async def _within(self, timeout_s, call):
        """Give up an unanswered call after the time-out of the real client."""
        try:
            async with asyncio.timeout(timeout_s):
                return await call
        except TimeoutError as error:
            raise StoreError("no response") from error

    async def _read(self, table):
        await self._begin("read")
        rows = self._store.changes_after(table, 0)
        return await self._respond(Rows(rows, self._store.position(), now_s()))

    async def _changes(self, table, after, wait_ms):
        await self._begin("changes")
        store = self._store
        if after < store.oldest_version or after > store.version:
            raise HistoryLost("history lost")
        end_s = now_s() + wait_ms / 1000
        while not (rows := store.changes_after(table, after)) and now_s() < end_s:
            await store.wait_for_change(min(end_s - now_s(), CHECK_S))
            if self._node_id in store.cut:
                await asyncio.sleep(DEAD_PEER_S - CHECK_S)
                raise StoreError("cut off")
            if store.is_down or self._node_id in store.refused:
                raise StoreError("down")
        return await self._respond(Rows(rows, store.position(), now_s()))

    async def _write(self, table, writes):
        await self._begin("write")
        store = self._store
        known = [store.rows.get((table, write.key)) for write in writes]
        versions = [row.version if row else 0 for row in known]
        if versions != [write.version for write in writes]:
            rows = Rows([row for row in known if row], store.position())
            return WriteOutcome.CONFLICT, await self._respond(rows)
        for write in writes:
            store.put_row(table, write.key, write.value)
        rows = Rows([], store.position())
        return WriteOutcome.APPLIED, await self._respond(rows)

    async def _begin(self, kind):
        store = self._store
        if self._node_id in store.cut:
            await asyncio.sleep(READ_TIMEOUT_S)
            raise StoreError("cut off")
        store.calls.append((now_s(), self._node_id, kind))
        await asyncio.sleep(STORE_S / 2)
        if not store.answers(self._node_id):
            await asyncio.Event().wait()
        if store.is_down or self._node_id in store.refused:
            raise StoreError("down")

    async def _respond(self, rows):
        store = self._store
        is_unreachable = not store.answers(self._node_id) or self._node_id in store.cut
        if is_unreachable or store.rng.random() < store.lost_share:
            await asyncio.Event().wait()
        await asyncio.sleep(STORE_S / 2)
        return rows


class _End:
    """One end of a connection between two nodes."""

    def __init__(self, node, latency_s):
        self.node = node
        self.latency_s = latency_s
        self.other = None
        self.is_open = True
        self.is_unresponsive = False
        self.is_silent = False

    def write(self, frame):
        if not self.is_open:
            return False
        if self.node.is_frozen:
            # The tasks of a frozen node go on here, but nothing may leave it.
            return True
        mesh = self.node.mesh
        if self.latency_s == REMOTE_S:
            mesh.remote_bytes += len(encode_frame(frame))
        mesh.frames += 1
        delay_s = self.latency_s + mesh.extra_delay_s()
        asyncio.get_running_loop().call_later(delay_s, self.other.deliver, frame)
        return True

    def deliver(self, frame):
        if not self.is_open or self.is_silent or not self.node.is_running:
            return
        if self.node.is_isolated or self.other.node.is_isolated:
            return
        if self.node.is_frozen:
            self.node.held_back.append((self, frame))
            return
        self.node.propagation.handle(self, frame)

    def close(self):
        """Close both ends, as after the end of a process."""
        for end in (self, self.other):
            if end.is_open:
                end.is_open = False
                if end.node.is_running:
                    end.node.propagation.lost(end)


class VirtualNode:
    """One node: its propagation, its store tasks, and its faults."""

    def __init__(self, mesh, node_id, data_centre):
        self.mesh = mesh
        self.node_id = node_id
        self.data_centre = data_centre
        self.incarnation = 0
        self.is_running = self.is_frozen = self.is_isolated = False
        self.troubled_s = 0.0
        self.held_back = []
        self.links = []
        self.tasks = []
        self.versions = []

    def start(self, *, is_first_start=False):
        """Start the process."""
        self.incarnation += 1
        self.is_running = True
        self.started_s = now_s()
        self.record = self._make_record(
            0, BackendRecord(f"i-{self.node_id}", "orders", 4)
        )
        rng = random.Random(f"{self.node_id}/{self.incarnation}/{self.mesh.seed}")
        self.configuration = CurrentConfiguration()
        self.directory = Directory(lambda r: self.propagation.member_changed(r))
        self.propagation = Propagation(
            self.node_id,
            lambda: self.record,
            self.directory,
            self.configuration,
            apply_configuration=lambda encoded: apply_encoded_configuration(
                self.configuration, encoded, decode
            ),
            handle_own_record=lambda record: None,
            connect=lambda member: self._spawn(self._connect(member)),
            schedule_flush=lambda delay_s: asyncio.get_running_loop().call_later(
                delay_s, self._flush, self.incarnation
            ),
            configuration_bound_s=self.mesh.configuration_bound_s,
            rng=rng,
            now_s=now_s,
        )
        store = self.mesh.store.client(self.node_id)
        self.watcher = StoreWatcher(
            store,
            self.configuration,
            self.directory,
            decode,
            self.node_id,
            self.propagation.contact,
            self.propagation.publish,
            lambda: self.update(self.record.backend),
            rng,
        )
        self.writer = OwnRowWriter(store, self.watcher, lambda record: None, rng)
        self.configuration.on_change(lambda c: self.versions.append((now_s(), c)))
        self._spawn(self._run(is_first_start))

    async def _run(self, is_first_start):
        is_created = False
        if is_first_start:
            with contextlib.suppress(StoreError):
                is_created = await self.writer.create(self.record)
            await asyncio.sleep(self.started_s + FIRST_READ_S - now_s())
        self.directory.merge(self.record)
        self._spawn(self.writer.write_published_records())
        self._spawn(self.watcher.follow_configuration())
        self._spawn(self.watcher.poll_members())
        await self.watcher.read_members()
        if not is_created:
            self.update(self.record.backend)
        self.propagation.start(is_first_start=is_created)
        while True:
            await asyncio.sleep(TICK_S)
            if not self.is_frozen:
                self.propagation.tick()

    def update(self, backend):
        """Change and publish the record of this node."""
        self.record = self._make_record(self.record.version + 1, backend)
        self.directory.merge(self.record)
        self.propagation.publish(self.record)
        self.writer.publish(self.record)

    def _make_record(self, version, backend):
        return MemberRecord(
            self.node_id,
            self.incarnation,
            version,
            self.data_centre,
            "10.0.0.1",
            1,
            backend=backend,
        )

    def drain(self):
        """Publish that the backend server leaves."""
        state = MemberState.DRAINING
        self.update(BackendRecord(f"i-{self.node_id}", "orders", 4, state))

    def kill(self):
        """End the process."""
        self.is_running = self.is_frozen = False
        self.held_back.clear()
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        for link in self.links:
            link.close()
        self.links = []
        self.troubled_s = now_s()

    def thaw(self):
        """Continue after a freeze."""
        self.is_frozen = False
        self.troubled_s = now_s()
        held_back, self.held_back = self.held_back, []
        for end, frame in held_back:
            end.deliver(frame)

    def _flush(self, incarnation):
        if self.is_running and incarnation == self.incarnation:
            self.propagation.flush()

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)

    async def _connect(self, member):
        peer = self.mesh.nodes.get(member.node_id)
        if peer is None:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            self.propagation.connected(member.node_id, None)
            return
        latency_s = LOCAL_S if peer.data_centre == self.data_centre else REMOTE_S
        await asyncio.sleep(2 * latency_s)
        if peer.is_frozen or peer.is_isolated or self.is_isolated:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            self.propagation.connected(member.node_id, None)
            return
        if not peer.is_running:
            self.propagation.connected(member.node_id, None)
            return
        own, other = _End(self, latency_s), _End(peer, latency_s)
        own.other, other.other = other, own
        self.links.append(own)
        peer.links.append(other)
        self.propagation.connected(member.node_id, own)


class VirtualMesh:
    """Nodes in several data centres and their store.

    Parameters
    ----------
    count, data_centres : int
        Number of nodes and of data centres.
    seed : int
        Seed of all random choices.
    configuration_bound_s : float
        Bound that the nodes are set up for.

    Attributes
    ----------
    errors : list of str
        Exceptions in callbacks, which would close a connection between real nodes.
    """

    def __init__(self, count, data_centres, seed=1, configuration_bound_s=3.0):
        self.configuration_bound_s = configuration_bound_s
        self.seed = seed
        self.rng = random.Random(seed)
        self.store = VirtualStore()
        self.remote_bytes = self.frames = 0
        self.delayed_share = 0.0
        self.nodes = {}
        for number in range(count):
            node_id = f"n{number}"
            data_centre = f"dc-{number % data_centres}"
            self.nodes[node_id] = VirtualNode(self, node_id, data_centre)
        self.version = 0
        self.errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.errors.append(repr(context.get("exception")))
        )

    def extra_delay_s(self):
        """Return the delay of a frame whose packet was lost."""
        is_lost = self.delayed_share and self.rng.random() < self.delayed_share
        return 0.25 if is_lost else 0.0

    async def start(self, spread_s=0.3):
        """Start all nodes for the first time."""
        self.configure()
        for node in self.nodes.values():
            delay_s = self.rng.random() * spread_s
            asyncio.get_running_loop().call_later(delay_s, self._start_first, node)
        await asyncio.sleep(spread_s)

    def _start_first(self, node):
        node.start(is_first_start=True)

    def configure(self):
        """Write the next configuration, as the operator does."""
        self.version += 1
        self.store.put_row(OPERATOR_TABLE, "config", b"%d" % self.version)
        return self.version

    def restart_later(self, node, delay_s=RESTART_S):
        """Start a killed node again after a delay."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, lambda: node.is_running or node.start())

    def running(self):
        """Return the running nodes."""
        return [n for n in self.nodes.values() if n.is_running]

    def behind(self, version):
        """Return the running nodes that do not have `version` in force."""
        return [n for n in self.running() if n.configuration.version < version]

    def first_nodes(self):
        """Return the nodes that follow the store for their data centre."""
        return [n for n in self.running() if n.propagation.sources.is_first]

    def stored_members(self):
        """Return the number of member rows."""
        return sum(1 for table, _ in self.store.rows if table == MEMBER_TABLE)

    def silence_links(self):
        """Let all open connections go silent; new ones work."""
        for node in self.running():
            for link in node.links:
                link.is_silent = True

    def close(self):
        """End all nodes."""
        for node in self.nodes.values():
            if node.is_running:
                node.kill()
