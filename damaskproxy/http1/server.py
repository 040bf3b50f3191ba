"""Server side of HTTP/1.1: one request at a time on each connection."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import BackgroundTask, Fiber
from damaskproxy.events import log_event
from damaskproxy.http1 import events
from damaskproxy.http1.messages import Request, Response, format_response

__all__ = ["ClientLimits", "HttpServer", "ServerConnection"]

logger = logging.getLogger(__name__)

Handle = Callable[[Request], Awaitable[Response]]

LINGER_S = 1.0
"""Time in which the rest of a refused request is discarded, so that the refusal is not
lost to a reset."""
HELD_DEFAULT_BYTES = 64 << 20
"""A fifth of the memory of the smallest usual machine."""
HEADER_OVERHEAD_BYTES = 4
"""Colon, space and line end of a header."""
READ_AHEAD_BYTES = 262144
"""Largest part of a stream that one read delivers; it may hold an earlier request."""
QUEUED_REQUESTS_MAX = 4
"""Pipelined requests that are read ahead of the one in progress."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class HttpServer:
    """Listener and its connections.

    Parameters
    ----------
    name : str
        Name in logs.
    handle : callable
        Returns the response to a request; cancelled when the client leaves.
    limits : callable
        Returns the limits in force.
    run : type
        `Fiber` for a handler that never asks for the current task.
    held_max_bytes : int
        Bodies of all requests that are read or in progress; a request beyond is
        refused and has not run.
    """

    def __init__(
        self,
        name: str,
        handle: Handle,
        limits: Callable[[], ClientLimits] = ClientLimits,
        run: type[Fiber] | type[BackgroundTask] = BackgroundTask,
        held_max_bytes: int = HELD_DEFAULT_BYTES,
    ):
        self.name = name
        self.handle = handle
        self.limits = limits
        self.run = run
        self.held_max_bytes = held_max_bytes
        self.held_bytes = 0
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    @property
    def port(self) -> int:
        """Port of the open listener."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def busy_count(self) -> int:
        """Connections with a request in progress."""
        return sum(connection.is_busy for connection in self.connections)

    def enforce_timeouts(self) -> None:
        """Close connections that are idle or slow beyond the limits."""
        now_s = boot_s()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check(now_s, limits)

    def stop_accepting(self) -> None:
        """Take no more connections and requests; what was read is still served."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._limits = server.limits()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[tuple[Request, bool]] = deque()
        self._fiber: Fiber | BackgroundTask | None = None
        self._active_s = boot_s()
        self._message_began_s: float | None = None
        self._is_head_complete = False
        self._is_refused = False
        self._refusal_status = 0
        self._is_paused = False
        self._held_bytes = 0
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or waits."""
        return self._fiber is not None or bool(self._pending)

    def connection_made(self, transport):
        """Take over an accepted connection."""
        # Callers are on the same machine, so no time-outs of the kernel are set: they
        # would be a third of the system calls of a connection with one request.
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc):
        """Cancel the request in progress: its client has left."""
        self._server.connections.discard(self)
        self._release_body(self._held_bytes)
        self._pending.clear()
        if self._fiber is not None:
            self._fiber.cancel()

    def data_received(self, data):
        """Parse a part of a request."""
        if self._is_refused:
            return
        self._active_s = boot_s()
        if self._message_began_s is None:
            self._message_began_s = self._active_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request was handed on; no other protocol is spoken after it.
            self._is_refused = True
        except httptools.HttpParserError:
            self._refuse(self._refusal_status or 400)
        if self._message_began_s is not None and not self._is_head_complete:
            # The parser keeps an unfinished field without a report.
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > self._limits.max_header_bytes + READ_AHEAD_BYTES:
                self._refuse(431)
        # Not from within the parser, which a response at once might enter again.
        if self._fiber is None and self._pending:
            self._start_next()

    def on_message_begin(self):
        """Start a request."""
        self._reset_message()
        self._message_began_s = self._active_s
        self._limits = self._server.limits()

    def on_url(self, url):
        """Collect the target."""
        self._target += url
        self._field_bytes += len(url)

    def on_header(self, name, value):
        """Collect a header; trailers are dropped."""
        if self._is_head_complete:
            return
        self._headers.append((name, value))
        self._field_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._field_bytes > self._limits.max_header_bytes:
            self._refusal_status = 431
            raise ValueError("the header is too large")

    def on_headers_complete(self):
        """Ask for the body of a client that waits for that."""
        self._is_head_complete = True
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        """Collect a part of the body."""
        self._body_bytes += len(body)
        self._held_bytes += len(body)
        self._server.held_bytes += len(body)
        if self._server.held_bytes > self._server.held_max_bytes:
            self._refusal_status = 503
            raise ValueError("the bodies in progress are too large")
        if self._body_bytes > self._limits.max_body_bytes:
            self._refusal_status = 413
            raise ValueError("the body is too large")
        self._body.append(body)

    def on_message_complete(self):
        """Hand a whole request on."""
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
        )
        is_last = not self._parser.should_keep_alive() or self._parser.should_upgrade()
        self._reset_message()
        self._message_began_s = None
        self._pending.append((request, is_last))
        if len(self._pending) >= QUEUED_REQUESTS_MAX and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def check(self, now_s: float, limits: ClientLimits) -> None:
        """Close the connection when the client is idle or too slow."""
        if self._is_refused or self.is_busy:
            return
        if self._message_began_s is None:
            if (now_s - self._active_s) * 1000 > limits.idle_timeout_ms:
                self._close_idle()
            return
        # A body may take longer than a head, as long as it makes progress.
        since_s = self._active_s if self._is_head_complete else self._message_began_s
        if (now_s - since_s) * 1000 > limits.header_timeout_ms:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or half read."""
        if not self.is_busy and self._message_began_s is None and self._transport:
            self._transport.close()

    def _close_idle(self) -> None:
        if self._transport.get_write_buffer_size():
            # The client has not read its response for the whole idle time.
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._field_bytes = 0
        self._unparsed_bytes = 0
        self._is_head_complete = False

    def _start_next(self) -> None:
        while self._pending and self._fiber is None:
            request, is_last = self._pending.popleft()
            fiber = self._server.run(self._serve(request, is_last), self._report)
            if not fiber.is_done:
                self._fiber = fiber

    async def _serve(self, request: Request, is_last: bool) -> None:
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError:
            return
        except Exception as error:
            self._report(error)
            response = Response(502)
        self._fiber = None
        self._release_body(len(request.body))
        self._write(response, is_last, request.method == b"HEAD")

    def _release_body(self, size: int) -> None:
        size = min(size, self._held_bytes)
        self._held_bytes -= size
        self._server.held_bytes -= size

    def _report(self, error: BaseException) -> None:
        log_event(
            logger,
            events.REQUEST_FAILED,
            exc_info=error,
            listener=self._server.name,
        )

    def _write(self, response: Response, is_last: bool, is_head: bool) -> None:
        if self._transport.is_closing():
            return
        is_last = is_last or (self._server.is_closing and not self._pending)
        self._transport.write(
            format_response(response, is_last=is_last, is_head=is_head)
        )
        self._active_s = boot_s()
        if is_last:
            self._pending.clear()
            self._transport.close()
        elif self._pending:
            self._start_next()
        elif self._refusal_status:
            self._write_refusal()
        if self._is_paused and not self._pending:
            self._is_paused = False
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Refuse what is being read and close, after the requests before it."""
        if self._is_refused:
            return
        self._is_refused = True
        self._refusal_status = status
        if not self.is_busy:
            self._write_refusal()

    def _write_refusal(self) -> None:
        if self._transport.is_closing():
            return
        log_event(
            logger,
            events.REQUEST_MALFORMED,
            listener=self._server.name,
            status=self._refusal_status,
        )
        response = Response(self._refusal_status)
        self._transport.write(format_response(response, is_last=True, is_head=False))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(LINGER_S, self._transport.close)
