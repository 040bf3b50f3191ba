"""Synthetic peers of the measured node.

All peers share one member list and one set of sections. Only the peers that exchange
messages with the measured node have a listener and tasks; the others are only records.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace

from benchmarks.control_subject import SUBJECT_ID, SectionVersions
from damaskproxy.membership import (
    ControlClient,
    ControlError,
    ControlServer,
    MembershipSettings,
    ProbeReply,
    Status,
)
from damaskproxy.membership.exchange import Exchanger
from damaskproxy.membership.neighbours import PushQueue
from damaskproxy.membership.own import OwnRecord
from damaskproxy.membership.records import MemberList
from damaskproxy.membership.ring import Ring
from damaskproxy.model import Address, Member, MemberState

__all__ = ["DATA_CENTRES", "Peers"]

DATA_CENTRES = 6
DATA_CENTRES_PER_REGION = 3
MEMBERS_PER_SERVICE = 9
RETENTION_S = 86_400.0
# Time until an update has been flooded to the neighbours of the measured node.
PROPAGATION_S = (0.05, 0.5)
NETWORK_DELAY_S = (0.0005, 0.01)
TICK_S = 0.25
HANG_S = 60.0
LISTEN_HOST = "127.0.0.1"


def place_of(number: int) -> tuple[str, str]:
    """Return the region and the data centre of a synthetic member."""
    place = number % DATA_CENTRES
    return f"region-{place // DATA_CENTRES_PER_REGION}", f"dc-{place}"


class ActivePeer:
    """Peer with a listener; a predecessor also probes the measured node."""

    def __init__(self, peers: "Peers", member: Member):
        self.data_centre = member.data_centre
        self.own = OwnRecord(member, now_s=peers.now_s, on_change=peers.put)
        self.push_queue = PushQueue()
        self.exchanger = Exchanger(
            self.own,
            peers.members,
            call=peers.client.call,
            extras=peers.sections.extras,
            on_records_changed=lambda node_ids, source: None,
            on_extra_changed=lambda source: None,
            on_reply=lambda: None,
        )
        self.server = ControlServer(
            {"Exchange": self._handle, "ProbeVia": self._probe_via}
        )
        self._peers = peers

    async def _handle(self, request):
        await self._peers.wait_if_partitioned(self.data_centre)
        return self.exchanger.handle(request)

    async def _probe_via(self, request):
        await self._peers.wait_if_partitioned(self.data_centre)
        return ProbeReply(self._peers.is_up(request.node_id))


class Peers:
    """Mesh of synthetic members around one measured node.

    Parameters
    ----------
    count : int
        Members of the mesh, the measured node included.
    section_count : int
        Number of sections.
    seed : int
        Seed of the random choices.
    now_s : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self, count: int, section_count: int, seed: int, now_s: Callable[[], float]
    ):
        self.now_s = now_s
        self.rng = random.Random(seed)
        self.settings = MembershipSettings()
        self.client = ControlClient(self.settings, now_s=now_s)
        self.sections = SectionVersions(section_count)
        self.members = MemberList(now_s=now_s, retention_s=RETENTION_S)
        self.count = count
        self.services = max(1, count // MEMBERS_PER_SERVICE)
        self.numbers = iter(range(count - 1, 1 << 30))
        self.partitioned: set[str] = set()
        self.crashed: set[str] = set()
        self.failed: set[str] = set()
        self.active_peers: dict[str, ActivePeer] = {}
        self.tasks: list[asyncio.Task] = []
        self._data_centre_peers: dict[str, ActivePeer] = {}

    # Set-up

    async def start(self) -> Address:
        """Start the listeners and return the address of the seed peer."""
        numbers = range(self.count - 1)
        for place in range(DATA_CENTRES):
            peer = ActivePeer(self, self._member(place))
            address = await peer.server.start(Address(LISTEN_HOST, 0))
            peer.own.member = replace(peer.own.member, control=address)
            self._data_centre_peers[peer.data_centre] = peer
            self.active_peers[peer.own.member.node_id] = peer
        for number in numbers:
            self.members.put(self._member(number), Status.ALIVE)
        for node_id in self._neighbours_in_any_phase():
            await self._start_peer(node_id)
        return self._data_centre_peers["dc-0"].own.member.control

    def _member(self, number: int) -> Member:
        region, data_centre = place_of(number)
        low, high = number % 250, number // 250
        control = Address("0.0.0.0", 0)
        if data_centre in self._data_centre_peers:
            control = self._data_centre_peers[data_centre].own.member.control
        return Member(
            f"vm-{number:05}.{data_centre}",
            1,
            0,
            region,
            data_centre,
            Address(f"10.{number % DATA_CENTRES}.{high}.{low}", 7001),
            control,
            Address(f"172.{number % DATA_CENTRES}.{high}.{low}", 7003),
            MemberState.SERVING,
            f"service-{number % self.services}",
            70,
        )

    def _neighbours_in_any_phase(self) -> set[str]:
        """Return the neighbours that the measured node has in any phase."""
        places = [place_of(place) for place in range(DATA_CENTRES)]
        remote = {data_centre for region, data_centre in places if region != "region-0"}
        found: set[str] = set()
        for lost in (set(), {"dc-5"}, remote):
            ring = Ring()
            for member in self.members.live():
                if member.data_centre not in lost:
                    ring.add(member.node_id)
            successors, links = ring.neighbours(SUBJECT_ID)
            found.update(successors, links)
        return found

    async def _start_peer(self, node_id: str) -> None:
        if node_id in self.active_peers:
            return
        active_peer = ActivePeer(self, self.members.get(node_id).member)
        address = await active_peer.server.start(Address(LISTEN_HOST, 0))
        active_peer.own.member = replace(active_peer.own.member, control=address)
        self.put(active_peer.own.member)
        self.active_peers[node_id] = active_peer

    async def start_predecessors(self) -> None:
        """Start the peers that have the measured node as a neighbour."""
        for member in self.members.live():
            successors, links = self.members.ring.neighbours(member.node_id)
            if SUBJECT_ID in successors:
                interval_ms = self.settings.probe_interval_ms
            elif SUBJECT_ID in links:
                interval_ms = self.settings.link_interval_ms
            else:
                continue
            await self._start_peer(member.node_id)
            active_peer = self.active_peers[member.node_id]
            self.tasks += [
                asyncio.create_task(self._probe(active_peer, interval_ms / 1_000)),
                asyncio.create_task(self._push(active_peer)),
            ]
        self.tasks.append(asyncio.create_task(self._tick()))
        self.predecessors = [
            active_peer
            for active_peer in self.active_peers.values()
            if SUBJECT_ID in sum(self.members.ring.neighbours(_id(active_peer)), [])
        ]

    async def stop(self) -> None:
        """Stop all tasks and listeners."""
        for task in self.tasks:
            task.cancel()
        await self.client.close()
        for active_peer in self.active_peers.values():
            await active_peer.server.stop()

    # Behaviour of the peers

    async def wait_if_partitioned(self, data_centre: str) -> None:
        """Delay a request beyond its timeout if its data centre is partitioned."""
        if data_centre in self.partitioned:
            await asyncio.sleep(HANG_S)

    def is_up(self, node_id: str) -> bool:
        """Return whether a member replies to the probes of other members."""
        entry = self.members.get(node_id)
        if entry is None or node_id in self.failed:
            return False
        return entry.member.data_centre not in self.partitioned | self.crashed

    async def _probe(self, active_peer: ActivePeer, interval_s: float) -> None:
        """Probe at multiples of the interval on the wall clock, as nodes do."""
        delay_s = self.rng.uniform(*NETWORK_DELAY_S)
        offset_s = self.rng.randrange(round(interval_s)) if interval_s > 1 else 0
        while True:
            wall_s = time.time() - offset_s - delay_s
            await asyncio.sleep(interval_s - wall_s % interval_s)
            await self._call(active_peer, [])

    async def _push(self, active_peer: ActivePeer) -> None:
        while True:
            await active_peer.push_queue.wait()
            await self._call(active_peer, active_peer.push_queue.take())
            await asyncio.sleep(self.settings.push_interval_ms / 1_000)

    async def _call(self, active_peer: ActivePeer, pushed: list[str]) -> None:
        if active_peer.data_centre in self.partitioned | self.crashed:
            return
        subject = self.members.get(SUBJECT_ID).member
        try:
            await active_peer.exchanger.exchange(
                subject.control, SUBJECT_ID, push=pushed
            )
        except ControlError:
            return

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            timeout_s = self.settings.suspect_timeout_ms / 1_000
            self.members.declare_dead(self.now_s() - timeout_s)

    # Events

    def put(self, member: Member, status: Status = Status.ALIVE) -> None:
        """Change a record in the list of all peers."""
        self.members.put(member, status)

    def propagate(self, node_ids: list[str]) -> None:
        """Push records, or only new section versions, from each predecessor."""
        loop = asyncio.get_running_loop()
        for active_peer in self.predecessors:
            delay_s = self.rng.uniform(*PROPAGATION_S)
            loop.call_later(delay_s, active_peer.push_queue.add, node_ids)

    def change(self, node_id: str, **changes) -> None:
        """Change fields of a member and propagate its record."""
        member = self.members.get(node_id).member
        changes.setdefault("version", member.version + 1)
        self.put(replace(member, **changes))
        self.propagate([node_id])

    def rejoin(self, node_id: str) -> None:
        """Raise the incarnation of a member and propagate its record."""
        if node_id in self.active_peers:
            self.active_peers[node_id].own.rejoin()
            self.propagate([node_id])
        else:
            incarnation = self.members.get(node_id).member.incarnation + 1
            self.change(node_id, incarnation=incarnation, version=0)

    def suspect(self, node_id: str, claim: Status = Status.SUSPECT) -> None:
        """Mark a member as suspect and propagate its record."""
        entry = self.members.get(node_id)
        self.members.put(entry.member, Status.SUSPECT, claim=claim)
        self.propagate([node_id])

    def any_member(self) -> str:
        """Return a live member without a listener."""
        while True:
            member = self.rng.choice(self.members.live())
            if member.node_id not in self.active_peers and member.node_id != SUBJECT_ID:
                return member.node_id

    def add_member(self) -> str:
        """Add a member that does not become a neighbour of the measured node."""
        before = self.members.ring.neighbours(SUBJECT_ID)
        while True:
            member = self._member(next(self.numbers))
            self.members.ring.add(member.node_id)
            after = self.members.ring.neighbours(SUBJECT_ID)
            self.members.ring.remove(member.node_id)
            if after == before:
                break
        starting = replace(member, state=MemberState.STARTING, service="")
        self.put(starting)
        self.propagate([member.node_id])
        return member.node_id


def _id(active_peer: ActivePeer) -> str:
    return active_peer.own.member.node_id
