"""Order and limits of the draining of nodes in a data centre that a service leaves."""

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
    """Load of a node, as reported by its control listener.

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


def drain_order_key(member: Member) -> tuple[str, str]:
    """Sort key of leaving nodes: by data centre, then by node."""
    return (member.data_centre, member.node_id)


class DrainPlanner:
    """Decides when this node starts to drain.

    Parameters
    ----------
    store : SectionStore
        Sections in force.
    self_member : callable
        Current record of this node.
    members : callable
        Records of the nodes of a service in any state, including this node; nodes that
        the membership has declared dead are excluded.
    describe : callable
        Requests the report of a node; None or an exception if it does not reply.
    start_drain : callable
        Starts the graceful shutdown of this node without waiting for its end.
    sleep : callable
        Pause in seconds.
    settings : DrainSettings
        Intervals and capacity limits.

    Notes
    -----
    Nodes drain in the fixed order of `drain_order_key`, which does not depend on the
    order in which updates arrive. Among nodes with equal member lists, at most
    ``max_draining`` drain at the same time, even before the state ``draining`` of one
    has reached the others.
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
        self._last_in_flight: dict[str, int] = {}
        self._hold = ""

    def hold(self) -> str:
        """Return why this node does not drain yet; empty if nothing holds it."""
        return self._hold

    async def run(self) -> None:
        """Run rounds until the drain has started."""
        while not await self.decide():
            await self._sleep(self._settings.report_ms / 1000)

    async def decide(self) -> bool:
        """Run one round; return whether the drain has started."""
        own = self._self_member()
        if not self._must_drain(own):
            self._reset()
            return False
        preceding = self._preceding_members(own)
        hold = self._order_hold(own, preceding)
        if hold:
            self._rounds.clear()
        else:
            hold = await self._load_hold(own, preceding)
        # The section or the state may have changed while waiting for the reports.
        if not hold and not self._must_drain(self._self_member()):
            return False
        self._set_hold(hold)
        if hold:
            return False
        log_event(logger, events.DRAIN_STARTED, service=own.service)
        self._start_drain()
        return True

    def _must_drain(self, own: Member) -> bool:
        placement = self._store.placement(own.service, own.data_centre)
        return own.state is MemberState.SERVING and placement == Placement.LEAVING

    def _reset(self) -> None:
        self._rounds.clear()
        self._last_in_flight.clear()
        self._set_hold("")

    def _set_hold(self, hold: str) -> None:
        if hold and hold != self._hold:
            log_event(logger, events.DRAIN_HELD, hold=hold)
        self._hold = hold

    def _drain_limits(self, service: str) -> DrainLimits:
        found = self._store.service(service)
        return found.pace if found else DrainLimits()

    def _is_leaving(self, member: Member) -> bool:
        placement = self._store.placement(member.service, member.data_centre)
        return placement == Placement.LEAVING

    def _preceding_members(self, own: Member) -> list[Member]:
        """Return the nodes that already drain or that drain before this one."""
        return [
            member
            for member in self._members(own.service)
            if member.node_id != own.node_id and self._precedes(member, own)
        ]

    def _precedes(self, member: Member, own: Member) -> bool:
        if member.state in (MemberState.DRAINING, MemberState.STOPPED):
            return member.state is MemberState.DRAINING
        is_earlier = drain_order_key(member) < drain_order_key(own)
        return is_earlier and self._is_leaving(member)

    def _order_hold(self, own: Member, preceding: Sequence[Member]) -> str:
        """Return which nodes drain before this one; empty if it may drain now."""
        max_draining = self._drain_limits(own.service).max_draining
        if len(preceding) < max_draining:
            return ""
        last_member = max(preceding, key=drain_order_key)
        return (
            f"{len(preceding)} leave first, up to {last_member.node_id}; "
            f"{max_draining} at once"
        )

    async def _load_hold(self, own: Member, preceding: Sequence[Member]) -> str:
        """Return why the other nodes cannot take over the load; empty if they can.

        Nodes that drain before this one or with it do not count as other nodes.
        """
        members = [
            member
            for member in self._members(own.service)
            if member.state in (MemberState.SERVING, MemberState.DRAINING)
        ]
        reports = await self._collect_reports(members)
        self._rounds.append(self._total_in_flight(members, reports))
        settings = self._settings
        if len(self._rounds) < settings.min_rounds:
            return f"{len(self._rounds)} of {settings.min_rounds} rounds of reports"
        excluded = {own.node_id, *(member.node_id for member in preceding)}
        others = [member for member in members if member.node_id not in excluded]
        return self._warm_share_hold(own, others, reports) or self._capacity_hold(
            others, reports
        )

    async def _collect_reports(self, members: Sequence[Member]) -> Reports:
        """Return the reports of the nodes that replied."""
        semaphore = asyncio.Semaphore(self._settings.max_concurrent)

        async def request_report(member: Member) -> NodeReport | None:
            async with semaphore:
                return await self._describe(member)

        results = await asyncio.gather(
            *map(request_report, members), return_exceptions=True
        )
        return {
            member.node_id: result
            for member, result in zip(members, results)
            if isinstance(result, NodeReport)
        }

    def _total_in_flight(self, members: Sequence[Member], reports: Reports) -> int:
        """Return the number of calls in flight on all nodes.

        A node without a report counts with its last report, or else with all its slots,
        because the other nodes take its load if it has failed.
        """
        for member in members:
            report = reports.get(member.node_id)
            if report is not None:
                self._last_in_flight[member.node_id] = report.in_flight
        return sum(self._last_in_flight.get(m.node_id, m.slots) for m in members)

    def _warm_share_hold(
        self, own: Member, others: Sequence[Member], reports: Reports
    ) -> str:
        """Return why too few other nodes are warm; empty if enough are."""
        if all(map(self._is_leaving, others)):
            return "no serving node in a data centre that stays"
        warm = sum(is_warm(reports, member) for member in others)
        required_share = self._drain_limits(own.service).min_warm_share
        if warm and warm >= required_share * len(others):
            return ""
        return (
            f"{warm} of {len(others)} other nodes are warm; {required_share:g} needed"
        )

    def _capacity_hold(self, others: Sequence[Member], reports: Reports) -> str:
        """Return why the warm capacity is too small; empty if it suffices."""
        capacity = sum(
            min(reports[member.node_id].limit, member.slots)
            for member in others
            if is_warm(reports, member)
        )
        usable = int(capacity * self._settings.max_load_share)
        in_flight = max(self._rounds)
        if in_flight <= usable:
            return ""
        return f"{in_flight} calls in flight; the other warm nodes carry {usable}"


def is_warm(reports: Reports, member: Member) -> bool:
    """Tell whether a node has reported that it is warm."""
    report = reports.get(member.node_id)
    return report is not None and report.warm
