"""Editing of a section with optimistic concurrency control.

Every commit of an edit checks that the row of its edit id is absent and that the row of
its section is unchanged. An edit whose answer was lost can therefore be committed
again: at most one of the commits applies, and what happened can be read back.
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
from damaskproxy.move.checks import Fault
from damaskproxy.move.diff import Change, diff_sections
from damaskproxy.move.document import Document, Invalid, parse_document, section_of
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
# All edits meet at the head row; an edit that loses the race for it is planned anew.
MAX_ATTEMPTS = 20
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is in the table and never reverts."""

    section: str
    version: int
    edit_id: str


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Another edit came first and nothing was changed; falsy.

    Parameters
    ----------
    name : str
        Name of the section.
    base_version : int
        Version that this edit was made on.
    current : Section or None
        The section as it is, None if it does not exist.
    author, edited_at_ms
        Who made the current version, and when.
    changes : tuple of Change
        What the others changed since the base version.
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
    """The edit may be accepted, now or later; `resolve_edit` decides; falsy."""

    edit_id: str
    detail: str

    def __bool__(self) -> bool:
        return False


EditResult = Accepted | EditConflict | Invalid | EditUnknown


@dataclass(frozen=True, slots=True)
class Edit:
    """One edit on its way to the table."""

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
        """Digest of everything that tells this edit from another."""
        content = msgspec.json.encode((self.document, self.base_version))
        return hashlib.blake2b(content, digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class Commit:
    """Checks and puts of one commit."""

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
        The whole section.
    base_version : int
        Version that the edit was made on, 0 for a new section.
    edit_id : str
        Identity of the edit, new for each edit; 8 to 64 letters, digits, ``-``, ``_``.
    author : str
        Who edits, for the history.
    now_ms : callable
        Wall clock for the history, in Unix milliseconds.
    sleep : callable
        Pause between attempts, in seconds.
    rng : random.Random, optional
        Source of the jitter of the pauses.

    Returns
    -------
    Accepted, EditConflict, Invalid or EditUnknown
        An edit that is sent again under its id gets the result of the first time.

    Raises
    ------
    DocumentUnavailable
        If the table was unavailable and nothing was changed.
    MoveError
        If the table refused the commit or holds a row that cannot be decoded.
    """
    document = parse_document(section_json)
    if isinstance(document, Invalid):
        return document
    faults = check_identity(base_version, edit_id, author)
    if faults:
        return Invalid(tuple(faults))
    edit = Edit(document, base_version, edit_id, author, now_ms())
    return await send_edit(table, edit, sleep, rng or random.Random())


def check_identity(base_version: int, edit_id: str, author: str) -> list[Fault]:
    """Return what is wrong with the arguments beside the document."""
    faults = []
    if base_version < 0:
        faults.append(Fault("base_version", "must not be negative"))
    if not EDIT_ID.fullmatch(edit_id):
        faults.append(Fault("edit_id", "must be 8 to 64 of A-Z a-z 0-9 - _"))
    if not author.strip() or len(author) > MAX_AUTHOR_CHARS or not author.isprintable():
        message = f"must be 1 to {MAX_AUTHOR_CHARS} printable characters"
        faults.append(Fault("author", message))
    return faults


async def send_edit(table: Table, edit: Edit, sleep, rng) -> EditResult:
    """Plan and commit `edit` until the result is certain or attempts run out."""
    lost = ""
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            longest_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**attempt)
            await sleep(rng.uniform(0, longest_s))
        try:
            plan = await plan_edit(table, edit)
            if not isinstance(plan, Commit):
                return plan
            if await table.commit(plan.checks, plan.puts):
                version = edit.base_version + 1
                return Accepted(edit.name, version, edit.edit_id)
        except TableUnknown as error:
            lost = str(error)
        except (MoveError, TableUnavailable, TableRejected) as error:
            # A commit whose answer was lost may still apply, so that a later failure
            # does not make the edit a refused one.
            if not lost:
                raise converted(error) from error
    if lost:
        return EditUnknown(edit.edit_id, lost)
    raise DocumentUnavailable(f"other edits came first in {MAX_ATTEMPTS} attempts")


def converted(error: Exception) -> MoveError:
    """Return a failure of the table as an error of this layer."""
    if isinstance(error, MoveError):
        return error
    if isinstance(error, TableUnavailable):
        return DocumentUnavailable(f"the table is unavailable: {error}")
    return MoveError(f"the table refused the edit: {error}")


async def plan_edit(table: Table, edit: Edit) -> Commit | EditResult:
    """Return the commit that `edit` needs, or its result if that is certain."""
    wanted = {service.name for service in edit.document.services}
    keys = [HEAD_KEY, VERSIONS_KEY, section_key(edit.name), edit_key(edit.edit_id)]
    rows = await read_rows(table, keys + [owner_key(name) for name in sorted(wanted)])
    earlier = decoded(rows, edit_key(edit.edit_id), EditRow)
    if earlier is not None:
        return result_of(earlier, edit)
    current = decoded(rows, section_key(edit.name), SectionRow)
    if (current.section.version if current else 0) != edit.base_version:
        return await conflict_of(table, edit, current)
    faults = list(check_owners(edit.document, current, rows))
    if faults:
        return Invalid(tuple(faults))
    held = {service.name for service in current.section.services} if current else set()
    rows |= await read_rows(table, [owner_key(name) for name in sorted(held - wanted)])
    return commit_of(edit, rows, claimed=wanted - held, released=held - wanted)


def decoded(rows: dict[str, Row], key: str, kind: type):
    """Return the decoded row of `key`, or None."""
    return decode_row(key, rows.get(key), kind)


def result_of(earlier: EditRow, edit: Edit) -> Accepted | Invalid:
    """Return the result that is recorded for the id of `edit`."""
    if earlier.version == 0:
        message = "this edit was abandoned by damask-move resolve; use a new edit id"
        return Invalid((Fault("edit_id", message),))
    if earlier.digest != edit.digest:
        message = f"belongs to an earlier edit of section {earlier.section!r}"
        return Invalid((Fault("edit_id", message),))
    return Accepted(earlier.section, earlier.version, edit.edit_id)


async def conflict_of(
    table: Table, edit: Edit, current: SectionRow | None
) -> EditConflict:
    """Return the conflict with what changed since the base version."""
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


async def check_against_table(table: Table, document: Document) -> list[Fault]:
    """Return the faults of a valid document that only the table shows.

    Raises
    ------
    DocumentUnavailable
        If the table was unavailable.
    """
    keys = [owner_key(service.name) for service in document.services]
    rows = await read_rows(table, [section_key(document.name), *keys])
    current = decoded(rows, section_key(document.name), SectionRow)
    return list(check_owners(document, current, rows))


def check_owners(document: Document, current: SectionRow | None, rows: dict[str, Row]):
    """Yield a fault for another team's section or another section's service."""
    if current is not None and current.section.team != document.team:
        message = f"section {document.name!r} belongs to team {current.section.team!r}"
        yield Fault("$.team", message)
    for index, service in enumerate(document.services):
        owner = decoded(rows, owner_key(service.name), OwnerRow)
        if owner is not None and owner.section not in ("", document.name):
            message = f"service {service.name!r} belongs to section {owner.section!r}"
            yield Fault(f"$.services[{index}].name", message)


def commit_of(
    edit: Edit, rows: dict[str, Row], *, claimed: set[str], released: set[str]
) -> Commit:
    """Return the commit of a valid edit."""
    version = edit.base_version + 1
    section = section_of(edit.document, version=version, edit_id=edit.edit_id)
    record = encode_row(SectionRow(section, edit.author, edit.edited_at_ms))
    versions = decoded(rows, VERSIONS_KEY, VersionsRow) or VersionsRow()
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
