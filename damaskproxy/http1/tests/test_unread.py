"""Copies of large bodies, and bodies in many parts."""

import asyncio
import socket
import tracemalloc
import unittest

import uvloop

from damaskproxy.http1 import ConnectionPool, HttpServer, Request, Response
from damaskproxy.model import Address

GET_LARGE = b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
LARGE_BYTES = 20 << 20


class CopyTests(unittest.TestCase):
    """Guards against copies of large bodies, with the event loop of the node."""

    def measure(self, run):
        """Run a coroutine and return the peak of the memory that it has allocated."""
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.sleep(0))
            tracemalloc.start()
            try:
                runner.run(run())
                return tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

    def test_body_for_a_server_that_does_not_read_is_not_copied(self):
        async def run():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                pool = ConnectionPool(Address(*listener.getsockname()))
                body = b"x" * LARGE_BYTES
                exchange = pool.exchange(Request(b"POST", b"/", [], body))
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(exchange, 0.2)

        self.assertLess(self.measure(run), 1.2 * LARGE_BYTES)

    def test_response_for_a_client_that_does_not_read_is_not_copied(self):
        async def run():
            async def handle(request):
                return Response(200, body=b"x" * LARGE_BYTES)

            server = HttpServer("test", handle)
            await server.open("127.0.0.1", 0)
            with socket.create_connection(("127.0.0.1", server.port)) as sock:
                sock.sendall(GET_LARGE)
                await asyncio.sleep(0.2)
                self.assertGreater(server.unsent_bytes, LARGE_BYTES / 2)
                await server.close()

        self.assertLess(self.measure(run), 1.2 * LARGE_BYTES)

    def test_body_that_is_read_is_not_copied(self):
        sizes = []

        async def run():
            async def handle(request):
                sizes.append(len(request.body))
                return Response(200)

            server = HttpServer("test", handle)
            await server.open("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(POST % LARGE_BYTES)
            for _ in range(LARGE_BYTES // (64 << 10)):
                writer.write(b"x" * (64 << 10))
                await writer.drain()
            while not sizes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            writer.close()
            await server.close()

        self.assertLess(self.measure(run), 1.5 * LARGE_BYTES)
        self.assertEqual(sizes, [LARGE_BYTES])

    def test_body_in_tiny_chunks_takes_no_more_than_its_size(self):
        chunks = 50_000

        async def run():
            server = HttpServer("test", None)
            await server.open("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(chunks // 1000):
                writer.write(b"2\r\nab\r\n" * 1000)
                await writer.drain()
            while server.held_bytes < 2 * chunks:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            writer.close()
            await server.close()

        self.assertLess(self.measure(run), 1 << 20)
