"""Header names of the platform."""

from damaskproxy.forwarding import HeaderNames

__all__ = ["HEADERS", "STORE_ERA", "VOLATILE_HEADERS"]

STORE_ERA = b"store-era"
"""Name, in lower case, of the header with the era of the store."""

HEADERS = HeaderNames(
    request_id=b"X-Damaskproxy-Request-Id",
    deadline_ms=b"X-Damaskproxy-Deadline-Ms",
    caller=b"X-Damaskproxy-Caller-Service",
    target_instance=b"X-Damaskproxy-Target-Instance",
    not_executed=b"X-Damaskproxy-Not-Executed",
    stamp=b"X-Damaskproxy-Server-Stamp",
    server_limit=b"Server-Limit",
    server_leaving=b"Server-Leaving",
    instance_id=b"X-Damaskproxy-Instance-Id",
    organisation=b"X-Damaskproxy-Tenant",
)

VOLATILE_HEADERS = frozenset(
    {HEADERS.lower("request_id"), HEADERS.lower("stamp"), b"date"}
)
"""Headers whose value differs in each message."""
