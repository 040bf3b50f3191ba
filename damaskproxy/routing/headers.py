"""Names of HTTP headers and the rules for passing them on."""

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

# Hop-by-hop headers of RFC 9110, headers that each hop writes itself, and the
# encodings that aiohttp has already undone.
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
_OWN_PREFIX = "damask-"


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are passed on, without our own, as plain strings."""
    return [
        (str(name), value)
        for name, value in headers
        if (lower := name.lower()) not in _NOT_FORWARDED
        and not lower.startswith(_OWN_PREFIX)
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
