"""Fault controls that the stand-ins share.

The controls are served without authentication, because the stand-ins are development
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
    """Which answers to writes are lost."""

    NONE = "none"
    BEFORE = "before"
    AFTER = "after"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; the defaults mean none.

    Parameters
    ----------
    down : bool
        Refuse every request with 503 and apply nothing.
    delay_ms : int
        Time between the arrival of a request and its execution. The delay goes on when
        the client closes the connection, so that a write may apply after its client
        has given up.
    lose : Lose
        Close the connection instead of answering a write: ``before`` it is applied, or
        ``after``.
    lose_count : int
        Writes that `lose` affects, after which it returns to ``none``; -1 for all.
    """

    down: bool = False
    delay_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_DELAY_MS)] = 0
    lose: Lose = Lose.NONE
    lose_count: Annotated[int, msgspec.Meta(ge=-1)] = -1

    def take_loss(self) -> Lose:
        """Return what happens to the next write, and count it."""
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
        """Take over the fields of `other`."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(other, name))


def error_response(status: int, error: str, applied: bool | None) -> web.Response:
    """Return a refusal with the body that the clients expect."""
    body = msgspec.json.encode(ErrorBody(error, applied))
    return web.Response(status=status, body=body, content_type="application/json")


def fault_middleware(faults: Faults):
    """Return middleware that refuses and delays requests as `faults` says."""

    @web.middleware
    async def apply_faults(request, handler):
        if request.path == "/faults":
            return await handler(request)
        if faults.down:
            return error_response(503, "unavailable", applied=False)
        if faults.delay_ms:
            # The body must be here before its client can give up on the request.
            await request.read()
            await asyncio.sleep(faults.delay_ms / 1000)
        return await handler(request)

    return apply_faults


async def run_write(
    request: web.Request, faults: Faults, write: Callable[[], Awaitable[web.Response]]
) -> web.Response:
    """Apply a write and answer it, or lose the answer.

    Parameters
    ----------
    request : web.Request
        Request whose connection is closed when the answer is lost.
    faults : Faults
        Faults in force.
    write : callable
        Applies the write and returns the answer.
    """
    loss = faults.take_loss()
    if loss is Lose.BEFORE:
        return drop_connection(request)
    response = await write()
    if loss is Lose.AFTER:
        return drop_connection(request)
    return response


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection of `request` without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Serve ``GET /faults`` and ``PUT /faults`` and put the faults in force."""

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
