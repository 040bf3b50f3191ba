"""A store that returns from an older copy, on virtual time."""

import asyncio

from nose2.tools import params

from damaskproxy.directory import decode_member
from damaskproxy.directory.following import MEMBER_TABLE, OPERATOR_TABLE
from damaskproxy.model import MemberState
from damaskproxy.propagation.tests.test_schedules import (
    CONFIGURATION_S,
    STABLE_S,
    QuietLogs,
)
from damaskproxy.propagation.tests.virtual_mesh import VirtualMesh, VirtualNode
from tools.faults.virtual_time import run_virtual

AWAY_S = 1.0
WRITTEN_AGAIN_S = 2.0
"""Bound on the time from the return of the store until lost rows are written again."""
AGE_S = 4.0
SIZES = [(6, 3), (60, 6), (300, 6)]


async def start_with_changes(count, data_centres):
    """Return a mesh whose store has changes that an older copy lacks."""
    mesh = VirtualMesh(count, data_centres)
    await mesh.start()
    await asyncio.sleep(10)
    for _ in range(3):
        mesh.configure()
        await asyncio.sleep(0.5)
    return mesh


async def restore(mesh, *, age_s=AGE_S):
    """Let the store be away for a moment and return from an older copy."""
    mesh.store.is_down = True
    await asyncio.sleep(AWAY_S)
    mesh.store.restore(age_s)
    mesh.store.is_down = False
    mesh.store.put_row(OPERATOR_TABLE, "config", b"%d" % mesh.version)


class PositionTests(QuietLogs):
    """Guards against changes that nodes miss since versions are given out again."""

    @params(
        *[
            (count, data_centres, reached_after_s, is_passed)
            for count, data_centres in SIZES
            for reached_after_s in (0.0, 2.0)
            for is_passed in (False, True)
        ]
    )
    def test_configuration_written_after_a_restore_is_in_force(
        self, count, data_centres, reached_after_s, is_passed
    ):
        async def main():
            mesh = await start_with_changes(count, data_centres)
            kept = mesh.store.version
            mesh.store.cut = set(mesh.nodes) if reached_after_s else set()
            await restore(mesh)
            version = mesh.configure()
            while is_passed and mesh.store.version <= kept:
                mesh.store.put_row("other", "row", b"")
            await asyncio.sleep(reached_after_s)
            mesh.store.cut = set()
            await asyncio.sleep(STABLE_S)
            self.assertEqual(mesh.behind(version), [])
            version = mesh.configure()
            await asyncio.sleep(CONFIGURATION_S)
            self.assertEqual(mesh.behind(version), [])
            mesh.close()
            self.assertEqual(mesh.errors, [])

        run_virtual(main())


def stored_member(mesh, node_id):
    """Return the record in the row of a node, or None."""
    row = mesh.store.rows.get((MEMBER_TABLE, node_id))
    return decode_member(row.value) if row else None


class LostRowTests(QuietLogs):
    """Guards against member rows that are lost with the writes after the copy."""

    @params(*[(*size, is_killed) for size in SIZES for is_killed in (False, True)])
    def test_leave_confirmed_after_the_copy_is_written_again(
        self, count, data_centres, is_killed
    ):
        async def main():
            mesh = await start_with_changes(count, data_centres)
            node = mesh.nodes["n1"]
            node.drain()
            await asyncio.sleep(0.5)
            if is_killed:
                node.kill()
            await restore(mesh)
            stored = stored_member(mesh, "n1")
            self.assertEqual(stored.backend.state, MemberState.SERVING)
            await asyncio.sleep(WRITTEN_AGAIN_S)
            stored = stored_member(mesh, "n1")
            self.assertEqual(stored.backend.state, MemberState.DRAINING)
            mesh.close()
            self.assertEqual(mesh.errors, [])

        run_virtual(main())

    @params(*SIZES)
    def test_member_that_the_copy_lacks_is_kept_and_written_again(
        self, count, data_centres
    ):
        async def main():
            mesh = await start_with_changes(count, data_centres)
            late = mesh.nodes["late"] = VirtualNode(mesh, "late", "dc-0")
            late.start()
            await asyncio.sleep(1)
            await restore(mesh)
            self.assertIsNone(stored_member(mesh, "late"))
            await asyncio.sleep(WRITTEN_AGAIN_S)
            self.assertIsNotNone(stored_member(mesh, "late"))
            incarnation = late.record.order
            mesh.store.oldest_version = mesh.store.version
            await asyncio.sleep(40)
            for node in mesh.running():
                self.assertEqual(node.directory.get("late").order, incarnation)
            mesh.close()
            self.assertEqual(mesh.errors, [])

        run_virtual(main())

    def test_calls_of_a_restore_grow_with_data_centres_and_not_with_nodes(self):
        async def calls_of_an_outage(is_restored):
            mesh = await start_with_changes(90, 3)
            mesh.nodes["n1"].drain()
            await asyncio.sleep(0.5)
            before = len(mesh.store.calls)
            await restore(mesh, age_s=AGE_S if is_restored else 0.0)
            await asyncio.sleep(20)
            mesh.close()
            return len(mesh.store.calls) - before

        plain, restored = (run_virtual(calls_of_an_outage(is_)) for is_ in (0, 1))
        self.assertLessEqual(restored, plain + 5 * 3)
