"""Leaves that are confirmed around restarts of nodes and outages of the store."""

import asyncio
import json
import time
import unittest

from nose2.tools import params

from damaskproxy.directory import (
    MemberRecord,
    decode_member,
    encode_member,
)
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.http1 import Request
from damaskproxy.model import MemberState
from damaskproxy.sidecar.stopping import drain
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

    async def start_pair(self):
        """Return a caller's node and the node of a server, with a link between them."""
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        await one.call(b"/read/1")
        two.backend.runs.clear()
        await self.until_stored(two)
        return one, two

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
        await two.sidecar.server_check.wait_until_settled()
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
        await two.sidecar.server_check.wait_until_settled()
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


class PlannedStopTests(LeaveTestCase):
    """Guards against the row of a planned stop that is older than a leave."""

    async def test_older_copy_with_a_planned_stop_does_not_bring_a_server_back(self):
        two = await self.start("n2")
        await drain(two.sidecar)
        await self.until_stored(two)
        copy = self.rows.version
        await self.kill(two)
        await self.restart(two)
        two.backend.is_leaving = True
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        await self.kill(two)
        self.rows.restore(copy)
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        self.assertEqual((await two.call(b"/read/1")).status, 503)


class PeerTests(LeaveTestCase):
    """Guards against a restarted node that asks the wrong peers for a leave."""

    async def test_stopped_nodes_are_not_asked(self):
        one, two = await self.start_pair()
        for number in range(40):
            stopped = MemberRecord(
                f"gone-{number}", 5, 1, "a", "10.0.0.1", 1, MemberState.STOPPED
            )
            self.rows.put(MEMBER_TABLE, stopped.node_id, encode_member(stopped))
        self.rows.status = 503
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        await self.kill(two)
        self.rows.status = 200
        await self.restart_and_check_leave(two, callers=(one, two))

    async def test_peer_that_never_heard_of_a_leave_does_not_bring_a_server_back(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        three = await self.start("n3", "stores")
        for member in (one, three):
            member.sidecar.propagation.started_s -= 60
        await self.until_known(1)
        for member in (one, three):
            await member.call(b"/read/1")
        two.backend.runs.clear()
        await self.until_stored(two)
        self.rows.status = 503
        # As behind a partition: nothing reaches the third node.
        handle = three.sidecar.propagation.apply_state
        three.sidecar.propagation.apply_state = lambda *_: None
        two.backend.is_leaving = True
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        await self.kill(one)
        await self.kill(two)
        three.sidecar.propagation.apply_state = handle
        self.rows.status = 200
        await self.restart_and_check_leave(two, callers=(three, two))


class OutageTests(LeaveTestCase):
    """Guards against a leave that is lost since the store did not have it."""

    @params("once", "twice", "without the store")
    async def test_leave_confirmed_without_the_store_survives_the_loss_of_all(
        self, kind
    ):
        one, two = await self.start_pair()
        self.rows.status = 503
        two.backend.is_leaving = True
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        for member in self.members:
            await self.kill(member)
        if kind == "without the store":
            for member in self.members:
                await self.restart(member, report=False)
            await asyncio.sleep(0.3)
        self.rows.status = 200
        if kind != "without the store":
            for member in self.members:
                await self.restart(member, report=False)
        await self.until(lambda: all(m.sidecar.is_ready for m in self.members))
        if kind == "twice":
            # Up long enough now, but it has only read the row from before the leave.
            one.sidecar.propagation.started_s -= 60
            await self.kill(two)
            await self.restart(two, report=False)
            await self.until(lambda: two.sidecar.is_ready)
        await asyncio.sleep(0.2)
        for number in range(10):
            for caller in (one, two):
                answer = await caller.call(b"/read/1", request_id=b"%d" % number)
                self.assertEqual(answer.status, 503)
            await asyncio.sleep(0.05)
        self.assertFalse(two.backend.runs)

    @params("DELETE", "draining report, then DELETE")
    async def test_late_report_does_not_bring_a_server_back_after_the_loss_of_all(
        self, kind
    ):
        one, two = await self.start_pair()
        sequence = two.sequence
        self.rows.status = 0
        two.backend.is_leaving = True
        if kind != "DELETE":
            self.assertEqual(await two.report("draining"), 200)
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        for member in self.members:
            await self.kill(member)
        self.rows.status = 200
        for member in self.members:
            await self.restart(member, report=False)
        await self.until(lambda: all(m.sidecar.is_ready for m in self.members))
        two.sequence = sequence
        await self.check_not_served(two, callers=(one, two))

    async def test_stopping_node_confirms_no_leave_that_is_not_stored(self):
        two = await self.start("n2")
        stop = asyncio.create_task(drain(two.sidecar))
        await asyncio.sleep(0.1)
        await self.until_stored(two)
        self.rows.status = 503
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 503)
        await stop

    @params((True, 503), (False, 200))
    async def test_leave_that_no_peer_and_no_store_has_is_not_confirmed(
        self, is_cut_off, delete_status
    ):
        _, two = await self.start_pair()
        self.rows.status = 503
        two.backend.is_leaving = is_cut_off
        if is_cut_off:
            for link in two.sidecar.links.open_links():
                link.write = lambda frame: True
        start_s = time.monotonic()
        status = await self.delete(two, born_ms=two.born_ms)
        self.assertLess(time.monotonic() - start_s, 1.0)
        self.assertEqual(status, delete_status)
        await self.kill(two)
        self.rows.status = 200
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        answer = await two.call(b"/read/2", request_id=b"2")
        self.assertEqual(answer.status, 503)


class LateDrainingReportTests(LeaveTestCase):
    """Guards against a draining report that is confirmed because it is ignored."""

    async def test_repeated_report_is_confirmed_only_once_the_leave_is_known(self):
        _, two = await self.start_pair()
        self.rows.status = 503
        for link in two.sidecar.links.open_links():
            link.write = lambda frame: True
        for _ in range(2):
            self.assertEqual(await two.report("draining", sequence=5), 503)
        self.rows.status = 200
        await self.until_stored(two)
        self.assertEqual(await two.report("draining", sequence=5), 200)
        self.assertIs(self.stored_state(two), MemberState.DRAINING)

    async def test_report_that_a_ready_report_has_overtaken_is_in_force(self):
        two = await self.start("n2")
        await two.report("ready", sequence=9)
        self.assertEqual(await two.report("draining", sequence=5), 200)
        self.assertIn(
            self.stored_state(two), (MemberState.DRAINING, MemberState.STOPPED)
        )
        await self.check_not_served(two, callers=(two,))

    async def test_report_of_the_former_incarnation_leaves_the_next_one_in_service(
        self,
    ):
        two = await self.start("n2")
        former, two.born_ms = two.born_ms, 2000
        two.backend.instance_id = "i-next"
        await two.report("ready")
        await two.sidecar.server_check.wait_until_settled()
        two.born_ms, two.backend.instance_id = former, "i-n2"
        self.assertEqual(await two.report("draining", sequence=9), 200)
        two.born_ms, two.backend.instance_id = 2000, "i-next"
        self.assertEqual((await two.call(b"/read/1")).status, 200)


class OtherWriterTests(LeaveTestCase):
    """Guards against a leave that is lost with the row of its node."""

    @params(True, False)
    async def test_leave_survives_the_deletion_of_the_row(self, is_running):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        self.assertEqual(await self.delete(two, born_ms=two.born_ms), 200)
        await self.until(lambda: not one.sidecar.directory.serving("orders"))
        if not is_running:
            await self.kill(two)
        self.rows.drop(MEMBER_TABLE, "n2")
        if is_running:
            await self.until(lambda: self.stored_state(two) is MemberState.STOPPED)
            await self.kill(two)
        else:
            await self.until(lambda: one.sidecar.directory.get("n2").is_removed)
        await self.restart_and_check_leave(two, callers=(one, two))

    async def test_leave_survives_a_write_without_an_answer(self):
        two = await self.start("n2")
        await self.until_stored(two)
        self.rows.unanswered_writes = 1
        async with asyncio.timeout(8):
            while await self.delete(two, born_ms=two.born_ms) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await self.kill(two)
        await self.restart_and_check_leave(two, callers=(two,))
