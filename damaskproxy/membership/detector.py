"""Probes of one member, directly and through others."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.exchange import Caller
from damaskproxy.membership.messages import ProbeReply, ProbeVia, Status
from damaskproxy.membership.records import MemberList
from damaskproxy.model import Member

__all__ = ["Detector"]

HELPER_COUNT = 2
# Members drawn to find helpers in suitable data centres.
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
        Control transport.
    exchange : callable
        Exchanges with a member and returns the id of the node that replied.
    trusted : callable
        Tells whether timeouts of this process say something about its peers.
    on_reply : callable
        Called when another node replied.
    on_suspect : callable
        Called with the member that became suspect.
    rng : random.Random
        Choice of helpers.

    Notes
    -----
    A member becomes suspect only on the word of another node that tried to reach it and
    failed. A node that reaches nobody, for instance because its own packets are lost in
    one direction, hears no such word and therefore suspects nobody.
    """

    def __init__(
        self,
        own_id: str,
        members: MemberList,
        *,
        call: Caller,
        exchange: Callable[[Member], Awaitable[str]],
        trusted: Callable[[], bool],
        on_reply: Callable[[], None],
        on_suspect: Callable[[Member], None],
        rng: random.Random,
    ):
        self._own_id = own_id
        self._members = members
        self._call = call
        self._exchange = exchange
        self._trusted = trusted
        self._on_reply = on_reply
        self._on_suspect = on_suspect
        self._rng = rng

    async def reaches(self, member: Member) -> bool:
        """Tell whether the process of `member` itself replies."""
        try:
            return await self._exchange(member) == member.node_id
        except ControlError:
            return False

    async def probe(self, node_id: str) -> None:
        """Probe a member and mark it suspect if nobody reaches it."""
        entry = self._members.get(node_id)
        if entry is None or not entry.is_live:
            return
        if await self.reaches(entry.member) or not self._trusted():
            return
        answers = await self._ask_helpers(entry.member)
        if not answers or any(answers) or not self._trusted():
            return
        self._suspect(entry.member)

    def _suspect(self, member: Member) -> None:
        entry = self._members.get(member.node_id)
        if entry is None or not entry.is_live or entry.status is Status.SUSPECT:
            return
        if entry.member.order != member.order:
            # Something newer was heard while the probe was under way.
            return
        self._members.put(member, Status.SUSPECT)
        log_event(_log, events.MEMBER_SUSPECT, node_id=member.node_id)
        self._on_suspect(member)

    async def _ask_helpers(self, target: Member) -> list[bool]:
        """Return what the helpers that replied found out."""
        request = ProbeVia(target.node_id, (target.control.host, target.control.port))
        helpers = self.helpers(target)
        return [
            answer
            for answer in await asyncio.gather(
                *(self._ask(helper, request) for helper in helpers)
            )
            if answer is not None
        ]

    async def _ask(self, helper: Member, request: ProbeVia) -> bool | None:
        try:
            reply: ProbeReply = await self._call(helper.control, "ProbeVia", request)
        except ControlError:
            return None
        self._on_reply()
        return reply.reached

    def helpers(self, target: Member) -> list[Member]:
        """Return up to two members that shall probe `target`.

        One is taken from the data centre of the target and one from a data centre that
        is neither the target's nor that of this node, where there are such members. A
        cut between two data centres therefore does not look like a dead member.
        """
        live = self._members.live()
        sample = self._rng.sample(live, min(HELPER_SAMPLE, len(live)))
        usable = [m for m in sample if self._is_helper(m, target)]
        own = self._members.get(self._own_id)
        own_place = own.member.data_centre if own else ""
        place = target.data_centre
        near = [m for m in usable if m.data_centre == place]
        far = [m for m in usable if m.data_centre not in (place, own_place)]
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
