"""Writes the member rows again that the store has lost with its newest writes."""

from collections.abc import Collection, Iterator

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


def lost_writes(directory: Directory, rows: Collection[Row]) -> Iterator[RowWrite]:
    """Return the writes of the known records that rows of the store are older than.

    Parameters
    ----------
    directory : Directory
        Known records.
    rows : collection of Row
        All member rows of the store.
    """
    stored_rows = {row.key: row for row in rows}
    for record in directory.records():
        row = stored_rows.get(record.node_id)
        if row is None or row.value is None:
            if not record.is_removed:
                yield RowWrite(record.node_id, 0, encode_member(record))
        elif _is_lost(record, row.value):
            yield RowWrite(record.node_id, row.version, encode_member(record))


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
    rows = {row.key: row for row in read.rows}
    written = conflicts = 0
    while batch := _first_batch(lost_writes(directory, rows.values())):
        outcome, body = await store.write(table, batch)
        if outcome is WriteOutcome.APPLIED:
            written += len(batch)
            version = body.position.version
            rows |= {w.key: Row(w.key, version, w.value) for w in batch}
            continue
        conflicts += 1
        if conflicts == CONFLICTS_MAX:
            raise StoreError(f"{conflicts} conflicts with other writers")
        for write in batch:
            rows.pop(write.key, None)
        rows |= {row.key: row for row in body.rows}
    return written


def _first_batch(writes: Iterator[RowWrite]) -> list[RowWrite]:
    batch: list[RowWrite] = []
    size_bytes = 0
    for write in writes:
        size_bytes += len(write.value or b"")
        if batch and size_bytes > CALL_MAX_BYTES:
            break
        batch.append(write)
        if len(batch) == WRITES_PER_CALL:
            break
    return batch
