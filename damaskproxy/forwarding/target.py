"""Runs calls on the local backend server."""

import logging
from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.admission import (
    AdmissionController,
    FairShares,
    Permit,
    Ticket,
    admission_position,
)
from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.common.clock import boot_s
from damaskproxy.common.memory import MemoryAccount
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.answer_sizes import AnswerSizes
from damaskproxy.forwarding.backend import Backend
from damaskproxy.forwarding.calls import (
    DISCARDED_BODY,
    Answer,
    Call,
    LoadReport,
    NotRun,
    NotRunReason,
    Result,
    Unknown,
    to_priority,
)
from damaskproxy.forwarding.crash_check import CrashCheck
from damaskproxy.forwarding.headers import HeaderNames
from damaskproxy.forwarding.parent_requests import ParentRequests, root_ordinal_of
from damaskproxy.forwarding.poison_requests import PoisonRequestDetector
from damaskproxy.forwarding.request_fields import sharing_fields
from damaskproxy.forwarding.server_state import ServerStateRecorder
from damaskproxy.forwarding.stats import RequestStats
from damaskproxy.http1 import (
    NO_ID,
    OTHER_ID,
    ConnectFailed,
    ConnectionPool,
    ExchangeLost,
    Request,
    Response,
    ResponseTooLarge,
    end_to_end,
)
from damaskproxy.wire import Load

__all__ = ["Target"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
NON_IDEMPOTENT_IDLE_SHARE = 0.5
"""Share of the idle timeout within which a kept-alive connection may be reused for a
non-idempotent request. Such a request cannot be sent again when the connection breaks,
which is rare on a recently used one."""
BODIES_DEFAULT_BYTES = 64 << 20
REJECTED_STATUSES = frozenset({400, 421, 429, 503})


class Target:
    """The local backend server and its admission control.

    Parameters
    ----------
    backend : Backend
        State of the backend server.
    pool : ConnectionPool
        Connections to the backend server.
    names : HeaderNames
        Header names of the platform.
    poison_requests : PoisonRequestDetector
        Recognises requests that crash backend servers.
    parent_requests : ParentRequests
        Tracks the running requests, which later calls refer to.
    make_admission : callable
        Returns an admission controller for a number of slots.
    stats : RequestStats
        Counters of refused calls.
    max_connections : callable
        Returns how many connections the backend servers of a service accept, None
        while that is unknown. Each call in flight takes one.
    bodies : MemoryAccount, optional
        Memory for the bodies of calls of other nodes. A call whose body has no room is
        not run.
    answer_sizes : AnswerSizes, optional
        Memory for answers. A call whose answer is expected to have no room is not run.

    Attributes
    ----------
    in_flight : int
        Calls in flight on the backend server.
    is_stopping : bool
        Whether the node refuses new calls because it is shutting down.
    """

    def __init__(
        self,
        backend: Backend,
        pool: ConnectionPool,
        names: HeaderNames,
        poison_requests: PoisonRequestDetector,
        parent_requests: ParentRequests,
        make_admission: Callable[[int], AdmissionController],
        stats: RequestStats,
        max_connections: Callable[[str], int | None] = lambda service: None,
        bodies: MemoryAccount | None = None,
        answer_sizes: AnswerSizes | None = None,
    ):
        self.in_flight = 0
        self.is_stopping = False
        self._backend = backend
        self._pool = pool
        self._names = names
        self._poison_requests = poison_requests
        self._parent_requests = parent_requests
        self._make_admission = make_admission
        self._stats = stats
        self._max_connections = max_connections
        self._bodies = bodies or MemoryAccount(BODIES_DEFAULT_BYTES)
        self._answer_sizes = answer_sizes or AnswerSizes(
            lambda count: True, BODIES_DEFAULT_BYTES
        )
        self._fair_shares = FairShares(now_s=boot_s)
        self._admission: AdmissionController | None = None
        self._incarnation: tuple = ()
        self._crash_check = CrashCheck(
            backend, pool, poison_requests, self._bodies, lambda: self.in_flight
        )
        self._server_state = ServerStateRecorder(backend, names)
        self._request_id = names.lower("request_id")
        self._not_executed = names.lower("not_executed")
        self._stamp = names.lower("stamp")
        # The origin knows the request id, so it is not sent back between nodes.
        self._dropped_headers = frozenset({self._not_executed, self._request_id})

    async def run(self, call: Call) -> Result:
        """Run `call` once admitted; cancellation is passed on to the backend server."""
        result = await self._run(call)
        if not isinstance(result, Answer):
            self._log_failure(call, result)
        return result

    def run_remote(self, call: Call) -> Awaitable[Result]:
        """Run a call of another node; this node holds its body until it has ended."""
        return self._run_holding_body(call) if call.body else self.run(call)

    async def _run_holding_body(self, call: Call) -> Result:
        size = len(call.body)
        if call.body is DISCARDED_BODY or not self._bodies.fits(size):
            refusal = self._not_run(call, NotRunReason.MEMORY)
            self._log_failure(call, refusal)
            return refusal
        self._bodies.hold(size)
        try:
            return await self.run(call)
        finally:
            self._bodies.release(size)

    async def _run(self, call: Call) -> Result:
        deadline_s = boot_s() + call.deadline_ms / MS_PER_S
        refusal = self._refusal(call)
        if refusal is not None:
            return refusal
        admission = self._admission
        priority = to_priority(call.priority)
        ticket = Ticket(
            priority,
            self._ordinal(call, priority),
            call.route,
            deadline_s,
            has_begun=call.has_begun,
        )
        if call.is_shared and not call.has_begun:
            position = admission_position(priority, ticket.ordinal)
            if position >= self._parent_requests.callee_level(call.route):
                # Refused before the backend server works on it in vain.
                return self._not_run(call, NotRunReason.OVERLOAD_BELOW)
        permit = admission.try_acquire(ticket)
        if permit is None:
            permit = await admission.acquire(ticket, counted=True)
        if not isinstance(permit, Permit):
            return self._not_run(
                call, _to_not_run_reason(permit), permit.retry_after_ms
            )
        started_s = boot_s()
        result = None
        try:
            # The backend server may have started to drain during the wait.
            result = self._refusal(call) or await self._send(call, deadline_s)
        finally:
            admission.release(
                permit,
                elapsed_s=boot_s() - started_s,
                ok=isinstance(result, Answer),
            )
        result.load = self._load(call)
        return result

    def _ordinal(self, call: Call, priority: int) -> int:
        """Return the ordinal of a call, which the calls that it causes inherit."""
        if call.ordinal is not None:
            return call.ordinal
        ordinal = root_ordinal_of(call.request_id)
        if call.is_shared and not call.has_begun:
            ordinal = call.ordinal = self._fair_shares.ordinal(
                priority, call.organisation, ordinal, call.earlier_refusals
            )
        return ordinal

    def load(self) -> Load | None:
        """Return the load of the backend server, None before its first report."""
        return None if self._admission is None else self._admission.load()

    def _load(self, call: Call) -> LoadReport | None:
        """Return the load report that is sent with the result of a call."""
        load = self.load()
        if load is None:
            return None
        level = min(load.level, self._parent_requests.callee_level(call.route))
        if call.is_shared and not call.has_begun:
            priority = to_priority(call.priority)
            level = self._fair_shares.level_by_hash(priority, call.organisation, level)
        return LoadReport(
            load.in_flight,
            load.queued,
            int(load.limit),
            int(load.latency_ms),
            level,
        )

    def apply_backend_state(self) -> None:
        """Apply a change of the backend server or of the configuration."""
        record = self._backend.record
        if record is None:
            return
        if self._incarnation and self._incarnation != record.incarnation_key:
            # Open connections lead to the earlier server, which may still answer.
            self._pool.retire()
        self._incarnation = record.incarnation_key
        slots = min(record.slots, self._max_connections(record.service) or record.slots)
        if self._admission is None:
            self._admission = self._make_admission(slots)
        self._admission.set_slots(slots)
        self._admission.set_rate(record.max_calls_per_s)
        if not self._backend.is_serving:
            self.refuse_waiting(RefusalReason.LEAVING)

    def refuse_waiting(self, reason: RefusalReason) -> None:
        """Refuse all queued calls, so that they can run on other servers."""
        if self._admission is not None:
            refusal = Refusal(reason, Outcome.NOT_RUN)
            self._admission.refuse_waiting(refusal)

    def _refusal(self, call: Call) -> NotRun | None:
        record = self._backend.record
        if self.is_stopping:
            return self._not_run(call, NotRunReason.STOPPING)
        if record is None:
            return self._not_run(call, NotRunReason.NO_BACKEND)
        if record.service != call.service:
            return self._not_run(call, NotRunReason.OTHER_SERVICE)
        if not self._backend.is_serving:
            return self._not_run(call, NotRunReason.DRAINING)
        if not self._backend.is_reachable:
            return self._not_run(call, NotRunReason.BACKEND_UNREACHABLE)
        if self._poison_requests.is_quarantined(call):
            return self._not_run(call, NotRunReason.QUARANTINED)
        return None

    def _not_run(
        self, call: Call, reason: NotRunReason, retry_after_ms: int = 0
    ) -> NotRun:
        return NotRun(reason, False, retry_after_ms, self._load(call))

    async def _send(self, call: Call, deadline_s: float) -> Result:
        names = self._names
        remaining_ms = int((deadline_s - boot_s()) * MS_PER_S)
        if remaining_ms <= 0:
            return NotRun(NotRunReason.DEADLINE_PASSED)
        record = self._backend.record
        headers = [
            *call.headers,
            (names.request_id, call.request_id),
            (names.deadline_ms, b"%d" % remaining_ms),
            (names.caller, call.caller.encode()),
            (names.target_instance, record.instance_id.encode()),
        ]
        if call.organisation:
            headers.append((names.organisation, call.organisation.encode()))
        request = Request(call.method, call.target, headers, call.body)
        reserved = self._answer_sizes.reserve(call.route)
        if reserved is None:
            return NotRun(NotRunReason.MEMORY)
        answer_bytes = None
        self.in_flight += 1
        sent_s = boot_s()
        self._parent_requests.call_started(call)
        try:
            response = await self._pool.exchange(
                request,
                accept=self._make_response_check(call.request_id),
                max_idle_share=1.0 if call.is_idempotent else NON_IDEMPOTENT_IDLE_SHARE,
            )
            if response.status < 400:
                answer_bytes = len(response.body)
        except ConnectFailed:
            self._backend.connection_refused()
            return NotRun(NotRunReason.BACKEND_UNREACHABLE)
        except ResponseTooLarge as error:
            # The node closed the connection itself, so this is no sign of a crash.
            return Unknown(str(error))
        except ExchangeLost as error:
            self._crash_check.record_lost_call(call)
            return Unknown(str(error))
        finally:
            self.in_flight -= 1
            self._parent_requests.call_ended(call)
            self._answer_sizes.finish(call.route, reserved, answer_bytes)
        self._server_state.record(response, record, sent_s)
        return self._classify(response)

    def _make_response_check(self, request_id: bytes):
        id_name = self._request_id

        def accept(response: Response, is_first_request: bool) -> bool | str:
            echoed = response.header(id_name)
            if echoed is None and response.status in REJECTED_STATUSES:
                # On a kept connection it may repeat the refusal of an earlier request.
                return is_first_request
            if echoed != request_id:
                return OTHER_ID if echoed else NO_ID
            return self._lack_of_stamp(response) or True

        return accept

    def _is_rejected(self, response: Response) -> bool:
        is_rejected = response.header(self._not_executed) is not None
        return is_rejected or response.status == 421

    def _lack_of_stamp(self, response: Response) -> str:
        """Return why a response may be that of another server, empty if it is not."""
        is_stamped = response.header(self._stamp) is not None
        if is_stamped or response.status >= 500 or self._is_rejected(response):
            return ""
        return f"status {response.status} without a MAC"

    def _classify(self, response: Response) -> Result:
        if self._is_rejected(response):
            return NotRun(NotRunReason.BACKEND_REJECTED, reached_backend=True)
        if response.header(b"content-encoding") is not None:
            return Unknown("the response is encoded although that was not asked for")
        if lack := self._lack_of_stamp(response):
            return Unknown(lack)
        headers = end_to_end(response.headers, self._dropped_headers)
        return Answer(response.status, headers, response.body)

    def _log_failure(self, call: Call, result: NotRun | Unknown) -> None:
        is_refusal = isinstance(result, NotRun)
        if is_refusal:
            self._stats.call_refused(result.reason, call.organisation)
        log_event(
            logger,
            events.CALL_NOT_ANSWERED,
            request_id=call.request_id.decode("latin-1"),
            route=call.route,
            priority=call.priority,
            budget_ms=call.deadline_ms,
            reason=result.reason if is_refusal else result.detail,
            is_not_run=is_refusal,
            load=msgspec.to_builtins(result.load),
            instance_id=self._incarnation[0] if self._incarnation else "",
            **sharing_fields(call),
        )


def _to_not_run_reason(refusal: Refusal) -> NotRunReason:
    if refusal.reason is RefusalReason.LEAVING:
        return NotRunReason.DRAINING
    if refusal.reason in (
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.OVERLOAD_DEADLINE,
    ):
        return NotRunReason.DEADLINE_PASSED
    return NotRunReason.OVERLOAD
