"""Interface of the row store that holds configuration and members."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from damaskproxy.common import DamaskError

__all__ = ["HistoryLost", "Row", "RowStore", "Rows", "StoreError", "WriteOutcome"]


class StoreError(DamaskError):
    """A call to the store got no valid response."""


class HistoryLost(StoreError):
    """The store no longer has all changes since the given version."""


class WriteOutcome(Enum):
    """Result of a conditional write."""

    APPLIED = "applied"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Row:
    """Row of a table.

    Parameters
    ----------
    key : str
        Key, unique in the table.
    version : int
        Increases with each write to the store.
    value : bytes or None
        None for a deleted row.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Rows:
    """All rows of a table at a version of the store, or the changes up to it."""

    rows: list[Row]
    version: int


class RowStore(Protocol):
    """Store with conditional writes and a change feed."""

    async def read(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises
        ------
        StoreError
            If there was no valid response.
        """

    async def changes(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the changes after a version; wait up to `wait_ms` for the first.

        Raises
        ------
        HistoryLost
            If the store no longer has all of them.
        StoreError
            If there was no valid response.
        """

    async def put(
        self, table: str, key: str, version: int, value: bytes | None
    ) -> tuple[WriteOutcome, Rows]:
        """Replace a row if it has `version`; after a conflict, return the current row.

        Raises
        ------
        StoreError
            If the outcome is unknown; the write may be applied, now or later.
        """

    async def check_path(self) -> None:
        """Check that the store can be reached, without a call to it.

        Raises
        ------
        StoreError
            If it cannot be reached.
        """
