"""Socket options of the TCP connections that a node opens."""

import asyncio
import socket
from dataclasses import dataclass

__all__ = ["DeadPeerLimits", "enable_dead_peer_detection"]

KEEPALIVE_INTERVAL_S = 1
"""Shortest interval between keep-alive probes that the kernel supports."""


@dataclass(frozen=True, slots=True)
class DeadPeerLimits:
    """Limits after which the kernel closes a connection to an unresponsive peer.

    Parameters
    ----------
    probe_after_s : int
        Idle time before the first keep-alive probe, in seconds.
    probes : int
        Number of probes without an acknowledgement before the connection is closed.
    unacknowledged_max_ms : int
        Longest time that sent bytes may remain unacknowledged. The default allows for
        two lost round trips with retransmission on the slowest link, which take less
        than 2 s.
    """

    probe_after_s: int = 2
    probes: int = 2
    unacknowledged_max_ms: int = 3000

    @property
    def detection_time_s(self) -> float:
        """Longest time from the last acknowledgement until the connection is closed."""
        idle_s = self.probe_after_s + self.probes * KEEPALIVE_INTERVAL_S
        return max(idle_s, self.unacknowledged_max_ms / 1000)


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, limits: DeadPeerLimits | None = None
) -> None:
    """Set TCP_NODELAY, and let the kernel close a connection to a dead peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    limits = limits or DeadPeerLimits()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.probe_after_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.unacknowledged_max_ms
    )
