"""Snapshot of all sections in the object store."""

import zlib
from dataclasses import dataclass

import msgspec

from damaskproxy.model import Section
from damaskproxy.move.errors import DocumentDamaged
from damaskproxy.move.rows import decode_section

__all__ = ["SNAPSHOT_NAME", "Snapshot", "decode_snapshot", "encode_snapshot"]

SNAPSHOT_NAME = "move/snapshot"
# Limits the memory for a damaged snapshot; 550 services need less than 1 % of it.
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Sections of a snapshot, and the number that this release cannot decode."""

    sections: list[Section]
    unreadable: int


def encode_snapshot(sections: list[Section]) -> bytes:
    """Encode `sections` as compressed msgpack; equal sections give equal bytes."""
    ordered = sorted(sections, key=lambda section: section.name)
    return zlib.compress(msgspec.msgpack.encode(ordered))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode the result of `encode_snapshot`.

    Raises
    ------
    DocumentDamaged
        If `data` is not a snapshot.
    """
    try:
        content = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        encoded_sections = msgspec.msgpack.decode(content, type=list[msgspec.Raw])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise DocumentDamaged(f"snapshot: {error}") from error
    sections = list(filter(None, map(decode_or_none, encoded_sections)))
    return Snapshot(sections, len(encoded_sections) - len(sections))


def decode_or_none(encoded: msgspec.Raw) -> Section | None:
    """Decode a section; None if this release cannot decode it."""
    try:
        return decode_section(encoded)
    except DocumentDamaged:
        return None
