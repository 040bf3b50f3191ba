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
from damaskproxy.common.memory import (
    LargestHolders,
    MemoryAccount,
    MemoryBudget,
    add_part,
    join_parts,
)
from damaskproxy.events import log_event
from damaskproxy.http1 import events
from damaskproxy.http1.messages import (
    BODILESS_STATUSES,
    Request,
    Response,
    format_response_head,
    write_message,
)
from damaskproxy.http1.sockets import (
    accept_queued,
    unacknowledged_bytes,
    unread_bytes,
)

__all__ = ["ClientLimits", "HttpServer", "ServerConnection"]

logger = logging.getLogger(__name__)

Handle = Callable[[Request], Awaitable[Response]]

LINGER_S = 1.0
"""Time for which the rest of a refused request is read and discarded. Closing at once
would reset the connection, and the client could lose the response."""
FIRST_REQUEST_S = 0.1
"""Time for which a server that stops waits for the first request of a connection that
was just opened."""
HELD_DEFAULT_BYTES = 64 << 20
"""Default limit on the request bodies and on the unsent responses of a listener."""
RETRY_AFTER_S = 0.3
"""Retry-After of a request that is refused because of the bodies in progress."""
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
    unsent_max_bytes : int
        Total size of the responses that clients have not read. If it is exceeded, the
        connection with the largest one is cut.
    budget : MemoryBudget, optional
        Budget of the node, which both are a part of.

    Attributes
    ----------
    bodies : MemoryAccount
        Bodies of requests that are being read or are in progress.
    unsent : LargestHolders
        Responses of which the transport holds more than its high-water mark; a
        response counts in full until it has been sent.
    """

    def __init__(
        self,
        name: str,
        handle: Handle,
        limits: Callable[[], ClientLimits] = ClientLimits,
        run: type[Fiber] | type[BackgroundTask] = BackgroundTask,
        held_max_bytes: int = HELD_DEFAULT_BYTES,
        unsent_max_bytes: int = HELD_DEFAULT_BYTES,
        budget: MemoryBudget | None = None,
    ):
        self.name = name
        self.handle = handle
        self.limits = limits
        self.run = run
        budget = budget or MemoryBudget(held_max_bytes + unsent_max_bytes)
        self.bodies = MemoryAccount(held_max_bytes, budget)
        self.unsent = LargestHolders(MemoryAccount(unsent_max_bytes, budget))
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task] = set()

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
    def held_bytes(self) -> int:
        """Bytes of the bodies of requests that are being read or are in progress."""
        return self.bodies.held_bytes

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

    @property
    def unfinished_count(self) -> int:
        """Number of connections with a request to answer or an answer to send."""
        connections = self.connections
        unfinished = sum(connection.is_unfinished for connection in connections)
        return unfinished + len(self._accepting)

    def stop_accepting(self) -> None:
        """Accept no more connections, and close those with nothing unfinished.

        Notes
        -----
        Requests that are still read are handled, so the handler has to refuse them if
        they might not be completed. To be called again until `unfinished_count` is 0.
        """
        self.is_closing = True
        if self._server is not None and self._server.is_serving():
            accepting = accept_queued(self._server, lambda: ServerConnection(self))
            self._accepting.update(accepting)
            for task in accepting:
                task.add_done_callback(self._accepted)
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def _accepted(self, task: asyncio.Task) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            # A connection may be lost before its protocol has it.
            task.exception()

    def refuse_partly_read(self) -> None:
        """Refuse the requests that have not been read completely."""
        for connection in list(self.connections):
            connection.refuse_partly_read()

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
        self._is_new = True
        self._message_started_s: float | None = None
        self._is_head_complete = False
        self._is_refused = False
        self._is_discarding = False
        self._is_answered = False
        self._refusal_status = 0
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._written_bytes = 0
        self._held_bytes = 0
        self._checked_unsent_bytes = 0
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or queued."""
        return self._fiber is not None or bool(self._pending)

    @property
    def is_partly_read(self) -> bool:
        """Whether a request has been read in part and is not refused."""
        return self._message_started_s is not None and not self._is_refused

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def is_unfinished(self) -> bool:
        """Whether there is a request to answer or an answer to send.

        Notes
        -----
        Answers count until the client has acknowledged them. A connection that the
        client merely keeps open does not count.
        """
        return (
            self.is_busy
            or self.is_partly_read
            or self._is_discarding
            or self.unsent_bytes > 0
            or unacknowledged_bytes(self._transport) > 0
            or (not self._is_answered and unread_bytes(self._transport) > 0)
            or (self._is_new and boot_s() - self._last_activity_s < FIRST_REQUEST_S)
        )

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
        self._server.unsent.release(self._cut_unsent)
        self._pending.clear()
        fiber, self._fiber = self._fiber, None
        if fiber is not None:
            fiber.cancel()
        # The parser refers to this connection.
        self._parser = None

    def pause_writing(self):
        """Count the response that the client does not read, and start no other one."""
        self._is_writing_paused = True
        unsent_bytes = max(self._written_bytes, self.unsent_bytes)
        self._server.unsent.add(self._cut_unsent, unsent_bytes)

    def resume_writing(self):
        """Start the next request after the client has read the response."""
        self._is_writing_paused = False
        self._server.unsent.release(self._cut_unsent)
        if self._fiber is None and self._pending:
            self._start_next()
            self._resume_reading()

    def data_received(self, data):
        """Parse a part of a request."""
        if self._is_refused:
            return
        self._last_activity_s = boot_s()
        self._is_new = False
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
        size = len(body)
        if self._body_bytes + size > self._limits.max_body_bytes:
            self._refusal_status = 413
            raise ValueError("the body is too large")
        bodies = self._server.bodies
        if not bodies.fits(size):
            self._refusal_status = 503
            raise ValueError("the bodies in progress are too large")
        self._body_bytes += size
        self._held_bytes += size
        bodies.hold(size)
        self._body = add_part(self._body, body) if self._body else body

    def on_message_complete(self):
        """Queue a complete request."""
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            join_parts(self._body),
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
        if self._fiber is not None:
            return
        if self._has_sent_since_last_check():
            self._last_activity_s = now_s
        is_idle = (now_s - self._last_activity_s) * 1000 > limits.idle_timeout_ms
        if self._is_writing_paused or (self._is_refused and self.unsent_bytes):
            # Also with queued requests, which wait until the response has been read.
            if is_idle:
                self._close_idle()
            return
        if self._is_refused or self._pending:
            return
        if self._message_started_s is None:
            if is_idle:
                self._close_idle()
            return
        # A body may take longer than the headers, as long as bytes keep arriving.
        since_s = (
            self._last_activity_s if self._is_head_complete else self._message_started_s
        )
        if (now_s - since_s) * 1000 > limits.header_timeout_ms:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close the connection unless something is unfinished.

        Notes
        -----
        After its last response it is left to the client to close it.
        """
        if not self._is_answered and not self.is_unfinished:
            self._transport.close()

    def refuse_partly_read(self) -> None:
        """Refuse the request that has been read in part, if there is one."""
        if self.is_partly_read:
            self._refuse(503)

    def _has_sent_since_last_check(self) -> bool:
        before, self._checked_unsent_bytes = (
            self._checked_unsent_bytes,
            self.unsent_bytes,
        )
        return self._checked_unsent_bytes < before

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

    def _cut_unsent(self) -> None:
        self.abort("the responses that clients have not read exceed their memory limit")

    def _reset_message(self) -> None:
        self._target = b""
        self._headers = []
        self._body = b""
        self._body_bytes = 0
        self._field_bytes = 0
        self._unparsed_bytes = 0
        self._is_head_complete = False

    def _start_next(self) -> None:
        while self._pending and self._fiber is None and not self._is_writing_paused:
            request, is_last = self._pending.popleft()
            fiber = self._server.run(self._serve(request, is_last), self._report_error)
            if not fiber.is_done:
                self._fiber = fiber

    async def _serve(self, request: Request, is_last: bool) -> None:
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError as error:
            if self._transport.is_closing():
                return
            # What the handler waited for was cancelled, not the request.
            self._report_error(error)
            response = Response(502)
        except Exception as error:
            self._report_error(error)
            response = Response(502)
        self._fiber = None
        self._release_body(len(request.body))
        self._write(response, is_last, request.method == b"HEAD")

    def _release_body(self, size: int) -> None:
        size = min(size, self._held_bytes)
        if not size:
            return
        self._held_bytes -= size
        self._server.bodies.release(size)

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
        is_last = is_last or self._must_end()
        is_bodiless = is_head or response.status in BODILESS_STATUSES
        body = b"" if is_bodiless else response.body
        self._written_bytes = len(body)
        head = format_response_head(response, is_last=is_last)
        write_message(self._transport, head, body)
        self._last_activity_s = boot_s()
        if is_last:
            self._pending.clear()
            self._end()
        elif self._pending:
            self._start_next()
        elif self._refusal_status:
            self._write_refusal()
        if self._is_reading_paused:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._pending:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _must_end(self) -> bool:
        """Tell whether the server closes and no further request has arrived."""
        return (
            self._server.is_closing
            and not self._pending
            and not self.is_partly_read
            and not self._refusal_status
            and not unread_bytes(self._transport)
        )

    def _end(self) -> None:
        """Close the connection after its last response."""
        if not self._server.is_closing:
            self._transport.close()
            return
        # Whatever the client still sends would reset a closed connection, and the
        # client could lose the response. It is read until the client closes.
        self._is_refused = self._is_answered = True
        self._message_started_s = None
        self._transport.write_eof()

    def _refuse(self, status: int) -> None:
        """Refuse the request being read, after the responses to earlier requests."""
        if self._is_refused:
            return
        self._is_refused = True
        self._refusal_status = status
        self._release_body(self._body_bytes)
        self._reset_message()
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
        if self._refusal_status == 503:
            response.headers.append((b"Retry-After", b"%.2f" % RETRY_AFTER_S))
        self._transport.write(format_response_head(response, is_last=True))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._is_discarding = True
        self._server.loop.call_later(LINGER_S, self._transport.close)
