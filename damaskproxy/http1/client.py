"""HTTP/1.1 client: a pool of connections to one address."""

import asyncio

import httptools

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Waiter
from damaskproxy.common.memory import add_part, join_parts
from damaskproxy.http1.errors import ConnectFailed, ExchangeLost, ResponseTooLarge
from damaskproxy.http1.messages import (
    Request,
    Response,
    format_request_head,
    write_message,
)
from damaskproxy.http1.response_checks import (
    TRANSFER_ENCODING,
    ResponseFilter,
    accept_any,
    check_status,
    check_transfer_coding,
    check_version,
    is_final_status,
    is_framed,
    is_other_protocol,
    status_fault,
)
from damaskproxy.http1.response_limits import ResponseLimits, ResponseMemory
from damaskproxy.http1.sockets import DeadPeerLimits, enable_dead_peer_detection
from damaskproxy.model import Address

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 1.0
"""A server on the same machine or in the same region accepts within milliseconds; a
lost SYN is retransmitted only after one second."""
IDLE_DEFAULT_S = 4.0
"""Reuse limit without a Keep-Alive header; common servers close after 5 s."""
IDLE_MARGIN_S = 1.0
"""A connection is not reused within this time before the server may close it."""
DEFAULT_MEMORY_BYTES = 64 << 20
"""Memory of all responses in progress on a pool that shares no `ResponseMemory`."""


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    Notes
    -----
    Bytes after a complete response belong to no request, so a connection that has
    received any is closed.
    """

    def __init__(
        self,
        dead_peer_limits: DeadPeerLimits,
        limits: ResponseLimits,
        memory: ResponseMemory,
    ):
        self._dead_peer_limits = dead_peer_limits
        self._limits = limits
        self._memory = memory
        self._received_bytes = 0
        self._body_bytes = 0
        self._field_count = 0
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = boot_s()
        self.idle_max_s = IDLE_DEFAULT_S
        self.is_reusable = True
        self._waiter: Waiter | None = None
        self._response: Response | None = None
        self._accept: ResponseFilter = accept_any
        self._is_head_request = False
        self._has_eof = False
        self._request_count = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        return self.is_reusable and not self.transport.is_closing()

    def connection_made(self, transport):
        """Store the transport and enable dead peer detection."""
        self.transport = transport
        enable_dead_peer_detection(transport, self._dead_peer_limits)

    def connection_lost(self, exc):
        """Fail the exchange in progress."""
        self.is_reusable = False
        waiter = self._waiter
        if waiter is not None and not waiter.is_done and self._is_complete_at_eof(exc):
            self._finish_response()
        # The parser refers to this connection.
        self._parser = None
        if waiter is None or waiter.is_done:
            return
        if self._response is not None:
            waiter.set_result(self._response)
            return
        reason = "the connection was reset" if exc else "the connection was closed"
        waiter.set_exception(ExchangeLost(f"{reason} before a complete response"))

    def eof_received(self):
        """Record that the server has closed its side of the connection."""
        self._has_eof = True

    def data_received(self, data):
        """Parse a part of a response."""
        waiter = self._waiter
        if waiter is None or waiter.is_done:
            self.is_reusable = False
            self.transport.abort()
            return
        failure = None
        is_first_part = not self._received_bytes
        self._received_bytes += len(data)
        self._memory.add(self._abort_largest, len(data))
        if waiter.is_done:
            return
        try:
            if is_first_part and is_other_protocol(data):
                raise httptools.HttpParserError("another protocol")
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_reusable = False
            self.transport.abort()
            # The parser hides the error of a callback behind its own.
            cause = error.__context__ or error
            failure = ExchangeLost(f"the response is malformed: {cause}")
            if self._field_count > self._limits.max_fields:
                failure = ResponseTooLarge("the response has too many header fields")
        if failure is None and self._response is None:
            failure = self._check_incomplete()
        # Outside the parser callbacks, since the waiting code may send the next request
        # on this connection before `set_result` returns.
        if self._response is not None:
            waiter.set_result(self._response)
        elif failure is not None:
            waiter.set_exception(failure)

    def on_message_begin(self):
        """Start a response."""
        if self._response is not None:
            raise ValueError("bytes after a complete response")
        self._reset_message()

    def on_status(self, reason):
        """Check the status as soon as it is known; the reason may come in parts."""
        check_status(self._parser.get_status_code())

    def on_header(self, name, value):
        """Collect a header; trailers are discarded."""
        if self._is_head_complete:
            return
        self._field_count += 1
        if self._field_count > self._limits.max_fields:
            raise ValueError("too many header fields")
        if len(name) == len(TRANSFER_ENCODING) and name.lower() == TRANSFER_ENCODING:
            check_transfer_coding(value, self._headers)
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Record that the head is complete."""
        # The parser does not call `on_status` for a status line without a reason.
        status = self._parser.get_status_code()
        check_status(status)
        check_version(self._parser.get_http_version())
        self._is_head_complete = True
        if self._is_head_request and is_final_status(status):
            self.is_reusable = False
            self._finish_response()

    def on_body(self, body):
        """Collect a part of the body."""
        self._body_bytes += len(body)
        self._body = add_part(self._body, body) if self._body else body

    def on_message_complete(self):
        """Finish the response, unless it is informational or already complete."""
        if self._response is not None:
            return
        if not is_final_status(self._parser.get_status_code()):
            self._reset_message()
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._finish_response()

    async def exchange(self, request: Request, accept: ResponseFilter) -> Response:
        """Send `request` and return the first response that `accept` accepts.

        Raises
        ------
        ExchangeLost
            If none was received before the connection was closed.
        """
        self._waiter = Waiter()
        self._request_count += 1
        self._response = None
        self._accept = accept
        self._is_head_request = request.method == b"HEAD"
        self._received_bytes = self._body_bytes = self._field_count = 0
        self._reset_message()
        write_message(self.transport, format_request_head(request), request.body)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            # Closing the connection cancels the request at the server.
            self.is_reusable = False
            self.transport.abort()
            raise
        finally:
            self._waiter = None
            self._memory.release(self._abort_largest)
            self.idle_since_s = boot_s()

    def _check_incomplete(self) -> ExchangeLost | None:
        """Abort the connection if what was received so far is not acceptable."""
        failure = None
        if excess := self._limits.excess(self._received_bytes, self._body_bytes):
            failure = ResponseTooLarge(f"the response has {excess}")
        # Three digits are known, although a head without a reason has not ended.
        status = self._parser.get_status_code()
        if status >= 100 and (fault := status_fault(status)):
            failure = ExchangeLost(f"the response is malformed: {fault}")
        if failure is not None:
            self.is_reusable = False
            self.transport.abort()
        return failure

    def _abort_largest(self) -> None:
        """Abort the exchange because all responses together hold too much memory."""
        self.is_reusable = False
        self.transport.abort()
        if self._waiter is not None:
            self._waiter.set_exception(
                ResponseTooLarge("the responses in progress exceed their memory limit")
            )

    def _finish_response(self) -> None:
        response = Response(
            self._parser.get_status_code(), self._headers, join_parts(self._body)
        )
        if not self._accept(response, self._request_count == 1):
            self.is_reusable = False
            self._reset_message()
            return
        self.idle_max_s = response.keep_alive_timeout_s(self.idle_max_s)
        self._response = response

    def _is_complete_at_eof(self, exc) -> bool:
        if exc is not None or not self._has_eof or not self._is_head_complete:
            return False
        return not is_framed(self._headers)

    def _reset_message(self) -> None:
        self._headers = []
        self._body = b""
        self._is_head_complete = False


class ConnectionPool:
    """Connections to one server.

    Parameters
    ----------
    address : Address
        Address of the server.
    connect_timeout_s : float
        Time-out for opening a connection, in seconds.
    dead_peer_limits : DeadPeerLimits, optional
        Limits of the dead peer detection.
    limits : ResponseLimits, optional
        Limits on each response.
    memory : ResponseMemory, optional
        Limit on all responses in progress; pools may share it.

    Attributes
    ----------
    opened_count : int
        Number of connections opened so far.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        dead_peer_limits: DeadPeerLimits | None = None,
        limits: ResponseLimits | None = None,
        memory: ResponseMemory | None = None,
    ):
        self._limits = limits or ResponseLimits()
        self._memory = memory or ResponseMemory(DEFAULT_MEMORY_BYTES)
        self._dead_peer_limits = dead_peer_limits or DeadPeerLimits()
        self.address = address
        self.opened_count = 0
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()

    async def exchange(
        self,
        request: Request,
        *,
        accept: ResponseFilter = accept_any,
        max_idle_share: float = 1.0,
    ) -> Response:
        """Send `request` on an idle or a new connection, without retries.

        Parameters
        ----------
        request : Request
            Request with end-to-end headers only.
        accept : callable
            Returns whether a response belongs to the request, given whether the request
            is the first one on its connection; other responses are skipped.
        max_idle_share : float
            Share of the server's idle time-out beyond which an idle connection is not
            reused.

        Raises
        ------
        ConnectFailed
            If nothing was sent.
        ExchangeLost
            If the request was sent and no valid response was received.
        """
        connection = self._take_idle(max_idle_share)
        if connection is None:
            # In a task, since `asyncio.timeout` needs a current task; a fiber has none.
            opening = asyncio.create_task(self._connect())
            try:
                connection = await opening
            except asyncio.CancelledError:
                # It may have been opened just before, and has no owner then.
                opening.add_done_callback(_close_unused)
                raise
        self._busy.add(connection)
        try:
            return await connection.exchange(request, accept)
        finally:
            self._busy.discard(connection)
            if connection.is_open:
                self._idle.append(connection)
            else:
                connection.transport.close()

    def close_idle(self) -> None:
        """Close the connections that have been idle for too long to be reused."""
        kept = []
        for connection in self._idle:
            if connection.is_open and self._is_fresh(connection, 1.0):
                kept.append(connection)
            else:
                connection.transport.close()
        self._idle = kept

    def close(self) -> None:
        """Close all connections; exchanges in progress fail."""
        for connection in (*self._idle, *self._busy):
            connection.transport.abort()
        self._idle = []

    def _take_idle(self, max_idle_share: float) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and self._is_fresh(connection, max_idle_share):
                return connection
            connection.transport.close()
        return None

    def _is_fresh(self, connection: ClientConnection, max_idle_share: float) -> bool:
        limit_s = (connection.idle_max_s - IDLE_MARGIN_S) * max_idle_share
        return boot_s() - connection.idle_since_s < limit_s

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        host, port = self.address.host, self.address.port
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(
                        self._dead_peer_limits, self._limits, self._memory
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"cannot connect to {self.address}: {error}") from error
        self.opened_count += 1
        return connection


def _close_unused(opening: asyncio.Task[ClientConnection]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result().transport.close()
