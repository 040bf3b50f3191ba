"""Names of HTTP headers and the rules for forwarding them."""

from collections.abc import Iterable

__all__ = [
    "ATTEMPT",
    "DEADLINE_MS",
    "IDEMPOTENCY_KEY",
    "NOT_STARTED",
    "OUTCOME",
    "PRIORITY",
    "REQUEST_ID",
    "START_BY",
    "TRACEPARENT",
    "end_to_end",
    "parse_trace_id",
]

ATTEMPT = "Damask-Attempt"
DEADLINE_MS = "Damask-Deadline-Ms"
PRIORITY = "Damask-Priority"
START_BY = "Damask-Start-By"
NOT_STARTED = "Damask-Not-Started"
OUTCOME = "Damask-Outcome"
REQUEST_ID = "Damask-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"

TRACE_ID_LENGTH = 32
TRACEPARENT_PARTS = 4

# Hop-by-hop headers of RFC 9110, headers that each hop generates itself, and transfer
# codings that aiohttp has already decoded.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "date",
        "server",
    }
)
_INTERNAL_PREFIX = "damask-"


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward as plain strings, without the Damask headers."""
    return [
        (str(name), value)
        for name, value in headers
        if (lower := name.lower()) not in _NOT_FORWARDED
        and not lower.startswith(_INTERNAL_PREFIX)
    ]


def parse_trace_id(traceparent: str | None) -> str | None:
    """Return the trace id of a W3C ``traceparent``, or None if it is malformed."""
    if not traceparent:
        return None
    parts = traceparent.split("-")
    if len(parts) < TRACEPARENT_PARTS or len(parts[1]) != TRACE_ID_LENGTH:
        return None
    trace_id = parts[1].lower()
    if trace_id.strip("0") == "" or any(c not in "0123456789abcdef" for c in trace_id):
        return None
    return trace_id
