"""What each kind of fault does to a running mesh."""

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

from benchmarks.fault_mesh import MOVED, FaultMesh
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
    """Carries out the faults of a schedule.

    Parameters
    ----------
    mesh : FaultMesh
        The mesh.
    config : CallerConfig
        Of the callers without a surge.
    recorder : Recorder
        History of all callers.
    """

    mesh: FaultMesh
    config: CallerConfig
    recorder: Recorder
    results: list = field(default_factory=list)
    edits: Counter = field(default_factory=Counter)
    table: Counter = field(default_factory=Counter)

    async def run(self, fault: PlannedFault) -> None:
        """Wait for the start of a fault, carry it out and take it back."""
        await asyncio.sleep(fault.at_s)
        await ACTIONS[fault.kind](self, fault)

    async def run_callers(self, config: CallerConfig, mesh: Mesh | None = None) -> None:
        """Send the plan of `config` and keep what came of it."""
        layout = self.mesh.layout
        entries = [host.address("call") for host in layout.hosts]
        observer = HistoryObserver(self.recorder)
        callers = Callers(mesh or layout.mesh, config, entries, observer)
        self.results += await callers.run()

    async def stop_node(self, fault: PlannedFault) -> bool:
        """Stop a node as planned; tell whether it ended."""
        host = self.mesh.hosts[fault.targets[0]]
        mesh = self.mesh
        mesh.expected_to_end |= {host.node, host.backend}
        mesh.processes.terminate(host.node)
        status = await mesh.processes.wait(host.node, STOP_TIMEOUT_S)
        if status:
            mesh.broken.append(f"{host.node} exited with {status} after SIGTERM")
        return status is not None

    async def restart_node(self, fault: PlannedFault) -> None:
        """Stop a node as planned and start it with the same id."""
        host = self.mesh.hosts[fault.targets[0]]
        if await self.stop_node(fault):
            await self.mesh.start_node(host)
            await wait_for_url(f"http://{host.address('admin')}/healthz")
            if not self.mesh.is_running(host.backend):
                await self.mesh.start_backend(host)

    async def kill_node(self, fault: PlannedFault) -> None:
        """Kill a node, and start it with the same id later."""
        host = self.mesh.hosts[fault.targets[0]]
        self.mesh.expected_to_end.add(host.node)
        self.mesh.killed_s.append(time.time())
        self.mesh.signal(host.node, signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        await self.mesh.start_node(host)

    async def pause_node(self, fault: PlannedFault) -> None:
        """Pause a node; it goes on without noticing."""
        node = self.mesh.hosts[fault.targets[0]].node
        self.mesh.signal(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            self.mesh.signal(node, signal.SIGCONT)

    async def kill_backend(self, fault: PlannedFault) -> None:
        """Kill a backend server; the mesh starts it again."""
        self.mesh.signal(self.mesh.hosts[fault.targets[0]].backend, signal.SIGKILL)

    async def break_table(self, fault: PlannedFault) -> None:
        """Let the table fail in one way more while the fault lasts."""
        self.table[fault.kind] += 1
        await self._put_table_faults()
        await asyncio.sleep(fault.for_s)
        self.table[fault.kind] -= 1
        await self._put_table_faults()

    async def _put_table_faults(self) -> None:
        faults = {
            "down": self.table[FaultKind.TABLE_DOWN] > 0,
            "delay_ms": TABLE_DELAY_MS * min(1, self.table[FaultKind.TABLE_SLOW]),
            "lose": "after" if self.table[FaultKind.TABLE_ANSWER_LOST] else "none",
        }
        await put_faults(self.mesh.layout.table_url, faults)

    async def break_objects(self, fault: PlannedFault) -> None:
        """Let the object store refuse everything while the fault lasts."""
        url = self.mesh.layout.objects_url
        await put_faults(url, {"down": True})
        await asyncio.sleep(fault.for_s)
        await put_faults(url, {})

    async def break_link(self, fault: PlannedFault) -> None:
        """Cut or delay a link while the fault lasts."""
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
        """Let two operators edit the same version; one edit at most may win."""
        base = await self._read_version("stores")
        results = await asyncio.gather(
            *(self._edit("stores", base, 2000 + number) for number in (1, 2))
        )
        if sum(isinstance(result, Accepted) for result in results) > 1:
            self.mesh.broken.append(f"two edits of version {base} were accepted")

    async def move_service(self, fault: PlannedFault) -> None:
        """Let a service leave a data centre."""
        for _ in range(EDIT_ATTEMPTS):
            base = await self._read_version(MOVED)
            if isinstance(await self._edit(MOVED, base, 5000, (OLD,)), Accepted):
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
        """Send one request that kills each backend server that runs it."""
        mesh = self.mesh.layout.mesh
        poison = replace(mesh, mix=(POISON_KINDS[fault.kind],))
        # Two poison requests of a schedule must differ in the history.
        first = random.Random(f"{self.config.seed} {fault.at_s}").randrange(1 << 30)
        for seed in itertools.count(first):
            config = CallerConfig(rate_per_s=2.0, duration_s=0.5, sends=4, seed=seed)
            if len(list(plan_requests(poison, config))) == 1:
                break
        await self.run_callers(config, poison)

    async def surge(self, fault: PlannedFault) -> None:
        """Let the callers send several times as much."""
        rate_per_s = self.config.rate_per_s * SURGE_FACTOR
        seed = self.config.seed + 1_000_000
        config = replace(
            self.config, rate_per_s=rate_per_s, duration_s=fault.for_s, seed=seed
        )
        await self.run_callers(config)


async def put_faults(url: str, faults: dict) -> None:
    """Replace the faults in force of a stand-in."""
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
