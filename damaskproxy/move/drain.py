"""Order and limits in which the nodes of a service drain in a leaving data centre."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from damaskproxy.events import log_event
from damaskproxy.model import DrainLimits, Member, MemberState, Placement
from damaskproxy.move import events
from damaskproxy.move.settings import DrainSettings
from damaskproxy.move.store import SectionStore

__all__ = ["DrainPlanner", "NodeReport"]

logger = logging.getLogger(__name__)

Reports = dict[str, "NodeReport"]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Load of a node, as its control listener describes it.

    Parameters
    ----------
    in_flight : int
        Calls that run on its backend server.
    limit : int
        Current concurrency limit.
    warm : bool
        Whether the backend server has passed its slow start.
    """

    in_flight: int
    limit: int
    warm: bool


def leaving_order(member: Member) -> tuple[str, str]:
    """Sort key of the nodes that leave: one data centre after the other."""
    return (member.data_centre, member.node_id)


class DrainPlanner:
    """Decides when the node beside it starts to drain.

    Parameters
    ----------
    store : SectionStore
        Sections in force.
    self_member : callable
        Current record of this node.
    members : callable
        Records of the nodes of a service in any state, this node's among them; nodes
        that membership has declared dead are left out.
    describe : callable
        Asks a node for its report; None or an exception when it does not answer.
    start_drain : callable
        Starts the graceful shutdown of this node and returns at once.
    sleep : callable
        Pause in seconds.
    settings : DrainSettings
        Times and shares.

    Notes
    -----
    The place in the order decides the turn, not the order in which news arrives. With
    equal member lists at most ``max_draining`` nodes have their turn, even before the
    state ``draining`` of the first is known to the next.
    """

    def __init__(
        self,
        store: SectionStore,
        *,
        self_member: Callable[[], Member],
        members: Callable[[str], Sequence[Member]],
        describe: Callable[[Member], Awaitable[NodeReport | None]],
        start_drain: Callable[[], None],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        settings: DrainSettings | None = None,
    ):
        self._store = store
        self._self_member = self_member
        self._members = members
        self._describe = describe
        self._start_drain = start_drain
        self._sleep = sleep
        self._settings = settings or DrainSettings()
        self._rounds: deque[int] = deque(maxlen=self._settings.window_rounds)
        self._last_work: dict[str, int] = {}
        self._hold = ""

    def hold(self) -> str:
        """Return what holds the leaving of this node, empty when nothing does."""
        return self._hold

    async def run(self) -> None:
        """Decide every round until the drain has started."""
        while not await self.decide():
            await self._sleep(self._settings.report_ms / 1000)

    async def decide(self) -> bool:
        """Run one round; return whether the drain has started."""
        me = self._self_member()
        if not self._must_leave(me):
            self._forget()
            return False
        first = self._first(me)
        hold = self._turn_hold(me, first)
        if hold:
            self._rounds.clear()
        else:
            hold = await self._capacity_hold(me, first)
        # The section or the state may have changed while the reports were awaited.
        if not hold and not self._must_leave(self._self_member()):
            return False
        self._set_hold(hold)
        if hold:
            return False
        log_event(logger, events.DRAIN_STARTED, service=me.service)
        self._start_drain()
        return True

    def _must_leave(self, me: Member) -> bool:
        placement = self._store.placement(me.service, me.data_centre)
        return me.state is MemberState.SERVING and placement == Placement.LEAVING

    def _forget(self) -> None:
        self._rounds.clear()
        self._last_work.clear()
        self._set_hold("")

    def _set_hold(self, hold: str) -> None:
        if hold and hold != self._hold:
            log_event(logger, events.DRAIN_HELD, hold=hold)
        self._hold = hold

    def _pace(self, service: str) -> DrainLimits:
        found = self._store.service(service)
        return found.pace if found else DrainLimits()

    def _is_leaving(self, member: Member) -> bool:
        placement = self._store.placement(member.service, member.data_centre)
        return placement == Placement.LEAVING

    def _first(self, me: Member) -> list[Member]:
        """Return the nodes that drain or leave before this one."""
        return [
            member
            for member in self._members(me.service)
            if member.node_id != me.node_id and self._goes_before(member, me)
        ]

    def _goes_before(self, member: Member, me: Member) -> bool:
        if member.state in (MemberState.DRAINING, MemberState.STOPPED):
            return member.state is MemberState.DRAINING
        earlier = leaving_order(member) < leaving_order(me)
        return earlier and self._is_leaving(member)

    def _turn_hold(self, me: Member, first: Sequence[Member]) -> str:
        """Return which nodes come first, empty when it is this node's turn."""
        allowed = self._pace(me.service).max_draining
        if len(first) < allowed:
            return ""
        last = max(first, key=leaving_order)
        return f"{len(first)} leave first, up to {last.node_id}; {allowed} at once"

    async def _capacity_hold(self, me: Member, first: Sequence[Member]) -> str:
        """Return why the others cannot carry the work, empty when they can.

        Nodes that leave at the same time as this one do not count as others.
        """
        members = [
            member
            for member in self._members(me.service)
            if member.state in (MemberState.SERVING, MemberState.DRAINING)
        ]
        reports = await self._collect(members)
        self._rounds.append(self._work(members, reports))
        settings = self._settings
        if len(self._rounds) < settings.min_rounds:
            return f"{len(self._rounds)} of {settings.min_rounds} rounds of reports"
        gone = {me.node_id, *(member.node_id for member in first)}
        others = [member for member in members if member.node_id not in gone]
        return self._share_hold(me, others, reports) or self._work_hold(others, reports)

    async def _collect(self, members: Sequence[Member]) -> Reports:
        """Return the reports of the nodes that answered."""
        places = asyncio.Semaphore(self._settings.max_concurrent)

        async def ask(member: Member) -> NodeReport | None:
            async with places:
                return await self._describe(member)

        answers = await asyncio.gather(*map(ask, members), return_exceptions=True)
        return {
            member.node_id: answer
            for member, answer in zip(members, answers)
            if isinstance(answer, NodeReport)
        }

    def _work(self, members: Sequence[Member], reports: Reports) -> int:
        """Return the calls that run on all nodes.

        A node without a report counts with its last one, or with all its slots: its
        work comes to the others when it fails.
        """
        for member in members:
            report = reports.get(member.node_id)
            if report is not None:
                self._last_work[member.node_id] = report.in_flight
        return sum(self._last_work.get(m.node_id, m.slots) for m in members)

    def _share_hold(
        self, me: Member, others: Sequence[Member], reports: Reports
    ) -> str:
        """Return why too few of the others are warm, empty when enough are."""
        if all(map(self._is_leaving, others)):
            return "no serving node in a data centre that stays"
        warm = sum(is_warm(reports, member) for member in others)
        share = self._pace(me.service).min_warm_share
        if warm and warm >= share * len(others):
            return ""
        return f"{warm} of {len(others)} other nodes are warm; {share:g} needed"

    def _work_hold(self, others: Sequence[Member], reports: Reports) -> str:
        """Return why the warm capacity does not suffice, empty when it does."""
        capacity = sum(
            min(reports[member.node_id].limit, member.slots)
            for member in others
            if is_warm(reports, member)
        )
        usable = int(capacity * self._settings.max_load_share)
        work = max(self._rounds)
        if work <= usable:
            return ""
        return f"{work} calls in flight; the other warm nodes carry {usable}"


def is_warm(reports: Reports, member: Member) -> bool:
    """Tell whether a node answered and is warm."""
    report = reports.get(member.node_id)
    return report is not None and report.warm
