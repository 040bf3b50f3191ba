"""Bodies of the HTTP interface of the table service.

Bodies are JSON; msgspec writes ``bytes`` as base64 strings.
"""

from typing import Annotated

import msgspec

__all__ = [
    "CommitRequest",
    "CommittedBody",
    "ErrorBody",
    "ReadRequest",
    "RowBody",
    "RowsBody",
    "ScanBody",
    "ScanRequest",
]

MAX_SCAN_ROWS = 10_000

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=512)]
Version = Annotated[int, msgspec.Meta(ge=0)]


class RowBody(msgspec.Struct, frozen=True):
    """Value and version of a row."""

    value: bytes
    version: Version


class ReadRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /table/read``."""

    keys: list[Key]


class ScanRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /table/scan``."""

    prefix: str
    limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_SCAN_ROWS)]


class CommitRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /table/commit``; version 0 in `checks` means an absent row."""

    checks: dict[Key, Version]
    puts: dict[Key, bytes]


class RowsBody(msgspec.Struct, frozen=True):
    """Response to a read, and to a commit whose checks failed (status 409)."""

    rows: dict[str, RowBody]


class ScanBody(msgspec.Struct, frozen=True):
    """Response to a scan, in key order."""

    rows: list[tuple[str, RowBody]]


class CommittedBody(msgspec.Struct, frozen=True):
    """Response to a commit: the new version of each row that was written."""

    versions: dict[str, int]


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response; `applied` is false if nothing was applied."""

    error: str
    applied: bool | None = None
