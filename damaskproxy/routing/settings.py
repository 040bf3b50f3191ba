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
        Largest request and answer body, and largest request header in total.
    max_key_bytes : int
        Longest ``Idempotency-Key``.
    max_connections : int
        Connections of callers that are accepted at once.
    connect_timeout_ms : int
        Time to connect to a peer or to the backend server.
    peer_idle_ms : int
        A stream to a peer that was not used for this long is closed.
    max_peer_streams : int
        Streams to peers that stay open; beyond it the idle one that was used least
        recently is closed. A stream takes about 15 KB at each end, and an entry node
        of a large mesh would otherwise keep one to every other node.
    backend_lease_ms, announce_every_ms : int
        A backend server counts as gone when it has not announced itself for the lease.
    start_by_ms : int
        Budget from sending a non-idempotent call to its start.
    max_depth : int
        Longest call chain.
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
