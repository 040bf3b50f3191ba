"""Records of a node's own ledger and of the ledgers it inherited."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.ledger.compact import CompactRecord, CompactRecords
from damaskproxy.ledger.entries import LedgerEntry
from damaskproxy.ledger.keys import IssuedKey
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.wire.messages import Headers

__all__ = ["Attempt", "Book", "Books", "Issuer", "Record", "entry_of"]

Issuer = tuple[str, int]
# Bounds the time that one sweep holds the event loop, about 10 us per record.
SWEEP_MAX = 2000


@dataclass(slots=True, eq=False)
class Attempt:
    """A dispatch that runs, and the number of callers that wait for it."""

    task: asyncio.Task | None = None
    waiters: int = 0


@dataclass(slots=True, eq=False)
class Record:
    """State of one key; the outcome of a running attempt is unknown."""

    fingerprint: bytes
    expiry_s: int
    tokens_left: int
    outcome: Outcome = Outcome.UNKNOWN
    completed_s: float = 0.0
    status: int = 0
    headers: Headers | None = None
    body: bytes | None = None
    reason: RefusalReason | None = None
    written: bool = False
    attempt: Attempt | None = None

    @property
    def size_bytes(self) -> int:
        """Approximate size of the headers and the body."""
        headers = sum(len(name) + len(value) for name, value in self.headers or ())
        return headers + len(self.body or b"")


def entry_of(key: str, record: Record) -> LedgerEntry:
    """Return `record` in the form that travels."""
    return LedgerEntry(
        key,
        record.fingerprint,
        record.outcome,
        record.completed_s,
        record.tokens_left,
        record.status,
        record.headers or [],
        record.body,
        record.reason,
    )


@dataclass(slots=True, eq=False)
class Book:
    """Records of one issuer.

    Parameters
    ----------
    issuer : tuple of str and int
        Node and incarnation that issued the keys.
    sealed : bool
        Whether only records are answered and nothing is dispatched.
    frozen : bool
        Whether the book is on its way to an heir.
    """

    issuer: Issuer
    sealed: bool = False
    frozen: bool = False
    records: dict[int, Record] = field(default_factory=dict)
    compact: CompactRecords = field(default_factory=CompactRecords)


class Books:
    """All books of a node, with retention and bounds.

    Parameters
    ----------
    now_s, wall_s : callable
        Monotonic and Unix time in seconds.
    settings : LedgerSettings
        Retention and bounds.

    Notes
    -----
    A record is full from its first dispatch until 15 min after completion, then
    compact until its key has expired. Full records become compact earlier when their
    number or the bytes of their answers reach a bound.
    """

    def __init__(
        self,
        *,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        settings: LedgerSettings,
    ):
        self._now_s = now_s
        self._wall_s = wall_s
        self._settings = settings
        self._books: dict[Issuer, Book] = {}
        self._completed: deque[_Completed] = deque()
        self._dropped_to_s = 0
        self.body_bytes = 0
        self.count = 0

    def __iter__(self) -> Iterator[Book]:
        return iter(self._books.values())

    def get(self, issuer: Issuer) -> Book | None:
        """Return the book of `issuer`, None when it is not held here."""
        return self._books.get(issuer)

    def open(self, issuer: Issuer, *, sealed: bool) -> Book:
        """Return the book of `issuer`, which is created when missing.

        Notes
        -----
        The right to dispatch leaves the previous holder before it is offered, so a
        sealed book that receives an unsealed hand-over becomes the only unsealed one.
        """
        book = self._books.get(issuer)
        if book is None:
            book = self._books[issuer] = Book(issuer, sealed)
        book.sealed = book.sealed and sealed
        return book

    def compact_blocks(self) -> int:
        """Return the number of blocks of compact records."""
        return sum(len(book.compact) for book in self._books.values())

    def has_room(self) -> bool:
        """Tell whether a new key fits, after compacting old records if need be."""
        while self.count >= self._settings.entries_max:
            if not self._compact_oldest():
                return False
        return True

    def is_expired(self, issued: IssuedKey) -> bool:
        """Tell whether the key is too old, or its record may have been dropped.

        The second case matters when the wall clock is set back after a sweep.
        """
        return issued.expiry_s <= max(self._wall_s(), self._dropped_to_s)

    def find(self, book: Book, issued: IssuedKey) -> Record | None:
        """Return the record of a key; a compact one in its full form."""
        record = book.records.get(issued.serial)
        if record is not None:
            return record
        compact = book.compact.get(issued.serial)
        if compact is None:
            return None
        return Record(
            compact.fingerprint,
            issued.expiry_s,
            compact.tokens_left,
            compact.outcome,
            status=compact.status,
        )

    def add(self, book: Book, serial: int, record: Record) -> None:
        """Keep a full record."""
        if serial in book.records:
            return
        book.compact.remove(serial)
        book.records[serial] = record
        self.count += 1

    def complete(self, book: Book, serial: int, record: Record) -> None:
        """Account for the answer of a record and start its retention."""
        self.body_bytes += record.size_bytes
        due_s = self._now_s() + self._settings.body_retention_ms / 1000
        self._completed.append(
            _Completed(due_s, book, serial, record, record.completed_s)
        )
        while self.body_bytes > self._settings.bodies_max_bytes:
            if not self._compact_oldest():
                return

    def sweep(self) -> None:
        """Drop what retention no longer covers."""
        now_s = self._now_s()
        for _ in range(min(len(self._completed), SWEEP_MAX)):
            if self._completed[0].due_s > now_s:
                break
            self._sweep_one(self._completed.popleft(), now_s)
        limit_s = self._wall_s() - self._settings.clock_margin_ms / 1000
        for book in self._books.values():
            dropped_to_s = book.compact.drop_expired(limit_s)
            self._dropped_to_s = max(self._dropped_to_s, dropped_to_s)

    def _sweep_one(self, completed: "_Completed", now_s: float) -> None:
        record = completed.record
        awaited = record.body is not None and not record.written
        if awaited and record.expiry_s > self._wall_s():
            retry_s = now_s + self._settings.flush_interval_ms / 1000
            self._completed.append(replace(completed, due_s=retry_s))
        elif not self._compact(completed):
            self._completed.append(replace(completed, due_s=now_s))

    def _compact_oldest(self) -> bool:
        for _ in range(len(self._completed)):
            completed = self._completed.popleft()
            if not completed.is_current():
                continue
            if self._compact(completed):
                return True
            self._completed.append(completed)
        return False

    def _compact(self, completed: "_Completed") -> bool:
        """Make a record compact, and tell whether there was room."""
        if not completed.is_current():
            return True
        book, serial, record = completed.book, completed.serial, completed.record
        blocks_left = self._settings.compact_blocks_max - self.compact_blocks()
        if not book.compact.has_room(serial, blocks_left):
            return False
        compact = CompactRecord(
            record.fingerprint, record.outcome, record.status, record.tokens_left
        )
        book.compact.put(serial, record.expiry_s, compact)
        self.body_bytes -= record.size_bytes
        del book.records[serial]
        self.count -= 1
        return True

    def merge(self, book: Book, issued: IssuedKey, entry: LedgerEntry) -> None:
        """Add an inherited entry unless the record here tells more."""
        known = self.find(book, issued)
        if known is not None and _knows_more(known, entry):
            return
        if known is None:
            record = Record(entry.fingerprint, issued.expiry_s, entry.tokens_left)
        else:
            record = known
            record.tokens_left = min(record.tokens_left, entry.tokens_left)
        self.add(book, issued.serial, record)
        record.outcome = entry.outcome
        record.completed_s = entry.completed_s
        record.status = entry.status
        record.reason = entry.reason
        if entry.body is not None:
            record.headers, record.body = entry.headers, entry.body
        self.complete(book, issued.serial, record)


@dataclass(frozen=True, slots=True)
class _Completed:
    """A record in the order of completion."""

    due_s: float
    book: Book
    serial: int
    record: Record
    completed_s: float

    def is_current(self) -> bool:
        """Tell whether the record has neither been compacted nor dispatched since."""
        record = self.record
        return (
            self.book.records.get(self.serial) is record
            and record.attempt is None
            and record.completed_s == self.completed_s
        )


def _knows_more(known: Record, entry: LedgerEntry) -> bool:
    if known.attempt is not None or known.outcome is Outcome.RUN:
        return True
    return known.outcome is Outcome.UNKNOWN and entry.outcome is not Outcome.RUN
