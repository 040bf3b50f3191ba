"""Membership of one node: public interface and tasks."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Sequence

from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.contacts import Contacts, ContactTable
from damaskproxy.membership.detector import Detector
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.exchange import Caller, Exchanger, Extras
from damaskproxy.membership.guard import TICK_S, StallGuard
from damaskproxy.membership.hashing import pollers
from damaskproxy.membership.joining import Joiner
from damaskproxy.membership.messages import Exchange, ProbeReply, ProbeVia, Status
from damaskproxy.membership.neighbours import Neighbours
from damaskproxy.membership.own import OwnRecord
from damaskproxy.membership.records import Entry, MemberList
from damaskproxy.membership.settings import MembershipSettings
from damaskproxy.model import Address, Member, MemberState

__all__ = ["Membership"]

MS_PER_S = 1_000
FORGET_INTERVAL_S = 60.0
LEAVE_ATTEMPTS = 3
LEAVE_PAUSE_S = 0.2

_log = logging.getLogger(__name__)


class Membership:
    """Member list of the mesh as one node knows it.

    Parameters
    ----------
    member : Member
        First record of this node; its incarnation is higher than in earlier lives.
    call : callable
        Control transport ``call(address, method, message) -> reply`` that raises
        `ControlError`.
    settings : MembershipSettings
        Timing, seeds and limits.
    now_s : callable
        Monotonic clock.
    sleep : callable
        Coroutine function that sleeps for some seconds of that clock.
    rng : random.Random
        Source of randomness.
    extras : Extras
        Sections and quarantine records, opaque to membership.
    table : ContactTable, optional
        Table with the contact rows; used by cold nodes and for their sake only.
    wall_s : callable
        Wall clock, to which probes are aligned.

    Notes
    -----
    `handle_exchange` and `handle_probe_via` are the handlers of the control service.
    """

    def __init__(
        self,
        member: Member,
        *,
        call: Caller,
        settings: MembershipSettings,
        now_s: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        rng: random.Random,
        extras: Extras | None = None,
        table: ContactTable | None = None,
        wall_s: Callable[[], float] = time.time,
    ):
        self._settings = settings
        self._now_s = now_s
        self._sleep = sleep
        self._wall_s = wall_s
        self._rng = rng
        self._callbacks: list[Callable[[Member], None]] = []
        self._stop = asyncio.Event()
        self._last_reply_s = now_s()
        self._knew_others = False
        self._was_isolated = False
        self._neighbours = Neighbours(
            settings,
            select=self._select_neighbours,
            probe=lambda node_id: self._detector.probe(node_id),
            push=self._push_to,
            sleep=sleep,
            wall_s=wall_s,
        )
        self._members = MemberList(
            now_s=now_s,
            retention_s=settings.dead_memory_ms / MS_PER_S,
            on_change=self._entry_changed,
        )
        self._own = OwnRecord(member, now_s=now_s, on_change=self._own_changed)
        self._members.put(member, Status.ALIVE)
        self._guard = StallGuard(
            now_s=now_s,
            stall_s=settings.stall_ms / MS_PER_S,
            recovery_s=2 * settings.probe_interval_ms / MS_PER_S,
            on_stall=self._stalled,
        )
        self._exchanger = Exchanger(
            self._own,
            self._members,
            call=call,
            extras=extras or Extras(),
            on_records_changed=self._neighbours.push,
            on_extra_changed=lambda source: self._neighbours.push((), source),
            on_reply=self._replied,
        )
        self._detector = Detector(
            member.node_id,
            self._members,
            call=call,
            exchange=lambda m: self._exchanger.exchange(m.control, m.node_id),
            trusted=self._trusts_timeouts,
            on_reply=self._replied,
            on_suspect=lambda m: self._neighbours.push([m.node_id]),
            rng=rng,
        )
        self._joiner = Joiner(
            settings,
            own=self._own,
            members=self._members,
            exchanger=self._exchanger,
            contacts=Contacts(table, timeout_s=settings.table_timeout_ms / MS_PER_S),
            is_isolated=self.is_isolated,
            sleep=sleep,
            rng=rng,
        )

    # Public interface

    def self_member(self) -> Member:
        """Return the record of this node."""
        return self._own.member

    def update_self(self, **changes) -> None:
        """Change fields of the own record and push it to the neighbours."""
        self._own.update(**changes)

    def member(self, node_id: str) -> Member | None:
        """Return the newest record of a member, also one that died or stopped."""
        entry = self._members.get(node_id)
        return entry.member if entry else None

    def is_live(self, node_id: str) -> bool:
        """Tell whether a member is known and neither dead nor stopped."""
        entry = self._members.get(node_id)
        return entry is not None and entry.is_live

    def status(self, node_id: str) -> Status | None:
        """Return the belief about a member."""
        entry = self._members.get(node_id)
        return entry.status if entry else None

    def serving(self, service: str) -> Sequence[Member]:
        """Return the live members, this node included, that serve a service."""
        return self._members.serving(service)

    def members(self) -> Sequence[Member]:
        """Return the live members, this node included."""
        return self._members.live()

    def neighbours(self) -> Sequence[Member]:
        """Return the successors and links of this node."""
        return [
            entry.member
            for node_id in self._neighbours.ids()
            if (entry := self._members.get(node_id)) is not None
        ]

    def digest(self) -> int:
        """Return a digest of the member list, equal on nodes that believe the same."""
        return self._members.digest

    def pollers(self, data_centre: str, count: int = 2) -> list[str]:
        """Return the ids of the nodes that poll the table for a data centre."""
        return pollers(self._members.live(), data_centre, count)

    def is_isolated(self) -> bool:
        """Tell whether no other member replied for some seconds, having known some.

        Only replies to calls of this node count: requests that still arrive prove one
        direction only.
        """
        silence_s = self._now_s() - self._last_reply_s
        is_silent = silence_s > self._settings.isolated_after_ms / MS_PER_S
        return is_silent and self._knows_others()

    def on_change(self, callback: Callable[[Member], None]) -> None:
        """Have `callback` called with each member that changed, died or revived.

        It is called after the change, so `is_live` tells a death from another change.
        """
        self._callbacks.append(callback)

    def push_extra(self) -> None:
        """Announce a change of sections or quarantine records to the neighbours."""
        self._neighbours.push(())

    async def handle_exchange(self, request: Exchange) -> Exchange:
        """Answer an ``Exchange``."""
        return self._exchanger.handle(request)

    async def handle_probe_via(self, request: ProbeVia) -> ProbeReply:
        """Probe a member for another node.

        Raises
        ------
        ControlError
            If this node cannot tell, because it was stalled or is isolated.
        """
        address = Address(*request.control)
        try:
            replier = await self._exchanger.exchange(address, request.node_id)
        except ControlError:
            if not self._trusts_timeouts():
                raise
            replier = ""
        return ProbeReply(replier == request.node_id)

    async def run(self) -> None:
        """Keep the member list up to date until `leave` or cancellation."""
        self._guard.restart()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._tick_loop(group)),
                group.create_task(self._joiner.join_loop()),
                group.create_task(self._joiner.dead_loop()),
            ]
            try:
                await self._stop.wait()
            finally:
                self._neighbours.stop()
                for task in tasks:
                    task.cancel()

    async def leave(self) -> None:
        """Announce that this node stopped and end `run`.

        Set ``heir`` and ``sealed`` with `update_self` before. The announcement is
        repeated until at least one neighbour has confirmed it, three times at most.
        """
        self.update_self(state=MemberState.STOPPED)
        for attempt in range(LEAVE_ATTEMPTS):
            if attempt:
                await self._sleep(LEAVE_PAUSE_S)
            neighbours = self.neighbours()
            told = await asyncio.gather(*map(self._detector.reaches, neighbours))
            if any(told) or not neighbours:
                break
        log_event(_log, events.LEFT, told=sum(told), neighbours=len(told))
        self._stop.set()

    # Changes

    def _own_changed(self, member: Member) -> None:
        self._members.put(member, Status.ALIVE)
        self._neighbours.push([member.node_id])

    def _knows_others(self) -> bool:
        return len(self._members) - 1 > self._members.stopped_count

    def _entry_changed(self, entry: Entry, old: Entry | None) -> None:
        if not self._knew_others:
            # Nobody could have replied before.
            self._last_reply_s = self._now_s()
            self._knew_others = self._knows_others()
        if old is None or old.is_live != entry.is_live:
            self._neighbours.ring_changed()
        elif old.member is entry.member:
            return
        for callback in self._callbacks:
            try:
                callback(entry.member)
            except Exception:
                log_event(_log, events.CALLBACK_FAILED, exc_info=True)

    def _select_neighbours(self) -> tuple[list[str], list[str]]:
        successors, links = self._members.ring.neighbours(self._own.member.node_id)
        self._exchanger.keep_peers([*successors, *links])
        return successors, links

    # Trust in the own timeouts

    def _trusts_timeouts(self) -> bool:
        return self._guard.trusted() and not self.is_isolated()

    def _stalled(self, gap_s: float) -> None:
        log_event(_log, events.STALLED, gap_s=round(gap_s, 3))
        self._members.restart_suspicions()
        if gap_s > self._settings.suspect_timeout_ms / MS_PER_S:
            self._own.rejoin()

    def _replied(self) -> None:
        if self.is_isolated():
            # The others had time to declare this node dead.
            self._members.restart_suspicions()
            self._own.rejoin()
        self._last_reply_s = self._now_s()

    # Tasks

    async def _tick_loop(self, group: asyncio.TaskGroup) -> None:
        forget_s = self._now_s() + FORGET_INTERVAL_S
        while True:
            self._bury_suspects()
            self._note_isolation()
            self._neighbours.tend(group)
            if self._now_s() >= forget_s:
                self._members.forget()
                forget_s = self._now_s() + FORGET_INTERVAL_S
            # Together with the probes, which start at full seconds.
            await self._sleep(TICK_S - self._wall_s() % TICK_S)

    def _bury_suspects(self) -> None:
        if not self._trusts_timeouts():
            return
        timeout_s = self._settings.suspect_timeout_ms / MS_PER_S
        for member in self._members.declare_dead(self._now_s() - timeout_s):
            # Every node has a timer of its own, so that deaths need not be pushed.
            log_event(_log, events.MEMBER_DEAD, node_id=member.node_id)

    def _note_isolation(self) -> None:
        isolated = self.is_isolated()
        if isolated != self._was_isolated:
            event = events.ISOLATED if isolated else events.REACHABLE_AGAIN
            log_event(_log, event, members=len(self._members))
        self._was_isolated = isolated

    async def _push_to(self, node_id: str, pushed: list[str]) -> None:
        entry = self._members.get(node_id)
        if entry is None:
            return
        try:
            await self._exchanger.exchange(entry.member.control, node_id, push=pushed)
        except ControlError:
            # The probe of this neighbour decides whether it is suspect, and
            # anti-entropy delivers what was lost.
            return
