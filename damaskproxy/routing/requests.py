"""Conversion of HTTP requests into calls, and validation of the requests."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from damaskproxy.common import (
    Outcome,
    Priority,
    Refusal,
    RefusalReason,
    new_attempt_id,
    ordinal_of,
)
from damaskproxy.model import Route, Service
from damaskproxy.routing import headers as names
from damaskproxy.routing.attempts import RunningAttempt
from damaskproxy.routing.settings import RoutingSettings
from damaskproxy.wire import Call

__all__ = ["RequestReader", "make_refusal"]

MS_PER_S = 1000
SPAN_ID_BITS = 64

RouteLookup = Callable[[str, str, str], "tuple[Service, Route] | Refusal"]


def make_refusal(reason: RefusalReason, detail: str = "") -> Refusal:
    """Return the refusal of a request that was not run."""
    return Refusal(reason, Outcome.NOT_RUN, detail=detail)


@dataclass(frozen=True, slots=True)
class RequestReader:
    """Builds calls from the requests of callers and of the local backend server.

    Parameters
    ----------
    lookup : callable
        Returns the service and route for a service name, method and path.
    settings : RoutingSettings
        Limits of requests.
    rng : random.Random
        Source of identifiers.
    """

    lookup: RouteLookup
    settings: RoutingSettings
    rng: random.Random

    async def read(
        self, request: web.BaseRequest, parent: RunningAttempt | None, now_s: float
    ) -> Call | Refusal:
        """Return the call for `request`.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            Request of a caller, or of the backend server when `parent` is given.
        parent : RunningAttempt, optional
            Attempt of the backend server that makes the request as an outbound call.
        now_s : float
            Monotonic time.

        Returns
        -------
        Call or Refusal
            The call, or the reason why the request is invalid.
        """
        refusal = self._check_headers(request)
        if refusal is not None:
            return refusal
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            limit = self.settings.max_body_bytes
            detail = f"the body exceeds {limit} bytes"
            return make_refusal(RefusalReason.BODY_TOO_LARGE, detail)
        service, path = _split_path(request.raw_path)
        found = self.lookup(service, request.method, path.partition("?")[0])
        if isinstance(found, Refusal):
            return found
        return self._build(request, body, path, found, parent, now_s)

    def _check_headers(self, request: web.BaseRequest) -> Refusal | None:
        size = sum(len(name) + len(value) for name, value in request.raw_headers)
        if size > self.settings.max_header_bytes:
            limit = self.settings.max_header_bytes
            return make_refusal(
                RefusalReason.HEADER_TOO_LARGE, f"the headers exceed {limit} bytes"
            )
        key = request.headers.get(names.IDEMPOTENCY_KEY, "")
        if len(key.encode()) > self.settings.max_key_bytes:
            limit = self.settings.max_key_bytes
            return make_refusal(
                RefusalReason.KEY_INVALID,
                f"{names.IDEMPOTENCY_KEY} exceeds {limit} bytes",
            )
        return None

    def _build(self, request, body, path, found, parent, now_s) -> Call | Refusal:
        service, route = found
        budget_ms = self._budget_ms(request, route, parent, now_s)
        if isinstance(budget_ms, Refusal):
            return budget_ms
        priority = _priority(request, route, parent)
        if isinstance(priority, Refusal):
            return priority
        depth = parent.call.depth + 1 if parent else 0
        if depth > self.settings.max_depth:
            return make_refusal(
                RefusalReason.TOO_DEEP,
                f"the call chain exceeds {self.settings.max_depth} calls",
            )
        key = request.headers.get(names.IDEMPOTENCY_KEY, "")
        if not route.idempotent and not key:
            return make_refusal(
                RefusalReason.KEY_REQUIRED,
                f"route {route.name} needs the header {names.IDEMPOTENCY_KEY}",
            )
        request_id, forwarded_headers = self._request_id_and_headers(request, parent)
        return Call(
            attempt_id=new_attempt_id(self.rng),
            request_id=request_id,
            service=service.name,
            route=route.name,
            method=request.method,
            path=path,
            headers=forwarded_headers,
            body=body,
            priority=priority,
            ordinal=parent.call.ordinal if parent else ordinal_of(key or request_id),
            deadline_ms=budget_ms,
            start_by_ms=(
                budget_ms
                if route.idempotent
                else min(budget_ms, self.settings.start_by_ms)
            ),
            retry_tokens=0 if parent else route.retry_allowance,
            key="" if route.idempotent else key,
            depth=depth,
            idempotent=route.idempotent,
        )

    def _budget_ms(self, request, route, parent, now_s) -> int | Refusal:
        budget_ms = route.deadline_ms
        if parent is not None:
            budget_ms = min(budget_ms, int((parent.deadline_s - now_s) * MS_PER_S))
        requested_ms = _requested_budget_ms(request.headers.get(names.DEADLINE_MS))
        if isinstance(requested_ms, Refusal):
            return requested_ms
        if requested_ms is not None:
            budget_ms = min(budget_ms, requested_ms)
        if budget_ms <= 0:
            return make_refusal(
                RefusalReason.DEADLINE_PASSED, "no time is left to answer"
            )
        return budget_ms

    def _request_id_and_headers(
        self, request, parent
    ) -> tuple[str, list[tuple[str, str]]]:
        forwarded_headers = names.end_to_end(request.headers.items())
        traceparent = request.headers.get(names.TRACEPARENT)
        trace_id = names.parse_trace_id(traceparent)
        if trace_id is None:
            trace_id = parent.call.request_id if parent else new_attempt_id(self.rng)
            span_id = f"{self.rng.getrandbits(SPAN_ID_BITS):016x}"
            forwarded_headers = [
                h for h in forwarded_headers if h[0].lower() != names.TRACEPARENT
            ]
            forwarded_headers.append((names.TRACEPARENT, f"00-{trace_id}-{span_id}-01"))
        return (parent.call.request_id if parent else trace_id), forwarded_headers


def _split_path(raw_path: str) -> tuple[str, str]:
    """Split ``/{service}/{path}`` into the service and the path within it."""
    service, _, rest = raw_path.lstrip("/").partition("/")
    service, question, query = service.partition("?")
    return service, f"/{rest}{question}{query}"


def _requested_budget_ms(text: str | None) -> int | Refusal | None:
    """Return the time budget that the caller requests, None without one."""
    if text is None:
        return None
    try:
        requested_ms = int(text)
    except ValueError:
        detail = f"{names.DEADLINE_MS} is not a whole number: {text[:40]!r}"
        return make_refusal(RefusalReason.BAD_REQUEST, detail)
    if requested_ms <= 0:
        detail = (
            f"{names.DEADLINE_MS} is {requested_ms}: the deadline has already passed"
        )
        return make_refusal(RefusalReason.BAD_REQUEST, detail)
    return requested_ms


def _priority(request, route: Route, parent) -> Priority | Refusal:
    base = parent.call.priority if parent else route.priority
    text = request.headers.get(names.PRIORITY)
    if text is None:
        return base
    try:
        requested = Priority[text.upper()]
    except KeyError:
        allowed = ", ".join(priority.name.lower() for priority in Priority)
        return make_refusal(
            RefusalReason.BAD_REQUEST, f"{names.PRIORITY} is not one of {allowed}"
        )
    if requested < base:
        return make_refusal(
            RefusalReason.PRIORITY_NOT_ALLOWED,
            f"{names.PRIORITY} may only lower the priority {base.name.lower()}",
        )
    return requested


def decode_json(data: bytes, type_: type):
    """Decode `data` as `type_`; on failure return a refusal with the invalid path."""
    try:
        return msgspec.json.decode(data, type=type_)
    except msgspec.MsgspecError as error:
        return make_refusal(RefusalReason.BAD_REQUEST, str(error))
