"""Sidecars beside odd member rows, reports and states of other writers."""

import asyncio
import time
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from damaskproxy.common.decoding import INTEGER_MAX
from damaskproxy.directory import MemberRecord, decode_member, encode_member
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.forwarding import StateFrame
from damaskproxy.http1 import HttpServer, Request, Response
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.propagation import store_contact
from damaskproxy.sidecar import joining
from damaskproxy.sidecar.tests.mesh import MeshTestCase

DEEP = b"[" * 20_000 + b"]" * 20_000
HUGE = b"9" * 30
ODD = MemberRecord("odd", 1, 1, "a", "127.0.0.1", 1)
YEAR_MS = 365 * 86_400_000


def with_field(name, value):
    """Return the odd row with one field replaced or added."""
    fields = msgspec.json.decode(encode_member(ODD))
    return msgspec.json.encode({**fields, name: msgspec.Raw(value)})


ODD_ROWS = (
    ("nested", DEEP),
    ("nested field", with_field("later", DEEP)),
    ("version", with_field("version", HUGE)),
    ("incarnation", with_field("incarnation", HUGE)),
    ("port of 30 digits", with_field("port", HUGE)),
    ("port 70000", with_field("port", b"70000")),
    ("port -1", with_field("port", b"-1")),
    ("host with NUL", with_field("host", rb'"10.0.0.1\u0000"')),
    ("host with a long label", with_field("host", b'"%s.example"' % (b"a" * 70))),
    ("data centre", with_field("data_centre", b"7")),
    ("last version", with_field("version", str(INTEGER_MAX).encode())),
    ("other node", encode_member(msgspec.structs.replace(ODD, node_id="n1"))),
    ("bytes", b"\xff\0"),
)


class OddRowTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against one odd row that harms a mesh, also after it was deleted."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch.multiple(
            store_contact, MEMBERS_POLL_FIRST_S=0.1, MEMBERS_POLL_S=0.1
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.loop_errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.loop_errors.append(context)
        )
        self.version = 1

    def members_positions(self):
        """Return the positions of the running nodes that follow the store."""
        return [
            m.sidecar.propagation.contact.members_position.version
            for m in self.members
            if m.sidecar is not None and m.sidecar.propagation.sources.is_first
        ]

    async def check_mesh(self, caller):
        """Check that requests are answered and a new configuration comes into force."""
        self.version += 1
        self.rows.put("op", "config", encode_configuration(self.version))
        running = [m for m in self.members if m.sidecar is not None]
        await self.until(
            lambda: all(
                m.sidecar.configuration.version == self.version for m in running
            )
        )
        await self.until_known(2)
        for number in range(4):
            answer = await caller.call(b"/read/1", request_id=b"%d" % number)
            self.assertEqual(answer.status, 200)

    async def restart_all(self, members):
        """Kill and start members one after the other; each has to become ready."""
        for member in members:
            await self.kill(member)
            member.sequence += 1
            await self.restart(member)
            self.assertEqual(await member.ready_status(), 200)

    @params(*ODD_ROWS)
    async def test_mesh_beside_an_odd_row(self, name, row):
        members = [
            await self.start("n1", "stores", "a"),
            await self.start("n2", "orders", "a"),
            await self.start("n3", "orders", "b"),
        ]
        await self.check_mesh(members[0])
        links = {link for m in members for link in m.sidecar.links.open_links()}
        with self.assertNoLogs("damaskproxy", "ERROR"):
            for change in ("put", "drop"):
                if change == "put":
                    self.rows.put(MEMBER_TABLE, "odd", row)
                else:
                    self.rows.drop(MEMBER_TABLE, "odd")
                written = self.rows.version
                await self.until(
                    lambda n=written: min(self.members_positions(), default=0) >= n
                )
                # Several heartbeats of all nodes.
                await asyncio.sleep(0.6)
                self.assertTrue(all(link.is_open for link in links))
                await self.check_mesh(members[0])
            self.rows.put(MEMBER_TABLE, "odd", row)
            await self.restart_all(members)
            await self.check_mesh(members[0])
            self.rows.drop(MEMBER_TABLE, "odd")
            await self.restart_all(members[1:2])
            await self.check_mesh(members[0])
        self.assertEqual(self.loop_errors, [])

    @params(*ODD_ROWS)
    async def test_mesh_starts_beside_an_odd_row(self, name, row):
        self.rows.put(MEMBER_TABLE, "odd", row)
        self.rows.put(MEMBER_TABLE, "n1", row)
        with self.assertNoLogs("damaskproxy", "ERROR"):
            one = await self.start("n1", "stores", "a")
            for name, data_centre in (("n2", "a"), ("n3", "b")):
                await self.start(name, "orders", data_centre)
            await self.check_mesh(one)
            await self.until(lambda: self.stored_record("n1") is not None)
        self.assertEqual(self.loop_errors, [])

    def stored_record(self, node_id):
        """Return the record in the row of a node, None if another writer has it."""
        value = self.rows.get(MEMBER_TABLE, node_id)
        if value is None or b'"service":"stores"' not in value:
            return None
        return decode_member(value)


class OwnRecordTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a record of this node that leaves the ranges of records."""

    LAST = (int(time.time() * 1000) + YEAR_MS, INTEGER_MAX)

    async def start_pair(self):
        """Start two nodes and return them."""
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        return one, two

    def check_own(self, one, two):
        """Check the record of `two`, and that `one` takes it for the newest."""
        record = two.sidecar.record
        self.assertEqual(decode_member(encode_member(record)), record)
        self.assertGreater(record.order, self.LAST)

    @params("row", "peer")
    async def test_record_at_the_end_of_the_range_is_replaced(self, source):
        one, two = await self.start_pair()
        last = msgspec.structs.replace(
            two.sidecar.record, incarnation=self.LAST[0], version=self.LAST[1]
        )
        if source == "peer":
            two.sidecar.propagation.apply_state(StateFrame(b"", [last]))
        else:
            await self.kill(two)
            self.rows.put(MEMBER_TABLE, "n2", encode_member(last))
            one.sidecar.directory.merge(last)
            await self.restart(two)
        self.check_own(one, two)
        await self.until(lambda: one.sidecar.directory.get("n2") == two.sidecar.record)
        await self.until_known(1)
        self.assertEqual((await one.call(b"/read/1")).status, 200)

    @params(*ODD_ROWS)
    async def test_row_of_this_node_is_odd(self, name, row):
        one, two = await self.start_pair()
        await self.kill(two)
        self.rows.put(MEMBER_TABLE, "n2", row)
        with self.assertNoLogs("damaskproxy", "ERROR"):
            await self.restart(two)
            await self.until_known(1)
            self.assertEqual((await one.call(b"/read/1")).status, 200)

    async def test_reports_count_after_a_row_with_a_high_sequence(self):
        one, two = await self.start_pair()
        await self.kill(two)
        record = decode_member(self.rows.get(MEMBER_TABLE, "n2"))
        backend = msgspec.structs.replace(record.backend, sequence=INTEGER_MAX)
        record = msgspec.structs.replace(record, backend=backend)
        self.rows.put(MEMBER_TABLE, "n2", encode_member(record))
        await self.restart(two)
        for _ in range(3):
            await two.report()
        self.assertTrue(two.sidecar.backend.is_serving)
        await self.until_known(1)
        self.assertEqual((await one.call(b"/read/1")).status, 200)

    async def test_outcome_of_a_connection_to_an_odd_address_is_reported(self):
        one = await self.start("n1")
        outcomes = []
        one.sidecar.propagation.connected = lambda *found: outcomes.append(found)
        for host, port in (("127.0.0.1", -1), ("a" * 70, 1), ("127.0.0.1\0", 1)):
            odd = msgspec.structs.replace(ODD, host=host, port=port)
            one.sidecar.connect_for_propagation(odd)
            await self.until(lambda: outcomes)
            self.assertEqual(outcomes.pop(), ("odd", None))


class ControlTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against odd reports that change the record or the calls of a node."""

    async def send(self, member, method, instance_id, body):
        """Send a status report or a leave and return the status."""
        target = b"/api/instances/" + instance_id
        request = Request(method, target, [(b"Host", b"c")], body)
        return (await member.control(request)).status

    @params(b"i%0d%0aX-Injected:%201", b"i%00", b"i%7f", b"i%0A", b"")
    async def test_odd_instance_id_is_refused(self, instance_id):
        one = await self.start("n1")
        body = msgspec.json.encode(
            {
                "address": one.sidecar.settings.backend_address,
                "born": 2000,
                "info": {"service": "orders", "slots": 4},
                "status": {"state": "ready", "sequence": 9},
            }
        )
        known = one.sidecar.backend.record
        self.assertEqual(await self.send(one, b"PUT", instance_id, body), 400)
        self.assertEqual(await self.send(one, b"DELETE", instance_id, b""), 400)
        self.assertEqual(one.sidecar.backend.record, known)

    async def test_nested_body(self):
        one = await self.start("n1")
        body = b'{"a":' + DEEP + b"}"
        self.assertEqual(await self.send(one, b"PUT", b"i-n1", body), 400)
        self.assertEqual(await self.send(one, b"DELETE", b"i-other", body), 200)

    @params(b"", b"\xff", b"\x91" * 20_000 + b"\x90", b"\x93\x07\xc4\x00\x91\x01")
    async def test_odd_state_of_a_seed(self, body):
        async def respond(request):
            return Response(200, [], body)

        server = HttpServer("seed", respond)
        await server.open("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        one = await self.start("n1")
        seed = f"127.0.0.1:{server.port}"
        has_state = await joining.fetch_state(one.sidecar, seed)
        self.assertEqual(has_state, body.endswith(b"\x91\x01"))
