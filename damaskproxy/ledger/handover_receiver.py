"""Receipt of ledger shards that other nodes hand over to this one."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from damaskproxy.events import log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.compact import CompactBlock
from damaskproxy.ledger.entries import LedgerEntry
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.ledger.shards import Issuer, Shards

__all__ = ["HandoverReceiver"]

logger = logging.getLogger(__name__)

STAGED_MAX = 16
COMPLETED_MAX = 1000


@dataclass(slots=True)
class _Staged:
    entries: dict[str, LedgerEntry] = field(default_factory=dict)
    blocks: dict[int, CompactBlock] = field(default_factory=dict)


class HandoverReceiver:
    """Staged and completed hand-overs to this node.

    Parameters
    ----------
    shards : Shards
        Shards of this node, which receive the entries.
    key_ring : KeyRing
        Verifies the keys of the entries.
    incarnation : int
        Incarnation of this node.
    on_outcome : callable
        Receives the entries with responses, which the previous holder may not have
        written to the table.
    settings : LedgerSettings
        Size limits; hand-overs are accepted up to twice these limits.
    """

    def __init__(
        self,
        shards: Shards,
        key_ring: KeyRing,
        *,
        incarnation: int,
        settings: LedgerSettings,
        on_outcome: Callable[[LedgerEntry], None],
    ):
        self._shards = shards
        self._key_ring = key_ring
        self._incarnation = incarnation
        self._on_outcome = on_outcome
        self._entries_max = 2 * settings.entries_max
        self._blocks_max = 2 * settings.compact_blocks_max
        self._staged: dict[str, _Staged] = {}
        self._completed_ids: dict[str, None] = {}

    def is_completed(self, handover_id: str) -> bool:
        """Return whether this incarnation has already applied the hand-over."""
        return bool(handover_id) and handover_id in self._completed_ids

    def stage(
        self,
        handover_id: str,
        entries: Sequence[LedgerEntry],
        blocks: Sequence[CompactBlock] = (),
    ) -> bool:
        """Store a part of a hand-over; a part that is received again has no effect."""
        staged = self._staged.setdefault(handover_id, _Staged())
        staged.entries.update((entry.key, entry) for entry in entries)
        staged.blocks.update((block.number, block) for block in blocks)
        entry_count = self._shards.count + len(staged.entries)
        block_count = self._shards.compact_blocks() + len(staged.blocks)
        if entry_count > self._entries_max or block_count > self._blocks_max:
            del self._staged[handover_id]
            return self._refuse(handover_id, "no room for the entries")
        while len(self._staged) > STAGED_MAX:
            # Evict the oldest; if its sender is still active, its activation is refused
            # and it starts again.
            del self._staged[next(iter(self._staged))]
        return True

    def take_over(
        self,
        issuer: Issuer,
        entries: Sequence[LedgerEntry],
        sealed: bool,
        *,
        handover_id: str,
        entry_count: int | None = None,
        heir_incarnation: int | None = None,
        blocks: Sequence[CompactBlock] = (),
    ) -> bool:
        """Activate a hand-over, and return whether it is accepted.

        Parameters
        ----------
        issuer : tuple of str and int
            Node and incarnation that issued the keys.
        entries : sequence of LedgerEntry
            The entries, or the last part of them after `stage`.
        sealed : bool
            Whether the shard is read-only: nothing may be dispatched for its keys.
        handover_id : str
            The same in each message of one hand-over.
        entry_count : int, optional
            Number of entries and blocks in all parts; the hand-over is refused if any
            are missing.
        heir_incarnation : int, optional
            Incarnation of this node that the message is for. A later incarnation
            refuses it, because the earlier one may have dispatched attempts that its
            entries do not contain.
        blocks : sequence of CompactBlock
            The compact records, or the last part of them.
        """
        if heir_incarnation not in (None, self._incarnation):
            return self._refuse(handover_id, "meant for another incarnation")
        if not self.stage(handover_id, entries, blocks):
            return False
        staged = self._staged[handover_id]
        if entry_count not in (None, len(staged.entries) + len(staged.blocks)):
            return self._refuse(handover_id, "some entries are missing")
        parsed = {
            key: self._key_ring.parse_ignoring_expiry(key) for key in staged.entries
        }
        if not all(_belongs(issued, issuer) for issued in parsed.values()):
            return self._refuse(handover_id, "an entry has a key of another issuer")
        shard = self._shards.open(issuer, sealed=sealed)
        shard.compact.merge(staged.blocks.values())
        for key, entry in staged.entries.items():
            self._shards.merge(shard, parsed[key], entry)
            if entry.body is not None:
                self._on_outcome(entry)
        self._complete(handover_id)
        log_event(
            logger,
            events.ADOPTED,
            node=issuer[0],
            incarnation=issuer[1],
            entries=len(staged.entries),
            blocks=len(staged.blocks),
            sealed=sealed,
        )
        return True

    def _complete(self, handover_id: str) -> None:
        del self._staged[handover_id]
        if not handover_id:
            return
        self._completed_ids[handover_id] = None
        if len(self._completed_ids) > COMPLETED_MAX:
            del self._completed_ids[next(iter(self._completed_ids))]

    def _refuse(self, handover_id: str, cause: str) -> bool:
        log_event(logger, events.ADOPTION_REFUSED, handover=handover_id, cause=cause)
        return False


def _belongs(issued: object, issuer: Issuer) -> bool:
    return isinstance(issued, IssuedKey) and issued.issuer == issuer
