"""Attempts of one key, from the first dispatch to the final reply."""

import logging
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.events import log_event
from damaskproxy.ledger import events
from damaskproxy.ledger.entries import refused_of
from damaskproxy.ledger.shards import Record
from damaskproxy.wire import Answer, Call, Purpose, Refused

__all__ = ["AttemptRunner", "Dispatch", "refuse"]

Dispatch = Callable[[Call], Awaitable[Answer | Refused]]

logger = logging.getLogger(__name__)


class AttemptRunner:
    """Dispatches a call, with retries while no attempt can have started.

    Parameters
    ----------
    now_s : callable
        Monotonic clock in seconds.
    new_attempt_id : callable
        Returns a new attempt id.
    retry : callable
        Returns whether to retry after the given not-run refusals, oldest first.
    """

    def __init__(
        self,
        *,
        now_s: Callable[[], float],
        new_attempt_id: Callable[[], str],
        retry: Callable[[Sequence[Refused]], bool],
    ):
        self._now_s = now_s
        self._new_attempt_id = new_attempt_id
        self._retry = retry

    async def run(
        self,
        call: Call,
        dispatch: Dispatch,
        record: Record,
        *,
        on_finish: Callable[[Answer | Refused], None],
        on_unresolved: Callable[[str], object],
    ) -> Answer | Refused:
        """Run attempts of `call` until one gives the final reply, and return it.

        Parameters
        ----------
        call, dispatch, record : Call, Dispatch, Record
            The request, the function that sends an attempt to a target, and the record
            of the key.
        on_finish : callable
            Receives the final reply.
        on_unresolved : callable
            Receives the id of an attempt that ended with outcome unknown.
        """
        arrived_s = self._now_s()
        start_by_s = arrived_s + min(call.start_by_ms, call.deadline_ms) / 1000
        deadline_s = arrived_s + call.deadline_ms / 1000
        refusals: list[Refused] = []
        # The result if this task is cancelled while a dispatch is in progress.
        unknown_outcome = refuse(call, RefusalReason.STOPPING, Outcome.UNKNOWN)
        result: Answer | Refused = unknown_outcome
        try:
            while True:
                result = unknown_outcome
                result = await self._attempt_once(
                    call, dispatch, record, deadline_s, start_by_s, on_unresolved
                )
                if not self._should_retry(result, record, refusals):
                    return result
                record.tokens_left -= 1
        finally:
            on_finish(result)

    async def _attempt_once(
        self,
        call: Call,
        dispatch: Dispatch,
        record: Record,
        deadline_s: float,
        start_by_s: float,
        on_unresolved: Callable[[str], object],
    ) -> Answer | Refused:
        now_s = self._now_s()
        if now_s >= start_by_s:
            return refuse(call, RefusalReason.START_BY_PASSED, Outcome.NOT_RUN)
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
            result = refuse(call, RefusalReason.PEER_LOST, Outcome.UNKNOWN)
        record.tokens_left = min(record.tokens_left, result.tokens_left)
        if isinstance(result, Refused) and result.outcome is Outcome.UNKNOWN:
            on_unresolved(attempt.attempt_id)
        return result

    def _should_retry(
        self, result: Answer | Refused, record: Record, refusals: list[Refused]
    ) -> bool:
        if isinstance(result, Answer) or result.outcome is not Outcome.NOT_RUN:
            return False
        refusals.append(result)
        if record.tokens_left == 0 or record.attempt.waiters == 0:
            return False
        return self._retry(refusals)


def refuse(
    call: Call, reason: RefusalReason, outcome: Outcome, **fields: object
) -> Refused:
    """Return a refusal as a reply frame to `call`."""
    return refused_of(call, Refusal(reason, outcome, **fields))


def _budget_ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))
