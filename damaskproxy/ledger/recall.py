"""Answers from records and from the table, without any dispatch."""

import asyncio
from collections.abc import Awaitable, Callable

from damaskproxy.common import DamaskError, Outcome, RefusalReason
from damaskproxy.ledger.attempts import refuse
from damaskproxy.ledger.entries import LedgerEntry, answer_of_entry
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["ReadOutcome", "from_record", "from_table", "read_nothing"]

ReadOutcome = Callable[[str], Awaitable[LedgerEntry | None]]


async def read_nothing(_key: str) -> LedgerEntry | None:
    """Stand for a table that holds no outcomes."""
    return None


async def from_record(
    call: Call, entry: LedgerEntry, read_outcome: ReadOutcome
) -> Answer | Refused:
    """Return the answer of a request that has run, from the table if need be."""
    stored = None if entry.body is not None else await _read(call, read_outcome)
    return answer_of_entry(call, stored or entry)


async def from_table(
    call: Call, reason: RefusalReason | None, read_outcome: ReadOutcome
) -> Answer | Refused:
    """Return what the table knows about a key of which nothing is known here.

    A key that the table does not know may have run all the same, because answers are
    written some time after they were given.
    """
    stored = await _read(call, read_outcome)
    if stored is not None:
        return answer_of_entry(call, stored)
    return refuse(call, reason or RefusalReason.LEDGER_LOST, Outcome.UNKNOWN)


async def _read(call: Call, read_outcome: ReadOutcome) -> LedgerEntry | None:
    try:
        async with asyncio.timeout(call.deadline_ms / 1000):
            return await read_outcome(call.key)
    except (DamaskError, TimeoutError):
        return None
