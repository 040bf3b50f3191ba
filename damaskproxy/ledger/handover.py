"""Hand-over of a ledger to another node, the heir, before a planned stop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from damaskproxy.events import log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.compact import CompactBlock
from damaskproxy.ledger.entries import LedgerEntry
from damaskproxy.ledger.ledger import Ledger
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.ledger.shards import Issuer

__all__ = [
    "Handover",
    "HandoverStep",
    "Heir",
    "HandoverResult",
    "hand_over",
    "receive_handover",
]

logger = logging.getLogger(__name__)

PART_MAX_BYTES = 1 << 20


class HandoverStep(StrEnum):
    """Step of a hand-over."""

    STAGE = "stage"
    ACTIVATE = "activate"


class Handover(msgspec.Struct, frozen=True):
    """Message to an heir.

    Parameters
    ----------
    handover_id : str
        The same in all messages about one shard to one heir.
    node_id, incarnation : str, int
        Issuer of the keys of the shard.
    entries : list of LedgerEntry
        Some of the full records.
    blocks : list of CompactBlock
        Some of the compact records.
    sealed : bool
        Whether the shard is read-only: the heir answers from records and dispatches
        nothing.
    step : HandoverStep
        Whether to stage the entries, which has no effect yet, or to activate the
        shard.
    entry_count : int
        Total number of entries and blocks of the shard, checked at the activation.
    heir_incarnation : int, optional
        Incarnation of the heir that the message is for.
    """

    handover_id: str
    node_id: str
    incarnation: int
    entries: list[LedgerEntry] = []
    sealed: bool = False
    step: HandoverStep = HandoverStep.ACTIVATE
    entry_count: int | None = None
    heir_incarnation: int | None = None
    blocks: list[CompactBlock] = []


@dataclass(frozen=True, slots=True)
class Heir:
    """A node, in one incarnation, that takes over the ledger of a stopping node."""

    node_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HandoverResult:
    """The heir that confirmed, and whether it holds the node's own shard sealed."""

    heir: Heir
    sealed: bool


Send = Callable[[Heir, Handover], Awaitable[bool]]
ChooseHeir = Callable[[frozenset[Heir]], Heir | None]


def receive_handover(ledger: Ledger, message: Handover) -> bool:
    """Apply a message on the heir, and return whether it is accepted."""
    if message.step is HandoverStep.STAGE:
        return ledger.stage(message.handover_id, message.entries, blocks=message.blocks)
    return ledger.take_over(
        message.node_id,
        message.incarnation,
        message.entries,
        message.sealed,
        handover_id=message.handover_id,
        entry_count=message.entry_count,
        heir_incarnation=message.heir_incarnation,
        blocks=message.blocks,
    )


async def hand_over(
    ledger: Ledger,
    own_issuer: Issuer,
    *,
    choose_heir: ChooseHeir,
    send: Send,
    settings: LedgerSettings | None = None,
) -> HandoverResult:
    """Freeze `ledger`, wait for its attempts and hand all its shards to one heir.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the node that stops.
    own_issuer : tuple of str and int
        Node id and incarnation of that node.
    choose_heir : callable
        Returns a candidate that is not among the given ones, or None if there is none.
    send : callable
        Delivers a message and returns whether the heir accepted it. An exception
        means that the heir may have accepted it.
    settings : LedgerSettings
        Size of messages, number of delivery attempts and pauses.

    Returns
    -------
    HandoverResult
        Returned only after the heir has confirmed every shard; until an heir has done
        so, the hand-over is retried.

    Notes
    -----
    An heir whose activation may have succeeded may hold the right to dispatch, so any
    other heir then receives that shard sealed. An heir that fails while entries are
    staged does not hold the right, and the next one receives the shard unsealed.
    """
    settings = settings or LedgerSettings()
    ledger.freeze()
    await ledger.wait_until_idle()
    handover = _HandoverSender(ledger, send, settings)
    tried: set[Heir] = set()
    while True:
        heir = choose_heir(frozenset(tried))
        if heir is None:
            tried.clear()
            await asyncio.sleep(settings.handover_pause_ms / 1000)
            continue
        tried.add(heir)
        if await handover.transfer_all(heir):
            sealed = handover.is_sealed_for(own_issuer, heir)
            log_event(logger, events.HANDED_OVER, heir=heir.node_id, sealed=sealed)
            return HandoverResult(heir, sealed)
        log_event(logger, events.HEIR_LOST, heir=heir.node_id)


class _HandoverSender:
    """Sends shards, and tracks which heir may hold the right to dispatch for each."""

    def __init__(self, ledger: Ledger, send: Send, settings: LedgerSettings):
        self._ledger = ledger
        self._send = send
        self._settings = settings
        self._possible_holder: dict[Issuer, Heir] = {}

    def is_sealed_for(self, issuer: Issuer, heir: Heir) -> bool:
        """Return whether the shard is sealed or another heir may hold its right."""
        is_sealed_here = dict(self._ledger.issuers())[issuer]
        return is_sealed_here or self._possible_holder.get(issuer, heir) != heir

    async def transfer_all(self, heir: Heir) -> bool:
        """Stage all shards, then activate them, and return whether `heir` confirmed."""
        issuers = [issuer for issuer, _ in self._ledger.issuers()]
        for issuer in issuers:
            for message in self._stage_messages(issuer, heir):
                if not await self._deliver(heir, message):
                    return False
        for issuer in issuers:
            if not await self._activate(issuer, heir):
                return False
        return True

    def _stage_messages(self, issuer: Issuer, heir: Heir) -> Iterable[Handover]:
        part_max = self._settings.handover_entries_max
        for part in _split_entries(self._ledger.snapshot(issuer), part_max):
            yield self._message(issuer, heir, HandoverStep.STAGE, entries=part)
        blocks = self._ledger.compact_blocks(issuer)
        for first in range(0, len(blocks), part_max):
            part = blocks[first : first + part_max]
            yield self._message(issuer, heir, HandoverStep.STAGE, blocks=part)

    def _entry_count(self, issuer: Issuer) -> int:
        blocks = self._ledger.compact_blocks(issuer)
        return len(self._ledger.snapshot(issuer)) + len(blocks)

    async def _activate(self, issuer: Issuer, heir: Heir) -> bool:
        message = self._message(
            issuer,
            heir,
            HandoverStep.ACTIVATE,
            entry_count=self._entry_count(issuer),
            sealed=self.is_sealed_for(issuer, heir),
        )
        previous_holder = self._possible_holder.get(issuer)
        if not message.sealed:
            self._possible_holder[issuer] = heir
        replies: list[bool | None] = []
        confirmed = await self._deliver(heir, message, replies)
        if previous_holder is None and not confirmed and None not in replies:
            # Each delivery was refused explicitly, so the heir never held the right.
            self._possible_holder.pop(issuer, None)
        return confirmed

    def _message(
        self, issuer: Issuer, heir: Heir, step: HandoverStep, **fields: object
    ) -> Handover:
        node_id, incarnation = issuer
        handover_id = f"{node_id}/{incarnation}>{heir.node_id}/{heir.incarnation}"
        return Handover(
            handover_id,
            node_id,
            incarnation,
            step=step,
            heir_incarnation=heir.incarnation,
            **fields,
        )

    async def _deliver(
        self, heir: Heir, message: Handover, replies: list[bool | None] | None = None
    ) -> bool:
        replies = [] if replies is None else replies
        for _ in range(self._settings.handover_attempts):
            try:
                accepted = await self._send(heir, message)
            except Exception as error:
                logger.debug("hand-over message to %s failed: %r", heir.node_id, error)
                replies.append(None)
                await asyncio.sleep(self._settings.handover_pause_ms / 1000)
                continue
            replies.append(accepted)
            return accepted
        return False


def _split_entries(
    entries: list[LedgerEntry], entries_max: int
) -> Iterable[list[LedgerEntry]]:
    """Split `entries` into parts of at most 1 MiB, unless one entry is larger."""
    part: list[LedgerEntry] = []
    size_bytes = 0
    for entry in entries:
        full = (
            len(part) >= entries_max or size_bytes + entry.size_bytes > PART_MAX_BYTES
        )
        if part and full:
            yield part
            part, size_bytes = [], 0
        part.append(entry)
        size_bytes += entry.size_bytes
    if part:
        yield part
