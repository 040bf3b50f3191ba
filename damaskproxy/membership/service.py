"""Membership of one node: public interface and background tasks."""

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
from damaskproxy.membership.exchange import ControlCall, Exchanger, Extras
from damaskproxy.membership.guard import TICK_S, StallGuard
from damaskproxy.membership.joining import Joiner
from damaskproxy.membership.messages import Exchange, ProbeReply, ProbeVia, Status
from damaskproxy.membership.neighbours import Neighbours
from damaskproxy.membership.own import OwnRecord
from damaskproxy.membership.pollers import pollers
from damaskproxy.membership.records import Entry, MemberList
from damaskproxy.membership.settings import MembershipSettings
from damaskproxy.model import Address, Member, MemberState

__all__ = ["Membership"]

MS_PER_S = 1_000
CLEANUP_INTERVAL_S = 60.0
LEAVE_ATTEMPTS = 3
LEAVE_PAUSE_S = 0.2

_log = logging.getLogger(__name__)


class Membership:
    """Member list of the mesh as one node knows it.

    Parameters
    ----------
    member : Member
        Initial record of this node; its incarnation is higher than those of earlier
        processes of the node.
    call : callable
        Calls a method of the control service; ``call(address, method, message)``
        returns the reply or raises `ControlError`.
    settings : MembershipSettings
        Timing, seeds and limits.
    now_s : callable
        Monotonic clock.
    sleep : callable
        Coroutine function that sleeps for a number of seconds of that clock.
    rng : random.Random
        Source of randomness.
    extras : Extras
        Sections and quarantine records, opaque to membership.
    table : ContactTable, optional
        Table with the contact rows, which are used only to join the mesh.
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
        call: ControlCall,
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
            on_stall=self._handle_stall,
        )
        self._exchanger = Exchanger(
            self._own,
            self._members,
            call=call,
            extras=extras or Extras(),
            on_records_changed=self._neighbours.push,
            on_extra_changed=lambda source: self._neighbours.push((), source),
            on_reply=self._handle_reply,
        )
        self._detector = Detector(
            member.node_id,
            self._members,
            call=call,
            exchange=lambda m: self._exchanger.exchange(m.control, m.node_id),
            trusts_timeouts=self._trusts_timeouts,
            on_reply=self._handle_reply,
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
        """Change fields of this node's record and push it to the neighbours."""
        self._own.update(**changes)

    def member(self, node_id: str) -> Member | None:
        """Return the newest record of a member, which may be dead or stopped."""
        entry = self._members.get(node_id)
        return entry.member if entry else None

    def is_live(self, node_id: str) -> bool:
        """Return whether a member is known and neither dead nor stopped."""
        entry = self._members.get(node_id)
        return entry is not None and entry.is_live

    def status(self, node_id: str) -> Status | None:
        """Return the status of a member as known to this node."""
        entry = self._members.get(node_id)
        return entry.status if entry else None

    def serving(self, service: str) -> Sequence[Member]:
        """Return the live members, this node included, that serve a service."""
        return self._members.serving(service)

    def members(self) -> Sequence[Member]:
        """Return the live members, this node included."""
        return self._members.live()

    def neighbours(self) -> Sequence[Member]:
        """Return the successors and long-distance links of this node."""
        return [
            entry.member
            for node_id in self._neighbours.ids()
            if (entry := self._members.get(node_id)) is not None
        ]

    def digest(self) -> int:
        """Return a digest of the member list, equal on nodes with equal lists."""
        return self._members.digest

    def pollers(self, data_centre: str, count: int = 2) -> list[str]:
        """Return the ids of the nodes that poll the table for a data centre."""
        return pollers(self._members.live(), data_centre, count)

    def is_isolated(self) -> bool:
        """Return whether other members are known but none has replied for some seconds.

        Only replies to calls of this node count, since a request that arrives shows
        only that one direction of the network works.
        """
        since_reply_s = self._now_s() - self._last_reply_s
        is_unanswered = since_reply_s > self._settings.isolated_after_ms / MS_PER_S
        return is_unanswered and self._knows_others()

    def on_change(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each member that changed, was declared dead or rejoined.

        It is called after the change, so that `is_live` gives the new state.
        """
        self._callbacks.append(callback)

    def push_extra(self) -> None:
        """Push a change of sections or quarantine records to the neighbours."""
        self._neighbours.push(())

    async def handle_exchange(self, request: Exchange) -> Exchange:
        """Handle an ``Exchange`` of another node."""
        return self._exchanger.handle(request)

    async def handle_probe_via(self, request: ProbeVia) -> ProbeReply:
        """Probe a member on behalf of another node.

        Raises
        ------
        ControlError
            If the probe failed while this node was stalled or is isolated, which says
            nothing about the member.
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
                group.create_task(self._joiner.reconnect_loop()),
            ]
            try:
                await self._stop.wait()
            finally:
                self._neighbours.stop()
                for task in tasks:
                    task.cancel()

    async def leave(self) -> None:
        """Announce that this node has stopped, and end `run`.

        Set ``heir`` and ``sealed`` with `update_self` before. The announcement is sent
        up to three times, until at least one neighbour has confirmed it.
        """
        self.update_self(state=MemberState.STOPPED)
        for attempt in range(LEAVE_ATTEMPTS):
            if attempt:
                await self._sleep(LEAVE_PAUSE_S)
            neighbours = self.neighbours()
            confirmed = await asyncio.gather(*map(self._detector.reaches, neighbours))
            if any(confirmed) or not neighbours:
                break
        log_event(_log, events.LEFT, told=sum(confirmed), neighbours=len(confirmed))
        self._stop.set()

    # Changes

    def _own_changed(self, member: Member) -> None:
        self._members.put(member, Status.ALIVE)
        self._neighbours.push([member.node_id])

    def _knows_others(self) -> bool:
        return len(self._members) - 1 > self._members.stopped_count

    def _entry_changed(self, entry: Entry, old: Entry | None) -> None:
        if not self._knew_others:
            # There was no other member to reply before.
            self._last_reply_s = self._now_s()
            self._knew_others = self._knows_others()
        if old is None or old.is_live != entry.is_live:
            self._neighbours.invalidate()
        elif old.member is entry.member:
            return
        for callback in self._callbacks:
            try:
                callback(entry.member)
            except Exception:
                log_event(_log, events.CALLBACK_FAILED, exc_info=True)

    def _select_neighbours(self) -> tuple[list[str], list[str]]:
        successors, links = self._members.ring.neighbours(self._own.member.node_id)
        self._exchanger.retain_peers([*successors, *links])
        return successors, links

    # Stalls and isolation

    def _trusts_timeouts(self) -> bool:
        return self._guard.trusted() and not self.is_isolated()

    def _handle_stall(self, gap_s: float) -> None:
        log_event(_log, events.STALLED, gap_s=round(gap_s, 3))
        self._members.restart_suspicion_timers()
        if gap_s > self._settings.suspect_timeout_ms / MS_PER_S:
            self._own.rejoin()

    def _handle_reply(self) -> None:
        if self.is_isolated():
            # Other nodes may have declared this one dead in the meantime.
            self._members.restart_suspicion_timers()
            self._own.rejoin()
        self._last_reply_s = self._now_s()

    # Tasks

    async def _tick_loop(self, group: asyncio.TaskGroup) -> None:
        next_cleanup_s = self._now_s() + CLEANUP_INTERVAL_S
        while True:
            self._declare_dead()
            self._log_isolation()
            self._neighbours.update_tasks(group)
            if self._now_s() >= next_cleanup_s:
                self._members.remove_expired()
                next_cleanup_s = self._now_s() + CLEANUP_INTERVAL_S
            # Wake together with the probes, which start at full seconds.
            await self._sleep(TICK_S - self._wall_s() % TICK_S)

    def _declare_dead(self) -> None:
        if not self._trusts_timeouts():
            return
        timeout_s = self._settings.suspect_timeout_ms / MS_PER_S
        for member in self._members.declare_dead(self._now_s() - timeout_s):
            # Every node has its own timer, so the change need not be pushed.
            log_event(_log, events.MEMBER_DEAD, node_id=member.node_id)

    def _log_isolation(self) -> None:
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
            # The probe task decides whether this neighbour is suspect, and anti-entropy
            # delivers the lost updates.
            return
