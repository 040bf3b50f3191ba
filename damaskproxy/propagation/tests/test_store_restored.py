"""A store that returns from an older copy, on virtual time."""

import asyncio

from nose2.tools import params

from damaskproxy.directory.following import OPERATOR_TABLE
from damaskproxy.propagation.tests.test_schedules import (
    CONFIGURATION_S,
    STABLE_S,
    QuietLogs,
)
from damaskproxy.propagation.tests.virtual_mesh import VirtualMesh
from tools.faults.virtual_time import run_virtual

AWAY_S = 1.0
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
