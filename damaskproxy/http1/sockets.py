"""Socket options of all TCP connections of a node."""

import asyncio
import socket

__all__ = ["detect_silence"]

KEEPALIVE_IDLE_S = 2
"""Idle time before the first probe; a silent peer is found within about 4 s."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MAX_MS = 3000
"""Longest time that sent bytes may stay unacknowledged: two lost round trips of the
platform's slowest link with their retransmissions take under 2 s."""


def detect_silence(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection whose peer no longer acknowledges."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)
