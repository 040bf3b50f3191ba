"""One HTTP/1.1 connection to the backend server, with aiohttp's response parser.

aiohttp's client builds a request and a response object per call, with cookies,
redirects and streaming, none of which a call needs. That took more processor time than
all decisions of the node together (see docs/measurements.md).
"""

import asyncio
from dataclasses import dataclass

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpResponseParser

from damaskproxy.routing.errors import BackendError

__all__ = ["BackendConnection", "RawAnswer"]

FIRST_FINAL_STATUS = 200


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """Status, headers and whole body of an answer."""

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
        Largest answer.

    Attributes
    ----------
    idle_since_s : float
        Monotonic time of the last answer, set by the pool.
    """

    __slots__ = (
        "_answer",
        "_has_surplus",
        "_head",
        "_keep_alive",
        "_max_body_bytes",
        "_responses",
        "_payload",
        "idle_since_s",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, max_body_bytes: int):
        super().__init__(loop)
        self.idle_since_s = 0.0
        self._max_body_bytes = max_body_bytes
        self._answer: asyncio.Future | None = None
        self._responses: HttpResponseParser | None = None
        self._head = None
        self._payload = None
        self._keep_alive = True
        self._has_surplus = False

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may follow."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and self._keep_alive

    async def exchange(self, method: str, head: bytes, body: bytes) -> RawAnswer:
        """Send a request and return the whole answer.

        Parameters
        ----------
        method : str
            HTTP method, which decides whether an answer has a body.
        head : bytes
            Request line and headers with the empty line.
        body : bytes
            Request body, empty for none.

        Raises
        ------
        BackendError
            If the connection closed before a whole answer, or the answer is malformed
            or too large.
        """
        self._head = self._payload = None
        self._answer = self._loop.create_future()
        self._responses = HttpResponseParser(
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
            return await self._answer
        except BaseException:
            self.abort()
            raise
        finally:
            self._responses = None

    def abort(self) -> None:
        """Close the connection at once; the backend server sees a cancellation."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; called by the event loop."""
        if self._responses is None:
            # Bytes without a request would be taken for the next answer.
            self.abort()
            return
        try:
            messages, _, _ = self._responses.feed_data(data)
        except HttpProcessingError as error:
            self._fail(f"malformed answer: {error.message}", disconnected=False)
            return
        for message, payload in messages:
            if message.code < FIRST_FINAL_STATUS:
                continue
            if self._head is None:
                self._head, self._payload = message, payload
            else:
                self._has_surplus = True
        self._check_complete()

    def _check_complete(self) -> None:
        payload = self._payload
        if payload is None or self._answer is None or self._answer.done():
            return
        if payload.exception() is not None:
            self._fail(f"malformed answer: {payload.exception()}", disconnected=False)
        elif payload.total_bytes > self._max_body_bytes:
            limit = self._max_body_bytes
            self._fail(f"the answer exceeds {limit} bytes", disconnected=False)
        elif payload.is_eof():
            self._keep_alive = not (self._head.should_close or self._has_surplus)
            headers = [
                (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
                for name, value in self._head.raw_headers
            ]
            body = payload.read_nowait()
            self._answer.set_result(RawAnswer(self._head.code, headers, body))

    def pause_reading(self) -> None:
        """Do nothing: an answer is buffered up to its limit and refused beyond it."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, see `pause_reading`."""

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange; called by the event loop."""
        super().connection_lost(error)
        if self._answer is None or self._answer.done():
            return
        if self._responses is not None and self._head is not None:
            # An answer without a length ends with the connection.
            try:
                self._responses.feed_eof()
            except (HttpProcessingError, ValueError):
                self._fail("the answer ended early", disconnected=True)
                return
            self._check_complete()
        if not self._answer.done():
            text = str(error) if error else "the connection was closed"
            self._fail(text, disconnected=True)

    def _fail(self, text: str, *, disconnected: bool) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(
                BackendError(text, maybe_started=True, disconnected=disconnected)
            )
