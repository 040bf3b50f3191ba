"""Complete HTTP/1.1 messages and their serialisation."""

import contextlib
from asyncio import WriteTransport
from dataclasses import dataclass, field

__all__ = [
    "Headers",
    "Request",
    "Response",
    "end_to_end",
    "format_request_head",
    "format_response_head",
    "write_message",
]

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers, and headers that the sender of a message generates itself."""

LARGE_BODY_BYTES = 64 << 10
"""Size above which a body is written without a copy."""
BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})
BODILESS_STATUSES = frozenset({204, 304})

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class _Message:
    """Header access that requests and responses share."""

    __slots__ = ()

    def header(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent.

        Notes
        -----
        The headers must not change after the first call.
        """
        if self._index is None:
            self._index = {name.lower(): v for name, v in reversed(self.headers)}
        return self._index.get(lower_name)


@dataclass(slots=True)
class Request(_Message):
    """Request with its complete body.

    Parameters
    ----------
    method, target : bytes
        Method and request target as received; the target is never normalised.
    headers : list of tuple of bytes
        Headers with order and case as received, without trailers.
    body : bytes
        Body without its transfer coding.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    _index: dict[bytes, bytes] | None = field(default=None, repr=False, compare=False)


@dataclass(slots=True)
class Response(_Message):
    """Response with its complete body."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    _index: dict[bytes, bytes] | None = field(default=None, repr=False, compare=False)

    def keep_alive_timeout_s(self, default_s: float) -> float:
        """Return the time-out of the Keep-Alive header, or the default without one."""
        timeout_s = default_s
        for part in (self.header(b"keep-alive") or b"").split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout":
                with contextlib.suppress(ValueError):
                    timeout_s = float(text)
        return timeout_s


def end_to_end(headers: Headers, without: frozenset[bytes] = frozenset()) -> Headers:
    """Return the end-to-end headers among `headers`.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers as received.
    without : frozenset of bytes
        Names of further headers to omit, in lower case.
    """
    lowered = [name.lower() for name, _ in headers]
    left_out = HOP_BY_HOP | without
    if b"connection" in lowered:
        for lower, (_, value) in zip(lowered, headers):
            if lower == b"connection":
                left_out |= {token.strip().lower() for token in value.split(b",")}
    return [header for lower, header in zip(lowered, headers) if lower not in left_out]


def write_message(transport: WriteTransport, head: bytes, body: bytes) -> None:
    """Write a head and a body; a large body is not copied."""
    if len(body) > LARGE_BODY_BYTES:
        transport.writelines((head, body))
    else:
        transport.write(head + body)


def format_request_head(request: Request) -> bytes:
    """Serialise the head of `request`, which must have end-to-end headers only."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method in BODY_METHODS:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def format_response_head(response: Response, *, is_last: bool) -> bytes:
    """Serialise the head of `response`.

    Parameters
    ----------
    response : Response
        Response with end-to-end headers only.
    is_last : bool
        Whether the connection is closed after the response.
    """
    status = response.status
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b""))]
    lines += [name + b": " + value for name, value in response.headers]
    if status not in BODILESS_STATUSES:
        lines.append(b"Content-Length: %d" % len(response.body))
    if is_last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
