"""Incoming streams of peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.events import log_event
from damaskproxy.routing import events
from damaskproxy.routing.peer_stream import FRAME_OVERHEAD_BYTES
from damaskproxy.routing.results import refused
from damaskproxy.routing.settings import RoutingSettings
from damaskproxy.wire import (
    Answer,
    Call,
    Cancel,
    Hello,
    Refused,
    WireError,
    decode_frame,
    encode_frame,
)

__all__ = ["PeerServer"]

logger = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 2.0

Serve = Callable[[Call], Awaitable[Answer | Refused]]


class PeerServer:
    """Serves the calls that arrive over the streams of peers.

    Parameters
    ----------
    hello : callable
        Returns the identity of this node.
    serve : callable
        Runs a call and returns its answer.
    cancel : callable
        Withdraws the call with an attempt id.
    settings : RoutingSettings
        Sizes.
    """

    def __init__(
        self,
        hello: Callable[[], Hello],
        serve: Serve,
        cancel: Callable[[str], None],
        settings: RoutingSettings,
    ):
        self._hello = hello
        self._serve = serve
        self._cancel = cancel
        self._max_frame_bytes = settings.max_body_bytes + FRAME_OVERHEAD_BYTES
        self._sockets: set[web.WebSocketResponse] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one stream until it ends."""
        socket = web.WebSocketResponse(
            max_msg_size=self._max_frame_bytes, compress=False, timeout=1.0
        )
        if not socket.can_prepare(request).ok:
            return web.Response(status=400, text="a WebSocket is expected\n")
        await socket.prepare(request)
        self._sockets.add(socket)
        try:
            await self._serve_stream(socket)
        except (TimeoutError, TypeError, WireError, ConnectionError) as error:
            text = str(error) or type(error).__name__
            log_event(logger, events.PEER_FRAME_INVALID, error=text)
        finally:
            self._sockets.discard(socket)
            await socket.close()
        return socket

    async def _serve_stream(self, socket: web.WebSocketResponse) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            greeting = decode_frame(await socket.receive_bytes())
        if not isinstance(greeting, Hello):
            raise WireError("the first frame is not a greeting")
        await socket.send_bytes(encode_frame(self._hello()))
        running: dict[str, asyncio.Task] = {}
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    self._take(socket, decode_frame(message.data), running)
        finally:
            # Nobody waits any more. Attempts that must run to their end ignore this.
            for attempt_id in tuple(running):
                self._cancel(attempt_id)

    def _take(self, socket, frame, running: dict[str, asyncio.Task]) -> None:
        if isinstance(frame, Call):
            task = asyncio.create_task(self._answer(socket, frame))
            running[frame.attempt_id] = task
            task.add_done_callback(lambda _: running.pop(frame.attempt_id, None))
        elif isinstance(frame, Cancel):
            self._cancel(frame.attempt_id)

    async def _answer(self, socket: web.WebSocketResponse, call: Call) -> None:
        try:
            reply = await self._serve(call)
        except Exception:
            log_event(
                logger, events.CALL_FAILED, exc_info=True, request_id=call.request_id
            )
            detail = "internal error of the target node"
            refusal = Refusal(
                RefusalReason.BACKEND_ERROR, Outcome.UNKNOWN, detail=detail
            )
            reply = refused(call, refusal)
        if socket.closed:
            return
        try:
            await socket.send_bytes(encode_frame(reply))
        except (ConnectionError, aiohttp.ClientError):
            return

    async def close(self) -> None:
        """Close all streams."""
        for socket in tuple(self._sockets):
            await socket.close()
