"""What the rest of damaskproxy expects of the platform's services."""

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
    """The table did not answer a read, or certainly did not apply a commit."""


class TableUnknown(TableError):
    """The answer to a commit was lost: it may be applied, now or later."""


class TableRejected(TableError):
    """The table understood the request as invalid and applied nothing."""


class ObjectStoreError(DamaskError):
    """Failure of an operation on the object store; a put may be applied."""


@dataclass(frozen=True, slots=True)
class Row:
    """Value of a row and its version, which starts at 1."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Committed:
    """A commit was applied.

    Parameters
    ----------
    versions : mapping of str to int
        New version of each row that was put.
    """

    versions: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check of a commit failed and nothing was applied; falsy.

    Parameters
    ----------
    rows : mapping of str to Row
        Current rows of the checked keys; absent ones are missing.
    """

    rows: Mapping[str, Row]

    def __bool__(self) -> bool:
        return False


CommitResult = Committed | Conflict


class Table(Protocol):
    """Transactional table service."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows of `keys` at one moment; absent keys are missing.

        Raises
        ------
        TableUnavailable
            If there was no answer.
        """

    async def scan(self, prefix: str, limit: int) -> list[tuple[str, Row]]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order.

        Raises
        ------
        TableUnavailable
            If there was no answer.
        """

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes]
    ) -> CommitResult:
        """Put rows if every checked row has its expected version.

        Parameters
        ----------
        checks : mapping of str to int
            Expected versions, 0 for an absent row.
        puts : mapping of str to bytes
            New values; all or none are applied.

        Raises
        ------
        TableUnavailable
            If the commit was certainly not applied.
        TableUnknown
            If it may be applied, also after this exception.
        TableRejected
            If the service called the request invalid; nothing was applied.
        """


class ObjectStore(Protocol):
    """Store of named values without transactions."""

    async def get(self, name: str) -> bytes | None:
        """Return the value of `name`, or None when there is none.

        Raises
        ------
        ObjectStoreError
            If there was no answer.
        """

    async def put(self, name: str, value: bytes) -> None:
        """Store `value`; the last put wins.

        Raises
        ------
        ObjectStoreError
            If there was no confirmation; the value may be stored.
        """
