"""Listener for callers; any node can be the entry node of a call."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from damaskproxy.common import (
    Outcome,
    Refusal,
    RefusalReason,
    new_attempt_id,
)
from damaskproxy.events import log_event
from damaskproxy.ledger import ScopedKeys
from damaskproxy.ledger.keys import KEY_PREFIX
from damaskproxy.metrics import NodeMetrics
from damaskproxy.routing import events, headers as names
from damaskproxy.routing.attempts import RunningAttempt
from damaskproxy.routing.problems import problem_response
from damaskproxy.routing.requests import RequestReader, make_refusal
from damaskproxy.routing.results import to_refusal
from damaskproxy.wire import Answer, Call, Refused

__all__ = ["CallHandler", "Gateway"]

logger = logging.getLogger(__name__)

_MALFORMED = frozenset(
    {
        RefusalReason.BAD_REQUEST,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.HEADER_TOO_LARGE,
        RefusalReason.KEY_INVALID,
        RefusalReason.PRIORITY_NOT_ALLOWED,
    }
)
KEYS_PATH = "/damask/keys"
MAX_KEYS = 100

Submit = Callable[[Call], Awaitable[Answer | Refused]]


class CallHandler:
    """Converts an HTTP request into a call and its result into a response.

    Parameters
    ----------
    reader : RequestReader
        Checks requests and builds calls.
    submit : callable
        Runs a call through the ledger or the dispatcher.
    metrics : NodeMetrics
        Counts calls and refusals.
    now_s : callable
        Monotonic clock.
    rng : random.Random
        Source of request ids for requests that are refused before they are read.
    scoped_keys : ScopedKeys
        Idempotency keys that the backend server chose for its outbound calls.
    """

    def __init__(
        self,
        reader: RequestReader,
        submit: Submit,
        metrics: NodeMetrics,
        now_s: Callable[[], float],
        rng: random.Random,
        scoped_keys: ScopedKeys,
    ):
        self._reader = reader
        self._submit = submit
        self._metrics = metrics
        self._now_s = now_s
        self._rng = rng
        self._scoped_keys = scoped_keys

    async def handle(
        self, request: web.BaseRequest, parent: RunningAttempt | None = None
    ) -> web.StreamResponse:
        """Return the response to a caller or to the local backend server."""
        started_s = self._now_s()
        call = await self._reader.read(request, parent, started_s)
        if parent is not None and not isinstance(call, Refusal):
            call = self._prepare_outbound_call(call, parent)
        if isinstance(call, Refusal):
            return self.refuse(request, call)
        result = await self._run(call)
        if parent is not None:
            parent.allowance.give_back(min(result.tokens_left, call.retry_tokens))
        elapsed_s = self._now_s() - started_s
        self._metrics.observe_call(call.service, elapsed_s)
        return self._response(call, result)

    def _prepare_outbound_call(
        self, call: Call, parent: RunningAttempt
    ) -> Call | Refusal:
        """Return an outbound call with retry tokens and a key in the parent's scope.

        Notes
        -----
        Half of the parent's tokens are lent, so that some remain for later and parallel
        calls.
        """
        key = call.key
        if key and not parent.call.idempotent and not key.startswith(KEY_PREFIX):
            scope = parent.call.attempt_id
            issued = self._scoped_keys.resolve(scope, call.service, key)
            if isinstance(issued, Refusal):
                return issued
            key = issued.text
        tokens = parent.allowance.lend((parent.allowance.tokens + 1) // 2)
        return msgspec.structs.replace(call, retry_tokens=tokens, key=key)

    async def _run(self, call: Call) -> Answer | Refused:
        try:
            return await self._submit(call)
        except asyncio.CancelledError:
            self._metrics.count_call(call.service, "cancelled")
            raise
        except Exception:
            log_event(
                logger, events.CALL_FAILED, exc_info=True, request_id=call.request_id
            )
            return Refused(
                call.attempt_id,
                RefusalReason.BACKEND_ERROR,
                Outcome.UNKNOWN,
                detail="internal error of the node",
            )

    def _response(self, call: Call, result: Answer | Refused) -> web.Response:
        if isinstance(result, Refused):
            self._metrics.count_call(call.service, "refused")
            return self.refusal_response(to_refusal(result), call.request_id)
        self._metrics.count_call(call.service, f"{result.status // 100}xx")
        headers = [*result.headers, (names.REQUEST_ID, call.request_id)]
        headers.append((names.OUTCOME, Outcome.RUN))
        return web.Response(status=result.status, headers=headers, body=result.body)

    def refuse(self, request: web.BaseRequest, refusal: Refusal) -> web.Response:
        """Return the refusal of a request that was not looked up in a ledger.

        Notes
        -----
        An earlier request with the same key may have run, so the refusal of a
        well-formed request with a key has an unknown outcome.
        """
        if (
            names.IDEMPOTENCY_KEY in request.headers
            and refusal.reason not in _MALFORMED
        ):
            refusal = dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
        return self.refusal_response(refusal, new_attempt_id(self._rng))

    def refusal_response(self, refusal: Refusal, request_id: str) -> web.Response:
        """Count `refusal` and return its problem details."""
        self._metrics.count_refusal(refusal.reason)
        return problem_response(refusal, request_id)


class Gateway:
    """Handler of the ``call`` listener.

    Parameters
    ----------
    handler : CallHandler
        Runs calls.
    issue_keys : callable
        Returns the given number of new idempotency keys and their expiry time in Unix
        milliseconds.
    gate : callable
        Returns the refusal of all new requests, or None while the node is serving.
    rng : random.Random
        Source of request ids.

    Attributes
    ----------
    in_flight : int
        Requests of callers in progress.
    """

    def __init__(
        self,
        handler: CallHandler,
        issue_keys: Callable[[int], tuple[list[str], int]],
        gate: Callable[[], Refusal | None],
        rng: random.Random,
    ):
        self.in_flight = 0
        self._handler = handler
        self._issue_keys = issue_keys
        self._gate = gate
        self._rng = rng

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        refusal = self._gate()
        if refusal is not None:
            return self._handler.refuse(request, refusal)
        if request.path == KEYS_PATH:
            return self._keys(request)
        self.in_flight += 1
        try:
            return await self._handler.handle(request)
        finally:
            self.in_flight -= 1

    def _refuse(self, refusal: Refusal) -> web.Response:
        return self._handler.refusal_response(refusal, new_attempt_id(self._rng))

    def _keys(self, request: web.BaseRequest) -> web.Response:
        if request.method != "POST":
            detail = f"{KEYS_PATH} takes POST"
            return self._refuse(make_refusal(RefusalReason.BAD_REQUEST, detail))
        text = request.query.get("count", "1")
        if not text.isdecimal() or not 1 <= int(text[:9]) <= MAX_KEYS:
            detail = f"count is not a whole number from 1 to {MAX_KEYS}"
            return self._refuse(make_refusal(RefusalReason.BAD_REQUEST, detail))
        keys, expires_at_ms = self._issue_keys(int(text))
        body = msgspec.json.encode({"keys": keys, "expires_at_ms": expires_at_ms})
        return web.Response(body=body, content_type="application/json")
