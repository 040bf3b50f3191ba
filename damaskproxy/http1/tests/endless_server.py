"""Server in trouble that sends a response without end."""

import asyncio

from damaskproxy.model import Address

__all__ = ["ENDLESS", "SENT_MAX_BYTES", "WHOLE_BODY", "EndlessServer"]

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PART = 4096
ENDLESS = {
    "fields": (HEAD, b"X-Field: value\r\n" * (PART // 16)),
    "field": (HEAD + b"X-Field: ", b"x" * PART),
    "field name": (HEAD, b"x" * PART),
    "status line": (b"HTTP/1.1 200 ", b"O" * PART),
    "interim responses": (b"", b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" * (PART // 27)),
    "interim responses without fields": (b"", b"HTTP/1.1 100 \r\n\r\n" * (PART // 17)),
    "interim responses without a reason": (b"", b"HTTP/1.1 102\r\n\r\n" * (PART // 16)),
    "body": (HEAD + b"\r\n", b"x" * PART),
    "body with a length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * PART),
    "chunks": (CHUNKED, b"1\r\nx\r\n" * (PART // 6)),
    "one chunk": (CHUNKED + b"ffffffffff\r\n", b"x" * PART),
    "chunk extension": (CHUNKED + b"1;", b"x" * PART),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Field: value\r\n" * (PART // 16)),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Field: ", b"x" * PART),
    "other responses": (b"", (HEAD + b"X-Other: 1\r\nContent-Length: 1\r\n\r\nx") * 64),
}
"""First bytes of a response by its name, and the part that follows without end."""
SENT_MAX_BYTES = 16 << 20
"""Beyond the limits of a client, only what the sockets buffer on both sides."""
WHOLE_BODY = b"whole" * 2000


class EndlessServer:
    """Sends what the path of a request names, until the caller closes the connection.

    Attributes
    ----------
    address : Address
        Address on which it listens.
    sent_bytes : int
        Bytes of parts that were sent.
    open_count : int
        Connections that the callers have not closed.
    pause_s : float
        Pause between the parts.
    """

    async def start(self):
        """Listen on a free loopback port."""
        self.sent_bytes = self.open_count = 0
        self.pause_s = 0.0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    async def close(self):
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    @staticmethod
    def path_of(name):
        """Return the path at which a response of `ENDLESS` is sent."""
        return "/" + name.replace(" ", "-")

    async def until_closed(self):
        """Wait until all connections are closed by the callers."""
        async with asyncio.timeout(2):
            while self.open_count:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def _serve(self, reader, writer):
        self.open_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                name = head.split()[1].decode()[1:].replace("-", " ")
                if name == "whole":
                    length = b"Content-Length: %d\r\n\r\n" % len(WHOLE_BODY)
                    writer.write(HEAD + length + WHOLE_BODY)
                    continue
                start, part = ENDLESS[name]
                writer.write(start)
                while True:
                    writer.write(part)
                    self.sent_bytes += len(part)
                    await writer.drain()
                    await asyncio.sleep(self.pause_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            writer.close()
