"""Connection of a client to a listener."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import BackgroundTask, Fiber
from damaskproxy.http1 import events
from damaskproxy.http1.closures import Closure
from damaskproxy.http1.connection_memory import ConnectionMemory
from damaskproxy.http1.limits import (
    ANSWERS_PER_TURN,
    QUEUED_REQUESTS_MAX,
    ClientLimits,
)
from damaskproxy.http1.messages import Request, Response
from damaskproxy.http1.refusals import CLOSURES
from damaskproxy.http1.request_reader import RequestReader
from damaskproxy.http1.response_writer import ResponseWriter
from damaskproxy.http1.sockets import unread_bytes

if TYPE_CHECKING:
    from damaskproxy.http1.server import HttpServer

__all__ = ["ServerConnection"]

FIRST_REQUEST_S = 0.1
"""Time for which a server that stops waits for the first request of a connection that
was just opened."""


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Attributes
    ----------
    waits_since_s : float
        Time of the last progress: the start of the request that is read in part, or
        else the last byte read or response written.
    """

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._writer = ResponseWriter(server)
        self._reader = RequestReader(
            server.limits, self._hold_body, self._writer.write_continue, self._queue
        )
        self._memory = ConnectionMemory(server, self)
        self._pending: deque[tuple[Request, bool, int]] = deque()
        self._fiber: Fiber | BackgroundTask | None = None
        self._last_activity_s = boot_s()
        self._is_new = True
        self._is_refused = False
        self._is_starting = False
        self._has_turn = False
        self._refusal_status = 0
        self._is_reading_paused = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or queued."""
        return self._fiber is not None or bool(self._pending)

    @property
    def may_be_shed(self) -> bool:
        """Whether the client waits for nothing, or for several responses at once."""
        return self._fiber is None or bool(self._pending) or self._reader.is_partly_read

    @property
    def is_partly_read(self) -> bool:
        """Whether a request has been read in part and is not refused."""
        return not self._is_refused and self._reader.is_partly_read

    @property
    def waits_since_s(self) -> float:
        """Return since when the connection has made no progress."""
        started_s = self._reader.message_started_s
        if started_s is None or self._is_refused:
            return self._last_activity_s
        return started_s

    @property
    def reclaimable_bytes(self) -> tuple[int, int]:
        """Bytes of bodies, and other ones, that `reclaim` would free."""
        return (0, 0) if self._is_refused else self._memory.reclaimable_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return self._writer.unsent_bytes

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
            or self._writer.is_sending
            or (not self._writer.is_answered and unread_bytes(self._transport) > 0)
            or (self._is_new and boot_s() - self._last_activity_s < FIRST_REQUEST_S)
        )

    def connection_made(self, transport):
        """Register an accepted connection."""
        # Clients are on the same machine, so no dead peer detection is set up. Its
        # socket options would be a third of the system calls of a connection with one
        # request.
        self._transport = transport
        self._writer.open(transport)
        server = self._server
        server.connections.add(self)
        self._count_overhead()
        if len(server.connections) > server.listener_limits.connections_max:
            server.shed_connections(self)

    def connection_lost(self, exc):
        """Cancel the request in progress, because the client has disconnected."""
        self._server.connections.discard(self)
        self._pending.clear()
        self._reader.close()
        self._memory.close()
        self._server.unsent.release(self._cut_unsent)
        fiber, self._fiber = self._fiber, None
        if fiber is not None:
            fiber.cancel()

    def pause_writing(self):
        """Count the response that the client does not read, and start no other one."""
        self._writer.is_paused = True
        self._server.unsent.add(self._cut_unsent, self._writer.counted_bytes)

    def resume_writing(self):
        """Start the next request after the client has read the response."""
        self._writer.is_paused = False
        self._server.unsent.release(self._cut_unsent)
        if self._fiber is None and self._pending:
            self._start_next()
            self._read_on()

    def data_received(self, data):
        """Parse a part of a request."""
        if self._is_refused:
            return
        self._last_activity_s = boot_s()
        self._is_new = False
        self._reader.feed(data, self._last_activity_s, self._may_read)
        self._after_reading()

    def enforce_timeouts(self, now_s: float, limits: ClientLimits) -> None:
        """Close the connection or refuse its request after a time-out."""
        if self._fiber is not None:
            return
        if self._writer.has_sent_since_last_check():
            self._last_activity_s = now_s
        is_idle = (now_s - self._last_activity_s) * 1000 > limits.idle_timeout_ms
        if self._writer.is_paused or (self._is_refused and self.unsent_bytes):
            # Also with queued requests, which wait until the response has been read.
            if is_idle:
                self._close_idle()
            return
        reader = self._reader
        if self._is_refused or self._pending or reader.input_bytes:
            return
        if reader.message_started_s is None:
            if is_idle:
                self._close_idle()
            return
        # A body may take longer than the headers, as long as bytes keep arriving.
        since_s = (
            self._last_activity_s
            if reader.is_head_complete
            else reader.message_started_s
        )
        if (now_s - since_s) * 1000 > limits.header_timeout_ms:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close the connection unless something is unfinished.

        Notes
        -----
        After its last response it is left to the client to close it.
        """
        if not self._writer.is_answered and not self.is_unfinished:
            self._transport.close()

    def refuse_partly_read(self) -> None:
        """Refuse the request that has been read in part, if there is one."""
        if self.is_partly_read:
            self._refuse(503, Closure.STOPPING)

    def reclaim(self) -> None:
        """Refuse all requests that have not run, to free their memory."""
        for request, _, size in self._pending:
            self._memory.unqueue(request, size)
        self._pending.clear()
        self._refuse(503)

    def shed(self) -> None:
        """Close the connection in favour of a new one."""
        # At once, so that the next new connection does not count it.
        self._server.connections.discard(self)
        self._server.closures.counts[Closure.CONNECTIONS] += 1
        self._server.closures.log(
            events.CONNECTION_SHED,
            listener=self._server.name,
            is_partly_read=self.is_partly_read,
            queued=len(self._pending),
            unsent_bytes=self.unsent_bytes,
        )
        self._transport.abort()

    def abort(self, reason: str, kind: Closure | None = None) -> None:
        """Close the connection at once, and log the requests that this cuts."""
        if self._transport is None:
            return
        if kind is not None:
            self._server.closures.counts[kind] += 1
        if self.is_busy or self.is_partly_read or self.unsent_bytes:
            self._server.closures.log(
                events.RESPONSE_CUT,
                listener=self._server.name,
                reason=reason,
                in_progress=int(self._fiber is not None) + len(self._pending),
                is_partly_read=self.is_partly_read,
                unsent_bytes=self.unsent_bytes,
            )
        self._transport.abort()

    def _hold_body(self, size: int) -> bool:
        return self._memory.hold_body(size, self._reader.body_bytes)

    def _queue(self, request: Request, is_last: bool, size: int) -> None:
        self._pending.append((request, is_last, size))
        self._memory.queue(size)

    def _may_read(self) -> bool:
        return len(self._pending) < QUEUED_REQUESTS_MAX

    def _after_reading(self) -> None:
        """Handle what the reader has found."""
        reader = self._reader
        if reader.is_ended:
            self._is_refused = True
        elif reader.status:
            self._refuse(reader.status)
        # Outside the parser callbacks, since an immediate response could re-enter it.
        if self._fiber is None and self._pending:
            self._start_next()
        if reader.input_bytes and self._may_read():
            self._take_turn()
        must_pause = reader.input_bytes or not self._may_read()
        if must_pause and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        elif self._is_reading_paused:
            self._read_on()
        self._count_overhead()

    def _count_overhead(self) -> None:
        """Count what the connection holds beside bodies, and refuse it if too much."""
        if self._transport.is_closing():
            return
        may_refuse = self.is_partly_read
        if not self._memory.count(self._reader.held_bytes, may_refuse=may_refuse):
            self._refuse(503)

    def _take_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._server.turns.add(self._go_on)

    def _go_on(self) -> None:
        """Start the next request, or parse more of the input."""
        self._has_turn = False
        if self._transport.is_closing():
            return
        # The time that the input has waited is not the client's.
        now_s = self._last_activity_s = boot_s()
        if self._is_refused:
            if self._fiber is None and self._pending:
                self._start_next()
            return
        self._reader.go_on(now_s, self._may_read)
        self._after_reading()

    def _read_on(self) -> None:
        """Parse the input that has waited for responses, then read more."""
        if not self._is_reading_paused or not self._may_read():
            return
        if self._reader.input_bytes:
            self._take_turn()
        elif not self._pending:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _close_idle(self) -> None:
        if self.unsent_bytes:
            self.abort(
                "the client has not read its response within the idle time-out",
                Closure.UNREAD,
            )
        else:
            self._server.closures.counts[Closure.IDLE] += 1
            self._transport.close()

    def _cut_unsent(self) -> None:
        self.abort(
            "the responses that clients have not read exceed their memory limit",
            Closure.UNREAD,
        )

    def _start_next(self) -> None:
        """Start queued requests; those that are answered at once do not nest."""
        if self._is_starting:
            return
        self._is_starting = True
        answered = 0
        while self._pending and self._fiber is None and not self._writer.is_paused:
            if answered == ANSWERS_PER_TURN:
                self._take_turn()
                break
            answered += 1
            request, is_last, size = self._pending.popleft()
            self._memory.start(request, size)
            fiber = self._server.run(
                self._serve(request, is_last, size), self._server.report_error
            )
            if not fiber.is_done:
                self._fiber = fiber
        self._is_starting = False

    async def _serve(self, request: Request, is_last: bool, size: int) -> None:
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError as error:
            if self._transport.is_closing():
                return
            # What the handler waited for was cancelled, not the request.
            self._server.report_error(error)
            response = Response(502)
        except Exception as error:
            self._server.report_error(error)
            response = Response(502)
        self._fiber = None
        self._memory.finish(request, size)
        self._write(response, is_last, request.method == b"HEAD")

    def _write(self, response: Response, is_last: bool, is_head: bool) -> None:
        if self._transport.is_closing():
            return
        is_last = is_last or self._must_end()
        self._writer.write(response, is_last=is_last, is_head=is_head)
        self._last_activity_s = boot_s()
        if is_last:
            self._pending.clear()
            self._reader.give_up()
            self._is_refused = True
            self._writer.end()
        elif self._pending:
            self._start_next()
        elif self._refusal_status:
            self._writer.write_refusal(self._refusal_status)
        if self._is_reading_paused:
            self._read_on()
        self._count_overhead()

    def _must_end(self) -> bool:
        """Tell whether the server closes and no further request has arrived."""
        return (
            self._server.is_closing
            and not self._pending
            and not self.is_partly_read
            and not self._refusal_status
            and not unread_bytes(self._transport)
        )

    def _refuse(self, status: int, kind: Closure | None = None) -> None:
        """Refuse the request being read, after the responses to earlier requests."""
        if self._is_refused:
            return
        self._is_refused = True
        self._server.closures.counts[kind or CLOSURES[status]] += 1
        self._refusal_status = status
        self._memory.release_body(self._reader.body_bytes)
        self._reader.give_up()
        self._count_overhead()
        if not self.is_busy:
            self._writer.write_refusal(self._refusal_status)
