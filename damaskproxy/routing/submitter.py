"""Brings non-idempotent calls to the ledger node of their key."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.ledger import IssuedKey, KeyRing, Ledger, PinnedKeys
from damaskproxy.ledger.keys import KEY_PREFIX
from damaskproxy.membership import Membership
from damaskproxy.model import Member, MemberState
from damaskproxy.routing.dispatcher import Dispatcher
from damaskproxy.routing.errors import PeerError
from damaskproxy.routing.peer_stream import PeerStreams, StreamLostError
from damaskproxy.routing.results import refused
from damaskproxy.wire import Answer, Call, Purpose, Refused

__all__ = ["FindHeir", "Submitter"]

MS_PER_S = 1000
FORWARD_ATTEMPTS = 2
RETRY_AFTER_MS = 1000

FindHeir = Callable[[str, int], Awaitable[str]]


class Submitter:
    """First step of each call: dispatch it, or bring it to its ledger.

    Parameters
    ----------
    dispatcher : Dispatcher
        Runs calls on backend servers.
    ledger : Ledger
        Ledgers that this node holds.
    key_ring : KeyRing
        Verifies keys.
    pins : PinnedKeys
        Keys that callers chose.
    membership : Membership
        Finds ledger nodes.
    streams : PeerStreams
        Streams to them.
    find_heir : callable
        Returns the node that took over the ledger of a node and incarnation, as far
        as the table knows; an empty string if there is none.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        ledger: Ledger,
        key_ring: KeyRing,
        pins: PinnedKeys,
        membership: Membership,
        streams: PeerStreams,
        find_heir: FindHeir,
        now_s: Callable[[], float],
    ):
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._key_ring = key_ring
        self._pins = pins
        self._membership = membership
        self._streams = streams
        self._find_heir = find_heir
        self._now_s = now_s

    async def submit(self, call: Call) -> Answer | Refused:
        """Run a call that a caller or the local backend server sent to this node."""
        if call.idempotent:
            return await self._dispatcher.send(call)
        deadline_s = self._now_s() + call.deadline_ms / MS_PER_S
        issued = await self._issued_key(call)
        if isinstance(issued, Refusal):
            return refused(call, issued, tokens_left=call.retry_tokens)
        call = msgspec.structs.replace(
            call, key=issued.text, deadline_ms=self._left_ms(deadline_s)
        )
        if self._holds(issued.issuer):
            return await self._ledger.submit(call, self._dispatcher.send)
        holder = await self._holder(issued)
        if holder is None:
            return await self._ledger.submit(call, self._dispatcher.send)
        return await self._forward(holder, call, deadline_s)

    async def submit_locally(self, call: Call) -> Answer | Refused:
        """Run a call that an entry node brought to this node's ledger."""
        return await self._ledger.submit(call, self._dispatcher.send)

    def _holds(self, issuer: tuple[str, int]) -> bool:
        return any(held == issuer for held, _ in self._ledger.issuers())

    async def _issued_key(self, call: Call) -> IssuedKey | Refusal:
        if call.key.startswith(KEY_PREFIX):
            return self._key_ring.parse(call.key)
        return await self._pins.resolve(call.service, call.key)

    async def _holder(self, issued: IssuedKey) -> Member | None:
        """Return the member that holds the ledger of a key, or None if it is lost."""
        member = self._membership.member(issued.node_id)
        if member is None or member.incarnation != issued.incarnation:
            heir_id = await self._find_heir(issued.node_id, issued.incarnation)
            # Without heir it may be the same process under a raised incarnation; a
            # later process answers from the table.
            return self._live(heir_id or issued.node_id)
        if member.state is MemberState.STOPPED:
            return self._live(member.heir)
        return self._live(member.node_id)

    def _live(self, node_id: str) -> Member | None:
        member = self._membership.member(node_id) if node_id else None
        if member is None or member.state is MemberState.STOPPED:
            return None
        return member

    async def _forward(
        self, holder: Member, call: Call, deadline_s: float
    ) -> Answer | Refused:
        """Bring `call` to `holder`; a repeated submission joins the first there."""
        error: Exception | None = None
        for _ in range(FORWARD_ATTEMPTS):
            left_ms = self._left_ms(deadline_s)
            submission = msgspec.structs.replace(
                call, purpose=Purpose.SUBMIT, deadline_ms=left_ms
            )
            try:
                async with asyncio.timeout(left_ms / MS_PER_S):
                    return await self._streams.call(holder, submission)
            except TimeoutError:
                return _unknown(
                    call, RefusalReason.DEADLINE_PASSED, "no answer in time"
                )
            except StreamLostError as lost:
                error = lost
            except PeerError as failed:
                return _unknown(call, RefusalReason.LEDGER_UNREACHABLE, str(failed))
        return _unknown(call, RefusalReason.LEDGER_UNREACHABLE, str(error))

    def _left_ms(self, deadline_s: float) -> int:
        return max(0, int((deadline_s - self._now_s()) * MS_PER_S))


def _unknown(call: Call, reason: RefusalReason, detail: str) -> Refused:
    refusal = Refusal(reason, Outcome.UNKNOWN, RETRY_AFTER_MS, detail)
    return refused(call, refusal)
