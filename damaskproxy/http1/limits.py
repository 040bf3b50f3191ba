"""Limits on the requests of clients and on what a listener holds for them."""

from dataclasses import dataclass

__all__ = [
    "ANSWERS_PER_TURN",
    "BACKLOG_DEFAULT",
    "CONNECTION_BYTES",
    "FIELD_BYTES",
    "HELD_DEFAULT_BYTES",
    "QUEUED_REQUESTS_MAX",
    "REQUEST_BYTES",
    "SLICE_MAX_BYTES",
    "SLICE_MIN_BYTES",
    "SMALL_BODY_BYTES",
    "STEPS_PER_TURN",
    "UNCOUNTED_UNSENT_BYTES",
    "ClientLimits",
    "ListenerLimits",
]

QUEUED_REQUESTS_MAX = 4
"""Pipelined requests that are queued behind the request in progress; no further input
is parsed until they have been answered. One slice of input may complete more."""
SLICE_MIN_BYTES, SLICE_MAX_BYTES = 1 << 10, 16 << 10
"""Bytes of input that are parsed at once. A slice grows while input consists of few
parts, such as a large body, and is small again after one with many. The smallest one
holds most requests without a body; the largest one makes a body of 64 MB cost some
4,000 calls of the parser."""
STEPS_PER_TURN = 128
"""Parts of requests in one slice (fields, body parts, requests) after which other
connections are served first. The fields of an ordinary request are fewer."""
ANSWERS_PER_TURN = 8
"""Requests of one connection that are answered without a wait before other connections
are served; twice `QUEUED_REQUESTS_MAX`."""
UNCOUNTED_UNSENT_BYTES = 16 << 10
"""Unsent bytes of a connection up to which they are not counted one by one."""
CONNECTION_BYTES = UNCOUNTED_UNSENT_BYTES + (8 << 10)
"""Memory that a connection counts for: its uncounted unsent bytes, and some 8 KiB for
the objects of the connection, its transport and its parser."""
FIELD_BYTES = 144
"""Memory of a header field beyond its bytes: a tuple (56 bytes), two byte strings (33
bytes each, in steps of 16) and its place in a list."""
REQUEST_BYTES = 1 << 10
"""Memory of a request beyond its fields and its body."""
SMALL_BODY_BYTES = 64 << 10
"""Size up to which a body may also use the memory that is reserved for answers of work
that has run, so that small requests are served while large ones are refused."""
HELD_DEFAULT_BYTES = 64 << 20
"""Default limit on each account of a listener."""
CONNECTIONS_DEFAULT = 1 << 16
"""Default limit on the connections of a listener; the number of ports of a client."""
BACKLOG_DEFAULT = 1024
"""Default limit on the connections that wait to be accepted."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size limits and time-outs for the requests of a client."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on what a listener holds for all its clients together.

    Parameters
    ----------
    overhead_max_bytes : int
        Connections, unparsed bytes, fields and queued requests.
    connections_max : int
        Connections. Beyond it, those that have been without progress for the longest
        time are closed.
    backlog : int
        Connections that the kernel keeps until they are accepted. All of them may be
        accepted in one iteration of the event loop, before any others are closed.
    """

    overhead_max_bytes: int = HELD_DEFAULT_BYTES
    connections_max: int = CONNECTIONS_DEFAULT
    backlog: int = BACKLOG_DEFAULT
