"""Odd member rows and odd records of peers, on virtual time."""

import asyncio
import random
import unittest

import msgspec
from nose2.tools import params

from damaskproxy.common.decoding import INTEGER_MAX
from damaskproxy.directory import Directory, MemberRecord, encode_member
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.propagation import StoreContact
from damaskproxy.propagation.sources import Sources
from damaskproxy.propagation.tests.test_schedules import (
    CONFIGURATION_S,
    QuietLogs,
)
from damaskproxy.propagation.tests.virtual_mesh import VirtualMesh
from tools.faults.virtual_time import run_virtual

DEEP = b"[" * 20_000 + b"]" * 20_000
HUGE = b"9" * 30
START_S = 10.0
READ_S = 16.0
"""Time in which the nodes that follow the store read changed member rows in turn."""


def odd_row(node_id, name, value):
    """Return a member row with one odd field."""
    record = MemberRecord(node_id, 1, 1, "dc-0", "127.0.0.1", 1)
    fields = msgspec.json.decode(encode_member(record))
    return msgspec.json.encode({**fields, name: msgspec.Raw(value)})


FIELDS = (
    ("later", DEEP),
    ("version", HUGE),
    ("version", str(INTEGER_MAX).encode()),
    ("incarnation", HUGE),
    ("port", HUGE),
    ("port", b"70000"),
    ("host", b'"%s"' % (b"a" * 70)),
    ("data_centre", b"null"),
    ("data_centre", b'"dc-9"'),
    ("crashes", b"[[%s,[]]]" % HUGE),
)


class OddRowTests(QuietLogs):
    """Guards against one odd row that keeps nodes from following the store."""

    @params(*[(*field, key) for field in FIELDS for key in ("odd", "n0")])
    def test_configuration_is_in_force_beside_an_odd_row(self, name, value, key):
        async def main():
            mesh = VirtualMesh(6, 3)
            await mesh.start()
            await asyncio.sleep(START_S)
            for row in (odd_row(key, name, value), None):
                mesh.store.put_row(MEMBER_TABLE, key, row)
                await asyncio.sleep(READ_S)
                await self.check_configuration(mesh)
            mesh.store.put_row(MEMBER_TABLE, key, odd_row(key, name, value))
            for node in list(mesh.nodes.values())[:3]:
                node.kill()
                mesh.restart_later(node)
            await asyncio.sleep(START_S)
            await self.check_configuration(mesh)
            errors = list(mesh.errors)
            mesh.close()
            return errors

        self.assertEqual(run_virtual(main()), [])

    async def check_configuration(self, mesh):
        """Check that all nodes run and have the next configuration in time."""
        version = mesh.configure()
        await asyncio.sleep(CONFIGURATION_S)
        self.assertEqual(len(mesh.running()), len(mesh.nodes))
        self.assertEqual([n.node_id for n in mesh.behind(version)], [])


class DataCentreTests(unittest.TestCase):
    """Guards against data centres of odd rows that slow down the other nodes."""

    def test_data_centre_of_an_earlier_record_is_forgotten(self):
        own = MemberRecord("n1", 1, 1, "dc-0", "10.0.0.1", 1)
        sources = Sources(lambda: own, Directory(), None, None, None)
        for data_centre in ("dc-0", "dc-9", "dc-0"):
            record = msgspec.structs.replace(own, node_id="n2", data_centre=data_centre)
            sources.rank(record)
        self.assertEqual(sources.data_centres(), ["dc-0"])
        self.assertEqual(len(sources._rankings["dc-0"]), 1)

    def test_times_stay_short_with_many_data_centres(self):
        now_s = 0.0
        names = [f"dc-{number:04}" for number in range(1000)]
        contact = StoreContact(
            node_id="n1",
            data_centre=lambda: names[-1],
            data_centres=lambda: names,
            has_source=lambda: False,
            has_configuration=lambda: True,
            rank_of=lambda node_id: None,
            on_change=lambda: None,
            rng=random.Random(1),
            configuration_bound_s=3.0,
            now_s=lambda: now_s,
        )
        contact.start(is_first_start=False)
        contact.is_first = True
        now_s = 10.0
        self.assertTrue(contact.is_members_poll_due())
        now_s += 100.0
        self.assertTrue(contact.is_members_poll_due())
        self.assertLessEqual(contact.feed_wait_s(), 30.0)
        contact.note_era(1)
        contact.note_era(2)
        now_s += 6.0
        self.assertTrue(contact.is_members_poll_due())


class OddPeerTests(QuietLogs):
    """Guards against an odd record of a peer of an earlier release."""

    @params(*FIELDS[1:])
    def test_record_of_a_peer(self, name, value):
        fields = msgspec.json.decode(odd_row("odd", name, value))
        if isinstance(fields[name], int):
            # Larger numbers cannot be sent.
            fields[name] = min(fields[name], (1 << 64) - 1)
        if name == "crashes":
            fields[name] = [[(1 << 64) - 1, []]]
        valid = msgspec.to_builtins(MemberRecord("n9", 1, 1, "dc-1", "10.0.0.1", 1))

        async def main():
            mesh = VirtualMesh(6, 3)
            await mesh.start()
            await asyncio.sleep(START_S)
            wire = msgspec.msgpack.encode([7, b"", [fields, valid]])
            wire = len(wire).to_bytes(4) + wire
            for node in mesh.running():
                (frame,) = FrameDecoder().feed(wire)
                node.propagation.handle(node.links[0], frame)
            await asyncio.sleep(START_S)
            version = mesh.configure()
            await asyncio.sleep(CONFIGURATION_S)
            behind = mesh.behind(version)
            members = [node.directory.get("n9") for node in mesh.running()]
            errors = list(mesh.errors)
            mesh.close()
            return errors, behind, [member.node_id for member in members]

        self.assertEqual(run_virtual(main()), ([], [], ["n9"] * 6))
