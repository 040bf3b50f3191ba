"""Shares of the descriptors and of the memory that each listener of a node may use."""

import resource
from collections.abc import Mapping
from types import MappingProxyType

from damaskproxy.http1 import ListenerLimits
from damaskproxy.http1.limits import BACKLOG_DEFAULT, CONNECTION_BYTES

__all__ = [
    "CONNECTION_SHARES",
    "LINK_BYTES",
    "descriptor_limit",
    "limits_of_listener",
    "peer_connections_max",
]

CONNECTION_SHARES: Mapping[str, float] = MappingProxyType(
    {
        "caller": 1 / 2,
        "peer": 1 / 4,
        "control": 1 / 32,
        "readiness": 1 / 64,
        "metrics": 1 / 64,
    }
)
"""Share of the descriptors of the process for the connections of each listener. The
rest, three sixteenths, is for files, the backend server, the store, connections to
other nodes and connections that are accepted before others are closed."""
CONNECTIONS_MIN = 16
"""Smallest limit on the connections of a listener: the platform and a few tools."""
CONNECTION_MEMORY_SHARE = 0.5
"""Share of the memory of a listener, beside bodies and answers, that its connections
may use; the rest is for what they have sent."""
BACKLOG_SHARE = 1 / 16
"""Share of the descriptors for connections that wait to be accepted by a listener. They
may all be accepted in one iteration of the event loop."""
BACKLOG_MIN = 16
LINK_BYTES = 48 << 10
"""Memory of a connection of another node: 32 KiB of uncounted unsent bytes, and the
objects of the connection with its tables of strings."""
CONNECTIONS_PER_MEMBER = 2
"""Connections of each other node: the one in use, and one that replaces it."""
DESCRIPTORS_MAX = 1 << 16
"""Limit on descriptors that is assumed where the process has none."""


def descriptor_limit() -> int:
    """Return how many descriptors the process may have open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return min(limit, DESCRIPTORS_MAX) if limit >= 0 else DESCRIPTORS_MAX


def limits_of_listener(
    name: str,
    memory_bytes: int,
    descriptors: int,
    connection_bytes: int = CONNECTION_BYTES,
) -> ListenerLimits:
    """Return the limits of a listener.

    Parameters
    ----------
    name : str
        Name of the listener.
    memory_bytes : int
        Memory for all that it holds beside bodies and answers.
    descriptors : int
        Descriptors that the process may have open.
    connection_bytes : int
        Memory of a connection.
    """
    by_descriptors = int(CONNECTION_SHARES[name] * descriptors)
    by_memory = int(CONNECTION_MEMORY_SHARE * memory_bytes / connection_bytes)
    backlog = max(BACKLOG_MIN, int(BACKLOG_SHARE * descriptors))
    return ListenerLimits(
        memory_bytes,
        max(CONNECTIONS_MIN, min(by_descriptors, by_memory)),
        min(BACKLOG_DEFAULT, backlog),
    )


def peer_connections_max(
    limits: ListenerLimits, descriptors: int, member_count: int
) -> int:
    """Return how many connections other nodes may open.

    Parameters
    ----------
    limits : ListenerLimits
        Limits of the peer listener.
    descriptors : int
        Descriptors that the process may have open.
    member_count : int
        Known members. All of them may connect, also in a mesh that is larger than the
        memory for connections of strangers would allow.
    """
    by_descriptors = int(CONNECTION_SHARES["peer"] * descriptors)
    by_members = min(CONNECTIONS_PER_MEMBER * member_count, by_descriptors)
    return max(limits.connections_max, by_members)
