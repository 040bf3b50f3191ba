"""Transports compared by ``benchmarks.transports``: an echo of a 1 KB call."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
import grpc
from aiohttp import web

from damaskproxy.common import Priority
from damaskproxy.wire import Answer, Call, decode_frame, encode_frame

__all__ = ["TRANSPORTS", "Transport"]

BODY = b"x" * 1024
HOST = "127.0.0.1"
HEADERS = [("Content-Type", "application/json"), ("traceparent", "0" * 55)]
CALL_PATH = "/orders/place"
STREAM_METHOD = "/damask.Peer/Stream"
UNARY_METHOD = "/damask.Peer/Call"

Close = Callable[[], Awaitable[None]]
Serving = tuple[int, Close]
Connected = tuple[Callable[[], Awaitable[None]], Close]


@dataclass(frozen=True, slots=True)
class Transport:
    """One transport of the comparison.

    Parameters
    ----------
    title : str
        Name in the table.
    serve : callable
        Starts the server; returns its port and a function that stops it.
    connect : callable
        Takes the port; returns a function that makes one call, and one that
        disconnects.
    """

    title: str
    serve: Callable[[], Awaitable[Serving]]
    connect: Callable[[int], Awaitable[Connected]]


def make_call(attempt: int) -> Call:
    """Return the frame of a call with a 1 KB body."""
    return Call(
        attempt_id=f"{attempt:032x}",
        request_id=f"{attempt:032x}",
        service="orders",
        route="place",
        method="POST",
        path="/place",
        headers=HEADERS,
        body=BODY,
        priority=Priority.CRITICAL,
        ordinal=5,
        deadline_ms=2000,
        start_by_ms=1000,
    )


def echo_answer(data: bytes) -> bytes:
    """Return the encoded answer to an encoded call."""
    call = decode_frame(data)
    return encode_frame(Answer(call.attempt_id, 200, HEADERS, call.body))


async def _listen(runner) -> Serving:
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    return runner.addresses[0][1], runner.cleanup


async def _echo_http(request: web.BaseRequest) -> web.Response:
    return web.Response(body=await request.read(), headers=dict(HEADERS))


async def serve_application() -> Serving:
    """Serve HTTP with an aiohttp application and its router."""
    app = web.Application()
    app.router.add_route("*", "/{service}/{path:.*}", _echo_http)
    return await _listen(web.AppRunner(app, access_log=None))


async def serve_low_level() -> Serving:
    """Serve HTTP with the low-level server of aiohttp."""
    return await _listen(web.ServerRunner(web.Server(_echo_http, access_log=None)))


async def connect_http(port: int) -> Connected:
    """Call over HTTP with the client of aiohttp."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
    url = f"http://{HOST}:{port}{CALL_PATH}"
    headers = dict(HEADERS)

    async def call():
        async with session.post(url, data=BODY, headers=headers) as response:
            assert await response.read() == BODY

    return call, session.close


class PendingAnswers:
    """Futures of the calls of a stream that await their answer, by attempt id."""

    def __init__(self):
        self._attempts = itertools.count()
        self._waiting: dict[str, asyncio.Future] = {}

    def open(self) -> tuple[bytes, asyncio.Future]:
        """Return an encoded call and the future of its answer."""
        call = make_call(next(self._attempts))
        future = asyncio.get_running_loop().create_future()
        self._waiting[call.attempt_id] = future
        return encode_frame(call), future

    def resolve(self, data: bytes) -> None:
        """Complete the future of the call that an answer belongs to."""
        answer = decode_frame(data)
        self._waiting.pop(answer.attempt_id).set_result(answer.body)


async def serve_websocket() -> Serving:
    """Serve msgpack frames over a WebSocket, with one task per call."""

    async def handle(request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        tasks = set()

        async def answer(data: bytes) -> None:
            await socket.send_bytes(echo_answer(data))

        async for message in socket:
            task = asyncio.create_task(answer(message.data))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        return socket

    app = web.Application()
    app.router.add_get("/peer", handle)
    return await _listen(web.AppRunner(app, access_log=None))


async def connect_websocket(port: int) -> Connected:
    """Call over one WebSocket."""
    session = aiohttp.ClientSession()
    socket = await session.ws_connect(f"http://{HOST}:{port}/peer", compress=0)
    pending = PendingAnswers()

    async def read() -> None:
        async for message in socket:
            pending.resolve(message.data)

    reader = asyncio.create_task(read())

    async def call():
        data, future = pending.open()
        await socket.send_bytes(data)
        assert await future == BODY

    async def close():
        await socket.close()
        await reader
        await session.close()

    return call, close


async def _serve_grpc(handlers: dict[str, grpc.RpcMethodHandler]) -> Serving:
    server = grpc.aio.server()
    handler = grpc.method_handlers_generic_handler("damask.Peer", handlers)
    server.add_generic_rpc_handlers((handler,))
    port = server.add_insecure_port(f"{HOST}:0")
    await server.start()

    async def close():
        await server.stop(None)

    return port, close


async def serve_unary() -> Serving:
    """Serve unary gRPC calls."""

    async def handle(data: bytes, _context) -> bytes:
        return echo_answer(data)

    return await _serve_grpc({"Call": grpc.unary_unary_rpc_method_handler(handle)})


async def connect_unary(port: int) -> Connected:
    """Call with unary gRPC."""
    channel = grpc.aio.insecure_channel(f"{HOST}:{port}")
    method = channel.unary_unary(UNARY_METHOD)
    attempts = itertools.count()

    async def call():
        answer = decode_frame(await method(encode_frame(make_call(next(attempts)))))
        assert answer.body == BODY

    return call, channel.close


async def serve_stream() -> Serving:
    """Serve one bidirectional gRPC stream with a single writer task."""

    async def handle(_requests, context) -> None:
        answers: asyncio.Queue[bytes] = asyncio.Queue()

        async def write() -> None:
            while True:
                data = await answers.get()
                await context.write(data)

        async def answer(data: bytes) -> None:
            answers.put_nowait(echo_answer(data))

        writer = asyncio.create_task(write())
        tasks = set()
        while (data := await context.read()) is not grpc.aio.EOF:
            task = asyncio.create_task(answer(data))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        writer.cancel()

    return await _serve_grpc({"Stream": grpc.stream_stream_rpc_method_handler(handle)})


async def connect_stream(port: int) -> Connected:
    """Call over one bidirectional gRPC stream."""
    channel = grpc.aio.insecure_channel(f"{HOST}:{port}")
    stream = channel.stream_stream(STREAM_METHOD)()
    pending = PendingAnswers()
    calls: asyncio.Queue[bytes] = asyncio.Queue()

    async def read() -> None:
        while (data := await stream.read()) is not grpc.aio.EOF:
            pending.resolve(data)

    async def write() -> None:
        while True:
            data = await calls.get()
            await stream.write(data)

    tasks = [asyncio.create_task(read()), asyncio.create_task(write())]

    async def call():
        data, future = pending.open()
        calls.put_nowait(data)
        assert await future == BODY

    async def close():
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await channel.close()

    return call, close


async def serve_raw() -> Serving:
    """Echo length-prefixed frames over TCP: the lower bound of the comparison."""

    async def handle(reader, writer) -> None:
        while prefix := await reader.read(4):
            data = echo_answer(await reader.readexactly(int.from_bytes(prefix, "big")))
            writer.write(len(data).to_bytes(4, "big") + data)
        writer.close()

    server = await asyncio.start_server(handle, HOST, 0)

    async def close():
        server.close()

    return server.sockets[0].getsockname()[1], close


async def connect_raw(port: int) -> Connected:
    """Call with length-prefixed frames over TCP."""
    reader, writer = await asyncio.open_connection(HOST, port)
    pending = PendingAnswers()

    async def read() -> None:
        while True:
            size = int.from_bytes(await reader.readexactly(4), "big")
            pending.resolve(await reader.readexactly(size))

    task = asyncio.create_task(read())

    async def call():
        data, future = pending.open()
        writer.write(len(data).to_bytes(4, "big") + data)
        assert await future == BODY

    async def close():
        task.cancel()
        writer.close()

    return call, close


TRANSPORTS = {
    "application": Transport(
        "(a) aiohttp application", serve_application, connect_http
    ),
    "low-level": Transport("(b) aiohttp web.Server", serve_low_level, connect_http),
    "websocket": Transport("(c) aiohttp WebSocket", serve_websocket, connect_websocket),
    "unary": Transport("(d) grpcio unary", serve_unary, connect_unary),
    "stream": Transport("(e) grpcio stream", serve_stream, connect_stream),
    "raw": Transport("asyncio streams (floor)", serve_raw, connect_raw),
}
