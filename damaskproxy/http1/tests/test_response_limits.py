"""Servers in trouble that send a response without end."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.http1 import (
    ConnectionPool,
    ExchangeLost,
    Request,
    ResponseLimits,
    ResponseMemory,
    ResponseTooLarge,
)
from damaskproxy.model import Address

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
LIMITS = ResponseLimits(max_head_bytes=64 << 10, max_fields=100, max_body_bytes=1 << 20)
MEMORY_BYTES = 8 << 20
WHOLE_BODY = b"whole" * 2000


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    """Guards against memory and connections held by a response without end."""

    async def asyncSetUp(self):
        self.sent_bytes = 0
        self.open_count = 0
        self.pause_s = 0.0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.memory = ResponseMemory(MEMORY_BYTES)
        address = Address(*server.sockets[0].getsockname()[:2])
        self.pool = ConnectionPool(address, limits=LIMITS, memory=self.memory)
        self.addCleanup(self.pool.close)

    async def serve(self, reader, writer):
        """Send what the path names, until the caller closes the connection."""
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

    async def exchange(self, name, timeout_s=5.0):
        """Send one request, to which the server sends what `name` says."""
        target = b"/" + name.replace(" ", "-").encode()
        async with asyncio.timeout(timeout_s):
            return await self.pool.exchange(
                Request(b"GET", target, []),
                accept=lambda response, _: response.header(b"x-other") is None,
            )

    async def until_closed(self):
        """Wait until the server has noticed that all connections are closed."""
        async with asyncio.timeout(2):
            while self.open_count:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    @params(*ENDLESS)
    async def test_connection_is_closed_at_the_limit(self, name):
        with self.assertRaises(ExchangeLost):
            await self.exchange(name)
        await self.until_closed()
        self.assertEqual(self.memory.total_bytes, 0)
        # Beyond the limits, only what the sockets buffer on both sides.
        self.assertLess(self.sent_bytes, 16 << 20)

    @params("field", "body", "chunks")
    async def test_slow_response_ends_with_the_request(self, name):
        self.pause_s = 0.02
        with self.assertRaises(TimeoutError):
            await self.exchange(name, timeout_s=0.2)
        await self.until_closed()
        self.assertEqual(self.memory.total_bytes, 0)

    async def test_many_endless_responses_do_not_cut_whole_ones(self):
        self.pause_s = 0.001
        names = ("body", "chunks", "one chunk", "field", "trailers")
        endless = [
            asyncio.create_task(self.exchange(names[number % len(names)], 20.0))
            for number in range(50)
        ]
        peak_bytes = 0
        for _ in range(100):
            response = await self.exchange("whole")
            self.assertEqual(response.body, WHOLE_BODY)
            peak_bytes = max(peak_bytes, self.memory.total_bytes)
        for result in await asyncio.gather(*endless, return_exceptions=True):
            self.assertIsInstance(result, ExchangeLost)
        self.assertLessEqual(peak_bytes, MEMORY_BYTES)
        self.pool.close()
        await self.until_closed()


class ResponseMemoryTests(unittest.TestCase):
    """Guards against aborting responses that are not the cause of the shortage."""

    def test_largest_response_is_aborted(self):
        memory = ResponseMemory(100)
        aborted = []
        one, two = (lambda: aborted.append(1)), (lambda: aborted.append(2))
        memory.add(one, 60)
        memory.add(two, 39)
        self.assertEqual(aborted, [])
        memory.add(two, 10)
        self.assertEqual(aborted, [1])
        self.assertEqual(memory.total_bytes, 49)

    def test_released_response_is_not_counted(self):
        memory = ResponseMemory(100)
        one, two = (lambda: self.fail("aborted")), (lambda: self.fail("aborted"))
        for _ in range(3):
            memory.add(one, 60)
            memory.release(one)
        memory.add(two, 100)

    def test_response_too_large_is_a_lost_exchange(self):
        self.assertTrue(issubclass(ResponseTooLarge, ExchangeLost))
