"""Leaves that are confirmed around restarts of nodes and outages of the store."""

import asyncio
import json
import time
import unittest

from nose2.tools import params

from damaskproxy.directory import decode_member
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.http1 import Request
from damaskproxy.model import MemberState
from damaskproxy.sidecar.tests.mesh import MeshTestCase

HOST = [(b"Host", b"c")]


def delete_request(member, *, born_ms=None):
    """Return the request of a backend server that leaves."""
    path = f"/api/instances/{member.backend.instance_id}".encode()
    body = b"" if born_ms is None else json.dumps({"born": born_ms}).encode()
    return Request(b"DELETE", path, HOST, body)


class LeaveTestCase(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Test case with checks of what remains of a leave."""

    async def delete(self, member, **options):
        """Send a DELETE and return the status of the answer."""
        return (await member.control(delete_request(member, **options))).status

    def stored_state(self, member):
        """Return the state of a backend server in the store."""
        row = self.rows.get(MEMBER_TABLE, member.name)
        if row is None or (backend := decode_member(row).backend) is None:
            return None
        return backend.state

    async def until_stored(self, member):
        """Wait until the newest record of a node is in the store."""
        await self.until(lambda: member.sidecar.own_row_writer._stored.is_set())

    async def check_not_served(self, member, *, callers):
        """Check that a server gets no requests, whatever late reports say."""
        for number in range(6):
            await member.report("ready")
            for caller in callers:
                await caller.call(b"/read/1", request_id=b"%d" % number)
            await asyncio.sleep(0.02)
        self.assertFalse(member.backend.runs)


class StartTests(LeaveTestCase):
    """Guards against a starting node that confirms a leave and then forgets it."""

    @params("DELETE", "draining report")
    async def test_leave_during_the_start_is_stored_before_it_is_confirmed(self, kind):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        await self.until_stored(two)
        await self.kill(two)
        self.rows.status = 0
        await self.restart(two, report=False)
        leave = asyncio.create_task(self.leave(two, kind))
        await asyncio.sleep(0.2)
        self.rows.status = 200
        if await leave != 200:
            async with asyncio.timeout(4):
                while await self.leave(two, kind) != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        self.assertIn(
            self.stored_state(two), (MemberState.STOPPED, MemberState.DRAINING)
        )
        await self.check_not_served(two, callers=(one, two))

    async def leave(self, member, kind):
        """Let a server leave and return the status of the answer."""
        if kind == "DELETE":
            return await self.delete(member, born_ms=member.born_ms)
        return await member.report("draining")

    @params("DELETE", "draining report")
    async def test_node_without_its_record_does_not_confirm_a_leave(self, kind):
        two = await self.start("n2")
        await self.until_stored(two)
        await self.kill(two)
        self.rows.status = 503
        await self.restart(two, report=False)
        start_s = time.monotonic()
        self.assertEqual(await self.leave(two, kind), 503)
        self.assertLess(time.monotonic() - start_s, 1.0)
        self.rows.status = 200
        await self.until(lambda: two.sidecar.is_ready)
        await self.check_not_served(two, callers=(two,))
        await self.until(lambda: self.stored_state(two) is not None)
        await self.until(
            lambda: (
                self.stored_state(two) in (MemberState.STOPPED, MemberState.DRAINING)
            )
        )

    @params((None, False), (999, True), (1000, False), (5000, False))
    async def test_late_report_does_not_bring_an_unknown_server_back(
        self, born_ms, is_served
    ):
        restart = self.restart
        self.restart = lambda member: restart(member, report=False)
        two = await self.start("n2")
        await self.until(lambda: two.sidecar.is_ready)
        self.assertEqual(await self.delete(two, born_ms=born_ms), 200)
        await two.report("ready")
        status = (await two.call(b"/read/1")).status
        self.assertEqual(status, 200 if is_served else 503)

    async def test_leave_at_the_first_start_is_stored_before_it_is_confirmed(self):
        restart = self.restart
        self.restart = lambda member: restart(member, report=False)
        two = await self.start("n2", is_first_start=True)
        await two.report("ready")
        await self.until(lambda: self.stored_state(two) is not None)
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        self.assertIs(self.stored_state(two), MemberState.STOPPED)

    async def test_new_incarnation_under_the_same_id_is_served(self):
        two = await self.start("n2")
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        two.born_ms, two.sequence = int(time.time() * 1000) + 1000, 0
        await two.report("ready")
        self.assertEqual((await two.call(b"/read/1")).status, 200)

    async def test_node_that_joins_from_seeds_leaves_the_leave_to_its_peers(self):
        one = await self.start("n1", "stores")
        seed = one.sidecar.settings.listeners.control
        two = await self.start("n2", seeds=[seed])
        await self.until_known(1)
        await one.call(b"/read/1")
        two.backend.runs.clear()
        self.rows.status = 503
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        await self.until(lambda: not one.sidecar.directory.serving("orders"))
        await self.kill(two)
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        order = two.sidecar.record.order
        await self.until(lambda: one.sidecar.directory.get("n2").order >= order)
        await self.kill(two)
        self.rows.status = 200
        await self.restart_and_check_leave(two, callers=(one, two))
