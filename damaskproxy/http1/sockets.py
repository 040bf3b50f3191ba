"""Socket options of all TCP connections of a node."""

import asyncio
import socket
from dataclasses import dataclass

__all__ = ["DeadPeerLimits", "enable_dead_peer_detection"]

KEEPALIVE_INTERVAL_S = 1
"""Shortest interval between probes that the kernel knows."""


@dataclass(frozen=True, slots=True)
class DeadPeerLimits:
    """When the kernel closes a connection whose peer no longer acknowledges.

    Parameters
    ----------
    probe_after_s : int
        Idle time before the first probe.
    probes : int
        Probes that may stay unanswered.
    unacknowledged_max_ms : int
        Longest time that sent bytes may stay unacknowledged. By default two lost round
        trips of the slowest link with their retransmissions, which take under 2 s.
    """

    probe_after_s: int = 2
    probes: int = 2
    unacknowledged_max_ms: int = 3000

    @property
    def detection_time_s(self) -> float:
        """Longest time from the end of acknowledgements to the end of a connection."""
        idle_s = self.probe_after_s + self.probes * KEEPALIVE_INTERVAL_S
        return max(idle_s, self.unacknowledged_max_ms / 1000)


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, limits: DeadPeerLimits | None = None
) -> None:
    """Make the kernel close a connection whose peer no longer acknowledges."""
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
