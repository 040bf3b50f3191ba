"""Writes the member rows again that the store has lost with its newest writes."""

from collections.abc import Iterable

from damaskproxy.directory.members import (
    Directory,
    MemberRecord,
    RecordError,
    decode_member,
    encode_member,
)
from damaskproxy.directory.rows import (
    Row,
    Rows,
    RowStore,
    RowWrite,
    StoreError,
    WriteOutcome,
)

__all__ = ["lost_writes", "write_lost_rows"]

WRITES_PER_CALL = 50
"""Rows in one call; half of the entries of a transaction, each row has a condition."""
CALL_MAX_BYTES = 500_000
"""Size of the values in one call, which the encoding enlarges by a third."""
CONFLICTS_MAX = 5


def lost_writes(directory: Directory, rows: Iterable[Row]) -> list[RowWrite]:
    """Return the writes of the known records that rows of the store are older than.

    Parameters
    ----------
    directory : Directory
        Known records.
    rows : iterable of Row
        All member rows of the store.
    """
    stored = {row.key: row for row in rows}
    writes = [_lost_write(r, stored.get(r.node_id)) for r in directory.records()]
    return [write for write in writes if write is not None]


def _lost_write(record: MemberRecord, row: Row | None) -> RowWrite | None:
    """Return the write of a record, None if its row is up to date or not needed."""
    if row is None or row.value is None:
        is_lost, version = not record.is_removed, 0
    else:
        is_lost, version = _is_lost(record, row.value), row.version
    return RowWrite(record.node_id, version, encode_member(record)) if is_lost else None


def _is_lost(known: MemberRecord, value: bytes) -> bool:
    try:
        stored = decode_member(value)
    except RecordError:
        return True
    if stored.order == known.order:
        # A leave that was carried over to a later record does not change its order.
        return known.has_leave_beyond(stored)
    return stored.order < known.order


async def write_lost_rows(
    store: RowStore, table: str, directory: Directory, read: Rows
) -> int:
    """Write the known records that are newer than the rows of the store.

    Rows of nodes that do not run are written as well, since nobody else would.

    Parameters
    ----------
    store : RowStore
        The row store.
    table : str
        Table of the members.
    directory : Directory
        Known records.
    read : Rows
        All member rows of the store, as read last.

    Returns
    -------
    int
        Number of rows written.

    Raises
    ------
    StoreError
        If not all could be written.
    """
    pending = lost_writes(directory, read.rows)
    written = conflicts = 0
    while pending:
        batch = _first_batch(pending)
        outcome, body = await store.write(table, batch)
        if outcome is WriteOutcome.APPLIED:
            written += len(batch)
            del pending[: len(batch)]
            continue
        conflicts += 1
        if conflicts == CONFLICTS_MAX:
            raise StoreError(f"{conflicts} conflicts with other writers")
        current = {row.key: row for row in body.rows}
        retried = [_lost_write(directory.get(w.key), current.get(w.key)) for w in batch]
        pending[: len(batch)] = [write for write in retried if write is not None]
    return written


def _first_batch(writes: Iterable[RowWrite]) -> list[RowWrite]:
    batch: list[RowWrite] = []
    size_bytes = 0
    for write in writes:
        size_bytes += len(write.value or b"")
        if len(batch) == WRITES_PER_CALL or (batch and size_bytes > CALL_MAX_BYTES):
            break
        batch.append(write)
    return batch
