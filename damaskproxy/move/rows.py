"""Keys and values of the table rows that hold the move document."""

from typing import TypeVar

import msgspec

from damaskproxy.model import Section
from damaskproxy.move.errors import DocumentDamaged
from damaskproxy.store import Row

__all__ = [
    "HEAD_KEY",
    "EditRow",
    "HeadRow",
    "OwnerRow",
    "SectionRow",
    "VERSIONS_KEY",
    "VersionsRow",
    "decode_row",
    "decode_section",
    "edit_key",
    "encode_row",
    "encode_section",
    "history_key",
    "owner_key",
    "section_key",
]

HEAD_KEY = "move/head"
VERSIONS_KEY = "move/versions"

T = TypeVar("T")


class HeadRow(msgspec.Struct, frozen=True):
    """Latest edit; the version of this row increases with each edit of any section.

    The row is small because the selected pollers read it twice a second. It names the
    section so that a poller that has missed no other edit need not read `VersionsRow`.
    """

    section: str
    version: int


class VersionsRow(msgspec.Struct, frozen=True):
    """Current version of every section, which is read after the head has changed."""

    sections: dict[str, int] = {}


class SectionRow(msgspec.Struct, frozen=True):
    """A version of a section, current or in the history.

    Unknown fields are ignored, so that nodes of an older release can decode sections
    with fields that a newer release has added.
    """

    section: Section
    author: str
    edited_at_ms: int


class OwnerRow(msgspec.Struct, frozen=True):
    """Section that contains a service; empty after the service was removed."""

    section: str


class EditRow(msgspec.Struct, frozen=True):
    """Recorded outcome of an edit.

    Parameters
    ----------
    section : str
        Name of the section.
    version : int
        Accepted version, 0 for an edit that was abandoned.
    digest : str
        Digest of the edit, to detect two different edits with the same id.
    """

    section: str
    version: int
    digest: str = ""


def section_key(name: str) -> str:
    """Return the key of the current version of a section."""
    return f"move/section/{name}"


def history_key(name: str, version: int) -> str:
    """Return the key of one version of a section."""
    return f"move/history/{name}/{version}"


def owner_key(service: str) -> str:
    """Return the key of the row that names the section of a service."""
    return f"move/service/{service}"


def edit_key(edit_id: str) -> str:
    """Return the key of the recorded outcome of an edit."""
    return f"move/edit/{edit_id}"


def encode_row(value: msgspec.Struct) -> bytes:
    """Encode the value of a row."""
    return msgspec.json.encode(value)


def decode_row(key: str, row: Row | None, row_type: type[T]) -> T | None:
    """Decode the value of a row; None if the row is absent.

    Raises
    ------
    DocumentDamaged
        If the value cannot be decoded.
    """
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=row_type)
    except msgspec.MsgspecError as error:
        raise DocumentDamaged(f"row {key}: {error}") from error


def encode_section(section: Section) -> bytes:
    """Encode `section` for transfer to another node."""
    return msgspec.msgpack.encode(section)


def decode_section(data: bytes) -> Section:
    """Decode the result of `encode_section`.

    Raises
    ------
    DocumentDamaged
        If `data` is not a section.
    """
    try:
        return msgspec.msgpack.decode(data, type=Section)
    except msgspec.MsgspecError as error:
        raise DocumentDamaged(f"section: {error}") from error
