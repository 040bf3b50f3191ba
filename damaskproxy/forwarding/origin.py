"""Serves the requests of the callers on this VM."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from damaskproxy.common import Priority
from damaskproxy.common.clock import boot_s
from damaskproxy.common.deadline import Deadline
from damaskproxy.directory import (
    CurrentConfiguration,
    Directory,
    MemberRecord,
)
from damaskproxy.forwarding.answer_sizes import AnswerSizes
from damaskproxy.forwarding.attempts import RETRY_MIN_S, Attempts
from damaskproxy.forwarding.breaker import RouteBreaker
from damaskproxy.forwarding.calls import (
    Answer,
    Call,
    NotRun,
    NotRunReason,
    Result,
    to_priority,
)
from damaskproxy.forwarding.headers import HeaderNames
from damaskproxy.forwarding.member_selection import MemberSelector
from damaskproxy.forwarding.parent_requests import ParentRequests
from damaskproxy.forwarding.poison_requests import PoisonRequestDetector
from damaskproxy.forwarding.request_allowance import Allowances, allowance_wait_s
from damaskproxy.forwarding.request_calls import CallMaker, host_of, identify, path_of
from damaskproxy.forwarding.request_levels import RequestLevels
from damaskproxy.forwarding.request_refusals import (
    RETRY_AFTER_MIN_S,
    RequestRefusals,
    to_response,
)
from damaskproxy.forwarding.stats import RequestStats
from damaskproxy.http1 import Request, Response
from damaskproxy.organisations import AuthenticationFailure
from damaskproxy.retries import RetryBudget

__all__ = ["Origin"]

MS_PER_S = 1000
REFUSALS_MAX = 3
"""Refusals by nodes after which a request is refused; each costs a round trip."""
QUEUE_MARGIN_MS = 30
"""Time by which the deadline at the target precedes that at the origin, so that the
refusal of a call that is still queued arrives in time to be reported as not run."""
URGENT_RESERVE = 0.5
"""Retry tokens that calls of normal and lower priority leave to urgent calls. While all
servers of a service reject calls, the budget covers few retries, and a browsing request
needs more calls than an order."""
UNAVAILABLE_REASONS = frozenset(
    {
        NotRunReason.NO_BACKEND,
        NotRunReason.OTHER_SERVICE,
        NotRunReason.DRAINING,
        NotRunReason.STOPPING,
        NotRunReason.BACKEND_UNREACHABLE,
        NotRunReason.PEER_UNREACHABLE,
    }
)
"""Reasons that apply to every call to a member and start its back-off."""
FINAL_REASONS = frozenset({NotRunReason.QUARANTINED, NotRunReason.OVERLOAD_BELOW})
"""Reasons that hold at all members of a service."""


class Origin:
    """Routes requests, selects members for them and retries failed attempts.

    Parameters
    ----------
    node_id : str
        Id of this node.
    service : callable
        Returns the name of the service of the local backend server.
    configuration : CurrentConfiguration
        Holder of the configuration in force.
    directory : Directory
        Known members.
    member_selector : MemberSelector
        Selects a member for each attempt.
    run_local : callable
        Runs a call on the local backend server.
    run_remote : callable
        Runs a call on another node.
    retry_budget : RetryBudget
        Retry budget of each service.
    poison_requests : PoisonRequestDetector
        Recognises requests that crash backend servers.
    parent_requests : ParentRequests
        Maps calls to the running requests that cause them.
    names : HeaderNames
        Header names of the platform.
    stats : RequestStats
        Counters of requests and attempts.
    rng : random.Random
        Source of the jitter of Retry-After and of the samples of circuit breakers.
    answer_sizes : AnswerSizes, optional
        Memory for answers that clients do not read. A request whose answer is expected
        to have no room is refused.
    allowances : Allowances, optional
        Allowances of organisations; without them no organisation is limited.

    Attributes
    ----------
    is_stopping : bool
        Whether new requests are refused because they might not complete before the
        process ends.
    """

    def __init__(
        self,
        node_id: str,
        service: Callable[[], str],
        configuration: CurrentConfiguration,
        directory: Directory,
        member_selector: MemberSelector,
        run_local: Callable[[Call], Awaitable[Result]],
        run_remote: Callable[[MemberRecord, Call], Awaitable[Result]],
        retry_budget: RetryBudget,
        poison_requests: PoisonRequestDetector,
        parent_requests: ParentRequests,
        names: HeaderNames,
        stats: RequestStats,
        rng: random.Random,
        answer_sizes: AnswerSizes | None = None,
        allowances: Allowances | None = None,
    ):
        self.is_stopping = False
        self._node_id = node_id
        self._configuration = configuration
        self._directory = directory
        self._member_selector = member_selector
        self._run_local = run_local
        self._run_remote = run_remote
        self._retry_budget = retry_budget
        self._poison_requests = poison_requests
        self._parent_requests = parent_requests
        self._levels = RequestLevels(parent_requests)
        self._breakers: dict[str, RouteBreaker] = {}
        self._names = names
        self._stats = stats
        self._request_id = names.lower("request_id")
        self._rng = rng
        self._refusals = RequestRefusals(stats, rng)
        self._calls = CallMaker(service, names, configuration)
        self._answer_sizes = answer_sizes or AnswerSizes(lambda count: True, 0)
        self._allowances = allowances
        self._loop: asyncio.AbstractEventLoop | None = None

    async def handle(self, request: Request) -> Response:
        """Return the response to a request of a caller on this VM."""
        attempts = self._begin(request)
        if isinstance(attempts, Response):
            return attempts
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        call, route = attempts.call, attempts.route
        reserved = self._answer_sizes.reserve(route.name)
        if reserved is None:
            return self._refusals.refuse(
                call.request_id, NotRunReason.MEMORY, RETRY_AFTER_MIN_S, attempts
            )
        answer_bytes = None
        budget_s = call.deadline_ms / MS_PER_S
        deadline = Deadline(self._loop, budget_s)
        try:
            response = await self._attempt_all(attempts)
            if response.status < 400:
                answer_bytes = len(response.body)
        except asyncio.CancelledError:
            if not deadline.is_expired():
                raise
            attempts.end = "timeout"
            response = Response(504)
        finally:
            deadline.close()
            term = attempts.allowance_term
            if term is not None:
                reached_count = attempts.count_reached()
                self._allowances.finish(attempts.organisation, term, reached_count)
            self._answer_sizes.finish(route.name, reserved, answer_bytes)
        elapsed_s = budget_s - (attempts.deadline_s - boot_s())
        self._stats.request_ended(call.service, response.status, elapsed_s)
        if response.status in (502, 503, 504):
            self._log_failure(attempts, response.status)
        if attempts.breaker is not None and attempts.tried:
            attempts.breaker.record_outcome(is_served=response.status < 500)
        response.headers.append((self._names.request_id, call.request_id))
        return response

    def _begin(self, request: Request) -> Attempts | Response:
        """Return the state of a new request, or the response if it ends at once."""
        configuration = self._configuration.current
        request_id = request.header(self._request_id)
        refuse = self._refusals.refuse
        if self.is_stopping:
            return refuse(request_id or b"", NotRunReason.STOPPING, RETRY_AFTER_MIN_S)
        if configuration is None:
            reason = NotRunReason.NO_CONFIGURATION
            return refuse(request_id or b"", reason, RETRY_AFTER_MIN_S)
        route = configuration.match(host_of(request), path_of(request))
        if route is None:
            return Response(404)
        if request_id is None:
            return Response(400, body=b"the request has no id")
        caller_budget_ms = self._calls.caller_budget_ms(request, route)
        budget_ms = min(caller_budget_ms, route.timeout_ms)
        if budget_ms <= 0:
            return refuse(request_id, NotRunReason.DEADLINE_PASSED, 0.0)
        parent = self._parent_requests.parent_of(request_id)
        identity = identify(configuration, request, request_id, route, parent)
        if isinstance(identity, AuthenticationFailure):
            return self._refusals.not_authenticated(request_id, route, identity)
        return Attempts(
            self._calls.make_call(
                configuration, request, request_id, route, budget_ms, parent, identity
            ),
            route,
            boot_s() + budget_ms / MS_PER_S,
            parent=parent,
            organisation=identity.organisation,
            caller_deadline_s=boot_s() + caller_budget_ms / MS_PER_S,
            configuration_version=configuration.version,
        )

    def _log_failure(self, attempts: Attempts, status: int) -> None:
        level = self._levels.known_level(attempts)
        self._refusals.log_failure(attempts, status, level)

    async def _attempt_all(self, attempts: Attempts) -> Response:
        call = attempts.call
        if call.is_repeat:
            self._retry_budget.charge(call.service)
        if attempts.parent is None and self._levels.refuses(call):
            attempts.last_refusal = NotRunReason.OVERLOAD_BELOW
            return self._refusals.failure_response(attempts)
        attempts.breaker = self._breaker(attempts)
        if attempts.breaker is not None and not attempts.breaker.admits():
            attempts.last_refusal = NotRunReason.MOSTLY_FAILING
            return self._refusals.failure_response(attempts)
        if self._poison_requests.is_quarantined(call):
            attempts.last_refusal = NotRunReason.QUARANTINED
            return self._refusals.failure_response(attempts)
        while (member := self._next_member(attempts)) is not None:
            if attempts.history:
                self._stats.record_retry(attempts.history[-1][1])
            elif (wait_s := await allowance_wait_s(self._allowances, attempts)) > 0:
                reason = NotRunReason.ALLOWANCE
                return self._refusals.refuse(
                    call.request_id, reason, wait_s, attempts, status=429
                )
            result = await self._send(member, attempts)
            self._credit_first_attempt(attempts, result)
            if isinstance(result, Answer):
                if result.status < 500 or not call.is_idempotent:
                    return to_response(result)
                attempts.failure = result
                attempts.reached += 1
            elif isinstance(result, NotRun):
                self._record_refusal(attempts, member, result)
                if result.reason in FINAL_REASONS:
                    break
            else:
                attempts.reached += 1
                attempts.may_have_run = True
                if not call.is_idempotent:
                    break
        return self._refusals.failure_response(attempts)

    def _credit_first_attempt(self, attempts: Attempts, result: Result) -> None:
        """Credit the retry budget when the first attempt has reached a server.

        Notes
        -----
        A retried request sends its own calls to its callees again, which only get calls
        of requests that ran. Under overload most requests of a route may be refused. If
        refused requests earned retries too, the retried calls would exceed the retry
        budget of the callees.
        """
        if isinstance(result, NotRun) and not result.reached_backend:
            return
        if not attempts.has_earned_retry and not attempts.call.is_repeat:
            attempts.has_earned_retry = True
            self._retry_budget.first_attempt(attempts.call.service)

    def _next_member(self, attempts: Attempts) -> MemberRecord | None:
        """Return the member for the next attempt, None if the request has to end."""
        service = attempts.call.service
        if attempts.reached >= attempts.route.max_attempts:
            return None
        if attempts.refusals >= REFUSALS_MAX:
            return None
        if attempts.tried and attempts.deadline_s - boot_s() < RETRY_MIN_S:
            return None
        members = self._directory.serving(service)
        member = self._member_selector.choose(
            members, attempts.tried, avoids_failing=attempts.call.is_shared
        )
        if member is None:
            return None
        if attempts.reached and not self._may_retry(attempts.call):
            attempts.end = NotRunReason.RETRY_BUDGET
            return None
        return member

    def _may_retry(self, call: Call) -> bool:
        """Spend a retry token; False when too few are left for this priority."""
        is_urgent = to_priority(call.priority) < Priority.NORMAL
        reserve = 0.0 if is_urgent else URGENT_RESERVE
        return self._retry_budget.allow(call.service, reserve=reserve)

    async def _send(self, member: MemberRecord, attempts: Attempts) -> Result:
        """Run one attempt and report its result to the member selector."""
        if attempts.organisation is not None and not attempts.tried:
            self._stats.organisations.request_admitted(attempts.organisation.name)
        attempts.tried.add(member.node_id)
        remaining_ms = int((attempts.deadline_s - boot_s()) * MS_PER_S)
        call = msgspec.structs.replace(
            attempts.call,
            deadline_ms=max(remaining_ms - QUEUE_MARGIN_MS, 1),
            is_repeat=attempts.call.is_repeat or attempts.reached > 0,
        )
        if call.is_shared and attempts.parent is None:
            call.earlier_refusals = self._levels.take_refusals(call)
        started_s = boot_s()
        result = None
        self._member_selector.started(member)
        try:
            if member.node_id == self._node_id:
                result = await self._run_local(call)
            else:
                result = await self._run_remote(member, call)
        finally:
            ended_s = boot_s()
            self._member_selector.finished(
                member,
                result,
                ended_s - started_s,
                is_timed_out=attempts.deadline_s - ended_s < RETRY_MIN_S,
            )
            self._levels.record(attempts, result)
            attempts.record(member.node_id, result)
        return result

    def _breaker(self, attempts: Attempts) -> RouteBreaker | None:
        """Return the circuit breaker of a route, None for child and urgent requests."""
        call = attempts.call
        if attempts.parent is not None or to_priority(call.priority) < Priority.NORMAL:
            return None
        breaker = self._breakers.get(call.route)
        if breaker is None:
            breaker = self._breakers[call.route] = RouteBreaker(self._rng.random)
        return breaker

    def _record_refusal(
        self, attempts: Attempts, member: MemberRecord, result: NotRun
    ) -> None:
        attempts.last_refusal = result.reason
        if result.reached_backend:
            attempts.reached += 1
        else:
            attempts.refusals += 1
            if attempts.reached:
                self._retry_budget.give_back(attempts.call.service)
        if result.reason in UNAVAILABLE_REASONS:
            self._member_selector.back_off(member)
