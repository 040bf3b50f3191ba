"""Handlers and client calls of the control service for hand-over and status."""

from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.ledger import Handover, Heir, Ledger, receive_handover
from damaskproxy.membership import (
    ControlClient,
    ControlError,
    Describe,
    DescribeReply,
    Handover as HandoverMessage,
    HandoverReply,
    Membership,
)
from damaskproxy.model import Member
from damaskproxy.move import NodeReport, SectionStore
from damaskproxy.routing import BackendExecutor, Target

__all__ = [
    "make_describe_handler",
    "make_describer",
    "make_handover_handler",
    "make_handover_sender",
]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Handover)


def make_handover_handler(ledger: Ledger, membership: Membership, incarnation: int):
    """Return the handler that takes over the ledgers of other nodes.

    Notes
    -----
    The membership increments the incarnation of a node that was falsely declared dead,
    while its ledger keeps the incarnation of the start. A hand-over addressed to either
    of them is for this process.
    """

    async def handle(message: HandoverMessage) -> HandoverReply:
        try:
            handover = _decoder.decode(message.entries)
        except msgspec.MsgspecError as error:
            raise ControlError(f"malformed hand-over: {error}") from error
        if handover.heir_incarnation == membership.self_member().incarnation:
            handover = msgspec.structs.replace(handover, heir_incarnation=incarnation)
        return HandoverReply(receive_handover(ledger, handover))

    return handle


def make_handover_sender(
    client: ControlClient, membership: Membership
) -> Callable[[Heir, Handover], Awaitable[bool]]:
    """Return the function that sends part of a ledger to an heir."""

    async def send(heir: Heir, handover: Handover) -> bool:
        member = membership.member(heir.node_id)
        if member is None or member.incarnation != heir.incarnation:
            raise ControlError(f"{heir.node_id} is no longer a member or has restarted")
        message = HandoverMessage(
            handover.handover_id,
            handover.node_id,
            handover.incarnation,
            _encoder.encode(handover),
            handover.sealed,
        )
        reply = await client.call(member.control, "Handover", message)
        return reply.accepted

    return send


def make_describe_handler(
    membership: Membership,
    executor: BackendExecutor,
    target: Target,
    sections: SectionStore,
):
    """Return the handler that replies with load and section versions."""

    async def handle(_message: Describe) -> DescribeReply:
        admission = target.admission
        load = admission.load() if admission else None
        return DescribeReply(
            membership.self_member().state,
            target.in_flight,
            load.limit if load else 0,
            load.latency_ms if load else 0.0,
            executor.is_warm,
            sections.versions(),
        )

    return handle


def make_describer(
    client: ControlClient,
) -> Callable[[Member], Awaitable[NodeReport | None]]:
    """Return the function that requests the load of a node, None if it fails."""

    async def describe(member: Member) -> NodeReport | None:
        try:
            reply = await client.call(member.control, "Describe", Describe())
        except ControlError:
            return None
        return NodeReport(reply.in_flight, reply.limit, reply.warm)

    return describe
