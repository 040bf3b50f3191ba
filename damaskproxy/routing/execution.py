"""Exchanges of admitted calls with the backend server, and what failures mean."""

import time
from collections.abc import Callable

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.quarantine import Quarantine, SuspectPermit
from damaskproxy.retries import RetryAllowance
from damaskproxy.routing.attempts import AttemptRegistry, RunningAttempt
from damaskproxy.routing.backend_client import BackendAnswer, BackendClient
from damaskproxy.routing.errors import BackendError
from damaskproxy.routing.local_backend import LocalBackend
from damaskproxy.routing.results import refused
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["BackendExecutor"]

MS_PER_S = 1000
WARM_ANSWERS = 20


class BackendExecutor:
    """Runs admitted calls on the local backend server.

    Parameters
    ----------
    backend : LocalBackend
        The backend server.
    client : BackendClient
        Exchanges with it.
    quarantine : Quarantine
        Learns which calls were in flight when it died.
    node_id : str
        This node.
    now_s, unix_s : callable
        Monotonic and wall clock.
    on_ended : callable
        Called with the id of each attempt that has ended.
    on_quarantine : callable
        Called after the records of the quarantine changed.
    """

    def __init__(
        self,
        backend: LocalBackend,
        client: BackendClient,
        quarantine: Quarantine,
        node_id: str,
        now_s: Callable[[], float],
        unix_s: Callable[[], float] = time.time,
        on_ended: Callable[[str], None] = lambda attempt_id: None,
        on_quarantine: Callable[[], None] = lambda: None,
    ):
        self._backend = backend
        self._client = client
        self._quarantine = quarantine
        self._node_id = node_id
        self._now_s = now_s
        self._unix_s = unix_s
        self._on_ended = on_ended
        self._on_quarantine = on_quarantine
        self.attempts = AttemptRegistry()
        self._answers = 0
        self._answers_generation = -1

    @property
    def is_warm(self) -> bool:
        """Whether the backend server has shown that it is past its cold start."""
        if self._answers_generation != self._backend.generation:
            return False
        return self._answers >= WARM_ANSWERS

    def _count_answer(self, generation: int) -> None:
        if self._answers_generation != generation:
            self._answers, self._answers_generation = 0, generation
        self._answers += 1

    async def run(
        self,
        call: Call,
        *,
        deadline_s: float,
        start_by_s: float,
        suspect: SuspectPermit | None = None,
    ) -> tuple[Answer | Refused, float]:
        """Run `call` and return its result.

        Parameters
        ----------
        call : Call
            Admitted call.
        deadline_s, start_by_s : float
            Its budgets on the monotonic clock.
        suspect : SuspectPermit, optional
            Turn of a call that is suspected of killing backend servers.

        Returns
        -------
        result : Answer or Refused
            With the retry tokens that the outbound calls left.
        outbound_s : float
            Time in which the backend server waited for outbound calls.
        """
        address = self._backend.address
        if address is None:
            refusal = Refusal(RefusalReason.NO_BACKEND, Outcome.NOT_RUN)
            return refused(call, refusal, tokens_left=call.retry_tokens), 0.0
        allowance = RetryAllowance(call.retry_tokens)
        attempt = RunningAttempt(call, deadline_s, allowance, self._now_s)
        self.attempts.add(attempt)
        try:
            result = await self._exchange(address, attempt, start_by_s, suspect)
        finally:
            self.attempts.remove(attempt)
            attempt.cancel_children()
            self._on_ended(call.attempt_id)
        return result, attempt.outbound_s

    async def _exchange(
        self, address, attempt, start_by_s, suspect
    ) -> Answer | Refused:
        call = attempt.call
        generation = self._backend.generation
        now_s = self._now_s()
        left_s = attempt.deadline_s - now_s
        try:
            answer = await self._client.run(
                address,
                call,
                # A non-idempotent call runs to its end, so that its outcome is known.
                timeout_s=left_s if call.idempotent else None,
                deadline_ms=int(left_s * MS_PER_S),
                start_by_unix_ms=int((self._unix_s() + start_by_s - now_s) * MS_PER_S),
            )
        except BackendError as error:
            return await self._failed(error, attempt, address, generation)
        if suspect is not None:
            self._quarantine.completed(suspect)
            self._on_quarantine()
        self._count_answer(generation)
        return _answered(answer, attempt)

    async def _failed(self, error, attempt, address, generation) -> Refused:
        is_gone = not error.maybe_started
        if error.disconnected:
            # One closed connection does not show that the server died.
            is_gone = not await self._client.is_listening(address)
        if is_gone and generation == self._backend.generation:
            self._backend_lost(maybe_started=error.maybe_started)
        refusal = self._failure(error, attempt, is_gone=is_gone)
        return refused(attempt.call, refusal, tokens_left=attempt.allowance.tokens)

    def _failure(self, error: BackendError, attempt, *, is_gone: bool) -> Refusal:
        if not error.maybe_started:
            reason = RefusalReason.BACKEND_UNREACHABLE
            return Refusal(reason, Outcome.NOT_RUN, detail=str(error))
        if is_gone:
            reason = RefusalReason.BACKEND_DIED
        elif self._now_s() >= attempt.deadline_s:
            reason = RefusalReason.DEADLINE_PASSED
        else:
            reason = RefusalReason.BACKEND_ERROR
        return Refusal(reason, Outcome.UNKNOWN, detail=str(error))

    def _backend_lost(self, *, maybe_started: bool) -> None:
        """Drop the backend server; calls in flight become suspects if it died."""
        if self._backend.address is None:
            return
        self._backend.drop()
        if maybe_started:
            self._quarantine.backend_crashed(
                [self._quarantine.identity(a.call) for a in self.attempts.running()],
                server=self._node_id,
            )
            self._on_quarantine()


def _answered(answer: BackendAnswer, attempt: RunningAttempt) -> Answer | Refused:
    call = attempt.call
    tokens_left = attempt.allowance.tokens
    if answer.not_started:
        refusal = Refusal(
            RefusalReason.BACKEND_SHED,
            Outcome.NOT_RUN,
            detail=f"the backend server answered {answer.status} before starting",
        )
        return refused(call, refusal, tokens_left=tokens_left)
    return Answer(
        call.attempt_id, answer.status, answer.headers, answer.body, tokens_left
    )
