"""Settings of the ledger of non-idempotent requests."""

from typing import Annotated

import msgspec

__all__ = ["LedgerSettings"]

HOUR_MS = 3_600_000
MINUTE_MS = 60_000

Positive = msgspec.Meta(ge=1)


class LedgerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retention, bounds and write intervals of the ledger.

    Parameters
    ----------
    key_lifetime_ms : int
        Time from the issue of a key to its expiry.
    clock_margin_ms : int
        Records are kept for this long after their keys expire, so that a node whose
        wall clock is behind by less than this still finds them.
    body_retention_ms : int
        Time for which the body of a response stays in memory after completion.
    entries_max : int
        Maximum number of full records in memory, about 350 bytes each; beyond it the
        oldest are converted to compact records.
    compact_blocks_max : int
        Maximum number of blocks of 64 compact records, about 860 bytes each. 30,000
        blocks hold 1.9 million keys, which is 22 keys/s over 24 h; beyond it new keys
        are refused.
    bodies_max_bytes : int
        Maximum size of response headers and bodies in memory; the oldest are evicted
        first.
    attempt_memory_ms : int
        Retention of the ids of submissions and attempts. It exceeds the longest delay
        after which a duplicate of a frame may still arrive.
    attempts_max : int
        Maximum number of retained ids; an attempt beyond it is refused with outcome
        unknown.
    flush_interval_ms : int
        Time between two commits of outcomes. 30 s keeps 5,000 nodes at 167 commits/s.
    flush_rows_max : int
        Maximum number of rows in one commit.
    bucket_serials : int
        Serial numbers that share one outcome row.
    inline_body_max_bytes : int
        Responses above this size are stored in a separate outcome row.
    pending_max : int
        Maximum number of outcomes that wait to be written to the table.
    pending_max_bytes : int
        Maximum size of the responses that wait; above it the bodies of the oldest are
        dropped and only their outcomes are written.
    backoff_max_ms : int
        Longest pause after failures of the table.
    table_timeout_ms : int
        Timeout of writing one batch of outcomes.
    pin_timeout_ms : int
        Timeout of resolving a caller-chosen key in the table.
    pin_cache_max : int
        Maximum number of resolved caller-chosen keys in memory.
    handover_entries_max : int
        Maximum number of entries or blocks in one hand-over message.
    handover_attempts : int
        Deliveries of a message that are tried before another heir is chosen.
    handover_pause_ms : int
        Pause before a message to an heir is sent again.
    """

    key_lifetime_ms: Annotated[int, Positive] = 24 * HOUR_MS
    clock_margin_ms: Annotated[int, msgspec.Meta(ge=0)] = 5 * MINUTE_MS
    body_retention_ms: Annotated[int, Positive] = 15 * MINUTE_MS
    entries_max: Annotated[int, Positive] = 50_000
    compact_blocks_max: Annotated[int, Positive] = 30_000
    bodies_max_bytes: Annotated[int, Positive] = 16 << 20
    attempt_memory_ms: Annotated[int, Positive] = 10 * MINUTE_MS
    attempts_max: Annotated[int, Positive] = 50_000
    flush_interval_ms: Annotated[int, Positive] = 30_000
    flush_rows_max: Annotated[int, Positive] = 32
    bucket_serials: Annotated[int, Positive] = 64
    inline_body_max_bytes: Annotated[int, Positive] = 8 << 10
    pending_max: Annotated[int, Positive] = 50_000
    pending_max_bytes: Annotated[int, Positive] = 8 << 20
    backoff_max_ms: Annotated[int, Positive] = 2 * MINUTE_MS
    table_timeout_ms: Annotated[int, Positive] = 10_000
    pin_timeout_ms: Annotated[int, Positive] = 1_000
    pin_cache_max: Annotated[int, Positive] = 10_000
    handover_entries_max: Annotated[int, Positive] = 500
    handover_attempts: Annotated[int, Positive] = 5
    handover_pause_ms: Annotated[int, Positive] = 200
