"""Interface of the row store that holds configuration and members."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from damaskproxy.common import DamaskError

__all__ = [
    "UNKNOWN_ERA",
    "HistoryLost",
    "Row",
    "RowStore",
    "RowWrite",
    "Rows",
    "StoreError",
    "StorePosition",
    "StoreRestored",
    "WriteOutcome",
]

UNKNOWN_ERA = -1
"""Era before the first response of the store."""


class StoreError(DamaskError):
    """A call to the store got no valid response."""


class HistoryLost(StoreError):
    """The store no longer has all changes since the given version."""


class StoreRestored(HistoryLost):
    """The store has returned from an older copy since the given position."""


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
class RowWrite:
    """Replacement of a row, on the condition that it has a version.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version that the row must have, 0 for an absent one.
    value : bytes or None
        New value; None deletes the row.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, order=True, slots=True)
class StorePosition:
    """Point in the history of the store.

    Parameters
    ----------
    era : int
        Rises each time that the store returns from an older copy. What was written
        after the copy is lost, and its versions are given out again, so versions of
        different eras cannot be compared.
    version : int
        Version of the store within the era, 0 if it is not known.
    """

    era: int = UNKNOWN_ERA
    version: int = 0


@dataclass(frozen=True, slots=True)
class Rows:
    """All rows of a table at a position of the store, or the changes up to it.

    Parameters
    ----------
    rows : list of Row
        The rows.
    position : StorePosition
        Position of the store.
    clock_s : float
        Steady clock of the store when it responded, 0 if it names none.
    """

    rows: list[Row]
    position: StorePosition
    clock_s: float = 0.0


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

        The version is taken for one of the era that the response names.

        Raises
        ------
        HistoryLost
            If the store no longer has all of them.
        StoreError
            If there was no valid response.
        """

    async def write(
        self, table: str, writes: Sequence[RowWrite]
    ) -> tuple[WriteOutcome, Rows]:
        """Apply all writes or none of them; after a conflict, return the current rows.

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
