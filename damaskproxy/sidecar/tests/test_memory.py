"""Memory of a node whose clients, backend server or peers are slow."""

import asyncio
import socket
import unittest

from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.mesh import MeshTestCase

MB = 1 << 20
REPORT_BYTES = 12 * MB
GET = b"GET %s HTTP/1.1\r\nHost: shop\r\nX-Damaskproxy-Request-Id: 1\r\n\r\n"


class SlowReaderTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a node that exceeds the memory of its machine."""

    def connect(self, member):
        """Return a connection of a client that does not read."""
        address = to_address(member.sidecar.settings.listeners.caller)
        sock = socket.create_connection((address.host, address.port))
        self.addCleanup(sock.close)
        return sock

    async def start_two(self):
        """Start the node of the clients and one with large answers."""
        one = await self.start("n1", service="stores", memory_limit_mb=200)
        two = await self.start("n2", memory_limit_mb=200)
        two.backend.answer_bytes[b"/read/report"] = REPORT_BYTES
        await self.until_known(1)
        return one, two

    async def test_requests_with_large_answers_are_refused_while_others_run(self):
        one, two = await self.start_two()
        caller = one.sidecar.servers["caller"]
        for number in range(4):
            self.connect(one).sendall(GET % b"/read/report")
            count = min(number + 1, 4)
            await self.until(
                lambda count=count: (
                    caller.unsent.account.held_bytes >= count * REPORT_BYTES
                )
            )
        answer = await one.call(b"/read/report", request_id=b"refused")
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(answer.header(b"retry-after"))
        self.assertEqual(two.backend.runs[b"refused"], 0)
        self.assertEqual(one.sidecar.stats.refusals["memory"], 1)
        small = await one.call(b"/write/1", method=b"POST", request_id=b"small")
        self.assertEqual(small.status, 200)
        held = one.sidecar.held_bytes()
        self.assertGreaterEqual(held["unread_response_bytes"], 4 * REPORT_BYTES)
        self.assertLessEqual(held["budget_bytes"], held["budget_limit_bytes"])
        for connection in list(caller.connections):
            connection.abort("the test has ended")
        await self.until(lambda: one.sidecar.memory.held_bytes == 0)
        again = await one.call(b"/read/report", request_id=b"again")
        self.assertEqual((again.status, len(again.body)), (200, REPORT_BYTES))

    async def test_first_large_answers_that_arrive_together_are_not_cut(self):
        one, two = await self.start_two()
        two.backend.work_s = 0.05
        memory = one.sidecar.memory
        peak_bytes = 0
        with self.assertNoLogs("damaskproxy.http1.server", "WARNING"):
            for _ in range(10):
                self.connect(one).sendall(GET % b"/read/report")
            for _ in range(100):
                await asyncio.sleep(0.01)
                peak_bytes = max(peak_bytes, memory.held_bytes)
        self.assertGreaterEqual(peak_bytes, 4 * REPORT_BYTES)
        self.assertLessEqual(peak_bytes, memory.limit_bytes)
