"""Calls, clocks and an in-memory table for the tests of the ledger."""

import asyncio
import random
from dataclasses import dataclass

from damaskproxy.common import Outcome, RefusalReason, new_attempt_id
from damaskproxy.ledger import KeyRing, Ledger, LedgerSettings, TableErrors
from damaskproxy.wire import Answer, Call, Purpose, Refused

__all__ = [
    "ERRORS",
    "SECRET",
    "WALL_START_S",
    "FakeTable",
    "Node",
    "answer",
    "call_of",
    "not_run",
    "unknown",
]

SECRET = b"mesh secret of the tests"
WALL_START_S = 1_800_000_000


def now_s():
    return asyncio.get_running_loop().time()


def call_of(key, submission="s1", *, body=b"order", deadline_ms=1000, tokens=2):
    return Call(
        submission,
        "request",
        "orders",
        "place",
        "POST",
        "/place",
        [],
        body,
        0,
        0,
        deadline_ms,
        deadline_ms,
        tokens,
        key,
        purpose=Purpose.SUBMIT,
        idempotent=False,
    )


def answer(call, body=b"done", status=201):
    return Answer(call.attempt_id, status, [("a", "b")], body, call.retry_tokens)


def not_run(call, reason=RefusalReason.LEAVING):
    return Refused(call.attempt_id, reason, Outcome.NOT_RUN, 0, call.retry_tokens)


def unknown(call, reason=RefusalReason.PEER_LOST):
    return Refused(call.attempt_id, reason, Outcome.UNKNOWN)


@dataclass
class Node:
    """A ledger with its keys on the clock of the running loop."""

    name: str = "n1"
    incarnation: int = 1
    settings: LedgerSettings = LedgerSettings()
    wall_offset_s: float = 0.0
    extra: dict | None = None

    def __post_init__(self):
        rng = random.Random(f"{self.name}/{self.incarnation}")
        self.ring = KeyRing(
            self.name,
            self.incarnation,
            [SECRET],
            wall_s=self.wall_s,
            settings=self.settings,
        )
        self.ledger = Ledger(
            self.name,
            self.incarnation,
            key_ring=self.ring,
            now_s=now_s,
            wall_s=self.wall_s,
            new_attempt_id=lambda: new_attempt_id(rng),
            settings=self.settings,
            **(self.extra or {}),
        )

    def wall_s(self):
        return WALL_START_S + self.wall_offset_s + now_s()


class TableUnavailable(Exception):
    """The request was not applied."""


class TableUnknown(Exception):
    """The answer was lost; the request may be applied."""


ERRORS = TableErrors(TableUnavailable, TableUnknown)


@dataclass(frozen=True)
class Row:
    value: bytes
    version: int


@dataclass(frozen=True)
class Committed:
    versions: dict


@dataclass(frozen=True)
class Conflict:
    rows: dict


class FakeTable:
    """In-memory table that follows a list of faults, one per operation.

    A fault is None, ``down``, ``slow`` (10 min), ``lost`` (answer lost after the
    commit), ``dropped`` (answer lost, commit not applied) or ``late`` (the answer is
    lost at once and the commit is applied by `apply_late`).
    """

    def __init__(self, *faults):
        self.rows = {}
        self.faults = list(faults)
        self.down = False
        self.operations = []
        self.late = []

    async def read(self, keys):
        await self._meet_fault("read")
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def commit(self, checks, puts):
        fault = await self._meet_fault("commit")
        if fault == "late":
            self.late.append((checks, puts))
            raise TableUnknown
        if fault == "dropped":
            raise TableUnknown
        result = self._apply(checks, puts)
        if fault == "lost":
            raise TableUnknown
        return result

    def apply_late(self):
        for checks, puts in self.late:
            self._apply(checks, puts)

    async def _meet_fault(self, operation):
        self.operations.append((now_s(), operation))
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == "down":
            raise TableUnavailable
        if fault == "slow":
            await asyncio.sleep(600)
        return fault

    def _apply(self, checks, puts):
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
