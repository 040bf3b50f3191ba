"""Checks of the target node between the arrival of an attempt and its start."""

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
    """An attempt that arrived; it holds no body, because it outlives the call.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt.
    retry_tokens : int
        Tokens that a refusal returns.
    start_by_s, deadline_s : float
        Its budgets on the local monotonic clock.
    state : AttemptState
        Progress.
    refused : Refused, optional
        The refusal that ended it; a duplicate gets the same.
    """

    attempt_id: str
    retry_tokens: int
    start_by_s: float
    deadline_s: float
    state: AttemptState = AttemptState.WAITING
    refused: Refused | None = None


@dataclass(frozen=True, slots=True)
class DuplicateAttempt:
    """A copy of an attempt that is here already; the copy gets no reply.

    A reply to the copy would be taken for the reply to the first one, because replies
    are correlated by attempt id.
    """

    attempt_id: str


class AttemptGuard:
    """Refuses repeated, cancelled and late attempts.

    Parameters
    ----------
    now_s : callable
        Monotonic clock of the target node.
    settings : LedgerSettings
        How long and how many attempt ids are remembered.

    Notes
    -----
    Ids of idempotent attempts are not remembered, except cancelled ones. Not-run is
    said only of an id that is remembered as refused, so that no later copy can run.
    Early cancellations have a memory of their own, where the oldest makes room: losing
    one costs wasted work, while losing a refused id could break a promise.
    """

    def __init__(
        self, *, now_s: Callable[[], float], settings: LedgerSettings | None = None
    ):
        settings = settings or LedgerSettings()
        memory_s = settings.attempt_memory_ms / 1000
        self._now_s = now_s
        self._tickets: RecentIds[AttemptTicket] = RecentIds(
            memory_s, settings.attempts_max, now_s=now_s
        )
        self._early_cancels: RecentIds[bool] = RecentIds(
            memory_s, settings.attempts_max, now_s=now_s
        )

    def arrived(self, call: Call) -> AttemptTicket | Refused | DuplicateAttempt:
        """Register an attempt whose frame has arrived."""
        known = self._tickets.get(call.attempt_id)
        if known is not None:
            return known.refused or DuplicateAttempt(call.attempt_id)
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
        """Decide at the last moment before the backend server is called.

        Returns
        -------
        Refused or None
            None when the attempt counts as started from now on. A refusal is final.
        """
        if ticket.state is AttemptState.CANCELLED:
            return ticket.refused
        if ticket.state is not AttemptState.WAITING:
            raise ValueError("an attempt starts once")
        if self._now_s() >= ticket.start_by_s:
            return self._end(
                ticket, RefusalReason.START_BY_PASSED, "its start-by time has passed"
            )
        ticket.state = AttemptState.STARTED
        return None

    def cancel(self, attempt_id: str) -> AttemptState | None:
        """Withdraw an attempt that has not started, also one that has not arrived.

        Returns
        -------
        AttemptState or None
            ``cancelled`` when it was waiting and is refused now, None when it is
            unknown so far, else the state that the cancellation left as it was.
        """
        ticket = self._tickets.get(attempt_id)
        if ticket is None:
            self._early_cancels.put(attempt_id, True, evict=True)
            return None
        self.withdraw(ticket)
        return ticket.state

    def withdraw(self, ticket: AttemptTicket) -> None:
        """Cancel a waiting attempt; idempotent ones are withdrawn by their ticket."""
        if ticket.state is AttemptState.WAITING:
            self._end(ticket, RefusalReason.CANCELLED, "the attempt was cancelled")
            ticket.state = AttemptState.CANCELLED

    def refuse(self, ticket: AttemptTicket, refused: Refused) -> Refused:
        """Record a refusal before the start, for example of the admission control."""
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
