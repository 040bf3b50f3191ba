"""Names of the headers that carry the context of a request."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of one platform.

    Parameters
    ----------
    request_id : bytes
        Id of a request, echoed by the backend server.
    deadline_ms : bytes
        Milliseconds that the caller waits.
    caller : bytes
        Service beside the node where the request began.
    target_instance : bytes
        Lifetime of the backend server that shall run the request.
    not_executed : bytes
        Set by a backend server that did not run the request.
    stamp : bytes
        MAC of the backend server over its response.
    """

    request_id: bytes
    deadline_ms: bytes
    caller: bytes
    target_instance: bytes
    not_executed: bytes
    stamp: bytes

    def lower(self, field: str) -> bytes:
        """Return a name in lower case, for comparison."""
        return getattr(self, field).lower()
