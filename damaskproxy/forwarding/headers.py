"""Names of the headers that carry the context of a request."""

import math
from dataclasses import dataclass

__all__ = ["HeaderNames", "parse_calls_per_s"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of one platform.

    Parameters
    ----------
    request_id : bytes
        Request id, which the backend server echoes.
    deadline_ms : bytes
        Remaining time until the deadline, in milliseconds.
    caller : bytes
        Service that the request comes from.
    target_instance : bytes
        Incarnation of the backend server that is to run the request.
    not_executed : bytes
        Set by a backend server that rejected the request without running it.
    stamp : bytes
        Message authentication code (MAC) of the backend server over its response.
    server_limit : bytes
        Calls per second that the backend server takes from all nodes together.
    server_leaving : bytes
        Set to ``1`` by a backend server that leaves.
    instance_id : bytes
        Id of the incarnation that answered a health check.
    organisation : bytes
        Name of the organisation that a request belongs to.
    """

    request_id: bytes
    deadline_ms: bytes
    caller: bytes
    target_instance: bytes
    not_executed: bytes
    stamp: bytes
    server_limit: bytes
    server_leaving: bytes
    instance_id: bytes
    organisation: bytes

    def lower(self, field: str) -> bytes:
        """Return the name of a field's header in lower case, for comparison."""
        return getattr(self, field).lower()


def parse_calls_per_s(value: bytes) -> float | None:
    """Return the limit on calls per second that a header names, None if invalid."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None
