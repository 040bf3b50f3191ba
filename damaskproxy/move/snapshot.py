"""Snapshot of all sections in the object store."""

import zlib
from dataclasses import dataclass

import msgspec

from damaskproxy.model import Section
from damaskproxy.move.errors import DocumentDamaged
from damaskproxy.move.rows import decode_section

__all__ = ["SNAPSHOT_NAME", "Snapshot", "decode_snapshot", "encode_snapshot"]

SNAPSHOT_NAME = "move/snapshot"
# Bound on a damaged snapshot: 550 services take less than a hundredth of it.
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Sections of a snapshot, and how many more this release cannot read."""

    sections: list[Section]
    unreadable: int


def encode_snapshot(sections: list[Section]) -> bytes:
    """Return `sections` as compressed msgpack, equal for equal sections."""
    ordered = sorted(sections, key=lambda section: section.name)
    return zlib.compress(msgspec.msgpack.encode(ordered))


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the sections in `data`.

    Raises
    ------
    DocumentDamaged
        If `data` is not a snapshot.
    """
    try:
        content = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        parts = msgspec.msgpack.decode(content, type=list[msgspec.Raw])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise DocumentDamaged(f"snapshot: {error}") from error
    sections = list(filter(None, map(section_or_none, parts)))
    return Snapshot(sections, len(parts) - len(sections))


def section_or_none(part: msgspec.Raw) -> Section | None:
    """Return a section, or None if this release cannot read it."""
    try:
        return decode_section(part)
    except DocumentDamaged:
        return None
