"""Connection of a client to a server."""

import asyncio
from collections import deque
from itertools import islice

import httptools

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Waiter
from damaskproxy.common.memory import add_part, join_parts
from damaskproxy.http1.errors import ExchangeLost, ResponseTooLarge
from damaskproxy.http1.messages import (
    Request,
    Response,
    format_request_head,
    write_message,
)
from damaskproxy.http1.response_checks import (
    FOREIGN,
    OTHER_ID,
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

__all__ = ["ClientConnection"]

IDLE_DEFAULT_S = 4.0
"""Reuse limit without a Keep-Alive header; common servers close after 5 s."""
EARLIER_REQUESTS_MAX = 8
"""Earlier requests of a connection whose repeated responses are recognised. A response
that a server repeats late arrives after a few short requests at the most."""


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
        self._earlier: deque[ResponseFilter] = deque(maxlen=EARLIER_REQUESTS_MAX)
        self._fault = ""
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
        self._fault = ""
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
            if accept is not accept_any:
                self._earlier.append(accept)
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
        if self._fault:
            failure = ExchangeLost(f"the response is malformed: {self._fault}")
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
        accepted = self._accept(response, self._request_count == 1)
        if accepted is not True:
            self.is_reusable = False
            if accepted is not False and not self._is_repeated(response, accepted):
                self._fault = accepted
            self._reset_message()
            return
        self.idle_max_s = response.keep_alive_timeout_s(self.idle_max_s)
        self._response = response

    def _is_repeated(self, response: Response, fault: str) -> bool:
        """Tell whether a response with a fault belongs to an earlier request.

        Notes
        -----
        Without an id it may be one to the last request, a health check. Compared with
        more of them, it would be taken for one on most connections.
        """
        count = EARLIER_REQUESTS_MAX if fault == OTHER_ID else 1
        earlier = islice(reversed(self._earlier), count)
        return any(accept(response, True) not in FOREIGN for accept in earlier)

    def _is_complete_at_eof(self, exc) -> bool:
        if exc is not None or not self._has_eof or not self._is_head_complete:
            return False
        return not is_framed(self._headers)

    def _reset_message(self) -> None:
        self._headers = []
        self._body = b""
        self._is_head_complete = False
