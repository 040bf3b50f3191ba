"""Sidecars whose link has little bandwidth for some seconds."""

import asyncio
import time
import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.http1 import ConnectionPool, Request
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.mesh import MeshTestCase
from damaskproxy.sidecar.tests.slow_link import SlowLink

BYTES_PER_S = 9e6
SLOWER = 36
SLOW_S = 5.5
ADAPTED_S = 1.5
"""Time after which new calls go elsewhere; the calls before end at their deadline of
0.8 s."""
CONFIGURATION_S = 2.0
CHANGES = 3
BODY_BYTES = 50_000
"""Four of them, one for each slot, take 0.8 s at the low bandwidth."""
CALL_S = 1 / 30
WORK_S = 0.1
"""The other server has room for all calls."""
SERVED_SHARE = 0.8
RETURN_S = 6.0
"""Longest back-off of a member, and some calls."""


class SlowLinkTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a slow link that holds up the mesh or fills the memory.

    Its nodes stay members, and the calls of one of them go to another server.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.statuses = Counter()
        self.calls = set()
        self.max_unsent_bytes = 0
        self.link = SlowLink(BYTES_PER_S)
        self.addAsyncCleanup(self.link.close)

    @params("requests", "responses")
    async def test_changes_arrive_and_calls_go_elsewhere(self, kind):
        one, slow, fast = await self.start_mesh(kind)
        load = asyncio.create_task(self.send_calls(one, kind))
        reports = asyncio.create_task(self.send_reports())
        await self.until(lambda: slow.backend.runs and fast.backend.runs)
        self.link.bytes_per_s = BYTES_PER_S / SLOWER
        await asyncio.sleep(ADAPTED_S)
        for counts in (self.statuses, slow.backend.runs, fast.backend.runs):
            counts.clear()
        for version in range(2, 2 + CHANGES):
            await self.configure(version)
            await asyncio.sleep((SLOW_S - ADAPTED_S) / CHANGES)
        self.check_calls(one, slow, fast)
        self.link.bytes_per_s = BYTES_PER_S
        slow.backend.runs.clear()
        async with asyncio.timeout(RETURN_S):
            await self.until(lambda: len(slow.backend.runs) > 5)
        for task in (load, reports, *self.calls):
            task.cancel()

    async def start_mesh(self, kind):
        """Return a caller's node, one behind the slow link to it, and another one."""
        one = await self.start("n1", "stores")
        others = [await self.start(name) for name in ("n2", "n3")]
        await self.until_known(2)
        await self.until(lambda: one.sidecar.propagation.sources.ids())
        # What the node of the caller follows is behind the slow link.
        source = one.sidecar.propagation.sources.ids()[0]
        others.sort(key=lambda member: member.name != source)
        for member in others:
            member.backend.work_s = WORK_S
            if kind == "responses":
                member.backend.answer_bytes = {b"/read/1": BODY_BYTES}
        await self.link.join(one, others[0])
        return one, *others

    async def send_calls(self, member, kind):
        """Send calls at a constant rate, which one server can serve."""
        pool = ConnectionPool(to_address(member.sidecar.settings.listeners.caller))
        self.addCleanup(pool.close)
        body = b"x" * BODY_BYTES if kind == "requests" else b""

        async def call(request_id):
            fields = [(b"Host", b"shop"), (b"X-Damaskproxy-Request-Id", request_id)]
            response = await pool.exchange(Request(b"POST", b"/read/1", fields, body))
            self.statuses[response.status] += 1

        while True:
            task = asyncio.create_task(call(b"%d" % time.monotonic_ns()))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
            await asyncio.sleep(CALL_S)
            unsent_bytes = sum(m.sidecar.links.unsent_bytes for m in self.members)
            self.max_unsent_bytes = max(self.max_unsent_bytes, unsent_bytes)

    async def send_reports(self):
        """Send the status reports of all backend servers."""
        while True:
            for member in self.members:
                await member.report()
            await asyncio.sleep(0.4)

    async def configure(self, version):
        """Write a configuration and check that it is in force in time."""
        self.rows.put("op", "config", encode_configuration(version))
        start_s = time.monotonic()
        await self.until(
            lambda: all(
                m.sidecar.configuration.version == version for m in self.members
            )
        )
        self.assertLess(time.monotonic() - start_s, CONFIGURATION_S)

    def check_calls(self, one, slow, fast):
        """Check the calls since the node of the caller has adapted."""
        self.assertEqual(len(one.sidecar.directory.serving("orders")), 2)
        served_share = self.statuses[200] / self.statuses.total()
        self.assertGreater(served_share, SERVED_SHARE, self.statuses)
        self.assertLess(2 * len(slow.backend.runs), len(fast.backend.runs))
        limit_bytes = one.sidecar.link_memory.unsent.limit_bytes
        self.assertLess(self.max_unsent_bytes, limit_bytes)
        for member in self.members:
            self.assertFalse(member.sidecar.links.closures)
