"""Services and nodes in trouble that send a response without end."""

import unittest

import aiohttp
from nose2.tools import params

from damaskproxy.http1.tests.endless_server import (
    ENDLESS,
    SENT_MAX_BYTES,
    EndlessServer,
)
from damaskproxy.move.watch import read_status
from damaskproxy.store.http import AnswerLost, AnswerTooLarge, HttpExchange

TIMEOUT_S = 3.0
LIMIT_BYTES = 16 << 10
BODIES = ("body", "body with a length", "chunks", "one chunk")


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that keeps all bytes of a response without end."""

    async def asyncSetUp(self):
        self.server = EndlessServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    @params(*((name, name in BODIES) for name in ENDLESS if name != "other responses"))
    async def test_response_of_a_service_is_cut_at_the_limit(self, name, is_body):
        exchange = HttpExchange(
            f"http://{self.server.address}",
            connect_timeout_s=1.0,
            timeout_s=TIMEOUT_S,
            max_concurrent=1,
            max_response_bytes=LIMIT_BYTES,
        )
        self.addAsyncCleanup(exchange.close)
        with self.assertRaises(AnswerTooLarge if is_body else AnswerLost):
            await exchange.send("GET", self.server.path_of(name))
        await self.server.until_closed()

    @params(*BODIES)
    async def test_status_of_a_node_is_cut_at_the_limit(self, name):
        url = f"http://{self.server.address}{self.server.path_of(name)}"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            self.assertIsNone(await read_status(session, url))
        await self.server.until_closed()
        self.assertLess(self.server.sent_bytes, SENT_MAX_BYTES)
