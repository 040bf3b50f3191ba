"""Server side of the streams between nodes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.events import log_event
from damaskproxy.routing import events
from damaskproxy.routing.peer_stream import FRAME_OVERHEAD_BYTES
from damaskproxy.routing.results import refused_frame
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
        Returns the `Hello` frame of this node.
    serve : callable
        Runs a call and returns its response.
    cancel : callable
        Cancels the call with the given attempt id.
    settings : RoutingSettings
        Size limits.
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
        """Serve one stream until it is closed."""
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
            hello = decode_frame(await socket.receive_bytes())
        if not isinstance(hello, Hello):
            raise WireError("the first frame is not a Hello frame")
        await socket.send_bytes(encode_frame(self._hello()))
        running: dict[str, asyncio.Task] = {}
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    self._handle_frame(socket, decode_frame(message.data), running)
        finally:
            # The responses cannot be delivered any more. Non-idempotent attempts that
            # have started ignore the cancellation.
            for attempt_id in tuple(running):
                self._cancel(attempt_id)

    def _handle_frame(self, socket, frame, running: dict[str, asyncio.Task]) -> None:
        if isinstance(frame, Call):
            task = asyncio.create_task(self._serve_call(socket, frame))
            running[frame.attempt_id] = task
            task.add_done_callback(lambda _: running.pop(frame.attempt_id, None))
        elif isinstance(frame, Cancel):
            self._cancel(frame.attempt_id)

    async def _serve_call(self, socket: web.WebSocketResponse, call: Call) -> None:
        try:
            result = await self._serve(call)
        except Exception:
            log_event(
                logger, events.CALL_FAILED, exc_info=True, request_id=call.request_id
            )
            detail = "internal error of the target node"
            refusal = Refusal(
                RefusalReason.BACKEND_ERROR, Outcome.UNKNOWN, detail=detail
            )
            result = refused_frame(call, refusal)
        if socket.closed:
            return
        try:
            await socket.send_bytes(encode_frame(result))
        except (ConnectionError, aiohttp.ClientError):
            return

    async def close(self) -> None:
        """Close all streams."""
        for socket in tuple(self._sockets):
            await socket.close()
