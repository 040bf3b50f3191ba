"""A limit that a server names in its answers, across nodes and the store."""

import json
import unittest

from nose2.tools import params

from damaskproxy.directory import decode_member
from damaskproxy.sidecar.tests.mesh import MeshTestCase


class MeshLimitTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a limit that other nodes or a restarted node do not know."""

    async def start_limited(self):
        """Start two nodes; the server beside the first one names a limit."""
        limited = await self.start("n1")
        caller = await self.start("n2", "stores")
        await self.until_known(1)
        limited.backend.extra_headers.append((b"Server-Limit", b"2.5"))
        answer = await caller.call(b"/read/")
        self.assertEqual(answer.header(b"server-limit"), b"2.5")
        await self.until(lambda: self.stored_limit() == 2.5)
        directory = caller.sidecar.directory
        await self.until(lambda: directory.get("n1").backend.max_calls_per_s == 2.5)
        return limited, caller

    def stored_limit(self):
        """Return the limit in the row of the first node."""
        row = self.rows.get("damask-members", "n1")
        return row and decode_member(row).backend.max_calls_per_s

    async def test_limit_reaches_other_nodes_and_the_store(self):
        await self.start_limited()

    @params(True, False)
    async def test_restarted_node_knows_the_limit(self, has_store):
        limited, caller = await self.start_limited()
        await self.kill(limited)
        if not has_store:
            self.rows.status = 503
            settings = json.loads(limited.path.read_text(encoding="utf-8"))
            seed = caller.sidecar.settings.listeners.control
            limited.path.write_text(
                json.dumps({**settings, "seeds": [seed]}), encoding="utf-8"
            )
        await self.restart(limited)
        self.assertEqual(limited.sidecar.backend.record.max_calls_per_s, 2.5)
