"""Serves the requests of the callers on this VM."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from damaskproxy.admission.tickets import admission_position
from damaskproxy.common import Priority, ordinal_of
from damaskproxy.common.clock import boot_s
from damaskproxy.common.deadline import Deadline
from damaskproxy.directory import (
    Configuration,
    CurrentConfiguration,
    Directory,
    MemberRecord,
    Route,
)
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.answer_sizes import AnswerSizes
from damaskproxy.forwarding.attempts import Attempts
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
from damaskproxy.forwarding.parent_requests import (
    LevelKey,
    Parent,
    ParentRequests,
    RouteLevels,
    is_call_id,
    root_id_of,
)
from damaskproxy.forwarding.poison_requests import PoisonRequestDetector
from damaskproxy.forwarding.request_fields import sharing_fields
from damaskproxy.forwarding.stats import RequestStats
from damaskproxy.forwarding.traffic_split import TrafficSplitter
from damaskproxy.http1 import Request, Response, end_to_end
from damaskproxy.organisations import (
    ANONYMOUS,
    AuthenticationFailure,
    Identity,
    Organisation,
)
from damaskproxy.retries import RetryBudget

__all__ = ["Origin"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
AUTHORIZATION = b"authorization"
REFUSALS_MAX = 3
"""Refusals by nodes after which a request is refused; each costs a round trip."""
RETRY_MIN_S = 0.02
"""Remaining time that a retry needs."""
QUEUE_MARGIN_MS = 30
"""Time by which the deadline at the target precedes that at the origin, so that the
refusal of a call that is still queued arrives in time to be reported as not run."""
URGENT_RESERVE = 0.5
"""Retry tokens that calls of normal and lower priority leave to urgent calls. While all
servers of a service reject calls, the budget covers few retries, and a browsing request
needs more calls than an order."""
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_SHARE = 0.3
"""Largest Retry-After as a share of the remaining time of a request. Callers wait no
longer than a third of it."""

RETRY_AFTER_OBJECTIVE_SHARE = 0.5
"""Largest Retry-After as a share of the latency objective, if organisations share the
servers. The other half is for the request itself."""

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


class Allowances(Protocol):
    """Allowances of organisations, see `damaskproxy.allowances`."""

    def check(self, organisation: Organisation) -> float | None:
        """Return the wait of a request, 0 if it is admitted, None if it has to ask."""

    async def ask(self, organisation: Organisation, timeout_s: float) -> float:
        """Return the wait of a request after asking, 0 if it is admitted."""

    def finish(self, organisation: Organisation, reached_count: int) -> None:
        """Record how many servers an admitted request has reached."""


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
        self._service = service
        self._configuration = configuration
        self._directory = directory
        self._member_selector = member_selector
        self._run_local = run_local
        self._run_remote = run_remote
        self._retry_budget = retry_budget
        self._poison_requests = poison_requests
        self._parent_requests = parent_requests
        self._route_levels = RouteLevels()
        self._breakers: dict[str, RouteBreaker] = {}
        self._names = names
        self._stats = stats
        self._request_id = names.lower("request_id")
        self._deadline_ms = names.lower("deadline_ms")
        self._rng = rng
        self._answer_sizes = answer_sizes or AnswerSizes(lambda count: True, 0)
        self._allowances = allowances
        self._splitter = TrafficSplitter()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._reserved_headers = frozenset(
            names.lower(name)
            for name in ("request_id", "deadline_ms", "caller", "target_instance")
        )
        self._confidential_headers = self._reserved_headers | {
            AUTHORIZATION,
            names.lower("organisation"),
        }
        configuration.on_change(lambda _: self._splitter.reset())

    async def handle(self, request: Request) -> Response:
        """Return the response to a request of a caller on this VM."""
        configuration = self._configuration.current
        request_id = request.header(self._request_id)
        if self.is_stopping:
            return self._refuse(
                request_id or b"", NotRunReason.STOPPING, RETRY_AFTER_MIN_S
            )
        if configuration is None:
            return self._refuse(
                request_id or b"", NotRunReason.NO_CONFIGURATION, RETRY_AFTER_MIN_S
            )
        route = configuration.match(_host(request), _path(request))
        if route is None:
            return Response(404)
        if request_id is None:
            return Response(400, body=b"the request has no id")
        caller_budget_ms = self._caller_budget_ms(request, route)
        budget_ms = min(caller_budget_ms, route.timeout_ms)
        if budget_ms <= 0:
            return self._refuse(request_id, NotRunReason.DEADLINE_PASSED, 0.0)
        parent = self._parent_requests.parent_of(request_id)
        identity = self._identify(configuration, request, request_id, route, parent)
        if isinstance(identity, AuthenticationFailure):
            return self._not_authenticated(request_id, route, identity)
        attempts = Attempts(
            self._make_call(request, request_id, route, budget_ms, parent, identity),
            route,
            boot_s() + budget_ms / MS_PER_S,
            parent=parent,
            organisation=identity.organisation,
            caller_deadline_s=boot_s() + caller_budget_ms / MS_PER_S,
        )
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        reserved = self._answer_sizes.reserve(route.name)
        if reserved is None:
            reason = NotRunReason.MEMORY
            return self._refuse(request_id, reason, RETRY_AFTER_MIN_S, attempts)
        answer_bytes = None
        deadline = Deadline(self._loop, budget_ms / MS_PER_S)
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
            if attempts.is_counted:
                self._allowances.finish(attempts.organisation, attempts.count_reached())
            self._answer_sizes.finish(route.name, reserved, answer_bytes)
        elapsed_s = budget_ms / MS_PER_S - (attempts.deadline_s - boot_s())
        service = attempts.call.service
        self._stats.request_ended(service, response.status, elapsed_s)
        if response.status in (502, 503, 504):
            self._log_failure(attempts, response.status)
        if attempts.breaker is not None and attempts.tried:
            attempts.breaker.record_outcome(is_served=response.status < 500)
        response.headers.append((self._names.request_id, request_id))
        return response

    def _caller_budget_ms(self, request: Request, route: Route) -> int:
        value = request.header(self._deadline_ms)
        if value is None or not value.isdigit():
            return route.timeout_ms
        return int(value[:12])

    def _make_call(
        self,
        request: Request,
        request_id: bytes,
        route: Route,
        budget_ms: int,
        parent: Parent | None,
        identity: Identity,
    ) -> Call:
        configuration = self._configuration.current
        owner = identity.organisation
        rank = (
            configuration.rank(route, None if owner is None else owner.priority)
            if parent is None
            else parent.priority
        )
        reserved = (
            self._reserved_headers
            if configuration.authentication is None
            else self._confidential_headers
        )
        return Call(
            self._splitter.next_service(route),
            route.name,
            request.method,
            request.target,
            end_to_end(request.headers, reserved),
            request.body,
            request_id,
            self._service(),
            rank,
            route.is_idempotent,
            budget_ms,
            parent is not None and parent.is_repeat,
            identity.name,
            parent is not None and configuration.authentication is not None,
            configuration.authentication is not None,
            None if parent is None else parent.ordinal,
        )

    def _identify(
        self,
        configuration: Configuration,
        request: Request,
        request_id: bytes,
        route: Route,
        parent: Parent | None,
    ) -> Identity | AuthenticationFailure:
        if configuration.authentication is None:
            return ANONYMOUS
        return configuration.authentication.identify(
            request.header(AUTHORIZATION),
            is_public=route.is_public,
            parent_organisation=None if parent is None else parent.organisation,
            is_call=is_call_id(request_id),
        )

    def _not_authenticated(
        self, request_id: bytes, route: Route, failure: AuthenticationFailure
    ) -> Response:
        if failure is AuthenticationFailure.UNKNOWN_PARENT:
            reason = NotRunReason.UNKNOWN_PARENT
            return self._refuse(request_id, reason, RETRY_AFTER_MIN_S, route=route)
        self._stats.request_refused(failure)
        log_event(
            logger,
            events.REQUEST_NOT_AUTHENTICATED,
            request_id=request_id.decode("latin-1"),
            route=route.name,
            status=401,
            reason=failure,
        )
        return Response(401, [(b"WWW-Authenticate", b"Bearer")])

    async def _attempt_all(self, attempts: Attempts) -> Response:
        call = attempts.call
        if call.is_repeat:
            self._retry_budget.charge(call.service)
        if attempts.parent is None and self._would_be_refused(call):
            attempts.last_refusal = NotRunReason.OVERLOAD_BELOW
            return self._failure_response(attempts)
        attempts.breaker = self._breaker(attempts)
        if attempts.breaker is not None and not attempts.breaker.admits():
            attempts.last_refusal = NotRunReason.MOSTLY_FAILING
            return self._failure_response(attempts)
        if self._poison_requests.is_quarantined(call):
            attempts.last_refusal = NotRunReason.QUARANTINED
            return self._failure_response(attempts)
        while (member := self._next_member(attempts)) is not None:
            if attempts.history:
                self._stats.record_retry(attempts.history[-1][1])
            elif (wait_s := await self._allowance_wait_s(attempts)) > 0:
                reason = NotRunReason.ALLOWANCE
                return self._refuse(
                    call.request_id, reason, wait_s, attempts, status=429
                )
            result = await self._send(member, attempts)
            self._credit_first_attempt(attempts, result)
            if isinstance(result, Answer):
                if result.status < 500 or not call.is_idempotent:
                    return _to_response(result)
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
        return self._failure_response(attempts)

    async def _allowance_wait_s(self, attempts: Attempts) -> float:
        """Count a request against its allowance; return its wait if it is refused."""
        organisation = attempts.organisation
        if (
            organisation is None
            or self._allowances is None
            or not organisation.is_limited
        ):
            return 0.0
        wait_s = self._allowances.check(organisation)
        if wait_s is None:
            remaining_s = attempts.deadline_s - boot_s()
            wait_s = await self._allowances.ask(organisation, remaining_s - RETRY_MIN_S)
        attempts.is_counted = wait_s == 0
        return wait_s

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
            key = _level_key(call)
            call.earlier_refusals = self._route_levels.take_refusals(key)
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
            self._record_level(attempts, result)
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

    def _would_be_refused(self, call: Call) -> bool:
        """Tell whether the service or its callees would refuse a root request.

        Notes
        -----
        A call that is refused deep in the call graph wastes the work of all servers on
        the path to it, so the request is refused before any of them starts.
        """
        ordinal = ordinal_of(root_id_of(call.request_id))
        position = admission_position(to_priority(call.priority), ordinal)
        return self._route_levels.refuses(_level_key(call), position)

    def _known_level(self, attempts: Attempts) -> int | None:
        """Return the level that a root request is compared with, None for a call."""
        if attempts.parent is not None:
            return None
        return self._route_levels.current_level(_level_key(attempts.call))

    def _record_level(self, attempts: Attempts, result: Result | None) -> None:
        if result is None or result.load is None:
            return
        call, level = attempts.call, result.load.level
        if attempts.parent is not None:
            self._parent_requests.report(attempts.parent, level, is_held=call.is_shared)
        else:
            key = _level_key(call)
            self._route_levels.report(key, level, is_held=call.is_shared)

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

    def _failure_response(self, attempts: Attempts) -> Response:
        failure = attempts.failure
        if failure is not None:
            return _to_response(failure)
        if attempts.may_have_run:
            return Response(502)
        self._stats.request_refused(attempts.last_refusal, attempts.organisation_name)
        return self._not_run_response(self._retry_after_s(attempts))

    def _retry_after_s(self, attempts: Attempts) -> float:
        """Return the time after which a refused caller is to come back."""
        now_s = boot_s()
        draw = self._rng.random()
        if not attempts.call.is_shared or attempts.parent is not None:
            max_wait_s = max((attempts.deadline_s - now_s) * RETRY_AFTER_SHARE, 0.0)
            return min(max_wait_s, RETRY_AFTER_MIN_S * (1 + draw))
        objective_s = attempts.route.objective_ms / MS_PER_S
        remaining_s = max(attempts.caller_deadline_s - now_s, 0.0)
        max_wait_s = min(
            remaining_s * RETRY_AFTER_SHARE,
            max(objective_s * RETRY_AFTER_OBJECTIVE_SHARE, RETRY_AFTER_MIN_S),
        )
        min_wait_s = min(max_wait_s, RETRY_AFTER_MIN_S)
        return min_wait_s + (max_wait_s - min_wait_s) * draw

    def _refuse(
        self,
        request_id: bytes,
        reason: NotRunReason,
        wait_s: float,
        attempts: Attempts | None = None,
        *,
        route: Route | None = None,
        status: int = 503,
    ) -> Response:
        organisation = ""
        if attempts is not None:
            organisation, route = attempts.organisation_name, attempts.route
        self._stats.request_refused(reason, organisation)
        fields = {} if route is None else {"route": route.name}
        if organisation:
            fields |= {"organisation": organisation, "wait_s": round(wait_s, 3)}
        log_event(
            logger,
            events.REQUEST_NOT_SERVED,
            request_id=request_id.decode("latin-1"),
            status=status,
            reason=reason,
            **fields,
        )
        return self._not_run_response(wait_s, status)

    def _not_run_response(self, wait_s: float, status: int = 503) -> Response:
        headers = [(b"Retry-After", b"%.2f" % wait_s)] if wait_s > 0 else []
        return Response(status, headers)

    def _log_failure(self, attempts: Attempts, status: int) -> None:
        log_event(
            logger,
            events.REQUEST_NOT_SERVED,
            request_id=attempts.call.request_id.decode("latin-1"),
            route=attempts.route.name,
            service=attempts.call.service,
            status=status,
            reason=attempts.last_refusal,
            attempts=attempts.describe_results(),
            end=attempts.end,
            budget_ms=attempts.call.deadline_ms,
            configuration_version=self._configuration.version,
            **sharing_fields(attempts.call, self._known_level(attempts)),
        )


def _level_key(call: Call) -> LevelKey:
    """Return the key under which the level of the callees of a request is kept."""
    return (call.route, call.organisation) if call.is_shared else call.route


def _host(request: Request) -> str:
    host = request.header(b"host") or b""
    return host.decode("latin-1").partition(":")[0].lower()


def _path(request: Request) -> str:
    return request.target.decode("latin-1").partition("?")[0]


def _to_response(answer: Answer) -> Response:
    return Response(answer.status, list(answer.headers), answer.body)
