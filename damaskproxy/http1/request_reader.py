"""Incremental reader of the requests on a connection."""

import io
from collections.abc import Callable

import httptools

from damaskproxy.common.memory import add_part, join_parts
from damaskproxy.http1.limits import (
    FIELD_BYTES,
    REQUEST_BYTES,
    SLICE_MAX_BYTES,
    SLICE_MIN_BYTES,
    STEPS_PER_TURN,
    ClientLimits,
)
from damaskproxy.http1.messages import Request

__all__ = ["RequestReader"]

HEADER_OVERHEAD_BYTES = 4
"""Colon, space and line break of a header."""


class RequestReader:
    """Parses requests, a bounded part of the input at a time.

    Parameters
    ----------
    limits : callable
        Returns the current limits.
    hold_body : callable
        Returns whether there is memory for so many more bytes of a body, and counts
        them if there is.
    on_continue : callable
        Called when a client expects 100 Continue before it sends a body.
    on_request : callable
        Called with a request, whether it is the last one of the connection, and the
        memory of its fields.

    Attributes
    ----------
    status : int
        Status with which the request is to be refused, 0 for none. Nothing is parsed
        any more then.
    message_started_s : float or None
        When the request that is read in part began; None between requests.
    is_head_complete : bool
        Whether the head of that request has been read.
    body_bytes : int
        Bytes of its body that have been read.
    input_bytes : int
        Size of the input that waits to be parsed; its buffer is freed as a whole.
    """

    __slots__ = (
        "_body",
        "_field_bytes",
        "_headers",
        "_hold_body",
        "_input",
        "_limits",
        "_now_limits",
        "_now_s",
        "_on_continue",
        "_on_request",
        "_parser",
        "_slice_bytes",
        "_steps",
        "_target",
        "_unparsed_bytes",
        "body_bytes",
        "input_bytes",
        "is_ended",
        "is_head_complete",
        "message_started_s",
        "status",
    )

    def __init__(
        self,
        limits: Callable[[], ClientLimits],
        hold_body: Callable[[int], bool],
        on_continue: Callable[[], None],
        on_request: Callable[[Request, bool, int], None],
    ):
        self._now_limits = limits
        self._limits = limits()
        self._hold_body = hold_body
        self._on_continue = on_continue
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._input = memoryview(b"")
        self.input_bytes = 0
        self._slice_bytes = SLICE_MIN_BYTES
        self._steps = 0
        self._now_s = 0.0
        self.status = 0
        self.is_ended = False
        self.message_started_s: float | None = None
        self._reset_message()

    @property
    def is_partly_read(self) -> bool:
        """Whether there is a part of a request, or input that may begin one."""
        return self.message_started_s is not None or self.input_bytes > 0

    @property
    def held_bytes(self) -> int:
        """Memory of the unparsed input and of the request that is read in part.

        Without its body, and without input from before the end of its head.
        """
        if self.message_started_s is None:
            return self.input_bytes
        unparsed_bytes = self._unparsed_bytes
        if self.is_head_complete:
            # The last slices may consist of the body only.
            unparsed_bytes = max(0, unparsed_bytes - SLICE_MAX_BYTES)
        fields_bytes = self._field_bytes + FIELD_BYTES * len(self._headers)
        return self.input_bytes + unparsed_bytes + fields_bytes

    def feed(self, data: bytes, now_s: float, may_go_on: Callable[[], bool]) -> None:
        """Parse `data`, or keep a part of it as input; see `go_on`."""
        if self.input_bytes:
            # Reading is paused, but the transport had already read this.
            data = self._input.tobytes() + data
        elif len(data) <= SLICE_MIN_BYTES:
            self._parse(data, now_s)
            return
        self._input = memoryview(data)
        self.input_bytes = len(data)
        self.go_on(now_s, may_go_on)

    def go_on(self, now_s: float, may_go_on: Callable[[], bool]) -> None:
        """Parse input while `may_go_on` holds and it is not other connections' turn."""
        while self.input_bytes and may_go_on():
            part = self._input[: self._slice_bytes]
            self._input = self._input[self._slice_bytes :]
            if not self._input:
                self._drop_input()
            self._parse(part, now_s)
            if self.status or self.is_ended:
                self._drop_input()
            elif self._steps > STEPS_PER_TURN:
                self._slice_bytes = SLICE_MIN_BYTES
                return
            else:
                self._slice_bytes = min(2 * self._slice_bytes, SLICE_MAX_BYTES)

    def give_up(self) -> None:
        """Forget the request that is read in part and the input behind it."""
        self._drop_input()
        self._reset_message()

    def close(self) -> None:
        """Break the reference cycles with the parser and the connection."""
        self.give_up()
        self.is_ended = True
        self._parser = None
        self._hold_body = self._on_continue = self._on_request = None

    def on_message_begin(self):
        """Start a request."""
        self._reset_message()
        self.message_started_s = self._now_s
        self._limits = self._now_limits()

    def on_url(self, url):
        """Collect a part of the request target."""
        self._target += url
        self._field_bytes += len(url)

    def on_header(self, name, value):
        """Collect a header; trailers are discarded."""
        self._steps += 1
        if self.is_head_complete:
            return
        self._headers.append((name, value))
        self._field_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._field_bytes > self._limits.max_header_bytes:
            self.status = 431
            raise ValueError("the header is too large")

    def on_headers_complete(self):
        """Send 100 Continue to a client that expects it before the body."""
        self.is_head_complete = True
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self._on_continue()

    def on_body(self, body):
        """Collect a part of the body."""
        self._steps += 1
        self._unparsed_bytes = 0
        size = len(body)
        if self.body_bytes + size > self._limits.max_body_bytes:
            self.status = 413
            raise ValueError("the body is too large")
        if not self._hold_body(size):
            self.status = 503
            raise ValueError("there is no memory for the body")
        self.body_bytes += size
        self._body = add_part(self._body, body) if self._body else body

    def on_message_complete(self):
        """Deliver a complete request."""
        self._steps += 1
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            join_parts(self._body),
        )
        is_last = not self._parser.should_keep_alive() or self._parser.should_upgrade()
        size = REQUEST_BYTES + self._field_bytes + FIELD_BYTES * len(self._headers)
        self._reset_message()
        self.message_started_s = None
        self._on_request(request, is_last, size)

    def _parse(self, data: bytes | memoryview, now_s: float) -> None:
        self._now_s = now_s
        self._steps = 0
        if self.message_started_s is None:
            self.message_started_s = now_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is handled; the protocol is not switched after it.
            self.is_ended = True
        except httptools.HttpParserError:
            self.status = self.status or 400
        if self.message_started_s is None or self.status:
            return
        # The parser buffers incomplete fields of heads and trailers, and reads over
        # fields of trailers and parameters of chunks. A slice may begin before them.
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > self._limits.max_header_bytes + SLICE_MAX_BYTES:
            self.status = 431

    def _drop_input(self) -> None:
        self._input = memoryview(b"")
        self.input_bytes = 0

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: bytes | io.BytesIO = b""
        self.body_bytes = 0
        self._field_bytes = 0
        self._unparsed_bytes = 0
        self.is_head_complete = False
