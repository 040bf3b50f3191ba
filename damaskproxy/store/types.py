"""Interfaces, results and errors of the platform's services."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from damaskproxy.common import DamaskError

__all__ = [
    "Committed",
    "Conflict",
    "CommitResult",
    "ObjectStore",
    "ObjectStoreError",
    "Row",
    "Table",
    "TableError",
    "TableRejected",
    "TableUnavailable",
    "TableUnknown",
]


class TableError(DamaskError):
    """Failure of an operation on the table service."""


class TableUnavailable(TableError):
    """A read got no valid response, or a commit was definitely not applied."""


class TableUnknown(TableError):
    """The outcome of a commit is unknown: it may be applied, now or later."""


class TableRejected(TableError):
    """The table service rejected the request as invalid and applied nothing."""


class ObjectStoreError(DamaskError):
    """Failure of an operation on the object store; a put may have been applied."""


@dataclass(frozen=True, slots=True)
class Row:
    """Value and version of a row; versions start at 1."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Committed:
    """A commit was applied.

    Parameters
    ----------
    versions : mapping of str to int
        New version of each row that was written.
    """

    versions: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check of a commit failed and nothing was applied; false in conditions.

    Parameters
    ----------
    rows : mapping of str to Row
        Current rows of the checked keys, without absent ones.
    """

    rows: Mapping[str, Row]

    def __bool__(self) -> bool:
        return False


CommitResult = Committed | Conflict


class Table(Protocol):
    """Transactional table service."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows of `keys` from one snapshot, without absent keys.

        Raises
        ------
        TableUnavailable
            If there was no valid response.
        """

    async def scan(self, prefix: str, limit: int) -> list[tuple[str, Row]]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order.

        Raises
        ------
        TableUnavailable
            If there was no valid response.
        """

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes]
    ) -> CommitResult:
        """Write rows if every checked row has its expected version.

        Parameters
        ----------
        checks : mapping of str to int
            Expected versions, 0 for an absent row.
        puts : mapping of str to bytes
            New values, of which all or none are written.

        Raises
        ------
        TableUnavailable
            If the commit was definitely not applied.
        TableUnknown
            If the outcome is unknown; the commit may still be applied later.
        TableRejected
            If the service rejected the request as invalid; nothing was applied.
        """


class ObjectStore(Protocol):
    """Object store: named values without transactions."""

    async def get(self, name: str) -> bytes | None:
        """Return the value of `name`, or None if there is none.

        Raises
        ------
        ObjectStoreError
            If there was no valid response.
        """

    async def put(self, name: str, value: bytes) -> None:
        """Store `value`; the last put wins.

        Raises
        ------
        ObjectStoreError
            If there was no confirmation; the value may have been stored.
        """
