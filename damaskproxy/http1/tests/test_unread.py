"""Clients and servers that read slowly, and bodies in many parts."""

import asyncio
import socket
import tracemalloc
import unittest

import uvloop

from damaskproxy.http1 import (
    ClientLimits,
    ConnectionPool,
    HttpServer,
    Request,
    Response,
)
from damaskproxy.model import Address

GET_LARGE = b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n"
GET_SMALL = b"GET /small HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
LARGE_BYTES = 20 << 20


class UnreadResponseTests(unittest.IsolatedAsyncioTestCase):
    """Guards against memory that fills with responses that clients do not read."""

    async def asyncSetUp(self):
        self.requests = 0
        self.server = HttpServer(
            "test",
            self.handle,
            lambda: ClientLimits(idle_timeout_ms=100),
            held_max_bytes=1 << 20,
            unsent_max_bytes=50 << 20,
        )
        await self.server.open("127.0.0.1", 0)
        self.sockets = []

    async def asyncTearDown(self):
        await self.server.close()
        for sock in self.sockets:
            sock.close()

    async def handle(self, request):
        self.requests += 1
        is_large = request.target == b"/large"
        return Response(200, body=b"x" * (LARGE_BYTES if is_large else 100))

    async def send(self, data):
        """Send `data` from a new client that does not read."""
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.server.port))
        await loop.sock_sendall(sock, data)
        return sock

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def read(self, sock, count):
        """Read at least `count` bytes."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(10):
            while count > 0:
                data = await loop.sock_recv(sock, 1 << 20)
                self.assertTrue(data)
                count -= len(data)

    async def test_response_counts_in_full_until_the_client_has_read_it(self):
        account = self.server.unsent.account
        sock = await self.send(GET_LARGE)
        await self.until(lambda: account.held_bytes >= LARGE_BYTES)
        await self.read(sock, LARGE_BYTES)
        await self.until(lambda: account.held_bytes == 0)
        await self.send(GET_LARGE)
        await self.until(lambda: account.held_bytes >= LARGE_BYTES)
        self.sockets[-1].close()
        await self.until(lambda: account.held_bytes == 0)

    async def test_small_responses_are_not_counted(self):
        await self.send(GET_SMALL * 20)
        await self.until(lambda: self.requests == 20)
        self.assertEqual(self.server.unsent.account.held_bytes, 0)

    async def test_pipelined_request_waits_until_the_response_has_been_read(self):
        sock = await self.send(GET_LARGE * 3)
        await self.until(lambda: self.requests)
        await asyncio.sleep(0.05)
        self.assertEqual(self.requests, 1)
        await self.read(sock, 3 * LARGE_BYTES)
        self.assertEqual(self.requests, 3)

    async def test_client_that_pipelines_and_does_not_read_is_closed(self):
        await self.send(GET_LARGE * 3)
        await self.until(lambda: self.requests)
        await asyncio.sleep(0.12)
        self.server.enforce_timeouts()
        await asyncio.sleep(0.12)
        self.server.enforce_timeouts()
        await self.until(lambda: not self.server.connections)

    async def test_connection_with_the_largest_response_is_cut_beyond_the_limit(self):
        account = self.server.unsent.account
        peak_bytes = 0
        with self.assertLogs("damaskproxy.http1.server", "WARNING") as logs:
            for number in range(5):
                await self.send(GET_LARGE)
                await self.until(lambda number=number: self.requests == number + 1)
                await asyncio.sleep(0.01)
                peak_bytes = max(peak_bytes, account.held_bytes)
        self.assertLessEqual(peak_bytes, 50 << 20)
        self.assertEqual(len(logs.records), 3)
        self.assertIn("memory limit", logs.records[0].fields["reason"])
        await self.until(lambda: len(self.server.connections) == 2)

    async def test_body_of_a_refused_request_is_not_counted_any_more(self):
        size = 1 << 20
        sock = await self.send(POST % (2 * size) + b"x" * (2 * size))
        await self.read(sock, 1)
        self.assertEqual(self.server.held_bytes, 0)

    async def test_request_refused_for_its_body_names_when_to_retry(self):
        sock = await self.send(POST % (2 << 20) + b"x" * (2 << 20))
        async with asyncio.timeout(5):
            head = await asyncio.get_running_loop().sock_recv(sock, 4096)
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)
        self.assertIn(b"\r\nRetry-After: ", head)


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
