"""Refusals of requests before they are handled."""

from damaskproxy.http1.closures import Closure
from damaskproxy.http1.messages import Response, format_response_head

__all__ = ["CLOSURES", "format_refusal"]

RETRY_AFTER_S = 0.3
"""Retry-After of a request that is refused because of the memory in use."""
CLOSURES = {
    400: Closure.MALFORMED,
    408: Closure.TIMED_OUT,
    413: Closure.BODY_TOO_LARGE,
    431: Closure.HEAD_TOO_LARGE,
    503: Closure.NO_MEMORY,
}
"""Why requests are refused, by the status of the refusal."""


def format_refusal(status: int) -> bytes:
    """Return the response to a request that is refused; the connection ends with it."""
    response = Response(status)
    if status == 503:
        response.headers.append((b"Retry-After", b"%.2f" % RETRY_AFTER_S))
    return format_response_head(response, is_last=True)
