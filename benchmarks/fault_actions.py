"""Injection of each kind of fault into a running mesh."""

import asyncio
import itertools
import random
import signal
import time
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import aiohttp
import msgspec

from benchmarks.fault_mesh import MOVED_SERVICE, FaultMesh
from benchmarks.fault_schedule import FaultKind, PlannedFault
from damaskproxy.history import Recorder
from damaskproxy.move import Accepted, MoveError, edit_section
from damaskproxy.move.reading import read_head
from damaskproxy.standins.callers import CallerConfig, Callers, plan_requests
from damaskproxy.standins.callers_history import HistoryObserver
from damaskproxy.standins.callers_meshes import Mesh, RequestKind
from damaskproxy.store import PlatformSettings, TableError, open_table
from demo.layout import OLD, section
from demo.starting import wait_for_url

__all__ = ["Actions"]

STOP_TIMEOUT_S = 12.0
EDIT_ATTEMPTS = 6
EDIT_PAUSE_S = 1.0
TABLE_DELAY_MS = 800
LINK_DELAY_S = 0.15
SURGE_FACTOR = 5
POISON_KINDS = {
    FaultKind.POISON_READ: RequestKind(
        "poison", "stores", "GET", "/stock/damask-crash-{n}", 1
    ),
    FaultKind.POISON_ORDER: RequestKind(
        "poison", "orders", "POST", "/place/damask-crash", 1, has_key=True
    ),
}


@dataclass(slots=True)
class Actions:
    """Injects the faults of a schedule into a mesh.

    Parameters
    ----------
    mesh : FaultMesh
        Mesh of running processes.
    config : CallerConfig
        Settings of the callers without a surge.
    recorder : Recorder
        Recorder of the history of all callers.
    """

    mesh: FaultMesh
    config: CallerConfig
    recorder: Recorder
    results: list = field(default_factory=list)
    edits: Counter = field(default_factory=Counter)
    table: Counter = field(default_factory=Counter)

    async def run(self, fault: PlannedFault) -> None:
        """Wait for the start of a fault, inject it and revert it."""
        await asyncio.sleep(fault.at_s)
        await ACTIONS[fault.kind](self, fault)

    async def run_callers(self, config: CallerConfig, mesh: Mesh | None = None) -> None:
        """Run callers with `config` and keep their results."""
        layout = self.mesh.layout
        entries = [host.address("call") for host in layout.hosts]
        observer = HistoryObserver(self.recorder)
        callers = Callers(mesh or layout.mesh, config, entries, observer)
        self.results += await callers.run()

    async def stop_node(self, fault: PlannedFault) -> bool:
        """Stop a node gracefully; return whether it exited in time."""
        host = self.mesh.hosts[fault.targets[0]]
        mesh = self.mesh
        mesh.expected_exits |= {host.node, host.backend}
        mesh.processes.terminate(host.node)
        status = await mesh.processes.wait(host.node, STOP_TIMEOUT_S)
        if status:
            mesh.violations.append(f"{host.node} exited with {status} after SIGTERM")
        return status is not None

    async def restart_node(self, fault: PlannedFault) -> None:
        """Stop a node gracefully and start it with the same id."""
        host = self.mesh.hosts[fault.targets[0]]
        if await self.stop_node(fault):
            await self.mesh.start_node(host)
            await wait_for_url(f"http://{host.address('admin')}/healthz")
            if not self.mesh.is_running(host.backend):
                await self.mesh.start_backend(host)

    async def kill_node(self, fault: PlannedFault) -> None:
        """Kill a node and start it with the same id after the duration."""
        host = self.mesh.hosts[fault.targets[0]]
        self.mesh.expected_exits.add(host.node)
        self.mesh.killed_s.append(time.time())
        self.mesh.signal(host.node, signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        await self.mesh.start_node(host)

    async def pause_node(self, fault: PlannedFault) -> None:
        """Suspend the process of a node and resume it after the duration."""
        node = self.mesh.hosts[fault.targets[0]].node
        self.mesh.signal(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            self.mesh.signal(node, signal.SIGCONT)

    async def kill_backend(self, fault: PlannedFault) -> None:
        """Kill a backend server, which the mesh restarts."""
        self.mesh.signal(self.mesh.hosts[fault.targets[0]].backend, signal.SIGKILL)

    async def break_table(self, fault: PlannedFault) -> None:
        """Add one fault to those of the table for the duration."""
        self.table[fault.kind] += 1
        await self._apply_table_faults()
        await asyncio.sleep(fault.for_s)
        self.table[fault.kind] -= 1
        await self._apply_table_faults()

    async def _apply_table_faults(self) -> None:
        faults = {
            "down": self.table[FaultKind.TABLE_DOWN] > 0,
            "delay_ms": TABLE_DELAY_MS * min(1, self.table[FaultKind.TABLE_SLOW]),
            "lose": "after" if self.table[FaultKind.TABLE_ANSWER_LOST] else "none",
        }
        await put_faults(self.mesh.layout.table_url, faults)

    async def break_objects(self, fault: PlannedFault) -> None:
        """Make the object store refuse all requests for the duration."""
        url = self.mesh.layout.objects_url
        await put_faults(url, {"down": True})
        await asyncio.sleep(fault.for_s)
        await put_faults(url, {})

    async def break_link(self, fault: PlannedFault) -> None:
        """Cut or delay a link for the duration."""
        links = [fault.targets]
        if fault.kind is not FaultKind.LINK_CUT_ONE_WAY:
            links.append(fault.targets[::-1])
        state = {"is_cut": True}
        if fault.kind is FaultKind.LINK_DELAYED:
            state = {"delay_s": LINK_DELAY_S}
        for link in links:
            await self.mesh.links.change(*link, **state)
        await asyncio.sleep(fault.for_s)
        for link in links:
            await self.mesh.links.change(*link)

    async def race_edits(self, fault: PlannedFault) -> None:
        """Edit the same version twice concurrently; at most one may be accepted."""
        base = await self._read_version("stores")
        results = await asyncio.gather(
            *(self._edit("stores", base, 2000 + number) for number in (1, 2))
        )
        if sum(isinstance(result, Accepted) for result in results) > 1:
            self.mesh.violations.append(f"two edits of version {base} were accepted")

    async def move_service(self, fault: PlannedFault) -> None:
        """Edit a section so that its service leaves a data centre."""
        for _ in range(EDIT_ATTEMPTS):
            base = await self._read_version(MOVED_SERVICE)
            if isinstance(
                await self._edit(MOVED_SERVICE, base, 5000, (OLD,)), Accepted
            ):
                return
            await asyncio.sleep(EDIT_PAUSE_S)

    async def _read_version(self, name: str) -> int:
        table = open_table(self._platform())
        try:
            return (await read_head(table))[name]
        except (MoveError, TableError):
            return max(1, self.mesh.latest.get(name, 0))
        finally:
            await table.close()

    def _platform(self) -> PlatformSettings:
        layout = self.mesh.layout
        return PlatformSettings(layout.table_url, layout.objects_url)

    async def _edit(self, name: str, base: int, deadline_ms: int, leaving=()):
        document = msgspec.json.decode(section(self.mesh.layout, name, base, leaving))
        for route in document["services"][0]["routes"]:
            route["deadline_ms"] = deadline_ms
        table = open_table(self._platform())
        try:
            result = await edit_section(
                table, msgspec.json.encode(document), base, uuid.uuid4().hex, "faults"
            )
        except MoveError as error:
            result = error
        finally:
            await table.close()
        self.edits[type(result).__name__] += 1
        if isinstance(result, Accepted):
            self.mesh.latest[name] = max(result.version, self.mesh.latest.get(name, 0))
        return result

    async def send_poison(self, fault: PlannedFault) -> None:
        """Send one request that crashes each backend server that runs it."""
        mesh = self.mesh.layout.mesh
        poison = replace(mesh, mix=(POISON_KINDS[fault.kind],))
        # The seed differs by fault, so that poison requests differ in the history.
        first = random.Random(f"{self.config.seed} {fault.at_s}").randrange(1 << 30)
        for seed in itertools.count(first):
            config = CallerConfig(rate_per_s=2.0, duration_s=0.5, sends=4, seed=seed)
            if len(list(plan_requests(poison, config))) == 1:
                break
        await self.run_callers(config, poison)

    async def surge(self, fault: PlannedFault) -> None:
        """Add callers that send at several times the usual rate."""
        rate_per_s = self.config.rate_per_s * SURGE_FACTOR
        seed = self.config.seed + 1_000_000
        config = replace(
            self.config, rate_per_s=rate_per_s, duration_s=fault.for_s, seed=seed
        )
        await self.run_callers(config)


async def put_faults(url: str, faults: dict) -> None:
    """Replace the faults that a stand-in injects."""
    async with aiohttp.request("PUT", f"{url}/faults", json=faults) as response:
        response.raise_for_status()


ACTIONS: dict[FaultKind, Callable[[Actions, PlannedFault], Awaitable[None]]] = {
    FaultKind.TABLE_DOWN: Actions.break_table,
    FaultKind.TABLE_SLOW: Actions.break_table,
    FaultKind.TABLE_ANSWER_LOST: Actions.break_table,
    FaultKind.OBJECTS_DOWN: Actions.break_objects,
    FaultKind.NODE_KILLED: Actions.kill_node,
    FaultKind.NODE_PAUSED: Actions.pause_node,
    FaultKind.NODE_RESTARTED: Actions.restart_node,
    FaultKind.NODE_STOPPED: Actions.stop_node,
    FaultKind.BACKEND_KILLED: Actions.kill_backend,
    FaultKind.LINK_CUT: Actions.break_link,
    FaultKind.LINK_CUT_ONE_WAY: Actions.break_link,
    FaultKind.LINK_DELAYED: Actions.break_link,
    FaultKind.RACING_EDITS: Actions.race_edits,
    FaultKind.SERVICE_MOVED: Actions.move_service,
    FaultKind.POISON_READ: Actions.send_poison,
    FaultKind.POISON_ORDER: Actions.send_poison,
    FaultKind.SURGE: Actions.surge,
}
