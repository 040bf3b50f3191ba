"""Settings of the listeners and of the calls between nodes."""

from typing import Annotated

import msgspec

__all__ = ["RoutingSettings"]

Positive = Annotated[int, msgspec.Meta(ge=1)]
AtLeastOneKib = Annotated[int, msgspec.Meta(ge=1024)]


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and time-outs of calls.

    Parameters
    ----------
    max_body_bytes, max_header_bytes : int
        Maximum size of a request or response body, and of all headers of a request.
    max_key_bytes : int
        Maximum length of ``Idempotency-Key``.
    max_connections : int
        Maximum number of open connections of callers.
    connect_timeout_ms : int
        Time-out for connecting to a peer or to the backend server.
    peer_idle_ms : int
        Idle time after which a stream to a peer is closed.
    max_peer_streams : int
        Maximum number of open streams to peers; beyond it the least recently used idle
        stream is closed. A stream takes about 15 KB at each end, and an entry node of
        a large mesh would otherwise keep one to every other node.
    backend_lease_ms, announce_every_ms : int
        Lease of a backend server, which is treated as stopped when it expires, and
        interval of the announcements that renew it.
    start_by_ms : int
        Maximum time from sending a non-idempotent call to its start.
    max_depth : int
        Maximum depth of a call chain.
    """

    max_body_bytes: AtLeastOneKib = 1 << 20
    max_header_bytes: AtLeastOneKib = 16 << 10
    max_key_bytes: Positive = 255
    max_connections: Positive = 2000
    connect_timeout_ms: Positive = 1000
    peer_idle_ms: Positive = 60_000
    max_peer_streams: Positive = 512
    backend_lease_ms: Positive = 3000
    announce_every_ms: Positive = 1000
    start_by_ms: Positive = 2000
    max_depth: Annotated[int, msgspec.Meta(ge=1, le=32)] = 16
