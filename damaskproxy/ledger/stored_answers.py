"""Replies from stored records and from the table, without a dispatch."""

import asyncio
from collections.abc import Awaitable, Callable

from damaskproxy.common import DamaskError, Outcome, RefusalReason
from damaskproxy.ledger.attempts import refuse
from damaskproxy.ledger.entries import LedgerEntry, answer_of_entry
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["ReadOutcome", "answer_from_record", "answer_from_table", "read_no_outcome"]

ReadOutcome = Callable[[str], Awaitable[LedgerEntry | None]]


async def read_no_outcome(_key: str) -> LedgerEntry | None:
    """Return None, for a ledger without a table of outcomes."""
    return None


async def answer_from_record(
    call: Call, entry: LedgerEntry, read_outcome: ReadOutcome
) -> Answer | Refused:
    """Return the response to a request that has run.

    The table is read if `entry` no longer holds the body.
    """
    stored = None if entry.body is not None else await _read(call, read_outcome)
    return answer_of_entry(call, stored or entry)


async def answer_from_table(
    call: Call, reason: RefusalReason | None, read_outcome: ReadOutcome
) -> Answer | Refused:
    """Return the outcome that the table holds for a key without a usable record here.

    The outcome of a key that is missing in the table is unknown, because outcomes are
    written asynchronously, after the reply.
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
