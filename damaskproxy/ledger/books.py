"""Records of a node's own ledger and of the ledgers it inherited."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.ledger.entries import LedgerEntry
from damaskproxy.ledger.keys import IssuedKey
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.wire.messages import Headers

__all__ = ["Attempt", "Book", "Books", "Issuer", "Record", "entry_of"]

Issuer = tuple[str, int]
EXPIRY_BUCKET_S = 60


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


class Books:
    """All books of a node, with retention and bounds.

    Parameters
    ----------
    now_s, wall_s : callable
        Monotonic and Unix time in seconds.
    settings : LedgerSettings
        Retention and bounds.
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
        self._by_expiry: dict[int, list[tuple[Issuer, int]]] = {}
        self._bodies: deque[tuple[float, Record]] = deque()
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

    def is_full(self) -> bool:
        """Tell whether there is no room for a record of a new key."""
        return self.count >= self._settings.entries_max

    def is_expired(self, issued: IssuedKey) -> bool:
        """Tell whether the key is too old, or its record may have been dropped.

        The second case matters when the wall clock is set back after a sweep.
        """
        return issued.expiry_s <= max(self._wall_s(), self._dropped_to_s)

    def add(self, book: Book, serial: int, record: Record) -> None:
        """Insert the record of a new key."""
        book.records[serial] = record
        bucket = record.expiry_s // EXPIRY_BUCKET_S
        self._by_expiry.setdefault(bucket, []).append((book.issuer, serial))
        self.count += 1

    def keep_body(self, record: Record) -> None:
        """Account for an answer and start its retention."""
        self.body_bytes += record.size_bytes
        due_s = self._now_s() + self._settings.body_retention_ms / 1000
        self._bodies.append((due_s, record))
        while self.body_bytes > self._settings.bodies_max_bytes:
            self._drop_body(self._bodies.popleft()[1])

    def sweep(self) -> None:
        """Drop bodies and records whose retention has passed."""
        self._sweep_bodies()
        self._sweep_records()

    def _sweep_bodies(self) -> None:
        now_s = self._now_s()
        for _ in range(len(self._bodies)):
            due_s, record = self._bodies[0]
            if due_s > now_s:
                return
            self._bodies.popleft()
            if record.written:
                self._drop_body(record)
            else:
                retry_s = now_s + self._settings.flush_interval_ms / 1000
                self._bodies.append((retry_s, record))

    def _drop_body(self, record: Record) -> None:
        self.body_bytes -= record.size_bytes
        record.headers = record.body = None

    def _sweep_records(self) -> None:
        limit_s = self._wall_s() - self._settings.clock_margin_ms / 1000
        last_bucket = int(limit_s // EXPIRY_BUCKET_S) - 1
        for bucket in sorted(b for b in self._by_expiry if b <= last_bucket):
            for issuer, serial in self._by_expiry.pop(bucket):
                self._drop_record(self._books[issuer], serial, bucket)

    def _drop_record(self, book: Book, serial: int, bucket: int) -> None:
        record = book.records[serial]
        if record.attempt is not None:
            self._by_expiry.setdefault(bucket + 1, []).append((book.issuer, serial))
            return
        del book.records[serial]
        self.count -= 1
        self._dropped_to_s = max(self._dropped_to_s, record.expiry_s)

    def merge(self, book: Book, issued: IssuedKey, entry: LedgerEntry) -> None:
        """Add an inherited entry unless the record here tells more."""
        known = book.records.get(issued.serial)
        if known is not None and _knows_more(known, entry):
            return
        if known is None:
            record = Record(entry.fingerprint, issued.expiry_s, entry.tokens_left)
            self.add(book, issued.serial, record)
        else:
            record = known
            record.tokens_left = min(record.tokens_left, entry.tokens_left)
        record.outcome = entry.outcome
        record.completed_s = entry.completed_s
        record.status = entry.status
        record.reason = entry.reason
        if entry.body is not None:
            record.headers, record.body = entry.headers, entry.body
            self.keep_body(record)


def _knows_more(known: Record, entry: LedgerEntry) -> bool:
    if known.attempt is not None or known.outcome is Outcome.RUN:
        return True
    return known.outcome is Outcome.UNKNOWN and entry.outcome is not Outcome.RUN
