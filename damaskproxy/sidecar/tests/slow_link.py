"""Relay between two nodes on loopback addresses, whose bandwidth can be lowered."""

import asyncio
import contextlib
import socket

import msgspec

__all__ = ["SlowLink"]

CHUNK_BYTES = 4 << 10
BUFFER_BYTES = 16 << 10
"""Kernel buffer of the relay, so that what waits is left to the sending node."""


class _Direction:
    """Bandwidth in one direction, shared by all connections."""

    def __init__(self, link):
        self._link = link
        self._free_s = 0.0

    async def take_turn(self, size):
        """Wait until a number of bytes has been sent."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s, self._free_s) + size / self._link.bytes_per_s
        await asyncio.sleep(self._free_s - now_s)


class SlowLink:
    """Network between two nodes, through which all their connections pass.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth in each direction.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self._relays = []
        self._tasks = set()
        self._directions = _Direction(self), _Direction(self)

    async def join(self, one, two):
        """Let the connections between two members of a mesh pass through this link."""
        forth, back = self._directions
        await self._divert(one, two, forth, back)
        await self._divert(two, one, back, forth)

    async def _divert(self, origin, target, forth, back):
        """Replace the open connections of one member to another one."""
        links, port = origin.sidecar.links, target.sidecar.links.port
        relay_port = await self._relay(port, forth, back)
        open_directly = links._open

        async def open_through(member, **options):
            if member.port == port:
                member = msgspec.structs.replace(member, port=relay_port)
            return await open_directly(member, **options)

        links._open = open_through
        for link in links.open_links():
            if link.peer_id == target.name and not link.is_accepted:
                link.close()

    async def _relay(self, port, forth, back):
        """Accept connections to a port and return the port to use instead."""

        def accept(reader, writer):
            task = asyncio.create_task(self._connect(port, reader, writer, forth, back))
            self._tasks.add(task)

        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        relay = await asyncio.start_server(accept, sock=sock, limit=CHUNK_BYTES)
        self._relays.append(relay)
        return sock.getsockname()[1]

    async def _connect(self, port, reader, writer, forth, back):
        other_reader, other_writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=CHUNK_BYTES
        )
        await asyncio.gather(
            _pass_on(reader, other_writer, forth),
            _pass_on(other_reader, writer, back),
        )

    async def close(self):
        """Close all connections."""
        for relay in self._relays:
            relay.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _pass_on(reader, writer, direction):
    """Pass on what one end sends, until it closes the connection."""
    try:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await direction.take_turn(len(data))
                writer.write(data)
                await writer.drain()
    finally:
        writer.close()
