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
    """Latest edit. The version of this row rises with each edit of any section.

    It is small, because the chosen pollers read it twice a second, and it names the
    section, because a poller that missed no other edit then needs no further list.
    """

    section: str
    version: int


class VersionsRow(msgspec.Struct, frozen=True):
    """Current version of every section, read when the head has changed."""

    sections: dict[str, int] = {}


class SectionRow(msgspec.Struct, frozen=True):
    """A version of a section, current or in the history.

    Unknown fields are ignored, so that nodes of an older release take over what they
    know.
    """

    section: Section
    author: str
    edited_at_ms: int


class OwnerRow(msgspec.Struct, frozen=True):
    """Section that a service belongs to; empty once it was removed from one."""

    section: str


class EditRow(msgspec.Struct, frozen=True):
    """What became of an edit.

    Parameters
    ----------
    section : str
        Name of the section.
    version : int
        Accepted version, 0 for an edit that was abandoned.
    digest : str
        Digest of the document, which tells apart two edits under one id.
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
    """Return the key of the owner of a service."""
    return f"move/service/{service}"


def edit_key(edit_id: str) -> str:
    """Return the key of what became of an edit."""
    return f"move/edit/{edit_id}"


def encode_row(value: msgspec.Struct) -> bytes:
    """Return the bytes of a row."""
    return msgspec.json.encode(value)


def decode_row(key: str, row: Row | None, kind: type[T]) -> T | None:
    """Return the value of a row, or None when it is absent.

    Raises
    ------
    DocumentDamaged
        If the value does not decode.
    """
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.MsgspecError as error:
        raise DocumentDamaged(f"row {key}: {error}") from error


def encode_section(section: Section) -> bytes:
    """Return `section` as bytes for another node."""
    return msgspec.msgpack.encode(section)


def decode_section(data: bytes) -> Section:
    """Return the section in `data`.

    Raises
    ------
    DocumentDamaged
        If `data` is not a section.
    """
    try:
        return msgspec.msgpack.decode(data, type=Section)
    except msgspec.MsgspecError as error:
        raise DocumentDamaged(f"section: {error}") from error
