"""Changes of the configuration while no first node is in touch with the store."""

import asyncio
from unittest import mock

from nose2.tools import params

from damaskproxy.propagation.tests import virtual_mesh
from damaskproxy.propagation.tests.test_schedules import (
    CONFIGURATION_S,
    STABLE_S,
    QuietLogs,
)
from damaskproxy.propagation.tests.virtual_mesh import VirtualMesh
from tools.faults.virtual_time import run_virtual

START_S = 12.0
NODES = 18
LOST_PACKETS = 0.1
"""Share of the frames between nodes that arrive 0.25 s late."""
CHANGES = 6
CHANGE_S = 2.3
SLOW_S = 10.0

KINDS = ("silent_to", "refused", "cut")
"""Sets of the virtual store: nodes that it does not answer, or refuses, or that are cut
off from it."""


async def start_without_store(kind, data_centres, seed=1):
    """Return a mesh whose first nodes have just lost the store, and their ids."""
    mesh = VirtualMesh(NODES, data_centres, seed, CONFIGURATION_S)
    await mesh.start()
    await asyncio.sleep(START_S + 0.3 * seed)
    first = {node.node_id for node in mesh.first_nodes()}
    getattr(mesh.store, kind).update(first)
    return mesh, first


async def late_nodes(mesh, first):
    """Change the configuration; return the other nodes that lack it at the bound."""
    version = mesh.configure()
    await asyncio.sleep(CONFIGURATION_S)
    return sorted({node.node_id for node in mesh.behind(version)} - first)


class FirstNodesWithoutStoreTests(QuietLogs):
    """Guards against reliance on a contact with the store that nobody has any more."""

    @params(
        *[
            (kind, data_centres, delay_s)
            for kind in KINDS
            for data_centres in (1, 3, 4)
            for delay_s in (0.01, 0.5, 1.0, 1.5, 2.5, 3.5)
        ]
    )
    def test_change_is_in_force_although_first_nodes_claim_a_lost_contact(
        self, kind, data_centres, delay_s
    ):
        async def main():
            mesh, first = await start_without_store(kind, data_centres)
            await asyncio.sleep(delay_s)
            late = await late_nodes(mesh, first)
            mesh.close()
            return late, mesh.errors

        self.assertEqual(run_virtual(main()), ([], []))

    @params(0.1, 0.38, 0.48)
    def test_calls_to_a_slow_store_do_not_grow_with_the_nodes(self, store_s):
        async def calls(count):
            mesh = VirtualMesh(count, 3, 1, CONFIGURATION_S)
            await mesh.start()
            await asyncio.sleep(START_S)
            before = len(mesh.store.calls)
            with mock.patch.object(virtual_mesh, "STORE_S", store_s):
                await asyncio.sleep(SLOW_S)
            mesh.close()
            return len(mesh.store.calls) - before

        small, large = (run_virtual(calls(count)) for count in (9, 90))
        self.assertLessEqual(large, small + 5)

    @params(
        *[
            (kind, data_centres, seed)
            for kind in KINDS
            for data_centres in (1, 3, 4)
            for seed in range(4)
        ]
    )
    def test_later_changes_are_in_force_although_no_first_node_waits_for_them(
        self, kind, data_centres, seed
    ):
        async def main():
            mesh, first = await start_without_store(kind, data_centres, seed)
            mesh.delayed_share = LOST_PACKETS
            await asyncio.sleep(2 * STABLE_S)
            late = []
            for _ in range(CHANGES):
                late += await late_nodes(mesh, first)
                await asyncio.sleep(CHANGE_S - CONFIGURATION_S)
            mesh.close()
            return late, mesh.errors

        self.assertEqual(run_virtual(main()), ([], []))
