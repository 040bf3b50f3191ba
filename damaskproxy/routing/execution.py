"""Running of admitted calls on the backend server and handling of its failures."""

import time
from collections.abc import Callable

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.quarantine import Quarantine, SuspectPermit
from damaskproxy.retries import RetryAllowance
from damaskproxy.routing.attempts import AttemptRegistry, RunningAttempt
from damaskproxy.routing.backend_client import BackendClient, BackendResponse
from damaskproxy.routing.errors import BackendError
from damaskproxy.routing.local_backend import LocalBackend
from damaskproxy.routing.results import refused_frame
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["BackendExecutor"]

MS_PER_S = 1000
WARM_RESPONSE_COUNT = 20


class BackendExecutor:
    """Runs admitted calls on the local backend server.

    Parameters
    ----------
    backend : LocalBackend
        The backend server.
    client : BackendClient
        HTTP client of the backend server.
    quarantine : Quarantine
        Records which calls were in flight when the backend server crashed.
    node_id : str
        Id of this node.
    now_s, unix_s : callable
        Monotonic and wall clock.
    on_ended : callable
        Called with the id of each attempt that has ended.
    on_quarantine : callable
        Called after the quarantine records have changed.
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
        self._response_count = 0
        self._counted_generation = -1

    @property
    def is_warm(self) -> bool:
        """Whether the backend server has sent enough responses to count as warm."""
        if self._counted_generation != self._backend.generation:
            return False
        return self._response_count >= WARM_RESPONSE_COUNT

    def _count_response(self, generation: int) -> None:
        if self._counted_generation != generation:
            self._response_count, self._counted_generation = 0, generation
        self._response_count += 1

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
            Deadline and latest start of the call, on the monotonic clock.
        suspect : SuspectPermit, optional
            Permit of a call that is suspected of crashing backend servers.

        Returns
        -------
        result : Answer or Refused
            With the retry tokens that remain after the outbound calls.
        outbound_s : float
            Time that the backend server spent waiting for outbound calls, in seconds.
        """
        address = self._backend.address
        if address is None:
            refusal = Refusal(RefusalReason.NO_BACKEND, Outcome.NOT_RUN)
            return refused_frame(call, refusal, tokens_left=call.retry_tokens), 0.0
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
        remaining_s = attempt.deadline_s - now_s
        try:
            response = await self._client.run(
                address,
                call,
                # A non-idempotent call runs to completion, so its outcome is known.
                timeout_s=remaining_s if call.idempotent else None,
                deadline_ms=int(remaining_s * MS_PER_S),
                start_by_unix_ms=int((self._unix_s() + start_by_s - now_s) * MS_PER_S),
            )
        except BackendError as error:
            return await self._handle_failure(error, attempt, address, generation)
        if suspect is not None:
            self._quarantine.completed(suspect)
            self._on_quarantine()
        self._count_response(generation)
        return _to_result(response, attempt)

    async def _handle_failure(self, error, attempt, address, generation) -> Refused:
        is_unreachable = not error.maybe_started
        if error.disconnected:
            # A single closed connection does not mean that the server crashed.
            is_unreachable = not await self._client.is_listening(address)
        if is_unreachable and generation == self._backend.generation:
            self._remove_backend(maybe_started=error.maybe_started)
        refusal = self._failure_refusal(error, attempt, is_unreachable=is_unreachable)
        return refused_frame(
            attempt.call, refusal, tokens_left=attempt.allowance.tokens
        )

    def _failure_refusal(
        self, error: BackendError, attempt, *, is_unreachable: bool
    ) -> Refusal:
        if not error.maybe_started:
            reason = RefusalReason.BACKEND_UNREACHABLE
            return Refusal(reason, Outcome.NOT_RUN, detail=str(error))
        if is_unreachable:
            reason = RefusalReason.BACKEND_DIED
        elif self._now_s() >= attempt.deadline_s:
            reason = RefusalReason.DEADLINE_PASSED
        else:
            reason = RefusalReason.BACKEND_ERROR
        return Refusal(reason, Outcome.UNKNOWN, detail=str(error))

    def _remove_backend(self, *, maybe_started: bool) -> None:
        """Remove the backend server; after a crash, calls in flight are suspects."""
        if self._backend.address is None:
            return
        self._backend.drop()
        if maybe_started:
            self._quarantine.backend_crashed(
                [self._quarantine.identity(a.call) for a in self.attempts.running()],
                server=self._node_id,
            )
            self._on_quarantine()


def _to_result(response: BackendResponse, attempt: RunningAttempt) -> Answer | Refused:
    call = attempt.call
    tokens_left = attempt.allowance.tokens
    if response.not_started:
        refusal = Refusal(
            RefusalReason.BACKEND_SHED,
            Outcome.NOT_RUN,
            detail=f"the backend server answered {response.status} before starting",
        )
        return refused_frame(call, refusal, tokens_left=tokens_left)
    return Answer(
        call.attempt_id, response.status, response.headers, response.body, tokens_left
    )
