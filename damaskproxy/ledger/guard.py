"""Checks on the target node between the arrival of an attempt and its start."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.ledger.recent import RecentIds
from damaskproxy.ledger.settings import LedgerSettings
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["AttemptGuard", "AttemptState", "AttemptTicket", "DuplicateAttempt"]


class AttemptState(StrEnum):
    """Progress of an attempt on the target node."""

    CANCELLED = "cancelled"
    WAITING = "waiting"
    STARTED = "started"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class AttemptTicket:
    """An attempt that has arrived; it outlives the call and therefore holds no body.

    Parameters
    ----------
    attempt_id : str
        Attempt id.
    retry_tokens : int
        Retry tokens that a refusal returns.
    start_by_s, deadline_s : float
        Latest start and deadline on the local monotonic clock.
    state : AttemptState
        Progress of the attempt.
    refused : Refused, optional
        The refusal that ended the attempt; a duplicate gets the same one.
    """

    attempt_id: str
    retry_tokens: int
    start_by_s: float
    deadline_s: float
    state: AttemptState = AttemptState.WAITING
    refused: Refused | None = None


@dataclass(frozen=True, slots=True)
class DuplicateAttempt:
    """A duplicate of an attempt that has already arrived; it gets no reply.

    A reply to the duplicate would be taken for the reply to the original, because
    replies are correlated by attempt id.
    """

    attempt_id: str


class AttemptGuard:
    """Refuses duplicate, cancelled and late attempts.

    Parameters
    ----------
    now_s : callable
        Monotonic clock of the target node in seconds.
    settings : LedgerSettings
        Retention and maximum number of attempt ids.

    Notes
    -----
    Ids of idempotent attempts are not kept, except cancelled ones. The outcome not-run
    is reported only for an id that is kept as refused, so that no later duplicate can
    run. Early cancellations are kept in a separate map that evicts the oldest: losing
    one only wastes work, while losing a refused id could make a reported not-run false.
    """

    def __init__(
        self, *, now_s: Callable[[], float], settings: LedgerSettings | None = None
    ):
        settings = settings or LedgerSettings()
        retention_s = settings.attempt_memory_ms / 1000
        self._now_s = now_s
        self._tickets: RecentIds[AttemptTicket] = RecentIds(
            retention_s, settings.attempts_max, now_s=now_s
        )
        self._early_cancels: RecentIds[bool] = RecentIds(
            retention_s, settings.attempts_max, now_s=now_s
        )

    def arrived(self, call: Call) -> AttemptTicket | Refused | DuplicateAttempt:
        """Register an attempt whose frame has arrived."""
        existing = self._tickets.get(call.attempt_id)
        if existing is not None:
            return existing.refused or DuplicateAttempt(call.attempt_id)
        ticket = self._ticket_of(call)
        if not call.idempotent and not self._tickets.put(call.attempt_id, ticket):
            return _refused(
                ticket,
                RefusalReason.OVERLOAD_QUEUE_FULL,
                Outcome.UNKNOWN,
                "the node remembers no further attempt",
            )
        if self._early_cancels.get(call.attempt_id):
            self.withdraw(ticket)
        return ticket.refused or ticket

    def _ticket_of(self, call: Call) -> AttemptTicket:
        now_s = self._now_s()
        start_by_ms = min(call.start_by_ms, call.deadline_ms)
        return AttemptTicket(
            call.attempt_id,
            call.retry_tokens,
            now_s + start_by_ms / 1000,
            now_s + call.deadline_ms / 1000,
        )

    def start(self, ticket: AttemptTicket) -> Refused | None:
        """Decide whether the attempt starts, just before the backend server is called.

        Returns
        -------
        Refused or None
            None if the attempt counts as started from now on. A refusal is final.
        """
        if ticket.state is AttemptState.CANCELLED:
            return ticket.refused
        if ticket.state is not AttemptState.WAITING:
            raise ValueError("an attempt can be started only once")
        if self._now_s() >= ticket.start_by_s:
            return self._end(
                ticket, RefusalReason.START_BY_PASSED, "its start-by time has passed"
            )
        ticket.state = AttemptState.STARTED
        return None

    def cancel(self, attempt_id: str) -> AttemptState | None:
        """Cancel an attempt that has not started, even if it has not arrived yet.

        Returns
        -------
        AttemptState or None
            ``cancelled`` if the attempt was waiting and is now refused, None if it has
            not arrived, else its state, which the cancellation does not change.
        """
        ticket = self._tickets.get(attempt_id)
        if ticket is None:
            self._early_cancels.put(attempt_id, True, evict=True)
            return None
        self.withdraw(ticket)
        return ticket.state

    def withdraw(self, ticket: AttemptTicket) -> None:
        """Cancel a waiting attempt by its ticket, also one whose id is not kept."""
        if ticket.state is AttemptState.WAITING:
            self._end(ticket, RefusalReason.CANCELLED, "the attempt was cancelled")
            ticket.state = AttemptState.CANCELLED

    def refuse(self, ticket: AttemptTicket, refused: Refused) -> Refused:
        """Record a refusal before the start, for example by admission control."""
        if ticket.state is AttemptState.WAITING:
            ticket.state = AttemptState.ENDED
            ticket.refused = refused
        return ticket.refused or refused

    def finished(self, ticket: AttemptTicket, result: Answer | Refused) -> None:
        """Record the end of a started attempt."""
        ticket.state = AttemptState.ENDED
        if isinstance(result, Refused):
            ticket.refused = result

    def _end(
        self, ticket: AttemptTicket, reason: RefusalReason, detail: str
    ) -> Refused:
        ticket.state = AttemptState.ENDED
        ticket.refused = _refused(ticket, reason, Outcome.NOT_RUN, detail)
        return ticket.refused


def _refused(
    ticket: AttemptTicket, reason: RefusalReason, outcome: Outcome, detail: str
) -> Refused:
    return Refused(
        ticket.attempt_id,
        reason,
        outcome,
        tokens_left=ticket.retry_tokens,
        detail=detail,
    )
