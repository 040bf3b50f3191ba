"""Joining through contact rows and seeds, with a faulty table."""

import asyncio
import unittest
from types import SimpleNamespace

from nose2.tools import params

from damaskproxy.common import DamaskError
from damaskproxy.membership import MembershipSettings
from damaskproxy.membership.tests.network import Network, Node, member, run_virtual
from damaskproxy.membership.tests.test_failures import is_in, lists_equal


class FakeTable:
    """Table in memory; `fault` is "hang", "down", "response lost" or None."""

    def __init__(self):
        self.rows = {}
        self.fault = None
        self.accesses = 0
        self.commits = 0

    async def _access(self):
        self.accesses += 1
        await asyncio.sleep(0.01)
        if self.fault == "hang":
            await asyncio.Event().wait()
        if self.fault == "down":
            raise DamaskError("table unavailable")

    async def read(self, keys):
        await self._access()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(self, prefix, limit):
        await self._access()
        return [item for item in self.rows.items() if item[0].startswith(prefix)][
            :limit
        ]

    async def commit(self, checks, puts):
        await self._access()
        self.commits += 1
        if all(self._version(key) == version for key, version in checks.items()):
            for key, value in puts.items():
                row = SimpleNamespace(value=value, version=self._version(key) + 1)
                self.rows[key] = row
        if self.fault == "response lost":
            raise DamaskError("response lost")

    def _version(self, key):
        return self.rows[key].version if key in self.rows else 0


def start(network, table, numbers, seeds=()):
    settings = MembershipSettings(seeds=seeds)
    nodes = [Node(network, member(n), settings, table) for n in numbers]
    for node in nodes:
        node.start()
    return nodes


class ContactTests(unittest.TestCase):
    """Guards against nodes that cannot join and a mesh that depends on the table."""

    def test_mesh_forms_through_the_table_without_seeds(self):
        async def scenario():
            table = FakeTable()
            nodes = start(Network(), table, range(18))
            await asyncio.sleep(60)
            self.assertTrue(lists_equal(nodes)())
            keys = {
                f"contacts/dc-{place}/{slot}" for place in range(6) for slot in range(3)
            }
            self.assertEqual(set(table.rows), keys)
            commits = table.commits
            await asyncio.sleep(60)
            # 18 rows, each refreshed after 15 s to 45 s.
            self.assertLessEqual(table.commits - commits, 18 * 5)

        run_virtual(scenario())

    @params("down", "hang", "response lost")
    def test_outage(self, fault):
        """During an outage the mesh keeps working, and new nodes join through seeds."""

        async def scenario():
            network, table = Network(), FakeTable()
            nodes = start(network, table, range(12), ("10.0.0.0:7000",))
            await asyncio.sleep(10)
            table.fault = fault
            await asyncio.sleep(60)
            self.assertTrue(lists_equal(nodes)())
            with_seeds = start(network, table, [50], ("10.0.9.9:7000", "10.0.1.1:7000"))
            without_seeds = start(network, table, [51])
            await asyncio.sleep(30)
            self.assertTrue(
                lists_equal(with_seeds + nodes, nodes + with_seeds)()
                or fault == "response lost"
            )
            self.assertFalse(without_seeds[0].membership.is_isolated())
            table.fault = None
            await asyncio.sleep(60)
            self.assertTrue(lists_equal(nodes + with_seeds + without_seeds)())

        run_virtual(scenario())

    def test_stale_and_damaged_rows(self):
        async def scenario():
            network, table = Network(), FakeTable()
            nodes = start(network, table, range(12), ("10.0.0.0:7000",))
            await asyncio.sleep(60)
            for number, key in enumerate(sorted(table.rows)):
                damaged = (b"{", b'{"node_id": "x", "host": "10.9.9.9", "port": 1}')
                if number:
                    table.rows[key] = SimpleNamespace(
                        value=damaged[number % 2], version=9
                    )
            nodes += start(network, table, [50])
            await asyncio.sleep(10)
            self.assertTrue(lists_equal(nodes)())

        run_virtual(scenario())

    def test_separate_meshes_merge(self):
        """Data centres that start during a partition have no records of each other."""

        async def scenario():
            network, table = Network(), FakeTable()
            network.is_cut = lambda s, t: is_in(0)(s) != is_in(0)(t)
            nodes = start(network, table, range(12))
            await asyncio.sleep(60)
            self.assertFalse(lists_equal(nodes)())
            network.is_cut = lambda s, t: False
            await asyncio.sleep(60)
            self.assertTrue(lists_equal(nodes)())

        run_virtual(scenario())

    def test_first_node_is_not_isolated_when_a_second_joins(self):
        async def scenario():
            network = Network()
            first = start(network, None, [0])[0]
            await asyncio.sleep(60)
            start(network, None, [1], ("10.0.0.0:7000",))
            for _ in range(40):
                self.assertFalse(first.membership.is_isolated())
                await asyncio.sleep(0.1)
            self.assertEqual(first.membership.self_member().incarnation, 1)
            self.assertEqual(len(first.membership.members()), 2)

        run_virtual(scenario())
