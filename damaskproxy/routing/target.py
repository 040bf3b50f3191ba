"""Receives calls for the local backend server and admits them within its limits."""

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
from damaskproxy.routing.results import refused
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["Target"]

# Longer than any deadline, so that a repeated call finds the answer of its attempt.
RESULT_RETENTION_S = 60.0
MAX_KEPT_RESULTS = 10_000


@dataclass(slots=True, eq=False)
class _Arrived:
    """A call that waits or runs."""

    call: Call
    ticket: AttemptTicket
    task: asyncio.Task | None = None
    cancelled: bool = False


class _KeptResults:
    """Results of non-idempotent attempts, for calls that are repeated."""

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._tasks: OrderedDict[str, tuple[float, asyncio.Task]] = OrderedDict()

    def get(self, attempt_id: str) -> asyncio.Task | None:
        kept = self._tasks.get(attempt_id)
        return kept[1] if kept else None

    def add(self, attempt_id: str, task: asyncio.Task) -> None:
        now_s = self._now_s()
        self._tasks[attempt_id] = (now_s, task)
        while self._tasks:
            kept_s, oldest = next(iter(self._tasks.values()))
            is_old = kept_s < now_s - RESULT_RETENTION_S
            if not oldest.done() or not (is_old or len(self._tasks) > MAX_KEPT_RESULTS):
                return
            self._tasks.popitem(last=False)


class Target:
    """The part of a node that stands before its backend server.

    Parameters
    ----------
    backend : LocalBackend
        The backend server.
    execution : BackendExecutor
        Runs admitted calls on it.
    guard : AttemptGuard
        Refuses repeated, cancelled and late attempts.
    quarantine : Quarantine
        Requests that are suspected of killing backend servers.
    make_admission : callable
        Returns an admission controller for a number of slots.
    gate : callable
        Returns the refusal of all new work, or None while the node serves.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        backend: LocalBackend,
        execution: BackendExecutor,
        guard: AttemptGuard,
        quarantine: Quarantine,
        make_admission: Callable[[int], AdmissionController],
        gate: Callable[[], Refusal | None],
        now_s: Callable[[], float],
    ):
        self._backend = backend
        self._execution = execution
        self._guard = guard
        self._quarantine = quarantine
        self._make_admission = make_admission
        self._gate = gate
        self._now_s = now_s
        self._arrived: dict[str, _Arrived] = {}
        self._results = _KeptResults(now_s)
        self._admission: AdmissionController | None = None
        self._generation = -1

    @property
    def in_flight(self) -> int:
        """Calls that wait or run."""
        return len(self._arrived)

    @property
    def admission(self) -> AdmissionController | None:
        """Admission controller of the present backend server, None without one."""
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
        A non-idempotent call that arrives again under the same attempt id gets the
        result of the first arrival, so a peer may repeat it after its stream broke.
        """
        kept = self._results.get(call.attempt_id)
        if kept is not None:
            return await asyncio.shield(kept)
        ticket = self._guard.arrived(call)
        if isinstance(ticket, Refused):
            return ticket
        if isinstance(ticket, DuplicateAttempt) or call.attempt_id in self._arrived:
            detail = "the attempt id was used before"
            refusal = Refusal(RefusalReason.CANCELLED, Outcome.UNKNOWN, detail=detail)
            return refused(call, refusal)
        arrived = _Arrived(call, ticket)
        self._arrived[call.attempt_id] = arrived
        if call.idempotent:
            arrived.task = asyncio.current_task()
            return await self._serve(arrived)
        arrived.task = asyncio.create_task(self._serve(arrived))
        self._results.add(call.attempt_id, arrived.task)
        return await asyncio.shield(arrived.task)

    def cancel(self, attempt_id: str) -> None:
        """Withdraw an attempt, also one that has not arrived yet.

        Notes
        -----
        A non-idempotent attempt that has started runs to its end.
        """
        arrived = self._arrived.get(attempt_id)
        if arrived is None:
            self._guard.cancel(attempt_id)
            return
        self._guard.withdraw(arrived.ticket)
        is_withdrawn = arrived.ticket.state is AttemptState.CANCELLED
        if is_withdrawn or arrived.call.idempotent:
            arrived.cancelled = True
            arrived.task.cancel()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all calls that wait for a slot."""
        if self._admission is not None:
            self._admission.refuse_waiting(refusal)

    async def _serve(self, arrived: _Arrived) -> Answer | Refused:
        try:
            result = await self._check_and_admit(arrived)
        except asyncio.CancelledError:
            if not arrived.cancelled:
                raise
            arrived.task.uncancel()
            result = arrived.ticket.refused or refused(
                arrived.call, Refusal(RefusalReason.CANCELLED, Outcome.UNKNOWN)
            )
        finally:
            self._arrived.pop(arrived.call.attempt_id, None)
        if arrived.ticket.state is AttemptState.STARTED:
            self._guard.finished(arrived.ticket, result)
            return result
        return self._guard.refuse(arrived.ticket, result)

    async def _check_and_admit(self, arrived: _Arrived) -> Answer | Refused:
        call = arrived.call
        refusal = self._gate()
        if refusal is None:
            refusal = self._wrong_backend(call)
        if refusal is not None:
            return refused(call, refusal, tokens_left=call.retry_tokens)
        left_s = arrived.ticket.deadline_s - self._now_s()
        suspect = await self._quarantine.acquire_permit(call, timeout_s=left_s)
        if isinstance(suspect, Refusal):
            return refused(call, suspect, tokens_left=call.retry_tokens)
        try:
            return await self._admit(arrived, self.admission, suspect)
        finally:
            if suspect is not None:
                self._quarantine.released(suspect)

    def _wrong_backend(self, call: Call) -> Refusal | None:
        if self._backend.slots and call.service == self._backend.service:
            return None
        detail = f"this node serves {self._backend.service or 'nothing'}"
        return Refusal(RefusalReason.NO_BACKEND, Outcome.NOT_RUN, detail=detail)

    async def _admit(self, arrived: _Arrived, admission, suspect) -> Answer | Refused:
        call, guard_ticket = arrived.call, arrived.ticket
        deadline_s, start_by_s = guard_ticket.deadline_s, guard_ticket.start_by_s
        ticket = Ticket(call.priority, call.ordinal, call.route, deadline_s, start_by_s)
        permit = admission.try_acquire(ticket)
        if permit is None:
            permit = await admission.acquire(ticket, counted=True)
        if isinstance(permit, Refusal):
            load = admission.load()
            return refused(call, permit, tokens_left=call.retry_tokens, load=load)
        started_s = self._now_s()
        answered, outbound_s = False, 0.0
        try:
            late = self._guard.start(guard_ticket)
            if late is not None:
                return late
            result, outbound_s = await self._execution.run(
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
