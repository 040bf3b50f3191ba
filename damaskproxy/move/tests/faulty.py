"""A table in memory that fails at chosen operations."""

import asyncio

from damaskproxy.platform import (
    Committed,
    Conflict,
    Row,
    TableRejected,
    TableUnavailable,
    TableUnknown,
)
from damaskproxy.standins.table import TableRows

FAULTS = ("", "down", "lost-before", "lost-after", "late")


def to_rows(rows):
    return {key: Row(row.value, row.version) for key, row in rows.items()}


class FaultyTable:
    """Follows a script with one fault for each operation; without faults after it.

    ``late`` applies a commit only when `settle` is called, after its client was told
    that the answer is lost.
    """

    def __init__(self, rows=None, script=()):
        self.rows = rows or TableRows()
        self.script = list(script)
        self.late = []
        self.read_keys = []

    async def _next_fault(self):
        # Lets operations of other clients come in between.
        await asyncio.sleep(0)
        return self.script.pop(0) if self.script else ""

    async def read(self, keys):
        self.read_keys.append(list(keys))
        if await self._next_fault():
            raise TableUnavailable("down")
        return to_rows(self.rows.read(list(keys)))

    async def scan(self, prefix, limit):
        raise NotImplementedError

    async def commit(self, checks, puts):
        fault = await self._next_fault()
        if fault == "down":
            raise TableUnavailable("down")
        if fault == "rejected":
            raise TableRejected("too large")
        if fault == "late":
            self.late.append((checks, puts))
        if fault in ("late", "lost-before"):
            raise TableUnknown("lost")
        versions = self.rows.commit(checks, puts)
        if fault == "lost-after":
            raise TableUnknown("lost")
        if versions is None:
            return Conflict(to_rows(self.rows.current(checks)))
        return Committed(versions)

    def settle(self):
        """Apply the late commits and end the faults."""
        self.script.clear()
        while self.late:
            self.rows.commit(*self.late.pop())
