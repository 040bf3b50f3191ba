"""Responses to requests that are not served, with Retry-After and log events."""

import logging
import random

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import Route
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.attempts import Attempts
from damaskproxy.forwarding.calls import Answer, NotRunReason
from damaskproxy.forwarding.request_fields import sharing_fields
from damaskproxy.forwarding.stats import RequestStats
from damaskproxy.http1 import Response
from damaskproxy.organisations import AuthenticationFailure

__all__ = ["RETRY_AFTER_MIN_S", "RequestRefusals", "retry_after_s", "to_response"]

logger = logging.getLogger("damaskproxy.forwarding.origin")
"""Logger of the origin, which refusals are a part of."""

MS_PER_S = 1000
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_SHARE = 0.3
"""Largest Retry-After as a share of the remaining time of a request. Callers wait no
longer than a third of it."""

RETRY_AFTER_OBJECTIVE_SHARE = 0.5
"""Largest Retry-After as a share of the latency objective, if organisations share the
servers. The other half is for the request itself."""


class RequestRefusals:
    """Makes, counts and logs the refusals of an origin.

    Parameters
    ----------
    stats : RequestStats
        Counters of refused requests.
    rng : random.Random
        Source of the jitter of Retry-After.
    """

    def __init__(self, stats: RequestStats, rng: random.Random):
        self._stats = stats
        self._rng = rng

    def refuse(
        self,
        request_id: bytes,
        reason: NotRunReason,
        wait_s: float,
        attempts: Attempts | None = None,
        *,
        route: Route | None = None,
        status: int = 503,
    ) -> Response:
        """Return the response to a request that is refused before any attempt."""
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
        return _not_run_response(wait_s, status)

    def not_authenticated(
        self, request_id: bytes, route: Route, failure: AuthenticationFailure
    ) -> Response:
        """Return the response to a request whose sender is unknown."""
        if failure is AuthenticationFailure.UNKNOWN_PARENT:
            reason = NotRunReason.UNKNOWN_PARENT
            return self.refuse(request_id, reason, RETRY_AFTER_MIN_S, route=route)
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

    def failure_response(self, attempts: Attempts) -> Response:
        """Return the response to a request without a successful attempt."""
        failure = attempts.failure
        if failure is not None:
            return to_response(failure)
        if attempts.may_have_run:
            return Response(502)
        self._stats.request_refused(attempts.last_refusal, attempts.organisation_name)
        return _not_run_response(retry_after_s(attempts, self._rng))

    def log_failure(self, attempts: Attempts, status: int, level: int | None) -> None:
        """Log a request that ended without a successful attempt."""
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
            configuration_version=attempts.configuration_version,
            **sharing_fields(attempts.call, level),
        )


def retry_after_s(attempts: Attempts, rng: random.Random) -> float:
    """Return the time after which a refused caller is to come back."""
    now_s = boot_s()
    draw = rng.random()
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


def to_response(answer: Answer) -> Response:
    """Return the response with which an answer is passed on to the caller."""
    return Response(answer.status, list(answer.headers), answer.body)


def _not_run_response(wait_s: float, status: int = 503) -> Response:
    headers = [(b"Retry-After", b"%.2f" % wait_s)] if wait_s > 0 else []
    return Response(status, headers)
