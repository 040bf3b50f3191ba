"""A leave that a server names in its answers, across nodes and the store."""

import asyncio
import unittest

from damaskproxy.model import MemberState
from damaskproxy.sidecar.tests.mesh import MeshTestCase

LEAVING = (b"Server-Leaving", b"1")


class MeshLeavingTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a leave that the other nodes or the store do not get."""

    async def test_leave_named_in_an_answer_reaches_other_nodes_and_the_store(self):
        leaver = await self.start("n1")
        other = await self.start("n2")
        await self.until_known(2)
        leaver.backend.extra_headers.append(LEAVING)
        async with asyncio.timeout(5):
            number = 0
            while other.sidecar.directory.get("n1").serves("orders"):
                number += 1
                await other.call(b"/read/", request_id=b"%d" % number)
                await asyncio.sleep(0.01)
        await self.until(
            lambda: b'"draining"' in (self.rows.get("damask-members", "n1") or b"")
        )
        before = len(leaver.backend.requests)
        for number in range(20):
            response = await other.call(b"/read/", request_id=b"x%d" % number)
            self.assertEqual(response.status, 200)
        self.assertEqual(len(leaver.backend.requests), before)
        self.assertIs(leaver.sidecar.backend.record.state, MemberState.DRAINING)
