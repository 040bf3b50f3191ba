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
from damaskproxy.http1.tests.endless_server import (
    ENDLESS,
    SENT_MAX_BYTES,
    WHOLE_BODY,
    EndlessServer,
)

LIMITS = ResponseLimits(max_head_bytes=64 << 10, max_fields=100, max_body_bytes=1 << 20)
MEMORY_BYTES = 8 << 20


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    """Guards against memory and connections held by a response without end."""

    async def asyncSetUp(self):
        self.server = EndlessServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.memory = ResponseMemory(MEMORY_BYTES)
        self.pool = ConnectionPool(
            self.server.address, limits=LIMITS, memory=self.memory
        )
        self.addCleanup(self.pool.close)

    async def exchange(self, name, timeout_s=5.0):
        """Send one request, to which the server sends what `name` says."""
        target = self.server.path_of(name).encode()
        async with asyncio.timeout(timeout_s):
            return await self.pool.exchange(
                Request(b"GET", target, []),
                accept=lambda response, _: response.header(b"x-other") is None,
            )

    @params(*ENDLESS)
    async def test_connection_is_closed_at_the_limit(self, name):
        with self.assertRaises(ExchangeLost):
            await self.exchange(name)
        await self.server.until_closed()
        self.assertEqual(self.memory.total_bytes, 0)
        self.assertLess(self.server.sent_bytes, SENT_MAX_BYTES)

    @params("field", "body", "chunks")
    async def test_slow_response_ends_with_the_request(self, name):
        self.server.pause_s = 0.02
        with self.assertRaises(TimeoutError):
            await self.exchange(name, timeout_s=0.2)
        await self.server.until_closed()
        self.assertEqual(self.memory.total_bytes, 0)

    async def test_many_endless_responses_do_not_cut_whole_ones(self):
        self.server.pause_s = 0.001
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
        await self.server.until_closed()


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
