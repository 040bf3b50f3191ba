"""Failure detector: probes of a member, direct and through other nodes."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.exchange import ControlCall
from damaskproxy.membership.messages import ProbeReply, ProbeVia, Status
from damaskproxy.membership.records import MemberList
from damaskproxy.model import Member

__all__ = ["Detector"]

HELPER_COUNT = 2
# Members sampled to find helpers in suitable data centres.
HELPER_SAMPLE = 12


class Detector:
    """Decides whether a member is suspect.

    Parameters
    ----------
    own_id : str
        Id of this node.
    members : MemberList
        Member list.
    call : callable
        Calls a method of the control service.
    exchange : callable
        Sends an ``Exchange`` to a member and returns the id of the node that replied.
    trusts_timeouts : callable
        Returns whether a timeout seen by this process is evidence about a peer.
    on_reply : callable
        Called for each reply of another node.
    on_suspect : callable
        Called with each member that becomes suspect.
    rng : random.Random
        Selects the helpers.

    Notes
    -----
    A member becomes suspect only if at least one helper reports a failed probe and none
    reports a successful one. A node that can reach no other node, for instance because
    its packets are lost in one direction, gets no such report and suspects nobody.
    """

    def __init__(
        self,
        own_id: str,
        members: MemberList,
        *,
        call: ControlCall,
        exchange: Callable[[Member], Awaitable[str]],
        trusts_timeouts: Callable[[], bool],
        on_reply: Callable[[], None],
        on_suspect: Callable[[Member], None],
        rng: random.Random,
    ):
        self._own_id = own_id
        self._members = members
        self._call = call
        self._exchange = exchange
        self._trusts_timeouts = trusts_timeouts
        self._on_reply = on_reply
        self._on_suspect = on_suspect
        self._rng = rng

    async def reaches(self, member: Member) -> bool:
        """Return whether `member` itself replies, not another node at its address."""
        try:
            return await self._exchange(member) == member.node_id
        except ControlError:
            return False

    async def probe(self, node_id: str) -> None:
        """Probe a member; mark it suspect if this node and all helpers fail."""
        entry = self._members.get(node_id)
        if entry is None or not entry.is_live:
            return
        if await self.reaches(entry.member) or not self._trusts_timeouts():
            return
        results = await self._probe_via_helpers(entry.member)
        if not results or any(results) or not self._trusts_timeouts():
            return
        self._suspect(entry.member)

    def _suspect(self, member: Member) -> None:
        entry = self._members.get(member.node_id)
        if entry is None or not entry.is_live or entry.status is Status.SUSPECT:
            return
        if entry.member.order != member.order:
            # A newer record arrived during the probe.
            return
        self._members.put(member, Status.SUSPECT)
        log_event(_log, events.MEMBER_SUSPECT, node_id=member.node_id)
        self._on_suspect(member)

    async def _probe_via_helpers(self, target: Member) -> list[bool]:
        """Return the probe results of the helpers that replied."""
        request = ProbeVia(target.node_id, (target.control.host, target.control.port))
        helpers = self.helpers(target)
        return [
            result
            for result in await asyncio.gather(
                *(self._probe_via(helper, request) for helper in helpers)
            )
            if result is not None
        ]

    async def _probe_via(self, helper: Member, request: ProbeVia) -> bool | None:
        try:
            reply: ProbeReply = await self._call(helper.control, "ProbeVia", request)
        except ControlError:
            return None
        self._on_reply()
        return reply.reached

    def helpers(self, target: Member) -> list[Member]:
        """Return up to two members to probe `target` for this node.

        Where possible, one is in the data centre of the target and one in a third data
        centre, neither the target's nor that of this node. A network partition between
        two data centres is then not mistaken for a dead member.
        """
        live = self._members.live()
        sample = self._rng.sample(live, min(HELPER_SAMPLE, len(live)))
        usable = [m for m in sample if self._is_helper(m, target)]
        own = self._members.get(self._own_id)
        own_data_centre = own.member.data_centre if own else ""
        target_data_centre = target.data_centre
        near = [m for m in usable if m.data_centre == target_data_centre]
        far = [
            m
            for m in usable
            if m.data_centre not in (target_data_centre, own_data_centre)
        ]
        chosen = near[:1] + far[:1]
        rest = [m for m in usable if m not in chosen]
        return (chosen + rest)[:HELPER_COUNT]

    def _is_helper(self, member: Member, target: Member) -> bool:
        entry = self._members.get(member.node_id)
        return (
            member.node_id not in (self._own_id, target.node_id)
            and entry is not None
            and entry.status is Status.ALIVE
        )


_log = logging.getLogger(__name__)
