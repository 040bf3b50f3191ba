"""Options and kernel buffers of the TCP connections of a node."""

import asyncio
import errno
import fcntl
import os
import select
import socket
import sys
import termios
from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "DeadPeerLimits",
    "accept_queued",
    "enable_dead_peer_detection",
    "has_input",
    "unacknowledged_bytes",
    "unread_bytes",
]

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


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many received bytes wait in the kernel; closing would discard them."""
    return _queued_bytes(transport, termios.FIONREAD)


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Tell whether bytes, or the end of the connection, wait in the kernel."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel has taken and the peer has not acknowledged.

    Notes
    -----
    The kernel sends them also after the process has ended, but it discards them if the
    connection is reset, as when the peer sends something to a closed socket.
    """
    return _queued_bytes(transport, termios.TIOCOUTQ)


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        result = fcntl.ioctl(sock.fileno(), request, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(result, sys.byteorder)


def accept_queued(
    server: asyncio.Server, make_protocol: Callable[[], asyncio.Protocol]
) -> list[asyncio.Task]:
    """Accept the connections in the queue of a server that is about to be closed.

    Notes
    -----
    Their peers count them as open and may have sent something; the kernel resets those
    that are still in the queue when the listening socket is closed.

    Returns
    -------
    list of asyncio.Task
        One for each connection, which ends once its protocol has it.
    """
    loop = asyncio.get_running_loop()
    tasks = []
    for listener in server.sockets:
        # The sockets of a server accept nothing themselves.
        with socket.socket(fileno=os.dup(listener.fileno())) as sock:
            sock.setblocking(False)
            while (connection := _accept(sock)) is not None:
                opening = loop.connect_accepted_socket(make_protocol, connection)
                tasks.append(loop.create_task(opening))
    return tasks


def _accept(sock: socket.socket) -> socket.socket | None:
    while True:
        try:
            return sock.accept()[0]
        except OSError as error:
            if error.errno != errno.ECONNABORTED:
                return None
