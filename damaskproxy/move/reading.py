"""Reads of the move document from the table."""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskproxy.move.diff import Change, diff_sections
from damaskproxy.move.errors import DocumentUnavailable, MoveError
from damaskproxy.move.rows import (
    VERSIONS_KEY,
    EditRow,
    SectionRow,
    VersionsRow,
    decode_row,
    edit_key,
    history_key,
    section_key,
)
from damaskproxy.store import Row, Table, TableError, TableUnavailable

__all__ = [
    "HistoryEntry",
    "read_edit",
    "read_head",
    "read_history",
    "read_rows",
    "read_section",
]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted version.

    Parameters
    ----------
    version : int
        Version of the section.
    edit_id, author : str
        Edit that created the version, and its author.
    edited_at_ms : int
        Unix milliseconds by the clock of the host that ran the edit.
    changes : tuple of Change
        Changes of the edit; empty for the oldest entry of a partial list.
    """

    version: int
    edit_id: str
    author: str
    edited_at_ms: int
    changes: tuple[Change, ...]


async def read_rows(table: Table, keys: Iterable[str]) -> dict[str, Row]:
    """Read rows, with errors of the table converted to `MoveError`.

    Raises
    ------
    DocumentUnavailable
        If the table is unavailable.
    MoveError
        If the table rejects the request.
    """
    try:
        return await table.read(list(keys))
    except TableUnavailable as error:
        raise DocumentUnavailable(f"the table is unavailable: {error}") from error
    except TableError as error:
        raise MoveError(f"the table rejected the read: {error}") from error


async def read_head(table: Table) -> dict[str, int]:
    """Return the current version of every section."""
    rows = await read_rows(table, [VERSIONS_KEY])
    found = decode_row(VERSIONS_KEY, rows.get(VERSIONS_KEY), VersionsRow)
    return found.sections if found else {}


async def read_section(
    table: Table, name: str, version: int | None = None
) -> SectionRow | None:
    """Return a version of a section, the current one by default."""
    key = section_key(name) if version is None else history_key(name, version)
    rows = await read_rows(table, [key])
    return decode_row(key, rows.get(key), SectionRow)


async def read_edit(table: Table, edit_id: str) -> EditRow | None:
    """Return the recorded outcome of an edit, or None if there is none."""
    key = edit_key(edit_id)
    rows = await read_rows(table, [key])
    return decode_row(key, rows.get(key), EditRow)


async def read_history(table: Table, name: str, limit: int) -> list[HistoryEntry]:
    """Return the latest versions of a section, newest first.

    Parameters
    ----------
    table : Table
        Table service.
    name : str
        Name of the section.
    limit : int
        Maximum number of entries.
    """
    current = await read_section(table, name)
    if current is None:
        return []
    last = current.section.version
    # One more version than is returned, to compute the changes of the oldest entry.
    versions = range(last, max(0, last - limit - 1), -1)
    keys = [history_key(name, version) for version in versions]
    rows = await read_rows(table, keys)
    records = [decode_row(key, rows.get(key), SectionRow) for key in keys]
    return entries_of([record for record in records if record is not None])[:limit]


def entries_of(records: list[SectionRow]) -> list[HistoryEntry]:
    """Return an entry for each of `records`, which are newest first."""
    predecessors = [record.section for record in records[1:]] + [None]
    return [
        entry_of(record, predecessor)
        for record, predecessor in zip(records, predecessors)
    ]


def entry_of(record: SectionRow, predecessor) -> HistoryEntry:
    """Return the entry of `record`; `predecessor` is the version before it, if read."""
    section = record.section
    has_changes = predecessor is not None or section.version == 1
    changes = diff_sections(predecessor, section) if has_changes else ()
    return HistoryEntry(
        section.version, section.edit_id, record.author, record.edited_at_ms, changes
    )
