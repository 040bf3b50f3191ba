"""Submission of non-idempotent calls to the ledger node of their key."""

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
from damaskproxy.routing.results import refused_frame
from damaskproxy.wire import Answer, Call, Purpose, Refused

__all__ = ["FindHeir", "Submitter"]

MS_PER_S = 1000
FORWARD_ATTEMPTS = 2
RETRY_AFTER_MS = 1000

FindHeir = Callable[[str, int], Awaitable[str]]


class Submitter:
    """Dispatches idempotent calls and submits the others to their ledger node.

    Parameters
    ----------
    dispatcher : Dispatcher
        Runs calls on backend servers.
    ledger : Ledger
        Ledgers that this node holds.
    key_ring : KeyRing
        Verifies issued idempotency keys.
    pinned_keys : PinnedKeys
        Resolves keys that callers chose to issued keys.
    membership : Membership
        Provides the member records of ledger nodes.
    streams : PeerStreams
        Streams to ledger nodes.
    find_heir : callable
        Returns the id of the node that took over the ledger of a node and incarnation
        according to the table, an empty string if the table has none.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        ledger: Ledger,
        key_ring: KeyRing,
        pinned_keys: PinnedKeys,
        membership: Membership,
        streams: PeerStreams,
        find_heir: FindHeir,
        now_s: Callable[[], float],
    ):
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._key_ring = key_ring
        self._pinned_keys = pinned_keys
        self._membership = membership
        self._streams = streams
        self._find_heir = find_heir
        self._now_s = now_s

    async def submit(self, call: Call) -> Answer | Refused:
        """Run a call that was received from a caller or the local backend server."""
        if call.idempotent:
            return await self._dispatcher.send(call)
        deadline_s = self._now_s() + call.deadline_ms / MS_PER_S
        issued = await self._issued_key(call)
        if isinstance(issued, Refusal):
            return refused_frame(call, issued, tokens_left=call.retry_tokens)
        call = msgspec.structs.replace(
            call, key=issued.text, deadline_ms=self._remaining_ms(deadline_s)
        )
        if self._holds_ledger_of(issued.issuer):
            return await self._ledger.submit(call, self._dispatcher.send)
        holder = await self._ledger_holder(issued)
        if holder is None:
            return await self._ledger.submit(call, self._dispatcher.send)
        return await self._forward(holder, call, deadline_s)

    async def submit_locally(self, call: Call) -> Answer | Refused:
        """Run a call that an entry node submitted to a ledger of this node."""
        return await self._ledger.submit(call, self._dispatcher.send)

    def _holds_ledger_of(self, issuer: tuple[str, int]) -> bool:
        return any(held_issuer == issuer for held_issuer, _ in self._ledger.issuers())

    async def _issued_key(self, call: Call) -> IssuedKey | Refusal:
        if call.key.startswith(KEY_PREFIX):
            return self._key_ring.parse(call.key)
        return await self._pinned_keys.resolve(call.service, call.key)

    async def _ledger_holder(self, issued: IssuedKey) -> Member | None:
        """Return the member that holds the ledger of a key, None if there is none."""
        member = self._membership.member(issued.node_id)
        if member is None or member.incarnation != issued.incarnation:
            heir_id = await self._find_heir(issued.node_id, issued.incarnation)
            # Without an heir, the node may be the same process with an incremented
            # incarnation; a later process reads the recorded outcome from the table.
            return self._live_member(heir_id or issued.node_id)
        if member.state is MemberState.STOPPED:
            return self._live_member(member.heir)
        return self._live_member(member.node_id)

    def _live_member(self, node_id: str) -> Member | None:
        member = self._membership.member(node_id) if node_id else None
        if member is None or member.state is MemberState.STOPPED:
            return None
        return member

    async def _forward(
        self, holder: Member, call: Call, deadline_s: float
    ) -> Answer | Refused:
        """Submit `call` to `holder`, which merges a retransmitted submission."""
        error: Exception | None = None
        for _ in range(FORWARD_ATTEMPTS):
            remaining_ms = self._remaining_ms(deadline_s)
            submission = msgspec.structs.replace(
                call, purpose=Purpose.SUBMIT, deadline_ms=remaining_ms
            )
            try:
                async with asyncio.timeout(remaining_ms / MS_PER_S):
                    return await self._streams.call(holder, submission)
            except TimeoutError:
                return _outcome_unknown(
                    call,
                    RefusalReason.DEADLINE_PASSED,
                    "no answer in time",
                )
            except StreamLostError as lost:
                error = lost
            except PeerError as failed:
                return _outcome_unknown(
                    call, RefusalReason.LEDGER_UNREACHABLE, str(failed)
                )
        return _outcome_unknown(call, RefusalReason.LEDGER_UNREACHABLE, str(error))

    def _remaining_ms(self, deadline_s: float) -> int:
        return max(0, int((deadline_s - self._now_s()) * MS_PER_S))


def _outcome_unknown(call: Call, reason: RefusalReason, detail: str) -> Refused:
    refusal = Refusal(reason, Outcome.UNKNOWN, RETRY_AFTER_MS, detail)
    return refused_frame(call, refusal)
