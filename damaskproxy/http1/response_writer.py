"""Writer of the responses to the requests of one client."""

import asyncio
from typing import TYPE_CHECKING

from damaskproxy.http1 import events
from damaskproxy.http1.limits import UNCOUNTED_UNSENT_BYTES
from damaskproxy.http1.messages import (
    BODILESS_STATUSES,
    Response,
    format_response_head,
    write_message,
)
from damaskproxy.http1.refusals import format_refusal
from damaskproxy.http1.sockets import unacknowledged_bytes

if TYPE_CHECKING:
    from damaskproxy.http1.server import HttpServer

__all__ = ["ResponseWriter"]

LINGER_S = 1.0
"""Time for which the rest of a refused request is read and discarded. Closing at once
would reset the connection, and the client could lose the response."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ResponseWriter:
    """Writes responses to one client and ends the connection after the last one.

    Parameters
    ----------
    server : HttpServer
        Listener that the connection belongs to.

    Attributes
    ----------
    is_paused : bool
        Whether the transport holds more than its high-water mark.
    is_answered : bool
        Whether the last response has been written and the client is to close the
        connection.
    is_discarding : bool
        Whether a refusal has been written and the rest of its request is discarded.
    """

    __slots__ = (
        "_checked_unsent_bytes",
        "_server",
        "_transport",
        "_written_bytes",
        "is_answered",
        "is_discarding",
        "is_paused",
    )

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._written_bytes = 0
        self._checked_unsent_bytes = 0
        self.is_paused = False
        self.is_answered = False
        self.is_discarding = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def counted_bytes(self) -> int:
        """Bytes that count as unsent; the last body counts in full until it is sent."""
        return max(self._written_bytes, self.unsent_bytes)

    @property
    def is_sending(self) -> bool:
        """Whether a response is unacknowledged, or the end of a refusal not over."""
        return (
            self.is_discarding
            or self.unsent_bytes > 0
            or unacknowledged_bytes(self._transport) > 0
        )

    def open(self, transport: asyncio.Transport) -> None:
        """Write to `transport` from now on."""
        self._transport = transport
        transport.set_write_buffer_limits(UNCOUNTED_UNSENT_BYTES)

    def has_sent_since_last_check(self) -> bool:
        """Tell whether fewer bytes are unsent than at the previous call."""
        before, self._checked_unsent_bytes = (
            self._checked_unsent_bytes,
            self.unsent_bytes,
        )
        return self._checked_unsent_bytes < before

    def write_continue(self) -> None:
        """Ask the client for the body of its request."""
        self._transport.write(CONTINUE)

    def write(self, response: Response, *, is_last: bool, is_head: bool) -> None:
        """Write a response.

        Parameters
        ----------
        response : Response
            Response to the oldest request that has none.
        is_last : bool
            Whether it is the last one of the connection.
        is_head : bool
            Whether the request had the method HEAD.
        """
        is_bodiless = is_head or response.status in BODILESS_STATUSES
        body = b"" if is_bodiless else response.body
        self._written_bytes = len(body)
        head = format_response_head(response, is_last=is_last)
        write_message(self._transport, head, body)

    def end(self) -> None:
        """Close the connection after its last response."""
        if not self._server.is_closing:
            self._transport.close()
            return
        # Whatever the client still sends would reset a closed connection, and the
        # client could lose the response. It is read until the client closes.
        self.is_answered = True
        self._transport.write_eof()

    def write_refusal(self, status: int) -> None:
        """Refuse a request that was not read completely, and end the connection."""
        if self._transport.is_closing():
            return
        self._server.closures.log(
            events.REQUEST_MALFORMED,
            listener=self._server.name,
            status=status,
        )
        self._transport.write(format_refusal(status))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self.is_discarding = True
        self._server.loop.call_later(LINGER_S, self._transport.close)
