"""Editing of a section with optimistic concurrency control.

Every commit of an edit checks that the row of its edit id is absent and that the row of
its section is unchanged. An edit whose outcome is unknown can therefore be committed
again: at most one of the commits applies, and the outcome can be read back.
"""

import asyncio
import hashlib
import random
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from damaskproxy.model import Section
from damaskproxy.move.checks import ValidationIssue
from damaskproxy.move.diff import Change, diff_sections
from damaskproxy.move.document import (
    Document,
    InvalidDocument,
    parse_document,
    section_of,
)
from damaskproxy.move.errors import DocumentUnavailable, MoveError
from damaskproxy.move.reading import read_rows, read_section
from damaskproxy.move.rows import (
    HEAD_KEY,
    VERSIONS_KEY,
    EditRow,
    HeadRow,
    OwnerRow,
    SectionRow,
    VersionsRow,
    decode_row,
    edit_key,
    encode_row,
    history_key,
    owner_key,
    section_key,
)
from damaskproxy.store import (
    Row,
    Table,
    TableRejected,
    TableUnavailable,
    TableUnknown,
)

__all__ = [
    "Accepted",
    "EditConflict",
    "EditResult",
    "EditUnknown",
    "check_against_table",
    "edit_section",
]

EDIT_ID = re.compile(r"[A-Za-z0-9_-]{8,64}")
MAX_AUTHOR_CHARS = 128
# Every edit writes the head row. When a concurrent edit commits first, the commit
# conflicts and is planned again.
MAX_ATTEMPTS = 20
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is committed to the table and does not revert."""

    section: str
    version: int
    edit_id: str


@dataclass(frozen=True, slots=True)
class EditConflict:
    """The base version is not the current version; nothing was changed; falsy.

    Parameters
    ----------
    name : str
        Name of the section.
    base_version : int
        Version that this edit is based on.
    current : Section or None
        Current version of the section, None if it does not exist.
    author, edited_at_ms
        Who edited the current version, and when.
    changes : tuple of Change
        Changes since the base version.
    """

    name: str
    base_version: int
    current: Section | None
    author: str = ""
    edited_at_ms: int = 0
    changes: tuple[Change, ...] = ()

    def __bool__(self) -> bool:
        return False


@dataclass(frozen=True, slots=True)
class EditUnknown:
    """The edit may be accepted, now or later; `resolve_edit` settles it; falsy."""

    edit_id: str
    detail: str

    def __bool__(self) -> bool:
        return False


EditResult = Accepted | EditConflict | InvalidDocument | EditUnknown


@dataclass(frozen=True, slots=True)
class Edit:
    """A validated edit that is to be committed."""

    document: Document
    base_version: int
    edit_id: str
    author: str
    edited_at_ms: int

    @property
    def name(self) -> str:
        """Name of the section."""
        return self.document.name

    @property
    def digest(self) -> str:
        """Digest of the content, to detect another edit with the same id."""
        content = msgspec.json.encode((self.document, self.base_version))
        return hashlib.blake2b(content, digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class Commit:
    """Row versions to check and values to write in one commit of the table."""

    checks: dict[str, int]
    puts: dict[str, bytes]


async def edit_section(
    table: Table,
    section_json: bytes,
    base_version: int,
    edit_id: str,
    author: str,
    *,
    now_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    rng: random.Random | None = None,
) -> EditResult:
    """Replace a section of the move document.

    Parameters
    ----------
    table : Table
        Table service.
    section_json : bytes
        JSON text of the complete section.
    base_version : int
        Version that the edit is based on, 0 for a new section.
    edit_id : str
        Identity of the edit, new for each edit; 8 to 64 letters, digits, ``-``, ``_``.
    author : str
        Author in the history.
    now_ms : callable
        Wall clock for the history, in Unix milliseconds.
    sleep : callable
        Pause between attempts, in seconds.
    rng : random.Random, optional
        Source of the jitter of the pauses.

    Returns
    -------
    Accepted, EditConflict, InvalidDocument or EditUnknown
        An edit that is resent with the same id returns the recorded result.

    Raises
    ------
    DocumentUnavailable
        If the table is unavailable or concurrent edits keep committing first; nothing
        was changed.
    MoveError
        If the table rejects the commit or a row cannot be decoded.
    """
    document = parse_document(section_json)
    if isinstance(document, InvalidDocument):
        return document
    issues = check_arguments(base_version, edit_id, author)
    if issues:
        return InvalidDocument(tuple(issues))
    edit = Edit(document, base_version, edit_id, author, now_ms())
    return await commit_edit(table, edit, sleep, rng or random.Random())


def check_arguments(
    base_version: int, edit_id: str, author: str
) -> list[ValidationIssue]:
    """Return the issues of the arguments other than the document."""
    issues = []
    if base_version < 0:
        issues.append(ValidationIssue("base_version", "must not be negative"))
    if not EDIT_ID.fullmatch(edit_id):
        issues.append(
            ValidationIssue("edit_id", "must be 8 to 64 characters of A-Z a-z 0-9 - _")
        )
    if not author.strip() or len(author) > MAX_AUTHOR_CHARS or not author.isprintable():
        message = f"must be 1 to {MAX_AUTHOR_CHARS} printable characters"
        issues.append(ValidationIssue("author", message))
    return issues


async def commit_edit(table: Table, edit: Edit, sleep, rng) -> EditResult:
    """Plan and commit `edit` until its outcome is known or attempts run out."""
    unknown_detail = ""
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            max_pause_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**attempt)
            await sleep(rng.uniform(0, max_pause_s))
        try:
            plan = await plan_edit(table, edit)
            if not isinstance(plan, Commit):
                return plan
            if await table.commit(plan.checks, plan.puts):
                version = edit.base_version + 1
                return Accepted(edit.name, version, edit.edit_id)
        except TableUnknown as error:
            unknown_detail = str(error)
        except (MoveError, TableUnavailable, TableRejected) as error:
            # A commit whose response was lost may still apply. A later failure
            # therefore leaves the outcome unknown.
            if not unknown_detail:
                raise to_move_error(error) from error
    if unknown_detail:
        return EditUnknown(edit.edit_id, unknown_detail)
    raise DocumentUnavailable(
        f"concurrent edits committed first in {MAX_ATTEMPTS} attempts"
    )


def to_move_error(error: Exception) -> MoveError:
    """Convert an error of the table to a `MoveError`."""
    if isinstance(error, MoveError):
        return error
    if isinstance(error, TableUnavailable):
        return DocumentUnavailable(f"the table is unavailable: {error}")
    return MoveError(f"the table rejected the edit: {error}")


async def plan_edit(table: Table, edit: Edit) -> Commit | EditResult:
    """Return the commit for `edit`, or its result if no commit is needed."""
    wanted = {service.name for service in edit.document.services}
    keys = [HEAD_KEY, VERSIONS_KEY, section_key(edit.name), edit_key(edit.edit_id)]
    rows = await read_rows(table, keys + [owner_key(name) for name in sorted(wanted)])
    recorded = decode_from(rows, edit_key(edit.edit_id), EditRow)
    if recorded is not None:
        return recorded_result(recorded, edit)
    current = decode_from(rows, section_key(edit.name), SectionRow)
    if (current.section.version if current else 0) != edit.base_version:
        return await make_conflict(table, edit, current)
    issues = list(check_owners(edit.document, current, rows))
    if issues:
        return InvalidDocument(tuple(issues))
    owned = {service.name for service in current.section.services} if current else set()
    rows |= await read_rows(table, [owner_key(name) for name in sorted(owned - wanted)])
    return make_commit(edit, rows, claimed=wanted - owned, released=owned - wanted)


def decode_from(rows: dict[str, Row], key: str, row_type: type):
    """Return the value of the row at `key`, or None if there is none."""
    return decode_row(key, rows.get(key), row_type)


def recorded_result(recorded: EditRow, edit: Edit) -> Accepted | InvalidDocument:
    """Return the result that is recorded for the id of `edit`."""
    if recorded.version == 0:
        message = "damask-move resolve has abandoned this edit; use a new edit id"
        return InvalidDocument((ValidationIssue("edit_id", message),))
    if recorded.digest != edit.digest:
        message = f"belongs to an earlier edit of section {recorded.section!r}"
        return InvalidDocument((ValidationIssue("edit_id", message),))
    return Accepted(recorded.section, recorded.version, edit.edit_id)


async def make_conflict(
    table: Table, edit: Edit, current: SectionRow | None
) -> EditConflict:
    """Return the conflict, with the changes since the base version."""
    if current is None:
        return EditConflict(edit.name, edit.base_version, None)
    base = await read_section(table, edit.name, edit.base_version)
    changes = diff_sections(base.section if base else None, current.section)
    return EditConflict(
        edit.name,
        edit.base_version,
        current.section,
        current.author,
        current.edited_at_ms,
        changes,
    )


async def check_against_table(
    table: Table, document: Document
) -> list[ValidationIssue]:
    """Return the ownership conflicts of a valid document with rows of the table.

    Raises
    ------
    DocumentUnavailable
        If the table is unavailable.
    """
    keys = [owner_key(service.name) for service in document.services]
    rows = await read_rows(table, [section_key(document.name), *keys])
    current = decode_from(rows, section_key(document.name), SectionRow)
    return list(check_owners(document, current, rows))


def check_owners(document: Document, current: SectionRow | None, rows: dict[str, Row]):
    """Yield an issue for a section of another team and a service of another section."""
    if current is not None and current.section.team != document.team:
        message = f"section {document.name!r} belongs to team {current.section.team!r}"
        yield ValidationIssue("$.team", message)
    for index, service in enumerate(document.services):
        owner = decode_from(rows, owner_key(service.name), OwnerRow)
        if owner is not None and owner.section not in ("", document.name):
            message = f"service {service.name!r} belongs to section {owner.section!r}"
            yield ValidationIssue(f"$.services[{index}].name", message)


def make_commit(
    edit: Edit, rows: dict[str, Row], *, claimed: set[str], released: set[str]
) -> Commit:
    """Return the commit of a valid edit."""
    version = edit.base_version + 1
    section = section_of(edit.document, version=version, edit_id=edit.edit_id)
    record = encode_row(SectionRow(section, edit.author, edit.edited_at_ms))
    versions = decode_from(rows, VERSIONS_KEY, VersionsRow) or VersionsRow()
    puts = {
        HEAD_KEY: encode_row(HeadRow(edit.name, version)),
        VERSIONS_KEY: encode_row(VersionsRow(versions.sections | {edit.name: version})),
        section_key(edit.name): record,
        history_key(edit.name, version): record,
        edit_key(edit.edit_id): encode_row(EditRow(edit.name, version, edit.digest)),
    }
    puts |= {owner_key(name): encode_row(OwnerRow(edit.name)) for name in claimed}
    puts |= {owner_key(name): encode_row(OwnerRow("")) for name in released}
    checks = {key: rows[key].version if key in rows else 0 for key in puts}
    return Commit(checks, puts)
