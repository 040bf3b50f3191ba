"""Clients of a soak of processes, and what they send and receive."""

import asyncio
import contextlib
import random
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from damaskproxy.platform.standins import StampedBackend
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.soak_keys import PRIVATE_PREFIX, Credential, KeyBook

__all__ = ["CHUNK_BYTES", "Client", "Node", "Sent"]

CHUNK_BYTES = 65536


@dataclass(slots=True)
class Node:
    """Process of the program, and the backend server beside it."""

    name: str
    backend: StampedBackend
    path: Path
    settings: dict
    is_running: bool = False
    is_stopping: bool = False
    sequence: int = 0

    def address(self, listener: str) -> tuple[str, int]:
        """Return host and port of a listener."""
        address = to_address(self.settings["listeners"][listener])
        return address.host, address.port


@dataclass(slots=True)
class Sent:
    """Request of a client, and what it received.

    Attributes
    ----------
    credential : Credential
        What it says of its organisation.
    last_part_s : float
        Time before which its last part was not sent.
    sent_s : float or None
        Time at which its last byte was sent, None if the connection ended before.
    """

    request_id: bytes
    node: str
    is_safe: bool
    credential: Credential
    last_part_s: float = 0.0
    sent_s: float | None = None
    ended_s: float = 0.0
    status: int | None = None
    is_complete: bool = False


class Run(Protocol):
    """What a client needs of the run that it belongs to."""

    keys: KeyBook
    has_ended: bool

    def new_request(
        self, request_id: bytes, node: Node, credential: Credential, *, is_safe: bool
    ) -> Sent:
        """Record a request that a client is about to send."""


class Client:
    """Client of one node that keeps its connection for many requests."""

    def __init__(self, play: Run, node: Node, name: str, rng: random.Random):
        self._play = play
        self._node = node
        self._name = name
        self._rng = rng
        self._count = 0

    async def send(self) -> None:
        """Send small requests one after the other."""
        await self._send_all(self._exchange_small, None)

    async def send_slowly(self) -> None:
        """Send requests in parts."""
        await self._send_all(self._exchange_in_parts, None)

    async def read_slowly(self) -> None:
        """Send requests with large responses and read these slowly."""
        await self._send_all(self._exchange_large, CHUNK_BYTES)

    async def _send_all(self, exchange, receive_buffer_bytes: int | None) -> None:
        while not self._play.has_ended:
            try:
                reader, writer = await self._connect(receive_buffer_bytes)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            with contextlib.closing(writer):
                is_open = True
                while is_open:
                    is_open = await exchange(reader, writer)
                    await asyncio.sleep(self._rng.choice([0.01, 0.05, 0.3]))

    async def _connect(self, receive_buffer_bytes: int | None):
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self._node.address("caller"))
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=2 * CHUNK_BYTES)

    async def _exchange_small(self, reader, writer) -> bool:
        return await self._exchange(reader, writer, (b"read", b"write"), 0, 0.0)

    async def _exchange_in_parts(self, reader, writer) -> bool:
        pause_s = self._rng.choice([0.01, 0.1, 0.6])
        return await self._exchange(reader, writer, (b"read", b"write"), 900, pause_s)

    async def _exchange_large(self, reader, writer) -> bool:
        return await self._exchange(
            reader, writer, (b"big", b"bigger"), 0, 0.0, read_pause_s=0.015
        )

    async def _exchange(
        self, reader, writer, routes, body_bytes, pause_s, read_pause_s=0.0
    ) -> bool:
        """Send one request and read its response; whether another one may follow."""
        self._count += 1
        is_safe = self._rng.random() < 0.5
        request_id = f"{self._name}-{self._count}".encode()
        credential = self._play.keys.choose(self._rng)
        sent = self._play.new_request(
            request_id, self._node, credential, is_safe=is_safe
        )
        route = routes[0] if is_safe else routes[1]
        if not credential.is_public:
            route = PRIVATE_PREFIX.encode() + route
        head = b"%s /%s/%s HTTP/1.1\r\nHost: shop\r\n%s: %s\r\n%s" % (
            b"GET" if is_safe else b"POST",
            route,
            request_id,
            b"X-Damaskproxy-Request-Id",
            request_id,
            credential.head,
        )
        data = head + b"Content-Length: %d\r\n\r\n" % body_bytes + b"b" * body_bytes
        try:
            if pause_s:
                split = self._rng.randrange(1, len(data))
                writer.write(data[:split])
                await asyncio.sleep(pause_s)
                data = data[split:]
            sent.last_part_s = time.monotonic()
            writer.write(data)
            await writer.drain()
            sent.sent_s = time.monotonic()
            return await self._read_response(reader, sent, read_pause_s)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            sent.ended_s = time.monotonic()

    async def _read_response(self, reader, sent: Sent, read_pause_s: float) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        sent.status = int(head.split()[1])
        length = int(head.partition(b"Content-Length: ")[2].split()[0])
        while length:
            part = await reader.readexactly(min(length, CHUNK_BYTES))
            length -= len(part)
            await asyncio.sleep(read_pause_s)
        sent.is_complete = True
        return b"Connection: close" not in head
