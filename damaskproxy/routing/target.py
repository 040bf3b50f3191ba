"""Admission of calls for the local backend server, within its limits."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from damaskproxy.admission import AdmissionController, Ticket
from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.ledger import (
    AttemptGuard,
    AttemptState,
    AttemptTicket,
    DuplicateAttempt,
)
from damaskproxy.quarantine import Quarantine
from damaskproxy.routing.execution import BackendExecutor
from damaskproxy.routing.local_backend import LocalBackend
from damaskproxy.routing.results import refused_frame
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["Target"]

# Longer than any deadline, so that a retransmitted call gets the result of its attempt.
RESULT_RETENTION_S = 60.0
MAX_CACHED_RESULTS = 10_000


@dataclass(slots=True, eq=False)
class _ReceivedCall:
    """Call that is queued or running."""

    call: Call
    ticket: AttemptTicket
    task: asyncio.Task | None = None
    cancelled: bool = False


class _ResultCache:
    """Results of non-idempotent attempts, for retransmitted calls."""

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._tasks: OrderedDict[str, tuple[float, asyncio.Task]] = OrderedDict()

    def get(self, attempt_id: str) -> asyncio.Task | None:
        cached = self._tasks.get(attempt_id)
        return cached[1] if cached else None

    def add(self, attempt_id: str, task: asyncio.Task) -> None:
        now_s = self._now_s()
        self._tasks[attempt_id] = (now_s, task)
        while self._tasks:
            cached_s, oldest = next(iter(self._tasks.values()))
            is_old = cached_s < now_s - RESULT_RETENTION_S
            if not oldest.done() or not (
                is_old or len(self._tasks) > MAX_CACHED_RESULTS
            ):
                return
            self._tasks.popitem(last=False)


class Target:
    """Admits calls for the local backend server and runs them.

    Parameters
    ----------
    backend : LocalBackend
        State of the local backend server.
    executor : BackendExecutor
        Runs admitted calls on the backend server.
    guard : AttemptGuard
        Refuses duplicate, cancelled and late attempts.
    quarantine : Quarantine
        Requests that are suspected of crashing backend servers.
    make_admission : callable
        Returns an admission controller for a number of slots.
    gate : callable
        Returns the refusal of all new calls, or None while the node is serving.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        backend: LocalBackend,
        executor: BackendExecutor,
        guard: AttemptGuard,
        quarantine: Quarantine,
        make_admission: Callable[[int], AdmissionController],
        gate: Callable[[], Refusal | None],
        now_s: Callable[[], float],
    ):
        self._backend = backend
        self._executor = executor
        self._guard = guard
        self._quarantine = quarantine
        self._make_admission = make_admission
        self._gate = gate
        self._now_s = now_s
        self._received: dict[str, _ReceivedCall] = {}
        self._results = _ResultCache(now_s)
        self._admission: AdmissionController | None = None
        self._generation = -1

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._received)

    @property
    def admission(self) -> AdmissionController | None:
        """Admission controller of the current backend server, None without one."""
        slots = self._backend.slots
        if not slots:
            return None
        if self._generation != self._backend.generation:
            self._generation = self._backend.generation
            self._admission = self._make_admission(slots)
        else:
            self._admission.set_slots(slots)
        return self._admission

    async def run(self, call: Call) -> Answer | Refused:
        """Run `call` unless it must be refused.

        Notes
        -----
        A non-idempotent call that is received again with the same attempt id gets the
        result of the first one, so a peer may retransmit it after its stream broke.
        """
        cached = self._results.get(call.attempt_id)
        if cached is not None:
            return await asyncio.shield(cached)
        ticket = self._guard.arrived(call)
        if isinstance(ticket, Refused):
            return ticket
        if isinstance(ticket, DuplicateAttempt) or call.attempt_id in self._received:
            detail = "the attempt id was used before"
            refusal = Refusal(RefusalReason.CANCELLED, Outcome.UNKNOWN, detail=detail)
            return refused_frame(call, refusal)
        received = _ReceivedCall(call, ticket)
        self._received[call.attempt_id] = received
        if call.idempotent:
            received.task = asyncio.current_task()
            return await self._serve(received)
        received.task = asyncio.create_task(self._serve(received))
        self._results.add(call.attempt_id, received.task)
        return await asyncio.shield(received.task)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt, even if it has not been received yet.

        Notes
        -----
        A non-idempotent attempt that has started runs to completion.
        """
        received = self._received.get(attempt_id)
        if received is None:
            self._guard.cancel(attempt_id)
            return
        self._guard.withdraw(received.ticket)
        is_withdrawn = received.ticket.state is AttemptState.CANCELLED
        if is_withdrawn or received.call.idempotent:
            received.cancelled = True
            received.task.cancel()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all queued calls."""
        if self._admission is not None:
            self._admission.refuse_waiting(refusal)

    async def _serve(self, received: _ReceivedCall) -> Answer | Refused:
        try:
            result = await self._check_and_admit(received)
        except asyncio.CancelledError:
            if not received.cancelled:
                raise
            received.task.uncancel()
            result = received.ticket.refused or refused_frame(
                received.call, Refusal(RefusalReason.CANCELLED, Outcome.UNKNOWN)
            )
        finally:
            self._received.pop(received.call.attempt_id, None)
        if received.ticket.state is AttemptState.STARTED:
            self._guard.finished(received.ticket, result)
            return result
        return self._guard.refuse(received.ticket, result)

    async def _check_and_admit(self, received: _ReceivedCall) -> Answer | Refused:
        call = received.call
        refusal = self._gate()
        if refusal is None:
            refusal = self._wrong_backend(call)
        if refusal is not None:
            return refused_frame(call, refusal, tokens_left=call.retry_tokens)
        remaining_s = received.ticket.deadline_s - self._now_s()
        suspect = await self._quarantine.acquire_permit(call, timeout_s=remaining_s)
        if isinstance(suspect, Refusal):
            return refused_frame(call, suspect, tokens_left=call.retry_tokens)
        try:
            return await self._admit(received, self.admission, suspect)
        finally:
            if suspect is not None:
                self._quarantine.released(suspect)

    def _wrong_backend(self, call: Call) -> Refusal | None:
        if self._backend.slots and call.service == self._backend.service:
            return None
        detail = f"this node serves {self._backend.service or 'nothing'}"
        return Refusal(RefusalReason.NO_BACKEND, Outcome.NOT_RUN, detail=detail)

    async def _admit(
        self, received: _ReceivedCall, admission, suspect
    ) -> Answer | Refused:
        call, guard_ticket = received.call, received.ticket
        deadline_s, start_by_s = guard_ticket.deadline_s, guard_ticket.start_by_s
        ticket = Ticket(call.priority, call.ordinal, call.route, deadline_s, start_by_s)
        permit = admission.try_acquire(ticket)
        if permit is None:
            permit = await admission.acquire(ticket, counted=True)
        if isinstance(permit, Refusal):
            load = admission.load()
            return refused_frame(call, permit, tokens_left=call.retry_tokens, load=load)
        started_s = self._now_s()
        answered, outbound_s = False, 0.0
        try:
            refusal = self._guard.start(guard_ticket)
            if refusal is not None:
                return refusal
            result, outbound_s = await self._executor.run(
                call, deadline_s=deadline_s, start_by_s=start_by_s, suspect=suspect
            )
            answered = isinstance(result, Answer)
        finally:
            admission.release(
                permit,
                elapsed_s=self._now_s() - started_s,
                ok=answered,
                outbound_s=outbound_s,
            )
        return msgspec.structs.replace(result, load=admission.load())
