"""Clients of a soak of processes, and what they send and receive."""

import asyncio
import contextlib
import random
import re
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from damaskproxy.http1 import ConnectionPool, HttpError
from damaskproxy.platform.standins import StampedBackend
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.soak_keys import PRIVATE_PREFIX, Credential, KeyBook

__all__ = [
    "CHUNK_BYTES",
    "Client",
    "Node",
    "Sent",
    "keep_connection_open",
    "listens",
    "send_steadily",
    "status_of",
]

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
    retry_after : str or None
        Value of that header of the response.
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
    retry_after: str | None = None


class Run(Protocol):
    """What a client needs of the run that it belongs to."""

    keys: KeyBook
    has_ended: bool

    def new_request(
        self, request_id: bytes, node: Node, credential: Credential, *, is_safe: bool
    ) -> Sent:
        """Record a request that a client is about to send."""


class Client:
    """Client of one node that keeps its connection for many requests.

    Parameters
    ----------
    play : Run
        Run that it belongs to.
    node : Node
        Node that it sends to.
    name : str
        Start of the ids of its requests.
    rng : random.Random
        Source of all random choices.
    choose : callable, optional
        Returns the credential of the next request; by default all kinds are sent.
    """

    def __init__(
        self,
        play: Run,
        node: Node,
        name: str,
        rng: random.Random,
        choose: Callable[[random.Random], Credential] | None = None,
    ):
        self._play = play
        self._node = node
        self._name = name
        self._rng = rng
        self._choose = choose or play.keys.choose
        self._count = 0

    async def send(self) -> None:
        """Send small requests one after the other."""
        await self._send_all(self._exchange_small, None)

    async def send_one(self) -> None:
        """Send one small request on a connection of its own."""
        try:
            reader, writer = await self._connect(None)
        except OSError:
            return
        with contextlib.closing(writer):
            await self._exchange_small(reader, writer)

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
        credential = self._choose(self._rng)
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
        wait = re.search(rb"\r\nRetry-After: *([^\r]*)", head, re.IGNORECASE)
        sent.retry_after = wait[1].decode("latin-1") if wait else None
        while length:
            part = await reader.readexactly(min(length, CHUNK_BYTES))
            length -= len(part)
            await asyncio.sleep(read_pause_s)
        sent.is_complete = True
        return b"Connection: close" not in head


async def listens(node: Node) -> bool:
    """Return whether the listener for peers of a node is open."""
    try:
        _, writer = await asyncio.open_connection(*node.address("peer"))
    except OSError:
        return False
    writer.close()
    return True


async def status_of(node: Node, listener: str, request) -> int | None:
    """Return the status of a response, None if there is none."""
    pool = ConnectionPool(to_address(node.settings["listeners"][listener]))
    try:
        async with asyncio.timeout(1.0):
            return (await pool.exchange(request)).status
    except (HttpError, TimeoutError):
        return None
    finally:
        pool.close()


async def keep_connection_open(node: Node) -> None:
    """Keep a connection without requests until the node closes it."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*node.address("caller"))
            with contextlib.closing(writer):
                await reader.read()
        await asyncio.sleep(0.3)


async def send_steadily(
    clients: Sequence[Client],
    rate_per_s: float,
    rng: random.Random,
    end_s: Callable[[], float],
) -> None:
    """Send requests of random clients at a rate, without waiting for responses.

    Parameters
    ----------
    clients : sequence of Client
        Clients of different nodes.
    rate_per_s : float
        Requests per second.
    rng : random.Random
        Source of all random choices.
    end_s : callable
        Returns the time at which to end.
    """
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s():
            group.create_task(rng.choice(clients).send_one())
            await asyncio.sleep(1 / rate_per_s)
