"""What a client takes for a response, beyond what the parser checks."""

from collections.abc import Callable

import httptools

from damaskproxy.http1.messages import Headers, Response

__all__ = [
    "ResponseFilter",
    "accept_any",
    "check_status_line",
    "is_final_status",
    "is_framed",
    "status_fault",
]

ResponseFilter = Callable[[Response, bool], bool]
"""Returns whether a response belongs to the request in progress, given whether that is
the first request on its connection. On later ones a server may repeat an earlier
response."""

FINAL_STATUSES = range(200, 600)
"""Statuses of a response, by RFC 9110."""
INTERIM_STATUSES = frozenset({100, 102, 103})
"""Statuses that may precede a response although the request did not ask for them. 101
answers only a request to upgrade, which no client of this package sends."""
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


def check_status_line(parser: httptools.HttpResponseParser) -> None:
    """Raise `ValueError` if the status is not that of a response.

    Notes
    -----
    A parser uses no more bytes after an error in one of its callbacks.
    """
    if fault := status_fault(parser.get_status_code()):
        raise ValueError(fault)


def is_framed(headers: Headers) -> bool:
    """Tell whether a body ends before the connection does."""
    return any(name.lower() in FRAMING for name, _ in headers)
