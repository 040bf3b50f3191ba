"""Fault injection shared by the stand-ins.

The fault controls need no authentication, because the stand-ins are development
programs that listen on loopback.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Annotated

import msgspec
from aiohttp import web

from damaskproxy.store.messages import ErrorBody

__all__ = ["Faults", "Lose", "add_fault_routes", "error_response", "run_write"]

MAX_DELAY_MS = 600_000


class Lose(StrEnum):
    """Whether the response to a write is lost, and before or after applying it."""

    NONE = "none"
    BEFORE = "before"
    AFTER = "after"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; the defaults inject none.

    Parameters
    ----------
    down : bool
        Refuse every request with status 503 without applying it.
    delay_ms : int
        Time between the arrival of a request and its execution. The delay continues
        when the client closes the connection, so that a write may be applied after its
        client has given up.
    lose : Lose
        Abort the connection instead of responding to a write: ``before`` it is applied,
        or ``after``.
    lose_count : int
        Number of writes that `lose` affects, after which it returns to ``none``; -1 for
        all.
    """

    down: bool = False
    delay_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_DELAY_MS)] = 0
    lose: Lose = Lose.NONE
    lose_count: Annotated[int, msgspec.Meta(ge=-1)] = -1

    def consume_loss(self) -> Lose:
        """Return the fault of the next write and decrement `lose_count`."""
        loss = self.lose
        if loss is Lose.NONE or self.lose_count < 0:
            return loss
        if self.lose_count == 0:
            self.lose = Lose.NONE
            return Lose.NONE
        self.lose_count -= 1
        return loss

    def clear(self) -> None:
        """Remove all faults."""
        self.assign(Faults())

    def assign(self, other: "Faults") -> None:
        """Copy all fields of `other`."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(other, name))


def error_response(status: int, error: str, applied: bool | None) -> web.Response:
    """Return an error response with the body that the clients expect."""
    body = msgspec.json.encode(ErrorBody(error, applied))
    return web.Response(status=status, body=body, content_type="application/json")


def fault_middleware(faults: Faults):
    """Return middleware that refuses and delays requests according to `faults`."""

    @web.middleware
    async def apply_faults(request, handler):
        if request.path == "/faults":
            return await handler(request)
        if faults.down:
            return error_response(503, "unavailable", applied=False)
        if faults.delay_ms:
            # The body has to be received before the client gives up and disconnects.
            await request.read()
            await asyncio.sleep(faults.delay_ms / 1000)
        return await handler(request)

    return apply_faults


async def run_write(
    request: web.Request,
    faults: Faults,
    apply_write: Callable[[], Awaitable[web.Response]],
) -> web.Response:
    """Apply a write and respond to it, or lose the response.

    Parameters
    ----------
    request : web.Request
        Request whose connection is aborted when the response is lost.
    faults : Faults
        Injected faults.
    apply_write : callable
        Applies the write and returns the response.
    """
    loss = faults.consume_loss()
    if loss is Lose.BEFORE:
        return abort_connection(request)
    response = await apply_write()
    if loss is Lose.AFTER:
        return abort_connection(request)
    return response


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of `request` without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Add ``GET /faults``, ``PUT /faults`` and the middleware that injects `faults`."""

    async def show(_request):
        return web.json_response(body=msgspec.json.encode(faults))

    async def replace(request):
        try:
            wanted = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.MsgspecError as error:
            return error_response(400, str(error), applied=False)
        faults.assign(wanted)
        return web.json_response(body=msgspec.json.encode(faults))

    app.middlewares.append(fault_middleware(faults))
    app.router.add_get("/faults", show)
    app.router.add_put("/faults", replace)
