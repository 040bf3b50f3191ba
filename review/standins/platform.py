"""Stand-in for the part of the platform that watches the memory of processes."""

import asyncio
import signal
from pathlib import Path

from standins.mesh import Machine, Mesh

__all__ = ["watch_memory"]

CHECK_S = 0.02
RESTART_DELAY_S = 1.0


async def watch_memory(mesh: Mesh, machine: Machine, limit_mb: int) -> None:
    """Kill a node that exceeds the memory of its machine, and start it again.

    Parameters
    ----------
    mesh : Mesh
        The deployment.
    machine : Machine
        Machine whose node is watched.
    limit_mb : int
        Its memory, ``memoryMb``.
    """
    peak_mb = 0.0
    while True:
        await asyncio.sleep(CHECK_S)
        most_mb = _peak_mb(machine.process.pid)
        if most_mb > peak_mb + 10:
            peak_mb = most_mb
            mesh.record.add("memory", node=machine.name, mb=f"{most_mb:.0f}")
        if most_mb <= limit_mb:
            continue
        mesh.record.add("memory-exceeded", node=machine.name, mb=f"{most_mb:.0f}")
        mesh.signal(machine, signal.SIGKILL)
        await mesh.wait_until_ended(machine)
        await asyncio.sleep(RESTART_DELAY_S)
        await mesh.start(machine)
        peak_mb = 0.0


def _peak_mb(pid: int) -> float:
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    except OSError:
        return 0.0
    for line in lines:
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0
