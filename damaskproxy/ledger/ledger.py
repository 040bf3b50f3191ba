"""The ledger: at most one execution per idempotency key."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.events import Throttle, log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.attempts import AttemptRunner, Dispatch, refuse
from damaskproxy.ledger.books import Attempt, Book, Books, Issuer, Record, entry_of
from damaskproxy.ledger.compact import CompactBlock
from damaskproxy.ledger.entries import (
    LedgerEntry,
    fingerprint_of,
    mismatch,
    refused_of,
)
from damaskproxy.ledger.inheritance import Inheritance
from damaskproxy.ledger.keys import IssuedKey, KeyRing
from damaskproxy.ledger.recall import (
    ReadOutcome,
    from_record,
    from_table,
    read_nothing,
)
from damaskproxy.ledger.recent import RecentIds
from damaskproxy.ledger.retrying import may_retry
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["Ledger"]

logger = logging.getLogger(__name__)

MOVING_RETRY_AFTER_MS = 200
FULL_RETRY_AFTER_MS = 1000


class Ledger:
    """Ledger of this node and of the ledgers it inherited.

    Parameters
    ----------
    node_id, incarnation : str, int
        This node, the issuer of its own book.
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
        read_outcome: ReadOutcome = read_nothing,
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
        self._books = Books(now_s=now_s, wall_s=wall_s, settings=settings)
        memory = (settings.attempt_memory_ms / 1000, settings.attempts_max)
        self._submissions: RecentIds[bool] = RecentIds(*memory, now_s=now_s)
        self._early_cancels: RecentIds[bool] = RecentIds(*memory, now_s=now_s)
        # Places of the records of attempts that ended with outcome unknown.
        self._unresolved: RecentIds[tuple[Book, int]] = RecentIds(*memory, now_s=now_s)
        self._full_log = Throttle(now_s)
        self._running: set[asyncio.Task] = set()
        self._frozen = False
        self._books.open((node_id, incarnation), sealed=False)
        self._inheritance = Inheritance(
            self._books,
            key_ring,
            incarnation=incarnation,
            settings=settings,
            on_outcome=on_outcome,
        )

    async def submit(self, call: Call, dispatch: Dispatch) -> Answer | Refused:
        """Run `call` at most once, or return what is known about its key.

        Parameters
        ----------
        call : Call
            Carries an issued key; its attempt id names this submission.
        dispatch : callable
            Sends one attempt; its reply returns the unused retry tokens. After an
            exception the start of the attempt is not ruled out.

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
            return refuse(call, RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN)
        book = self._books.get(issued.issuer)
        if book is None:
            return await self._from_table(call)
        record = self._books.find(book, issued)
        if record is not None and record.fingerprint != fingerprint_of(call):
            return mismatch(call)
        if record is not None and record.attempt is None:
            if record.outcome is Outcome.RUN:
                entry = self._entry(book, issued.serial, record)
                return await from_record(call, entry, self._read_outcome)
            if record.outcome is Outcome.UNKNOWN:
                return await self._from_table(call, record.reason)
        if book.sealed:
            return await self._from_table(call)
        return await self._join_or_start(call, dispatch, book, issued, record)

    def cancel(self, attempt_id: str) -> None:
        """Withdraw a submission that has not arrived; else cancel its `submit`."""
        self._early_cancels.put(attempt_id, True, evict=True)

    def handle_late_reply(self, reply: Answer | Refused) -> bool:
        """Take the reply to an attempt whose outcome was unknown so far.

        Returns
        -------
        bool
            Whether it told something new; a resend of the key then gets it.
        """
        place = self._unresolved.get(reply.attempt_id)
        if place is None:
            return False
        book, serial = place
        record = book.records.get(serial)
        if record is None or record.attempt or record.outcome is not Outcome.UNKNOWN:
            return False
        self._finish(book, serial, record, reply)
        return record.outcome is not Outcome.UNKNOWN

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

    def issuers(self) -> list[tuple[Issuer, bool]]:
        """Return the issuers of the books held here, and whether each is sealed."""
        return [(book.issuer, book.sealed) for book in self._books]

    def snapshot(self, issuer: Issuer | None = None) -> list[LedgerEntry]:
        """Return the full records of one book or of all.

        A running attempt appears with outcome unknown.
        """
        return [
            self._entry(book, serial, record)
            for book in self._books
            if issuer in (None, book.issuer)
            for serial, record in book.records.items()
        ]

    def compact_blocks(self, issuer: Issuer) -> list[CompactBlock]:
        """Return the records of one book that `snapshot` leaves out."""
        return self._books.get(issuer).compact.blocks()

    def stage(
        self,
        handover_id: str,
        entries: Sequence[LedgerEntry],
        *,
        blocks: Sequence[CompactBlock] = (),
    ) -> bool:
        """Keep a part of a hand-over that is not activated yet."""
        staged = self._inheritance.stage
        return not self._frozen and staged(handover_id, entries, blocks)

    def adopt(
        self,
        node_id: str,
        incarnation: int,
        entries: Sequence[LedgerEntry],
        sealed: bool,
        *,
        handover_id: str = "",
        **parts: object,
    ) -> bool:
        """Take over the ledger of another node, and tell whether it is held here.

        The other parameters are those of `Inheritance.adopt`. A hand-over id that was
        adopted by this incarnation changes nothing and is confirmed again.
        """
        if self._inheritance.is_done(handover_id):
            return True
        if self._frozen:
            return False
        parts["handover_id"] = handover_id
        return self._inheritance.adopt((node_id, incarnation), entries, sealed, **parts)

    def mark_written(self, key: str) -> None:
        """Note that the table holds the answer of `key`, so its body may be dropped."""
        issued = self._key_ring.parse_any_age(key)
        book = self._books.get(issued.issuer) if issued else None
        if book and issued.serial in book.records:
            book.records[issued.serial].written = True

    def sweep(self) -> None:
        """Drop what retention no longer covers; called every few seconds."""
        self._books.sweep()

    def stats(self) -> dict[str, int]:
        """Return the figures of ``/status``."""
        return {
            "entries": self._books.count,
            "compact_blocks": self._books.compact_blocks(),
            "body_bytes": self._books.body_bytes,
            "running": len(self._running),
            "submissions": len(self._submissions),
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
            return refuse(call, RefusalReason.CANCELLED, outcome)
        if running:
            return await self._wait(call, record.attempt, deadline_s, starter=False)
        if book.frozen:
            # The heir may have started the key already.
            return refuse(
                call,
                RefusalReason.LEDGER_MOVING,
                Outcome.UNKNOWN,
                retry_after_ms=MOVING_RETRY_AFTER_MS,
            )
        if repeated:
            # The first copy ended without a start, so this one must not start either.
            reason = record.reason if record is not None else None
            return refuse(call, reason or RefusalReason.CANCELLED, Outcome.NOT_RUN)
        refused = self._reserve(call, book, issued, record)
        if refused is not None:
            return refused
        attempt = self._start(call, dispatch, book, issued.serial)
        return await self._wait(call, attempt, deadline_s, starter=True)

    def _reserve(
        self, call: Call, book: Book, issued: IssuedKey, record: Record | None
    ) -> Refused | None:
        """Make the record of an attempt, or say why none may start."""
        if min(call.deadline_ms, call.start_by_ms) == 0:
            return refuse(call, RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN)
        if record is not None and record.tokens_left == 0:
            return refuse(call, RefusalReason.RETRY_ALLOWANCE_SPENT, Outcome.NOT_RUN)
        if issued.serial not in book.records and not self._books.has_room():
            return self._full(call, Outcome.NOT_RUN)
        if record is None:
            record = Record(fingerprint_of(call), issued.expiry_s, call.retry_tokens)
        else:
            record.tokens_left -= 1
        self._books.add(book, issued.serial, record)
        return None

    def _start(
        self, call: Call, dispatch: Dispatch, book: Book, serial: int
    ) -> Attempt:
        record = book.records[serial]
        record.outcome = Outcome.UNKNOWN
        record.attempt = attempt = Attempt()
        work = self._runner.run(
            call,
            dispatch,
            record,
            finish=partial(self._finish, book, serial, record),
            unresolved=lambda attempt_id: self._unresolved.put(
                attempt_id, (book, serial), evict=True
            ),
        )
        attempt.task = asyncio.ensure_future(work)
        self._running.add(attempt.task)
        attempt.task.add_done_callback(self._running.discard)
        return attempt

    def _finish(
        self, book: Book, serial: int, record: Record, result: Answer | Refused
    ) -> None:
        record.attempt = None
        record.completed_s = self._wall_s()
        if isinstance(result, Refused):
            record.outcome = result.outcome
            record.reason = result.reason
            self._books.complete(book, serial, record)
            return
        record.outcome = Outcome.RUN
        record.reason = None
        record.status = result.status
        record.headers, record.body = result.headers, result.body
        entry = self._entry(book, serial, record)
        self._books.complete(book, serial, record)
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
            return refuse(call, RefusalReason.DEADLINE_PASSED, Outcome.UNKNOWN)
        if attempt.task.cancelled():
            return refuse(call, RefusalReason.STOPPING, Outcome.UNKNOWN)
        result = attempt.task.result()
        # Tokens of a key that may be sent again stay with its record.
        final = starter and isinstance(result, Answer)
        tokens_left = result.tokens_left if final else 0
        return msgspec.structs.replace(
            result, attempt_id=call.attempt_id, tokens_left=tokens_left, load=None
        )

    async def _from_table(
        self, call: Call, reason: RefusalReason | None = RefusalReason.LEDGER_LOST
    ) -> Answer | Refused:
        return await from_table(call, reason, self._read_outcome)

    def _entry(self, book: Book, serial: int, record: Record) -> LedgerEntry:
        key = self._key_ring.text_of(book.issuer, serial, record.expiry_s)
        return entry_of(key, record)

    def _full(self, call: Call, outcome: Outcome) -> Refused:
        if self._full_log.ready():
            log_event(logger, events.ENTRIES_FULL, entries=self._books.count)
        return refuse(
            call,
            RefusalReason.OVERLOAD_QUEUE_FULL,
            outcome,
            retry_after_ms=FULL_RETRY_AFTER_MS,
            detail="the ledger has no room for another key",
        )
