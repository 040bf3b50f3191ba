"""The mesh of the fault schedules starts, on which all their checks depend."""

import tempfile
import unittest
from pathlib import Path

from benchmarks.fault_mesh import FaultMesh, plan_layout
from demo.processes import Processes

SEED = 1


class FaultMeshTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a mesh that the launcher of the demo can no longer start."""

    async def test_starts_and_serves(self):
        with tempfile.TemporaryDirectory() as folder:
            processes = Processes(Path(folder))
            mesh = FaultMesh(processes, plan_layout(SEED), Path(folder))
            try:
                await mesh.start()
                running = [host.node for host in mesh.layout.hosts]
                self.assertTrue(all(map(mesh.is_running, running)))
            finally:
                await processes.close()
                await mesh.links.close()
