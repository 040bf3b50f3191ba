"""HTTP/1.1 server that handles one request at a time on each connection."""

import asyncio
import logging
import socket
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
"""Time for which the rest of a refused request is read and discarded. Closing at once
would reset the connection, and the client could lose the response."""
HELD_DEFAULT_BYTES = 64 << 20
"""A fifth of the memory of the smallest common machine size."""
HEADER_OVERHEAD_BYTES = 4
"""Colon, space and line break of a header."""
READ_AHEAD_BYTES = 262144
"""Largest number of bytes from one read, which may include earlier requests."""
QUEUED_REQUESTS_MAX = 4
"""Pipelined requests that are queued behind the request in progress."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size limits and time-outs for the requests of a client."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class HttpServer:
    """Listener with its connections.

    Parameters
    ----------
    name : str
        Name of the listener in the logs.
    handle : callable
        Returns the response to a request; cancelled when the client disconnects.
    limits : callable
        Returns the current limits.
    run : type
        Runs the handler; `Fiber` is possible if it never needs the current task.
    held_max_bytes : int
        Total size of the bodies of requests that are being read or are in progress. A
        request that would exceed it is refused and has not run.
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
        """Start listening on `host` and `port`."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    async def serve(self, sock: socket.socket) -> None:
        """Accept the connections of a socket that listens."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), sock=sock, backlog=1024
        )

    @property
    def port(self) -> int:
        """Port on which the server is listening."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self.connections)

    def enforce_timeouts(self) -> None:
        """Close connections that have exceeded the idle or header time-out."""
        now_s = boot_s()
        limits = self.limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now_s, limits)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    @property
    def partly_read_count(self) -> int:
        """Number of connections on which a request has been read in part."""
        return sum(connection.is_partly_read for connection in self.connections)

    def stop_accepting(self) -> None:
        """Accept no more connections and requests; complete those already read."""
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
            connection.abort("the node has stopped")


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._limits = server.limits()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[tuple[Request, bool]] = deque()
        self._fiber: Fiber | BackgroundTask | None = None
        self._last_activity_s = boot_s()
        self._message_started_s: float | None = None
        self._is_head_complete = False
        self._is_refused = False
        self._refusal_status = 0
        self._is_reading_paused = False
        self._held_bytes = 0
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or queued."""
        return self._fiber is not None or bool(self._pending)

    @property
    def is_partly_read(self) -> bool:
        """Whether a request has been read in part."""
        return self._message_started_s is not None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def connection_made(self, transport):
        """Register an accepted connection."""
        # Clients are on the same machine, so no dead peer detection is set up. Its
        # socket options would be a third of the system calls of a connection with one
        # request.
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc):
        """Cancel the request in progress, because the client has disconnected."""
        self._server.connections.discard(self)
        self._release_body(self._held_bytes)
        self._pending.clear()
        if self._fiber is not None:
            self._fiber.cancel()

    def data_received(self, data):
        """Parse a part of a request."""
        if self._is_refused:
            return
        self._last_activity_s = boot_s()
        if self._message_started_s is None:
            self._message_started_s = self._last_activity_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is handled; the protocol is not switched after it.
            self._is_refused = True
        except httptools.HttpParserError:
            self._refuse(self._refusal_status or 400)
        if self._message_started_s is not None and not self._is_head_complete:
            # The parser buffers an incomplete header without a callback.
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > self._limits.max_header_bytes + READ_AHEAD_BYTES:
                self._refuse(431)
        # Outside the parser callbacks, since an immediate response could re-enter it.
        if self._fiber is None and self._pending:
            self._start_next()

    def on_message_begin(self):
        """Start a request."""
        self._reset_message()
        self._message_started_s = self._last_activity_s
        self._limits = self._server.limits()

    def on_url(self, url):
        """Collect a part of the request target."""
        self._target += url
        self._field_bytes += len(url)

    def on_header(self, name, value):
        """Collect a header; trailers are discarded."""
        if self._is_head_complete:
            return
        self._headers.append((name, value))
        self._field_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._field_bytes > self._limits.max_header_bytes:
            self._refusal_status = 431
            raise ValueError("the header is too large")

    def on_headers_complete(self):
        """Send 100 Continue to a client that expects it before the body."""
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
        """Queue a complete request."""
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
        )
        is_last = not self._parser.should_keep_alive() or self._parser.should_upgrade()
        self._reset_message()
        self._message_started_s = None
        self._pending.append((request, is_last))
        if len(self._pending) >= QUEUED_REQUESTS_MAX and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def enforce_timeouts(self, now_s: float, limits: ClientLimits) -> None:
        """Close the connection or refuse its request after a time-out."""
        if self._is_refused or self.is_busy:
            return
        if self._message_started_s is None:
            if (now_s - self._last_activity_s) * 1000 > limits.idle_timeout_ms:
                self._close_idle()
            return
        # A body may take longer than the headers, as long as bytes keep arriving.
        since_s = (
            self._last_activity_s if self._is_head_complete else self._message_started_s
        )
        if (now_s - since_s) * 1000 > limits.header_timeout_ms:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or partly read."""
        if not self.is_busy and self._message_started_s is None and self._transport:
            self._transport.close()

    def _close_idle(self) -> None:
        if self.unsent_bytes:
            self.abort("the client has not read its response within the idle time-out")
        else:
            self._transport.close()

    def abort(self, reason: str) -> None:
        """Close the connection at once, and log the requests that this cuts."""
        if self._transport is None:
            return
        if self.is_busy or self.is_partly_read or self.unsent_bytes:
            log_event(
                logger,
                events.RESPONSE_CUT,
                listener=self._server.name,
                reason=reason,
                in_progress=int(self._fiber is not None) + len(self._pending),
                is_partly_read=self.is_partly_read,
                unsent_bytes=self.unsent_bytes,
            )
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
            fiber = self._server.run(self._serve(request, is_last), self._report_error)
            if not fiber.is_done:
                self._fiber = fiber

    async def _serve(self, request: Request, is_last: bool) -> None:
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError:
            return
        except Exception as error:
            self._report_error(error)
            response = Response(502)
        self._fiber = None
        self._release_body(len(request.body))
        self._write(response, is_last, request.method == b"HEAD")

    def _release_body(self, size: int) -> None:
        size = min(size, self._held_bytes)
        self._held_bytes -= size
        self._server.held_bytes -= size

    def _report_error(self, error: BaseException) -> None:
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
        self._last_activity_s = boot_s()
        if is_last:
            self._pending.clear()
            self._transport.close()
        elif self._pending:
            self._start_next()
        elif self._refusal_status:
            self._write_refusal()
        if self._is_reading_paused and not self._pending:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Refuse the request being read, after the responses to earlier requests."""
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
