"""Records of the keys of this node and of nodes that handed over to it."""

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

__all__ = ["Attempt", "Issuer", "Record", "Shard", "Shards", "entry_of"]

Issuer = tuple[str, int]
# Limits how long a sweep blocks the event loop, at about 10 us per record.
SWEEP_MAX = 2000


@dataclass(slots=True, eq=False)
class Attempt:
    """A running attempt, and the number of submissions that wait for it."""

    task: asyncio.Task | None = None
    waiters: int = 0


@dataclass(slots=True, eq=False)
class Record:
    """Record of one key; its outcome is unknown while an attempt is running."""

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
    """Return `record` in the form that is sent and stored."""
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
class Shard:
    """Records of the keys of one issuer.

    Parameters
    ----------
    issuer : tuple of str and int
        Node and incarnation that issued the keys.
    sealed : bool
        Whether the shard is read-only: submissions are answered from records and
        nothing is dispatched.
    frozen : bool
        Whether the shard is being handed over to an heir.
    """

    issuer: Issuer
    sealed: bool = False
    frozen: bool = False
    records: dict[int, Record] = field(default_factory=dict)
    compact: CompactRecords = field(default_factory=CompactRecords)


class Shards:
    """All shards of a node, with retention and size limits.

    Parameters
    ----------
    now_s, wall_s : callable
        Monotonic and Unix time in seconds.
    settings : LedgerSettings
        Retention and bounds.

    Notes
    -----
    A record is full from its first dispatch until the end of ``body_retention_ms``
    after completion, then compact until its key has expired. Full records are compacted
    earlier if their number or the size of their responses reaches a limit.
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
        self._shards: dict[Issuer, Shard] = {}
        self._completed: deque[_Completed] = deque()
        self._dropped_expiry_s = 0
        self.body_bytes = 0
        self.count = 0

    def __iter__(self) -> Iterator[Shard]:
        return iter(self._shards.values())

    def get(self, issuer: Issuer) -> Shard | None:
        """Return the shard of `issuer`, or None if it is not held here."""
        return self._shards.get(issuer)

    def open(self, issuer: Issuer, *, sealed: bool) -> Shard:
        """Return the shard of `issuer`, which is created if missing.

        Notes
        -----
        The previous holder gives up the right to dispatch before it offers it to this
        node, so a sealed shard that is handed over again unsealed becomes the only
        unsealed one.
        """
        shard = self._shards.get(issuer)
        if shard is None:
            shard = self._shards[issuer] = Shard(issuer, sealed)
        shard.sealed = shard.sealed and sealed
        return shard

    def compact_blocks(self) -> int:
        """Return the number of blocks of compact records."""
        return sum(len(shard.compact) for shard in self._shards.values())

    def has_room(self) -> bool:
        """Return whether a new key fits, after compacting old records if necessary."""
        while self.count >= self._settings.entries_max:
            if not self._compact_oldest():
                return False
        return True

    def is_expired(self, issued: IssuedKey) -> bool:
        """Return whether the key has expired, or its record may have been dropped.

        The second case occurs if the wall clock is set back after a sweep.
        """
        return issued.expiry_s <= max(self._wall_s(), self._dropped_expiry_s)

    def find(self, shard: Shard, issued: IssuedKey) -> Record | None:
        """Return the record of a key, expanded if it is compact."""
        record = shard.records.get(issued.serial)
        if record is not None:
            return record
        compact = shard.compact.get(issued.serial)
        if compact is None:
            return None
        return Record(
            compact.fingerprint,
            issued.expiry_s,
            compact.tokens_left,
            compact.outcome,
            status=compact.status,
        )

    def add(self, shard: Shard, serial: int, record: Record) -> None:
        """Store a full record."""
        if serial in shard.records:
            return
        shard.compact.remove(serial)
        shard.records[serial] = record
        self.count += 1

    def complete(self, shard: Shard, serial: int, record: Record) -> None:
        """Add the size of the response to the total and start its retention."""
        self.body_bytes += record.size_bytes
        due_s = self._now_s() + self._settings.body_retention_ms / 1000
        self._completed.append(
            _Completed(due_s, shard, serial, record, record.completed_s)
        )
        while self.body_bytes > self._settings.bodies_max_bytes:
            if not self._compact_oldest():
                return

    def sweep(self) -> None:
        """Compact records and drop expired keys according to the retention."""
        now_s = self._now_s()
        for _ in range(min(len(self._completed), SWEEP_MAX)):
            if self._completed[0].due_s > now_s:
                break
            self._sweep_one(self._completed.popleft(), now_s)
        limit_s = self._wall_s() - self._settings.clock_margin_ms / 1000
        for shard in self._shards.values():
            dropped_expiry_s = shard.compact.drop_expired(limit_s)
            self._dropped_expiry_s = max(self._dropped_expiry_s, dropped_expiry_s)

    def _sweep_one(self, completed: "_Completed", now_s: float) -> None:
        record = completed.record
        is_unwritten = record.body is not None and not record.written
        if is_unwritten and record.expiry_s > self._wall_s():
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
        """Compact a record, and return whether there was room."""
        if not completed.is_current():
            return True
        shard, serial, record = completed.shard, completed.serial, completed.record
        blocks_left = self._settings.compact_blocks_max - self.compact_blocks()
        if not shard.compact.has_room(serial, blocks_left):
            return False
        compact = CompactRecord(
            record.fingerprint, record.outcome, record.status, record.tokens_left
        )
        shard.compact.put(serial, record.expiry_s, compact)
        self.body_bytes -= record.size_bytes
        del shard.records[serial]
        self.count -= 1
        return True

    def merge(self, shard: Shard, issued: IssuedKey, entry: LedgerEntry) -> None:
        """Add an entry that was handed over, unless the record here supersedes it."""
        existing = self.find(shard, issued)
        if existing is not None and _supersedes(existing, entry):
            return
        if existing is None:
            record = Record(entry.fingerprint, issued.expiry_s, entry.tokens_left)
        else:
            record = existing
            record.tokens_left = min(record.tokens_left, entry.tokens_left)
        self.add(shard, issued.serial, record)
        record.outcome = entry.outcome
        record.completed_s = entry.completed_s
        record.status = entry.status
        record.reason = entry.reason
        if entry.body is not None:
            record.headers, record.body = entry.headers, entry.body
        self.complete(shard, issued.serial, record)


@dataclass(frozen=True, slots=True)
class _Completed:
    """Entry of the queue of completed records."""

    due_s: float
    shard: Shard
    serial: int
    record: Record
    completed_s: float

    def is_current(self) -> bool:
        """Return whether the record was neither compacted nor dispatched since."""
        record = self.record
        return (
            self.shard.records.get(self.serial) is record
            and record.attempt is None
            and record.completed_s == self.completed_s
        )


def _supersedes(existing: Record, entry: LedgerEntry) -> bool:
    if existing.attempt is not None or existing.outcome is Outcome.RUN:
        return True
    return existing.outcome is Outcome.UNKNOWN and entry.outcome is not Outcome.RUN
