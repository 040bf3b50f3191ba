"""Ledgers that other nodes hand over to this one."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from damaskproxy.events import log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.books import Books, Issuer
from damaskproxy.ledger.compact import CompactBlock
from damaskproxy.ledger.entries import LedgerEntry
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.settings import LedgerSettings

__all__ = ["Inheritance"]

logger = logging.getLogger(__name__)

STAGED_MAX = 16
DONE_MAX = 1000


@dataclass(slots=True)
class _Staged:
    entries: dict[str, LedgerEntry] = field(default_factory=dict)
    blocks: dict[int, CompactBlock] = field(default_factory=dict)


class Inheritance:
    """Staged and completed hand-overs to this node.

    Parameters
    ----------
    books : Books
        Receives the entries.
    key_ring : KeyRing
        Verifies the keys of the entries.
    incarnation : int
        This node's incarnation.
    on_outcome : callable
        Receives the inherited answers, which the previous holder may not have written.
    settings : LedgerSettings
        Bounds; inherited records may fill the memory up to twice their bounds.
    """

    def __init__(
        self,
        books: Books,
        key_ring: KeyRing,
        *,
        incarnation: int,
        settings: LedgerSettings,
        on_outcome: Callable[[LedgerEntry], None],
    ):
        self._books = books
        self._key_ring = key_ring
        self._incarnation = incarnation
        self._on_outcome = on_outcome
        self._entries_max = 2 * settings.entries_max
        self._blocks_max = 2 * settings.compact_blocks_max
        self._staged: dict[str, _Staged] = {}
        self._done: dict[str, None] = {}

    def is_done(self, handover_id: str) -> bool:
        """Tell whether the hand-over was adopted by this incarnation."""
        return bool(handover_id) and handover_id in self._done

    def stage(
        self,
        handover_id: str,
        entries: Sequence[LedgerEntry],
        blocks: Sequence[CompactBlock] = (),
    ) -> bool:
        """Keep a part of a hand-over; repeated parts change nothing."""
        staged = self._staged.setdefault(handover_id, _Staged())
        staged.entries.update((entry.key, entry) for entry in entries)
        staged.blocks.update((block.number, block) for block in blocks)
        entry_count = self._books.count + len(staged.entries)
        block_count = self._books.compact_blocks() + len(staged.blocks)
        if entry_count > self._entries_max or block_count > self._blocks_max:
            del self._staged[handover_id]
            return self._refuse(handover_id, "no room for the entries")
        while len(self._staged) > STAGED_MAX:
            # An abandoned hand-over; its sender starts again when it is refused.
            del self._staged[next(iter(self._staged))]
        return True

    def adopt(
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
        """Activate a hand-over, and tell whether it is accepted.

        Parameters
        ----------
        issuer : tuple of str and int
            Node and incarnation that issued the keys.
        entries : sequence of LedgerEntry
            The entries, or the last part of them after `stage`.
        sealed : bool
            Whether nothing may be dispatched for these keys.
        handover_id : str
            The same in each message of one hand-over.
        entry_count : int, optional
            Entries and blocks in all parts; the hand-over is refused when some are
            missing.
        heir_incarnation : int, optional
            Incarnation of this node that the sender means. A message that reaches a
            later incarnation is refused: its entries are older than what the earlier
            incarnation has dispatched.
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
        parsed = {key: self._key_ring.parse_any_age(key) for key in staged.entries}
        if not all(_belongs(issued, issuer) for issued in parsed.values()):
            return self._refuse(handover_id, "an entry has a key of another issuer")
        book = self._books.open(issuer, sealed=sealed)
        book.compact.merge(staged.blocks.values())
        for key, entry in staged.entries.items():
            self._books.merge(book, parsed[key], entry)
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
        self._done[handover_id] = None
        if len(self._done) > DONE_MAX:
            del self._done[next(iter(self._done))]

    def _refuse(self, handover_id: str, cause: str) -> bool:
        log_event(logger, events.ADOPTION_REFUSED, handover=handover_id, cause=cause)
        return False


def _belongs(issued: object, issuer: Issuer) -> bool:
    return isinstance(issued, IssuedKey) and issued.issuer == issuer
