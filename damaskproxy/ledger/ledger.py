"""The ledger: at most one execution per idempotency key."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from damaskproxy.common import DamaskError, Outcome, Refusal, RefusalReason
from damaskproxy.events import log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.books import Attempt, Book, Books, Issuer, Record
from damaskproxy.ledger.entries import (
    LedgerEntry,
    answer_of_entry,
    fingerprint_of,
    mismatch,
    refused_of,
)
from damaskproxy.ledger.inheritance import Inheritance
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.recent import RecentIds
from damaskproxy.ledger.retrying import may_retry
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.wire import Answer, Call, Purpose, Refused

__all__ = ["Dispatch", "Ledger", "ReadOutcome"]

Dispatch = Callable[[Call], Awaitable[Answer | Refused]]
ReadOutcome = Callable[[str], Awaitable[LedgerEntry | None]]

logger = logging.getLogger(__name__)

MOVING_RETRY_AFTER_MS = 200
FULL_RETRY_AFTER_MS = 1000


async def _read_nothing(_key: str) -> LedgerEntry | None:
    return None


class Ledger:
    """Ledger of this node and of the ledgers it inherited.

    Parameters
    ----------
    node_id, incarnation : str, int
        This node, the issuer of the keys of its own book.
    key_ring : KeyRing
        Verifies keys.
    now_s, wall_s : callable
        Monotonic and Unix time in seconds.
    new_attempt_id : callable
        Returns the id of a new attempt.
    settings : LedgerSettings
        Retention and bounds.
    read_outcome : callable
        ``OutcomeWriter.read``: returns what the table knows about a key.
    on_outcome : callable
        ``OutcomeWriter.add``: receives the entry of each request that has run.
    retry : callable
        Tells whether another attempt follows a refusal that started nothing. A
        composition whose dispatcher retries by itself passes ``never_retry``.

    Notes
    -----
    The outcome of a reply speaks about the key over all its submissions. Not-run is
    said only while no attempt of the key can have started.
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
        read_outcome: ReadOutcome = _read_nothing,
        on_outcome: Callable[[LedgerEntry], None] = lambda entry: None,
        retry: Callable[[Sequence[Refused]], bool] = may_retry,
    ):
        self._settings = settings = settings or LedgerSettings()
        self._key_ring = key_ring
        self._now_s = now_s
        self._wall_s = wall_s
        self._new_attempt_id = new_attempt_id
        self._read_outcome = read_outcome
        self._on_outcome = on_outcome
        self._retry = retry
        self._books = Books(now_s=now_s, wall_s=wall_s, settings=settings)
        memory_s = settings.attempt_memory_ms / 1000
        self._submissions: RecentIds[bool] = RecentIds(
            memory_s, settings.attempts_max, now_s=now_s
        )
        self._early_cancels: RecentIds[bool] = RecentIds(
            memory_s, settings.attempts_max, now_s=now_s
        )
        self._running: set[asyncio.Task] = set()
        self._frozen = False
        self._books.open((node_id, incarnation), sealed=False)
        self._inheritance = Inheritance(
            self._books, key_ring, incarnation=incarnation, settings=settings
        )

    async def submit(self, call: Call, dispatch: Dispatch) -> Answer | Refused:
        """Run `call` at most once, or return what is known about its key.

        Parameters
        ----------
        call : Call
            Carries an issued key; its attempt id names this submission.
        dispatch : callable
            Sends one attempt and returns the unused retry tokens with its reply. An
            exception counts as an attempt whose start is not ruled out.

        Returns
        -------
        Answer or Refused
            Addressed to the attempt id of `call`.

        Notes
        -----
        When the submission is cancelled or its deadline passes, the attempt goes on.
        """
        issued = self._key_ring.parse_any_age(call.key)
        if not isinstance(issued, IssuedKey):
            return refused_of(call, issued)
        if self._books.is_expired(issued):
            return _refused(call, RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN)
        book = self._books.get(issued.issuer)
        if book is None:
            return await self._from_table(call, RefusalReason.LEDGER_LOST)
        record = book.records.get(issued.serial)
        if record is not None and record.fingerprint != fingerprint_of(call):
            return mismatch(call)
        if record is not None and record.attempt is None:
            if record.outcome is Outcome.RUN:
                return await self._recorded(call, book, issued.serial)
            if record.outcome is Outcome.UNKNOWN:
                return await self._from_table(call, record.reason)
        if book.sealed:
            return await self._from_table(call, RefusalReason.LEDGER_LOST)
        return await self._join_or_start(call, dispatch, book, issued, record)

    def cancel(self, attempt_id: str) -> None:
        """Remember that a submission was withdrawn, also before it arrives.

        A submission that arrived is withdrawn by cancelling its `submit`.
        """
        self._early_cancels.put(attempt_id, True, evict=True)

    def freeze(self) -> None:
        """Start no attempt for any key from now on; running attempts go on."""
        if self._frozen:
            return
        self._frozen = True
        for book in self._books:
            book.frozen = True
        log_event(logger, events.FROZEN, entries=self._books.count)

    async def idle(self) -> None:
        """Wait until no attempt runs."""
        while self._running:
            await asyncio.wait(self._running)

    def running(self) -> int:
        """Return the number of attempts that run."""
        return len(self._running)

    def issuers(self) -> list[tuple[Issuer, bool]]:
        """Return the issuers of the books held here, and whether each is sealed."""
        return [(book.issuer, book.sealed) for book in self._books]

    def snapshot(self, issuer: Issuer | None = None) -> list[LedgerEntry]:
        """Return the entries of one book or of all.

        A running attempt appears with outcome unknown.
        """
        return [
            self._entry(book, serial, record)
            for book in self._books
            if issuer in (None, book.issuer)
            for serial, record in book.records.items()
        ]

    def stage(self, handover_id: str, entries: Sequence[LedgerEntry]) -> bool:
        """Keep entries of a hand-over that is not activated yet."""
        return not self._frozen and self._inheritance.stage(handover_id, entries)

    def adopt(
        self,
        node_id: str,
        incarnation: int,
        entries: Sequence[LedgerEntry],
        sealed: bool,
        *,
        handover_id: str = "",
        entry_count: int | None = None,
        heir_incarnation: int | None = None,
    ) -> bool:
        """Take over the ledger of another node, and tell whether it is held here.

        Parameters
        ----------
        node_id, incarnation : str, int
            Issuer of the keys.
        entries : sequence of LedgerEntry
            The entries, or the last part of them after `stage`.
        sealed : bool
            Whether nothing may be dispatched for these keys.
        handover_id : str
            A repeated id changes nothing and is confirmed again.
        entry_count : int, optional
            Entries in all parts; the hand-over is refused when some are missing.
        heir_incarnation : int, optional
            Incarnation of this node that the sender means. A message that reaches a
            later incarnation is refused: its entries are older than what the earlier
            incarnation has dispatched.
        """
        if self._inheritance.is_done(handover_id):
            return True
        if self._frozen:
            return False
        return self._inheritance.adopt(
            (node_id, incarnation),
            entries,
            sealed,
            handover_id=handover_id,
            entry_count=entry_count,
            heir_incarnation=heir_incarnation,
        )

    def mark_written(self, key: str) -> None:
        """Note that the table holds the answer of `key`, so its body may be dropped."""
        issued = self._key_ring.parse_any_age(key)
        book = self._books.get(issued.issuer) if issued else None
        record = book.records.get(issued.serial) if book else None
        if record is not None:
            record.written = True

    def sweep(self) -> None:
        """Drop what retention no longer covers; called every few seconds."""
        self._books.sweep()

    def stats(self) -> dict[str, int]:
        """Return the figures of ``/status``."""
        return {
            "entries": self._books.count,
            "body_bytes": self._books.body_bytes,
            "running": len(self._running),
            "submissions": len(self._submissions),
            "books": sum(1 for _ in self._books),
        }

    async def _join_or_start(
        self,
        call: Call,
        dispatch: Dispatch,
        book: Book,
        issued: IssuedKey,
        record: Record | None,
    ) -> Answer | Refused:
        deadline_s = self._now_s() + call.deadline_ms / 1000
        running = record is not None and record.attempt is not None
        repeated = self._submissions.get(call.attempt_id)
        if not repeated and not self._submissions.put(call.attempt_id, True):
            # Without memory of this submission a duplicate of it could run later.
            return self._full(call, Outcome.UNKNOWN)
        if self._early_cancels.get(call.attempt_id):
            outcome = Outcome.UNKNOWN if running or book.frozen else Outcome.NOT_RUN
            return _refused(call, RefusalReason.CANCELLED, outcome)
        if running:
            return await self._wait(call, record.attempt, deadline_s, starter=False)
        if repeated:
            # The first copy was told not-run, so this copy must not run.
            return _refused(call, RefusalReason.CANCELLED, Outcome.UNKNOWN)
        if book.frozen:
            # The heir may have started the key already.
            return _refused(
                call,
                RefusalReason.LEDGER_MOVING,
                Outcome.UNKNOWN,
                retry_after_ms=MOVING_RETRY_AFTER_MS,
            )
        refused = self._reserve(call, book, issued, record)
        if refused is not None:
            return refused
        attempt = self._start(call, dispatch, book, issued.serial, deadline_s)
        return await self._wait(call, attempt, deadline_s, starter=True)

    def _reserve(
        self, call: Call, book: Book, issued: IssuedKey, record: Record | None
    ) -> Refused | None:
        """Make the record of an attempt, or say why none may start."""
        if min(call.deadline_ms, call.start_by_ms) == 0:
            return _refused(call, RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN)
        if record is None:
            if self._books.is_full():
                return self._full(call, Outcome.NOT_RUN)
            record = Record(fingerprint_of(call), issued.expiry_s, call.retry_tokens)
            self._books.add(book, issued.serial, record)
            return None
        if record.tokens_left == 0:
            return _refused(call, RefusalReason.RETRY_ALLOWANCE_SPENT, Outcome.NOT_RUN)
        record.tokens_left -= 1
        return None

    def _start(
        self, call: Call, dispatch: Dispatch, book: Book, serial: int, deadline_s: float
    ) -> Attempt:
        record = book.records[serial]
        start_by_s = self._now_s() + min(call.start_by_ms, call.deadline_ms) / 1000
        record.outcome = Outcome.UNKNOWN
        record.attempt = attempt = Attempt()
        attempt.task = asyncio.ensure_future(
            self._run(call, dispatch, book, serial, deadline_s, start_by_s)
        )
        self._running.add(attempt.task)
        attempt.task.add_done_callback(self._running.discard)
        return attempt

    async def _run(
        self,
        call: Call,
        dispatch: Dispatch,
        book: Book,
        serial: int,
        deadline_s: float,
        start_by_s: float,
    ) -> Answer | Refused:
        record = book.records[serial]
        refusals: list[Refused] = []
        # Holds while a dispatch is in progress, in case this task is cancelled.
        cancelled = _refused(call, RefusalReason.STOPPING, Outcome.UNKNOWN)
        result: Answer | Refused = cancelled
        try:
            while True:
                result = cancelled
                result = await self._dispatch_once(
                    call, dispatch, record, deadline_s, start_by_s
                )
                if not self._retries(result, record, refusals):
                    return result
                record.tokens_left -= 1
        finally:
            self._finish(book, serial, record, result)

    async def _dispatch_once(
        self,
        call: Call,
        dispatch: Dispatch,
        record: Record,
        deadline_s: float,
        start_by_s: float,
    ) -> Answer | Refused:
        now_s = self._now_s()
        if now_s >= start_by_s:
            return _refused(call, RefusalReason.START_BY_PASSED, Outcome.NOT_RUN)
        attempt = msgspec.structs.replace(
            call,
            attempt_id=self._new_attempt_id(),
            purpose=Purpose.RUN,
            deadline_ms=_budget_ms(deadline_s - now_s),
            start_by_ms=_budget_ms(start_by_s - now_s),
            retry_tokens=record.tokens_left,
        )
        try:
            result = await dispatch(attempt)
        except Exception:
            log_event(logger, events.DISPATCH_FAILED, exc_info=True)
            result = _refused(call, RefusalReason.PEER_LOST, Outcome.UNKNOWN)
        record.tokens_left = min(record.tokens_left, result.tokens_left)
        return result

    def _retries(
        self, result: Answer | Refused, record: Record, refusals: list[Refused]
    ) -> bool:
        if isinstance(result, Answer) or result.outcome is not Outcome.NOT_RUN:
            return False
        refusals.append(result)
        if record.tokens_left == 0 or record.attempt.waiters == 0:
            return False
        return self._retry(refusals)

    def _finish(
        self, book: Book, serial: int, record: Record, result: Answer | Refused
    ) -> None:
        record.attempt = None
        record.completed_s = self._wall_s()
        if isinstance(result, Refused):
            record.outcome = result.outcome
            record.reason = result.reason
            return
        record.outcome = Outcome.RUN
        record.reason = None
        record.status = result.status
        record.headers, record.body = result.headers, result.body
        self._books.keep_body(record)
        entry = self._entry(book, serial, record)
        self._on_outcome(
            msgspec.structs.replace(entry, headers=result.headers, body=result.body)
        )

    async def _wait(
        self, call: Call, attempt: Attempt, deadline_s: float, *, starter: bool
    ) -> Answer | Refused:
        attempt.waiters += 1
        try:
            timeout_s = max(0.0, deadline_s - self._now_s())
            await asyncio.wait({attempt.task}, timeout=timeout_s)
        finally:
            attempt.waiters -= 1
        if not attempt.task.done():
            return _refused(call, RefusalReason.DEADLINE_PASSED, Outcome.UNKNOWN)
        if attempt.task.cancelled():
            return _refused(call, RefusalReason.STOPPING, Outcome.UNKNOWN)
        result = attempt.task.result()
        # Tokens of a key that may be sent again stay with its record.
        tokens_left = result.tokens_left if starter and _is_run(result) else 0
        return msgspec.structs.replace(
            result, attempt_id=call.attempt_id, tokens_left=tokens_left, load=None
        )

    async def _recorded(self, call: Call, book: Book, serial: int) -> Answer | Refused:
        entry = self._entry(book, serial, book.records[serial])
        if entry.body is not None:
            return answer_of_entry(call, entry)
        stored = await self._read(call.key)
        return answer_of_entry(call, stored or entry)

    async def _from_table(
        self, call: Call, reason: RefusalReason | None
    ) -> Answer | Refused:
        stored = await self._read(call.key)
        if stored is not None:
            return answer_of_entry(call, stored)
        return _refused(call, reason or RefusalReason.LEDGER_LOST, Outcome.UNKNOWN)

    async def _read(self, key: str) -> LedgerEntry | None:
        try:
            return await self._read_outcome(key)
        except DamaskError:
            return None

    def _entry(self, book: Book, serial: int, record: Record) -> LedgerEntry:
        return LedgerEntry(
            self._key_ring.text_of(book.issuer, serial, record.expiry_s),
            record.fingerprint,
            record.outcome,
            record.completed_s,
            record.tokens_left,
            record.status,
            record.headers or [],
            record.body,
            record.reason,
        )

    def _full(self, call: Call, outcome: Outcome) -> Refused:
        log_event(logger, events.ENTRIES_FULL, entries=self._books.count)
        return _refused(
            call,
            RefusalReason.OVERLOAD_QUEUE_FULL,
            outcome,
            retry_after_ms=FULL_RETRY_AFTER_MS,
            detail="the ledger has no room for another key",
        )


def _is_run(result: Answer | Refused) -> bool:
    return isinstance(result, Answer)


def _budget_ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))


def _refused(
    call: Call, reason: RefusalReason, outcome: Outcome, **fields: object
) -> Refused:
    return refused_of(call, Refusal(reason, outcome, **fields))
