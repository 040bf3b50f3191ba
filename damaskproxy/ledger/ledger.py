"""Ledger that allows at most one execution per idempotency key."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.events import Throttle, log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.attempts import AttemptRunner, Dispatch, refuse
from damaskproxy.ledger.compact import CompactBlock
from damaskproxy.ledger.entries import (
    LedgerEntry,
    fingerprint_of,
    key_mismatch,
    refused_of,
)
from damaskproxy.ledger.handover_receiver import HandoverReceiver
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.recent import RecentIds
from damaskproxy.ledger.retry_policy import may_retry
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.ledger.shards import Attempt, Issuer, Record, Shard, Shards, entry_of
from damaskproxy.ledger.stored_answers import (
    ReadOutcome,
    answer_from_record,
    answer_from_table,
    read_no_outcome,
)
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["Ledger"]

logger = logging.getLogger(__name__)

MOVING_RETRY_AFTER_MS = 200
FULL_RETRY_AFTER_MS = 1000


class Ledger:
    """Ledger of this node, with the shards that other nodes handed over to it.

    Parameters
    ----------
    node_id, incarnation : str, int
        This node, the issuer of the keys in its own shard.
    key_ring : KeyRing
        Verifies keys and formats those of records.
    now_s, wall_s : callable
        Monotonic and Unix time in seconds.
    new_attempt_id : callable
        Returns a new attempt id.
    settings : LedgerSettings
        Retention and bounds.
    read_outcome : callable
        ``OutcomeWriter.read``: returns the entry of a key from the table.
    on_outcome : callable
        ``OutcomeWriter.add``: receives the entry of each request that has run.
    retry : callable
        Returns whether to retry after not-run refusals. Pass ``never_retry`` if the
        dispatcher retries itself.

    Notes
    -----
    The outcome of a reply refers to the key, over all its submissions. The outcome
    not-run is reported only while no attempt of the key can have started.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        *,
        key_ring: KeyRing,
        now_s: Callable[[], float],
        wall_s: Callable[[], float],
        new_attempt_id: Callable[[], str],
        settings: LedgerSettings | None = None,
        read_outcome: ReadOutcome = read_no_outcome,
        on_outcome: Callable[[LedgerEntry], None] = lambda entry: None,
        retry: Callable[[Sequence[Refused]], bool] = may_retry,
    ):
        self._settings = settings = settings or LedgerSettings()
        self._key_ring = key_ring
        self._now_s = now_s
        self._wall_s = wall_s
        self._read_outcome = read_outcome
        self._on_outcome = on_outcome
        self._runner = AttemptRunner(
            now_s=now_s, new_attempt_id=new_attempt_id, retry=retry
        )
        self._shards = Shards(now_s=now_s, wall_s=wall_s, settings=settings)
        id_bounds = (settings.attempt_memory_ms / 1000, settings.attempts_max)
        self._submissions: RecentIds[bool] = RecentIds(*id_bounds, now_s=now_s)
        self._early_cancels: RecentIds[bool] = RecentIds(*id_bounds, now_s=now_s)
        # Shard and serial of the records of attempts that ended with outcome unknown.
        self._unresolved: RecentIds[tuple[Shard, int]] = RecentIds(
            *id_bounds, now_s=now_s
        )
        self._full_log = Throttle(now_s)
        self._running: set[asyncio.Task] = set()
        self._frozen = False
        self._shards.open((node_id, incarnation), sealed=False)
        self._handover_receiver = HandoverReceiver(
            self._shards,
            key_ring,
            incarnation=incarnation,
            settings=settings,
            on_outcome=on_outcome,
        )

    async def submit(self, call: Call, dispatch: Dispatch) -> Answer | Refused:
        """Run `call` at most once, or return the recorded outcome of its key.

        Parameters
        ----------
        call : Call
            Carries an issued key; its attempt id identifies this submission.
        dispatch : callable
            Sends one attempt; its reply returns the unused retry tokens. After an
            exception the attempt may have started.

        Returns
        -------
        Answer or Refused
            Addressed to the attempt id of `call`.

        Notes
        -----
        The attempt continues if the submission is cancelled or its deadline passes.
        """
        issued = self._key_ring.parse_ignoring_expiry(call.key)
        if not isinstance(issued, IssuedKey):
            return refused_of(call, issued)
        if self._shards.is_expired(issued):
            return refuse(call, RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN)
        shard = self._shards.get(issued.issuer)
        if shard is None:
            return await self._answer_from_table(call)
        record = self._shards.find(shard, issued)
        if record is not None and record.fingerprint != fingerprint_of(call):
            return key_mismatch(call)
        if record is not None and record.attempt is None:
            if record.outcome is Outcome.RUN:
                entry = self._entry(shard, issued.serial, record)
                return await answer_from_record(call, entry, self._read_outcome)
            if record.outcome is Outcome.UNKNOWN:
                return await self._answer_from_table(call, record.reason)
        if shard.sealed:
            return await self._answer_from_table(call)
        return await self._join_or_start(call, dispatch, shard, issued, record)

    def cancel(self, attempt_id: str) -> None:
        """Refuse a submission that has not arrived yet.

        To cancel a submission that has arrived, cancel its `submit`.
        """
        self._early_cancels.put(attempt_id, True, evict=True)

    def handle_late_reply(self, reply: Answer | Refused) -> bool:
        """Record the late reply to an attempt whose outcome was unknown so far.

        Returns
        -------
        bool
            Whether the reply settled the outcome, which later submissions of the key
            then receive.
        """
        location = self._unresolved.get(reply.attempt_id)
        if location is None:
            return False
        shard, serial = location
        record = shard.records.get(serial)
        if record is None or record.attempt or record.outcome is not Outcome.UNKNOWN:
            return False
        self._finish(shard, serial, record, reply)
        return record.outcome is not Outcome.UNKNOWN

    def freeze(self) -> None:
        """Start no further attempts; running attempts continue."""
        if self._frozen:
            return
        self._frozen = True
        for shard in self._shards:
            shard.frozen = True
        log_event(logger, events.FROZEN, entries=self._shards.count)

    async def wait_until_idle(self) -> None:
        """Wait until no attempt is running."""
        while self._running:
            await asyncio.wait(self._running)

    def issuers(self) -> list[tuple[Issuer, bool]]:
        """Return the issuers of the shards held here, and whether each is sealed."""
        return [(shard.issuer, shard.sealed) for shard in self._shards]

    def snapshot(self, issuer: Issuer | None = None) -> list[LedgerEntry]:
        """Return the full records of one shard, or of all.

        The outcome of a running attempt is unknown.
        """
        return [
            self._entry(shard, serial, record)
            for shard in self._shards
            if issuer in (None, shard.issuer)
            for serial, record in shard.records.items()
        ]

    def compact_blocks(self, issuer: Issuer) -> list[CompactBlock]:
        """Return the compact records of one shard, which `snapshot` leaves out."""
        return self._shards.get(issuer).compact.blocks()

    def stage(
        self,
        handover_id: str,
        entries: Sequence[LedgerEntry],
        *,
        blocks: Sequence[CompactBlock] = (),
    ) -> bool:
        """Store a part of a hand-over that is not activated yet."""
        staged = self._handover_receiver.stage
        return not self._frozen and staged(handover_id, entries, blocks)

    def take_over(
        self,
        node_id: str,
        incarnation: int,
        entries: Sequence[LedgerEntry],
        sealed: bool,
        *,
        handover_id: str = "",
        **parts: object,
    ) -> bool:
        """Take over a shard of another node, and return whether it is held here.

        The other parameters are those of `HandoverReceiver.take_over`. A hand-over id
        that this incarnation has already applied is confirmed again without effect.
        """
        if self._handover_receiver.is_completed(handover_id):
            return True
        if self._frozen:
            return False
        parts["handover_id"] = handover_id
        return self._handover_receiver.take_over(
            (node_id, incarnation), entries, sealed, **parts
        )

    def mark_written(self, key: str) -> None:
        """Record that the table holds the response, so that its body may be dropped."""
        issued = self._key_ring.parse_ignoring_expiry(key)
        shard = self._shards.get(issued.issuer) if issued else None
        if shard and issued.serial in shard.records:
            shard.records[issued.serial].written = True

    def sweep(self) -> None:
        """Drop expired responses and records; to be called every few seconds."""
        self._shards.sweep()

    def stats(self) -> dict[str, int]:
        """Return the statistics for ``/status``."""
        return {
            "entries": self._shards.count,
            "compact_blocks": self._shards.compact_blocks(),
            "body_bytes": self._shards.body_bytes,
            "running": len(self._running),
            "submissions": len(self._submissions),
        }

    async def _join_or_start(
        self,
        call: Call,
        dispatch: Dispatch,
        shard: Shard,
        issued: IssuedKey,
        record: Record | None,
    ) -> Answer | Refused:
        deadline_s = self._now_s() + call.deadline_ms / 1000
        running = record is not None and record.attempt is not None
        is_duplicate = self._submissions.get(call.attempt_id)
        if not is_duplicate and not self._submissions.put(call.attempt_id, True):
            # If the id of this submission is not kept, a duplicate could run later.
            return self._refuse_full(call, Outcome.UNKNOWN)
        if self._early_cancels.get(call.attempt_id):
            outcome = Outcome.UNKNOWN if running or shard.frozen else Outcome.NOT_RUN
            return refuse(call, RefusalReason.CANCELLED, outcome)
        if running:
            return await self._wait_for_attempt(
                call, record.attempt, deadline_s, starter=False
            )
        if shard.frozen:
            # The heir may have started the key already.
            return refuse(
                call,
                RefusalReason.LEDGER_MOVING,
                Outcome.UNKNOWN,
                retry_after_ms=MOVING_RETRY_AFTER_MS,
            )
        if is_duplicate:
            # The first copy was not started, and neither may this duplicate be.
            reason = record.reason if record is not None else None
            return refuse(call, reason or RefusalReason.CANCELLED, Outcome.NOT_RUN)
        refused = self._reserve(call, shard, issued, record)
        if refused is not None:
            return refused
        attempt = self._start(call, dispatch, shard, issued.serial)
        return await self._wait_for_attempt(call, attempt, deadline_s, starter=True)

    def _reserve(
        self, call: Call, shard: Shard, issued: IssuedKey, record: Record | None
    ) -> Refused | None:
        """Create or update the record for an attempt, or refuse to start one."""
        if min(call.deadline_ms, call.start_by_ms) == 0:
            return refuse(call, RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN)
        if record is not None and record.tokens_left == 0:
            return refuse(call, RefusalReason.RETRY_ALLOWANCE_SPENT, Outcome.NOT_RUN)
        if issued.serial not in shard.records and not self._shards.has_room():
            return self._refuse_full(call, Outcome.NOT_RUN)
        if record is None:
            record = Record(fingerprint_of(call), issued.expiry_s, call.retry_tokens)
        else:
            record.tokens_left -= 1
        self._shards.add(shard, issued.serial, record)
        return None

    def _start(
        self, call: Call, dispatch: Dispatch, shard: Shard, serial: int
    ) -> Attempt:
        record = shard.records[serial]
        record.outcome = Outcome.UNKNOWN
        record.attempt = attempt = Attempt()
        work = self._runner.run(
            call,
            dispatch,
            record,
            on_finish=partial(self._finish, shard, serial, record),
            on_unresolved=lambda attempt_id: self._unresolved.put(
                attempt_id, (shard, serial), evict=True
            ),
        )
        attempt.task = asyncio.ensure_future(work)
        self._running.add(attempt.task)
        attempt.task.add_done_callback(self._running.discard)
        return attempt

    def _finish(
        self, shard: Shard, serial: int, record: Record, result: Answer | Refused
    ) -> None:
        record.attempt = None
        record.completed_s = self._wall_s()
        if isinstance(result, Refused):
            record.outcome = result.outcome
            record.reason = result.reason
            self._shards.complete(shard, serial, record)
            return
        record.outcome = Outcome.RUN
        record.reason = None
        record.status = result.status
        record.headers, record.body = result.headers, result.body
        entry = self._entry(shard, serial, record)
        self._shards.complete(shard, serial, record)
        self._on_outcome(
            msgspec.structs.replace(entry, headers=result.headers, body=result.body)
        )

    async def _wait_for_attempt(
        self, call: Call, attempt: Attempt, deadline_s: float, *, starter: bool
    ) -> Answer | Refused:
        attempt.waiters += 1
        try:
            timeout_s = max(0.0, deadline_s - self._now_s())
            await asyncio.wait({attempt.task}, timeout=timeout_s)
        finally:
            attempt.waiters -= 1
        if not attempt.task.done():
            return refuse(call, RefusalReason.DEADLINE_PASSED, Outcome.UNKNOWN)
        if attempt.task.cancelled():
            return refuse(call, RefusalReason.STOPPING, Outcome.UNKNOWN)
        result = attempt.task.result()
        # The record keeps the tokens of a key that may be submitted again.
        final = starter and isinstance(result, Answer)
        tokens_left = result.tokens_left if final else 0
        return msgspec.structs.replace(
            result, attempt_id=call.attempt_id, tokens_left=tokens_left, load=None
        )

    async def _answer_from_table(
        self, call: Call, reason: RefusalReason | None = RefusalReason.LEDGER_LOST
    ) -> Answer | Refused:
        return await answer_from_table(call, reason, self._read_outcome)

    def _entry(self, shard: Shard, serial: int, record: Record) -> LedgerEntry:
        key = self._key_ring.format_key(shard.issuer, serial, record.expiry_s)
        return entry_of(key, record)

    def _refuse_full(self, call: Call, outcome: Outcome) -> Refused:
        if self._full_log.ready():
            log_event(logger, events.ENTRIES_FULL, entries=self._shards.count)
        return refuse(
            call,
            RefusalReason.OVERLOAD_QUEUE_FULL,
            outcome,
            retry_after_ms=FULL_RETRY_AFTER_MS,
            detail="the ledger has no room for another key",
        )
