"""Context of the request that a backend server is handling."""

import time
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from dataclasses import dataclass

from aiohttp import web

__all__ = [
    "NOT_STARTED_HEADERS",
    "RequestContext",
    "current_request",
    "read_context",
    "request_middleware",
]

NOT_STARTED_HEADERS = {"Damask-Not-Started": "1"}

_current: ContextVar["RequestContext | None"] = ContextVar(
    "damask_request", default=None
)


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Context that the node sent in the headers of a request.

    Parameters
    ----------
    attempt : str
        Attempt id, from ``Damask-Attempt``; empty for a request that bypassed the node.
    traceparent : str
        W3C trace context; empty if there is none.
    key : str
        ``Idempotency-Key`` of a non-idempotent request; empty if there is none.
    deadline_s : float or None
        Deadline of the request on the clock of `now_s`; None without a deadline.
    start_by_ms : int or None
        Unix time after which the request must not be started; None without a limit.
    now_s : callable
        Monotonic clock in seconds.
    """

    attempt: str
    traceparent: str
    key: str
    deadline_s: float | None
    start_by_ms: int | None
    now_s: Callable[[], float]

    def remaining_ms(self) -> int | None:
        """Return the time until the deadline, at least 0; None without a deadline."""
        if self.deadline_s is None:
            return None
        # Without rounding, float errors would cost up to a millisecond at each hop.
        return max(0, int(round((self.deadline_s - self.now_s()) * 1000, 3)))

    def may_start(self, unix_s: float) -> bool:
        """Return whether the request may still be started.

        Handlers that wait, for example in a queue, should check again immediately
        before the work starts: once ``start_by_ms`` has passed, the node may report
        that the request has not run.

        Parameters
        ----------
        unix_s : float
            Unix time on the clock of this VM.
        """
        return self.start_by_ms is None or unix_s * 1000 <= self.start_by_ms

    def outbound_headers(self) -> dict[str, str]:
        """Return the headers that associate an outbound call with this request."""
        headers = {"Damask-Attempt": self.attempt, "traceparent": self.traceparent}
        return {name: value for name, value in headers.items() if value}


def _integer(headers: Mapping[str, str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        raise ValueError(f"{name} is not an integer: {text!r}") from None


def read_context(
    headers: Mapping[str, str], now_s: Callable[[], float] = time.monotonic
) -> RequestContext:
    """Return the request context from `headers`.

    Raises
    ------
    ValueError
        If the number in a header is malformed.
    """
    budget_ms = _integer(headers, "Damask-Deadline-Ms")
    return RequestContext(
        attempt=headers.get("Damask-Attempt", ""),
        traceparent=headers.get("traceparent", ""),
        key=headers.get("Idempotency-Key", ""),
        deadline_s=None if budget_ms is None else now_s() + budget_ms / 1000,
        start_by_ms=_integer(headers, "Damask-Start-By"),
        now_s=now_s,
    )


def current_request() -> RequestContext | None:
    """Return the context of the request that the current task is handling."""
    return _current.get()


def request_middleware(
    *,
    now_s: Callable[[], float] = time.monotonic,
    unix_s: Callable[[], float] = time.time,
):
    """Return an aiohttp middleware that sets the context of each request.

    A request whose ``Damask-Start-By`` has passed is refused with
    ``Damask-Not-Started: 1`` before the handler runs.

    Parameters
    ----------
    now_s : callable
        Monotonic clock for deadlines in seconds.
    unix_s : callable
        Unix time for ``Damask-Start-By``, which the node on the same VM sets.
    """

    @web.middleware
    async def middleware(request: web.Request, handler):
        try:
            context = read_context(request.headers, now_s)
        except ValueError as error:
            return web.Response(
                status=400, text=f"{error}\n", headers=NOT_STARTED_HEADERS
            )
        if not context.may_start(unix_s()):
            return web.Response(
                status=503, text="start-by passed\n", headers=NOT_STARTED_HEADERS
            )
        token = _current.set(context)
        try:
            return await handler(request)
        finally:
            _current.reset(token)

    return middleware
