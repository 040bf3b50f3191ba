"""What the product expects of a store of rows."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from damaskproxy.common import DamaskError

__all__ = ["HistoryLost", "Row", "RowStore", "Rows", "StoreError", "WriteOutcome"]


class StoreError(DamaskError):
    """The store did not answer, or not with a result."""


class HistoryLost(StoreError):
    """The changes since the given version are no longer there."""


class WriteOutcome(Enum):
    """What became of a conditional write."""

    APPLIED = "applied"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Row:
    """Row of a table.

    Parameters
    ----------
    key : str
        Unique in the table.
    version : int
        Rises with each write of the store.
    value : bytes or None
        None for a deleted row.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows of a table at a version, or the changes up to it."""

    rows: list[Row]
    version: int


class RowStore(Protocol):
    """Store with conditional writes and a feed of changes."""

    async def read(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises
        ------
        StoreError
            If there was no answer.
        """

    async def changes(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the changes after a version, none if there are none for `wait_ms`.

        Raises
        ------
        HistoryLost
            If the store no longer has them all.
        StoreError
            If there was no answer.
        """

    async def put(
        self, table: str, key: str, version: int, value: bytes | None
    ) -> tuple[WriteOutcome, Rows]:
        """Replace a row if it has `version`; a conflict returns the row.

        Raises
        ------
        StoreError
            If the write may or may not be applied, now or later.
        """
