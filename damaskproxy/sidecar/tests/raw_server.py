"""Backend server whose responses are written as bytes."""

import asyncio
from collections import Counter

__all__ = ["ID", "RawServer"]

ID = b"X-Damaskproxy-Request-Id"
HEALTHY = (
    b"HTTP/1.1 200 OK\r\nX-Damaskproxy-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
)


class RawServer:
    """Base of backend servers that break the protocol; `_serve` handles a connection.

    Parameters
    ----------
    instance_id : str
        Id of its incarnation.

    Attributes
    ----------
    runs : Counter
        Number of executions by request id.
    closed_count : int
        Connections that nodes closed after a fault.
    """

    def __init__(self, instance_id: str):
        self._instance_id = instance_id.encode()
        self.runs: Counter[bytes] = Counter()
        self.closed_count = 0

    async def open(self) -> str:
        """Listen on a loopback port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Stop listening; connections stay open."""
        self._server.close()
        await self._server.wait_closed()

    async def _requests(self, reader, writer):
        """Yield head and id of each request until the client closes the connection.

        Health checks are answered here.
        """
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return
            if head.startswith(b"GET /health"):
                writer.write(HEALTHY % self._instance_id)
                continue
            request_id = head.partition(ID + b": ")[2].partition(b"\r\n")[0]
            self.runs[request_id] += 1
            yield head, request_id
