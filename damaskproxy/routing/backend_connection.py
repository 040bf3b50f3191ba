"""HTTP/1.1 connection to the backend server, based on aiohttp's response parser.

aiohttp's client creates a request and a response object for each call, with support for
cookies, redirects and streaming, none of which a call needs. That used more processor
time than the entire routing and admission logic of the node (see docs/measurements.md).
"""

import asyncio
from dataclasses import dataclass

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import (
    HttpProcessingError,
    HttpResponseParser,
    HttpVersion10,
    HttpVersion11,
    RawResponseMessage,
)

from damaskproxy.http1 import ResponseLimits, is_final_status, status_fault
from damaskproxy.routing.errors import BackendError

__all__ = ["BackendConnection", "RawResponse"]

VERSIONS = (HttpVersion10, HttpVersion11)


@dataclass(frozen=True, slots=True)
class RawResponse:
    """Status, headers and complete body of a response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class BackendConnection(BaseProtocol):
    """Connection that carries one exchange at a time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Running loop.
    max_body_bytes : int
        Largest response body.

    Attributes
    ----------
    idle_since_s : float
        Monotonic time since which the connection is idle, set by the pool.
    """

    __slots__ = (
        "_response",
        "_has_extra_message",
        "_head",
        "_keep_alive",
        "_limits",
        "_max_body_bytes",
        "_response_parser",
        "_payload",
        "_received_bytes",
        "idle_since_s",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, max_body_bytes: int):
        super().__init__(loop)
        self.idle_since_s = 0.0
        self._max_body_bytes = max_body_bytes
        self._limits = ResponseLimits(
            max_head_bytes=max(max_body_bytes, ResponseLimits().max_head_bytes),
            max_body_bytes=max_body_bytes,
        )
        self._received_bytes = 0
        self._response: asyncio.Future | None = None
        self._response_parser: HttpResponseParser | None = None
        self._head = None
        self._payload = None
        self._keep_alive = True
        self._has_extra_message = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and self._keep_alive

    async def exchange(self, method: str, head: bytes, body: bytes) -> RawResponse:
        """Send a request and return the complete response.

        Parameters
        ----------
        method : str
            HTTP method, which decides whether the response has a body.
        head : bytes
            Request line and headers, including the empty line at the end.
        body : bytes
            Request body, empty for none.

        Raises
        ------
        BackendError
            If the connection was closed before the response was complete, or the
            response is malformed or too large.
        """
        self._head = self._payload = None
        self._received_bytes = 0
        self._response = self._loop.create_future()
        self._response_parser = HttpResponseParser(
            self,
            self._loop,
            self._max_body_bytes,
            max_line_size=self._max_body_bytes,
            max_field_size=self._max_body_bytes,
            response_with_body=method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        self.transport.write(head + body if body else head)
        try:
            return await self._response
        except BaseException:
            self.abort()
            raise
        finally:
            self._response_parser = None

    def abort(self) -> None:
        """Close the connection at once, which cancels the request in progress."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; called by the event loop."""
        if self._response_parser is None:
            # Unsolicited bytes would be parsed as the response to the next request.
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            messages, _, _ = self._response_parser.feed_data(data)
        except HttpProcessingError as error:
            self._fail(f"malformed answer: {error.message}", disconnected=False)
            return
        for message, payload in messages:
            if self._head is None and (fault := message_fault(message)):
                self._fail(f"malformed answer: {fault}", disconnected=False)
                return
            if not is_final_status(message.code):
                continue
            if self._head is None:
                self._head, self._payload = message, payload
            else:
                self._has_extra_message = True
        self._check_complete()

    def _check_complete(self) -> None:
        payload = self._payload
        if self._response is None or self._response.done():
            return
        body_bytes = payload.total_bytes if payload is not None else 0
        if excess := self._limits.excess(self._received_bytes, body_bytes):
            self._fail(f"the answer has {excess}", disconnected=False)
            return
        if payload is None:
            return
        if payload.exception() is not None:
            self._fail(f"malformed answer: {payload.exception()}", disconnected=False)
        elif payload.is_eof():
            self._keep_alive = not (self._head.should_close or self._has_extra_message)
            headers = [
                (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
                for name, value in self._head.raw_headers
            ]
            body = payload.read_nowait()
            self._response.set_result(RawResponse(self._head.code, headers, body))

    def pause_reading(self) -> None:
        """Do nothing: a response is buffered up to `max_body_bytes`, then rejected."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing; see `pause_reading`."""

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress; called by the event loop."""
        super().connection_lost(error)
        if self._response is None or self._response.done():
            return
        if self._response_parser is not None and self._head is not None:
            # A response without a length ends when the connection is closed.
            try:
                self._response_parser.feed_eof()
            except (HttpProcessingError, ValueError):
                self._fail(
                    "the answer ended early",
                    disconnected=True,
                )
                return
            self._check_complete()
        if not self._response.done():
            text = str(error) if error else "the connection was closed"
            self._fail(text, disconnected=True)

    def _fail(self, text: str, *, disconnected: bool) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(
                BackendError(text, maybe_started=True, disconnected=disconnected)
            )


def message_fault(message: RawResponseMessage) -> str:
    """Return why the head of a message is not that of a response, empty if it is."""
    if fault := status_fault(message.code):
        return fault
    if message.version not in VERSIONS:
        return "HTTP version {}.{}".format(*message.version)
    return ""
