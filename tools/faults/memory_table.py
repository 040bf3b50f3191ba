"""In-memory stand-in for the table service, with fault injection."""

import asyncio
from dataclasses import dataclass

from tools.faults.virtual_time import now_s

__all__ = [
    "Committed",
    "Conflict",
    "MemoryTable",
    "Row",
    "TableUnavailable",
    "TableUnknown",
]


class TableUnavailable(Exception):
    """The table service is unavailable; the request was not applied."""


class TableUnknown(Exception):
    """The response was lost; the request may have been applied."""


@dataclass(frozen=True)
class Row:
    """A row and its version."""

    value: bytes
    version: int


@dataclass(frozen=True)
class Committed:
    """Result of an applied commit: the new versions of the rows."""

    versions: dict


@dataclass(frozen=True)
class Conflict:
    """Result of a commit whose version check failed: the current rows."""

    rows: dict


class MemoryTable:
    """In-memory table that takes one entry of a list of faults per operation.

    A fault is None, ``down`` (unavailable), ``slow`` (10 min), ``lost`` (response lost
    after the commit), ``dropped`` (response lost, commit not applied) or ``late``
    (response lost at once, commit applied by `apply_late`).
    """

    def __init__(self, *faults):
        self.rows = {}
        self.faults = list(faults)
        self.down = False
        self.operations = []
        self.late = []

    async def read(self, keys):
        """Return the rows that exist."""
        await self._next_fault("read")
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def commit(self, checks, puts):
        """Write `puts` if the versions in `checks` hold."""
        fault = await self._next_fault("commit")
        if fault == "late":
            self.late.append((checks, puts))
            raise TableUnknown
        if fault == "dropped":
            raise TableUnknown
        result = self.apply(checks, puts)
        if fault == "lost":
            raise TableUnknown
        return result

    def apply_late(self):
        """Apply the commits that met the fault ``late``."""
        for checks, puts in self.late:
            self.apply(checks, puts)

    async def _next_fault(self, operation):
        self.operations.append((now_s(), operation))
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == "down":
            raise TableUnavailable
        if fault == "slow":
            await asyncio.sleep(600)
        return fault

    def apply(self, checks, puts):
        """Commit without injecting a fault."""
        found = {key: self.rows[key] for key in checks if key in self.rows}
        if any(
            version != (found[key].version if key in found else 0)
            for key, version in checks.items()
        ):
            return Conflict(found)
        for key, value in puts.items():
            version = self.rows[key].version if key in self.rows else 0
            self.rows[key] = Row(value, version + 1)
        return Committed({key: self.rows[key].version for key in puts})
