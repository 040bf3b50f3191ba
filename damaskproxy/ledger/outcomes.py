"""Asynchronous writes of recorded responses to the table."""

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.events import log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.entries import LedgerEntry
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.ledger.tables import (
    Table,
    TableErrors,
    platform_errors,
    versions_of,
)

__all__ = ["OutcomeUnavailable", "OutcomeWriter"]

logger = logging.getLogger(__name__)

COMMIT_ATTEMPTS = 3
BACKOFF_MAX = 10
READ_CACHE_S = 5.0
READ_CACHE_ROWS_MAX = 64
COMMIT_MAX_BYTES = 1 << 20

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[LedgerEntry])

Bucket = dict[int, LedgerEntry]
_Pending = tuple[IssuedKey, LedgerEntry]


class OutcomeUnavailable(DamaskError):
    """The outcome of a key cannot be read from the table."""


class OutcomeWriter:
    """Writes responses to the table in batches, and reads those of other nodes.

    Parameters
    ----------
    table : Table
        Stores responses in rows ``outcome/<node>/<incarnation>/<bucket>``; a response
        that is too large for its bucket has a separate row ``.../<bucket>/<serial>``.
    key_ring : KeyRing
        Parses the keys of entries.
    now_s : callable
        Monotonic clock in seconds.
    rng : random.Random
        Source of jitter, which spreads the writes of many nodes.
    settings : LedgerSettings
        Intervals and bounds.
    on_written : callable
        Receives each key whose response has been written to the table.
    errors : TableErrors, optional
        Exceptions of `table`; those of the platform by default.

    Notes
    -----
    There is one commit per interval at all times, even with a backlog after an outage,
    so the load on the table does not depend on the length of the outage. Entries are
    merged into rows by serial number, so a write can be retried after a lost response.
    """

    def __init__(
        self,
        table: Table,
        key_ring: KeyRing,
        *,
        now_s: Callable[[], float],
        rng: random.Random,
        settings: LedgerSettings | None = None,
        on_written: Callable[[str], None] = lambda key: None,
        errors: TableErrors | None = None,
    ):
        self._table = table
        self._key_ring = key_ring
        self._now_s = now_s
        self._rng = rng
        self._settings = settings or LedgerSettings()
        self._timeout_s = self._settings.table_timeout_ms / 1000
        self._on_written = on_written
        self._errors = errors or platform_errors()
        self._pending: OrderedDict[str, _Pending] = OrderedDict()
        self._answer_bytes: OrderedDict[str, int] = OrderedDict()
        self._pending_bytes = 0
        self._failures = 0
        self._writing = asyncio.Lock()
        self._cache: OrderedDict[str, tuple[float, Bucket]] = OrderedDict()
        self._reading: dict[str, asyncio.Task] = {}
        self.dropped = 0
        self.stripped = 0

    def add(self, entry: LedgerEntry) -> None:
        """Queue the entry of a request that has run."""
        issued = self._key_ring.parse_ignoring_expiry(entry.key)
        self._discard(entry.key)
        self._pending[entry.key] = (issued, entry)
        self._answer_bytes[entry.key] = entry.size_bytes
        self._pending_bytes += entry.size_bytes
        while self._pending_bytes > self._settings.pending_max_bytes:
            self._strip_oldest_body()
        while len(self._pending) > self._settings.pending_max:
            self._discard(next(iter(self._pending)))
            self._count_dropped()

    async def run(self) -> None:
        """Write a batch in each interval until cancelled."""
        # Spreads the writes of nodes that started at the same time.
        await asyncio.sleep(self._rng.uniform(0, self._interval_s()))
        while True:
            await self._write_batch()
            await asyncio.sleep(self._pause_s())

    async def flush(self) -> bool:
        """Write all pending entries now, and return whether none is left."""
        while self._pending:
            if not await self._write_batch():
                return False
        return True

    async def read(self, key: str) -> LedgerEntry | None:
        """Return the response recorded for `key`.

        Raises
        ------
        OutcomeUnavailable
            If the table cannot be read.
        """
        issued = self._key_ring.parse_ignoring_expiry(key)
        if not isinstance(issued, IssuedKey):
            return None
        if key in self._pending:
            return self._pending[key][1]
        row_key = self._row_key(issued)
        entry = (await self._bucket(row_key)).get(issued.serial)
        if entry is None or entry.body is not None:
            return entry
        separate_key = f"{row_key}/{issued.serial}"
        return (await self._bucket(separate_key)).get(issued.serial, entry)

    def stats(self) -> dict[str, int]:
        """Return the statistics for ``/status``."""
        return {
            "pending": len(self._pending),
            "pending_bytes": self._pending_bytes,
            "dropped": self.dropped,
            "stripped": self.stripped,
            "failures": self._failures,
        }

    def _interval_s(self) -> float:
        return self._settings.flush_interval_ms / 1000

    def _pause_s(self) -> float:
        """Return the pause before the next batch, longer after failures."""
        interval_s = self._interval_s()
        if not self._failures:
            return self._rng.uniform(0.75, 1.25) * interval_s
        longest_s = max(interval_s, self._settings.backoff_max_ms / 1000)
        pause_s = min(longest_s, interval_s * 2 ** min(self._failures, BACKOFF_MAX))
        return self._rng.uniform(0.5, 1.0) * pause_s

    async def _write_batch(self) -> bool:
        if not self._pending:
            return True
        batch: dict[str, list[tuple[int, LedgerEntry]]] = {}
        try:
            async with self._writing, asyncio.timeout(self._timeout_s):
                batch = self._next_batch()
                if batch:
                    await self._commit(batch)
        except self._errors.all as error:
            if self._errors.is_rejection(error):
                self._reduce_rejected(batch)
            self._record_failure(error)
            return False
        if self._failures:
            log_event(logger, events.OUTCOMES_RESUMED, pending=len(self._pending))
        self._failures = 0
        self._confirm_written(batch)
        return True

    def _next_batch(self) -> dict[str, list[tuple[int, LedgerEntry]]]:
        """Return the oldest entries by row, within the bounds of one commit."""
        batch: dict[str, list[tuple[int, LedgerEntry]]] = {}
        size_bytes = 0
        for issued, entry in self._pending.values():
            row_key = self._row_key(issued)
            size_bytes += entry.size_bytes
            if batch and size_bytes > COMMIT_MAX_BYTES:
                break
            if row_key not in batch and len(batch) >= self._settings.flush_rows_max:
                break
            batch.setdefault(row_key, []).append((issued.serial, entry))
        return batch

    async def _commit(self, batch: dict[str, list[tuple[int, LedgerEntry]]]) -> None:
        separate_rows = dict(self._separate_rows(batch))
        for _ in range(COMMIT_ATTEMPTS):
            current = await self._table.read([*batch, *separate_rows])
            checks = {
                key: current[key].version if key in current else 0
                for key in [*batch, *separate_rows]
            }
            puts = dict(separate_rows)
            for row_key, entries in batch.items():
                bucket = self._decoded(current, row_key)
                for serial, entry in entries:
                    bucket[serial] = self._inline(entry)
                puts[row_key] = _encoder.encode(list(bucket.values()))
            if versions_of(await self._table.commit(checks, puts)) is not None:
                return
        raise self._errors.unavailable(
            "outcome rows were changed concurrently in each attempt"
        )

    def _separate_rows(
        self, batch: dict[str, list[tuple[int, LedgerEntry]]]
    ) -> Iterable[tuple[str, bytes]]:
        for row_key, entries in batch.items():
            for serial, entry in entries:
                if not self._fits_inline(entry):
                    yield f"{row_key}/{serial}", _encoder.encode([entry])

    def _fits_inline(self, entry: LedgerEntry) -> bool:
        return entry.size_bytes <= self._settings.inline_body_max_bytes

    def _inline(self, entry: LedgerEntry) -> LedgerEntry:
        return entry if self._fits_inline(entry) else entry.without_body()

    def _decoded(self, rows: dict, row_key: str) -> Bucket:
        if row_key not in rows:
            return {}
        try:
            entries = _decoder.decode(rows[row_key].value)
        except msgspec.MsgspecError:
            log_event(logger, events.OUTCOMES_MALFORMED, row=row_key)
            return {}
        parsed = (
            (self._key_ring.parse_ignoring_expiry(entry.key), entry)
            for entry in entries
        )
        return {issued.serial: entry for issued, entry in parsed if issued}

    def _row_key(self, issued: IssuedKey) -> str:
        bucket = issued.serial // self._settings.bucket_serials
        return f"outcome/{issued.node_id}/{issued.incarnation}/{bucket}"

    def _reduce_rejected(self, batch: dict[str, list[tuple[int, LedgerEntry]]]) -> None:
        """Drop the bodies, then the entries, that the table rejects.

        Otherwise they would block the entries behind them.
        """
        for entries in batch.values():
            for _, entry in entries:
                self._discard(entry.key)
                if entry.body is not None:
                    self.add(entry.without_body())
                else:
                    self._count_dropped()

    def _confirm_written(self, batch: dict[str, list[tuple[int, LedgerEntry]]]) -> None:
        for row_key, entries in batch.items():
            self._cache.pop(row_key, None)
            for _, entry in entries:
                # A newer entry of the same key stays pending for the next batch.
                if self._pending.get(entry.key, (None, None))[1] is entry:
                    self._discard(entry.key)
                if entry.body is not None:
                    self._on_written(entry.key)

    def _record_failure(self, error: Exception) -> None:
        if not self._failures:
            log_event(
                logger,
                events.OUTCOMES_UNAVAILABLE,
                pending=len(self._pending),
                cause=type(error).__name__,
            )
        self._failures += 1

    def _strip_oldest_body(self) -> None:
        key, size_bytes = self._answer_bytes.popitem(last=False)
        self._pending_bytes -= size_bytes
        issued, entry = self._pending[key]
        self._pending[key] = (issued, entry.without_body())
        self.stripped += 1

    def _discard(self, key: str) -> None:
        self._pending.pop(key, None)
        self._pending_bytes -= self._answer_bytes.pop(key, 0)

    def _count_dropped(self) -> None:
        if not self.dropped:
            log_event(logger, events.OUTCOMES_DROPPED, pending=len(self._pending))
        self.dropped += 1

    async def _bucket(self, row_key: str) -> Bucket:
        """Return a row from a cache of 5 s; concurrent readers share one request."""
        cached = self._cache.get(row_key)
        if cached is not None and cached[0] > self._now_s():
            return cached[1]
        task = self._reading.get(row_key)
        if task is None:
            task = asyncio.ensure_future(self._read_row(row_key))
            self._reading[row_key] = task
            task.add_done_callback(lambda done: self._end_read(row_key, done))
        try:
            return await asyncio.shield(task)
        except self._errors.all as error:
            raise OutcomeUnavailable(f"{row_key} cannot be read") from error

    def _end_read(self, row_key: str, task: asyncio.Task) -> None:
        self._reading.pop(row_key, None)
        if not task.cancelled():
            # Marks the exception as retrieved, in case all readers were cancelled.
            task.exception()

    async def _read_row(self, row_key: str) -> Bucket:
        rows = await self._table.read([row_key])
        bucket = self._decoded(rows, row_key)
        self._cache[row_key] = (self._now_s() + READ_CACHE_S, bucket)
        if len(self._cache) > READ_CACHE_ROWS_MAX:
            self._cache.popitem(last=False)
        return bucket
