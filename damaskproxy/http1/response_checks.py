"""What a client takes for a response, beyond what the parser checks."""

from collections.abc import Callable

from damaskproxy.http1.messages import Headers, Response

__all__ = [
    "FOREIGN",
    "NO_ID",
    "OTHER_ID",
    "TRANSFER_ENCODING",
    "ResponseFilter",
    "accept_any",
    "check_status",
    "check_transfer_coding",
    "check_version",
    "is_final_status",
    "is_framed",
    "is_other_protocol",
    "status_fault",
]

ResponseFilter = Callable[[Response, bool], bool | str]
"""Returns whether a response belongs to the request in progress, given whether that is
the first request on its connection. On later ones a server may repeat an earlier
response, which is skipped. A text says why a response is a fault if it is no repeated
one; the exchange ends, since the server takes it for the response to this request."""

OTHER_ID, NO_ID = "another request id", "no request id"
"""Faults of a response that does not belong to the request in progress."""
FOREIGN = frozenset({False, OTHER_ID, NO_ID})
"""What a filter returns for a response to another request than its own."""

FINAL_STATUSES = range(200, 600)
"""Statuses of a response, by RFC 9110."""
INTERIM_STATUSES = frozenset({100, 102, 103})
"""Statuses that may precede a response although the request did not ask for them. 101
answers only a request to upgrade, which no client of this package sends."""
VERSIONS = frozenset({"1.0", "1.1"})
OTHER_PROTOCOLS = b"RI"
"""First bytes of RTSP and ICE, whose status lines the parser accepts as well."""
TRANSFER_ENCODING = b"transfer-encoding"
FRAMING = frozenset({b"content-length", TRANSFER_ENCODING})


def accept_any(response: Response, is_first_request: bool) -> bool:
    """Accept every response as the response to the request in progress."""
    return True


def is_final_status(status: int) -> bool:
    """Tell whether a status is that of a response, and not of an interim one."""
    return status in FINAL_STATUSES


def status_fault(status: int) -> str:
    """Return why a complete status code is none of a response, empty if it is."""
    if status in FINAL_STATUSES or status in INTERIM_STATUSES:
        return ""
    return f"status {status} is no response"


def check_status(status: int) -> None:
    """Raise `ValueError` if a complete status code is none of a response.

    Notes
    -----
    A parser uses no more bytes after an error in one of its callbacks.
    """
    if status not in FINAL_STATUSES and status not in INTERIM_STATUSES:
        raise ValueError(status_fault(status))


def check_version(version: str) -> None:
    """Raise `ValueError` if a response is not one of HTTP/1."""
    if version not in VERSIONS:
        raise ValueError(f"HTTP version {version}")


def check_transfer_coding(value: bytes, headers_before: Headers) -> None:
    """Raise `ValueError` for codings that the parser does not decode.

    It decodes chunked, once. Any other coding would be left in the body, while the
    header that names it is not passed on.
    """
    is_repeated = any(name.lower() == TRANSFER_ENCODING for name, _ in headers_before)
    if is_repeated or value.strip().lower() != b"chunked":
        raise ValueError("unknown transfer coding")


def is_framed(headers: Headers) -> bool:
    """Tell whether a body ends before the connection does."""
    return any(name.lower() in FRAMING for name, _ in headers)


def is_other_protocol(data: bytes) -> bool:
    """Tell whether the first bytes of a response are of another protocol."""
    return data[0] in OTHER_PROTOCOLS
