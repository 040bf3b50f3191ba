"""Processes of the mesh into which random faults are injected."""

import asyncio
import os
import random
import signal
import socket
from pathlib import Path

import msgspec

from benchmarks.fault_links import Links
from damaskproxy.standins.callers_meshes import GEORGIA, Mesh
from demo.layout import (
    LISTENERS,
    LOOPBACK,
    NEW,
    OLD,
    Host,
    Layout,
    node_settings,
)
from demo.processes import Processes
from demo.starting import (
    fetch_status,
    put_section,
    start_backend,
    start_platform,
    wait_until_serving,
)

__all__ = ["MOVED_SERVICE", "FaultMesh", "plan_layout"]

MOVED_SERVICE = "orders"
# Below the ephemeral ports, since an outgoing connection could otherwise occupy the
# port of a node while the node restarts.
FIRST_PORT, LAST_PORT = 12_000, 30_000
PORTS_PER_RUN = 50
PORT_RANGES = (LAST_PORT - FIRST_PORT) // PORTS_PER_RUN
RELAYED_LISTENERS = ("peer", "control")
SEED_NODES = 3
RESTART_S = 1.0
POLL_S = 0.2


def two_services() -> Mesh:
    """Return the mesh of Georgia with its services orders and stores only."""
    names = ("orders", "stores")
    children = [c for c in GEORGIA.children["orders"] if c.service in names]
    return Mesh(
        name="georgia",
        team=GEORGIA.team,
        caller=GEORGIA.caller,
        routes={name: GEORGIA.routes[name] for name in names},
        children={"orders": tuple(children)},
        mix=tuple(kind for kind in GEORGIA.mix if kind.service in names),
    )


def free_ports(count: int) -> list[int]:
    """Return free loopback ports below the ephemeral ports.

    The search starts at an offset that depends on the process id, so that concurrent
    runs do not take a port between this check and the start of its process.
    """
    offset = os.getpid() % PORT_RANGES * PORTS_PER_RUN
    ports: list[int] = []
    for number in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (offset + number) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            break
    return ports


def plan_layout(seed: int) -> Layout:
    """Return 4 to 6 hosts of two services in two data centres."""
    rng = random.Random(seed)
    places = [(s, d) for s in ("orders", "stores") for d in (OLD, NEW)]
    places += rng.sample(places, rng.randint(0, 2))
    width = len(LISTENERS) + 1
    ports = free_ports(len(places) * width + 2)
    hosts = []
    for index, (service, data_centre) in enumerate(places):
        own = ports[index * width : (index + 1) * width]
        zone = data_centre.partition("-")[0]
        name = f"{zone}-{service}-{index + 1}"
        listeners = dict(zip(LISTENERS, own))
        hosts.append(Host(name, service, data_centre, listeners, own[-1]))
    return Layout(two_services(), MOVED_SERVICE, tuple(hosts), ports[-2], ports[-1])


class FaultMesh:
    """A running mesh with its links, and the violations observed in it.

    Parameters
    ----------
    processes : Processes
        Process launcher.
    layout : Layout
        Hosts of the mesh.
    folder : Path
        Folder for settings, logs and histories.

    Attributes
    ----------
    violations : list of str
        Violated guarantees that the history does not show.
    killed_s : list of float
        Unix times at which nodes were killed.
    backend_exits : int
        Number of times that a backend server crashed or was killed.
    expected_exits : set of str
        Processes that a fault has stopped or killed.
    latest : dict of str to int
        Latest accepted version of each section.
    """

    def __init__(self, processes: Processes, layout: Layout, folder: Path):
        self.processes = processes
        self.layout = layout
        self.folder = folder
        self.hosts = {host.name: host for host in layout.hosts}
        self.links = Links(self._node_pids)
        self.violations: list[str] = []
        self.killed_s: list[float] = []
        self.backend_exits = 0
        self.expected_exits: set[str] = set()
        self._starts = 0
        self._versions: dict[tuple[str, int], dict[str, int]] = {}
        self.latest: dict[str, int] = {}

    def _node_pids(self) -> dict[str, int]:
        return {
            host.name: self.processes.pid(host.node)
            for host in self.layout.hosts
            if self.is_running(host.node)
        }

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        try:
            return self.processes.exit_status(name) is None
        except KeyError:
            return False

    def _relay_host(self, host: Host) -> str:
        return f"127.0.0.{2 + self.layout.hosts.index(host)}"

    async def start(self) -> None:
        """Start all processes and wait until the mesh serves."""
        layout = self.layout
        await start_platform(self.processes, layout)
        for host in layout.hosts:
            for name in RELAYED_LISTENERS:
                relay = self._relay_host(host)
                await self.links.open(host.name, relay, host.ports[name], LOOPBACK)
        await asyncio.gather(
            *(
                put_section(self.processes, layout, self.folder, name)
                for name in layout.mesh.routes
            )
        )
        for host in layout.hosts:
            await self.start_node(host)
            await self.start_backend(host)
        counts: dict[str, int] = {}
        for host in layout.hosts:
            counts[host.service] = counts.get(host.service, 0) + 1
        await wait_until_serving(self.processes, layout, counts)

    async def start_node(self, host: Host) -> None:
        """Start the node of a host behind its relays."""
        settings = msgspec.json.decode(node_settings(self.layout, host))
        settings["advertised_host"] = self._relay_host(host)
        settings["membership"] = {
            "seeds": [
                f"{self._relay_host(seed)}:{seed.ports['control']}"
                for seed in self.layout.hosts[:SEED_NODES]
            ]
        }
        path = self.folder / f"{host.node}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.expected_exits.discard(host.node)
        await self.processes.start(host.node, "damaskproxy.node.cli", "run", path)

    async def start_backend(self, host: Host) -> None:
        """Start the backend server of a host with a new history file."""
        self._starts += 1
        history = self.folder / f"{host.name}-{self._starts}.history"
        self.expected_exits.discard(host.backend)
        await start_backend(self.processes, host, self.layout, "--history", history)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        if self.is_running(name):
            os.kill(self.processes.pid(name), number)

    async def restart_backends(self) -> None:
        """Restart backend servers that crashed or were killed."""
        while True:
            for host in self.layout.hosts:
                if self.processes.exit_status(host.backend) not in (None, 0):
                    self.backend_exits += 1
                    await asyncio.sleep(RESTART_S)
                    await self.start_backend(host)
            await asyncio.sleep(POLL_S)

    async def watch_versions(self) -> None:
        """Record each decrease of a section version on a node."""
        while True:
            await self.read_versions()
            await asyncio.sleep(POLL_S)

    async def read_versions(self) -> dict[str, dict[str, int]]:
        """Return the section versions of the nodes that respond."""
        statuses = await asyncio.gather(*map(fetch_status, self.layout.hosts))
        known = {s["node_id"]: s["sections"] for s in statuses if s}
        for status in filter(None, statuses):
            self._check_versions(status)
        return known

    def _check_versions(self, status: dict) -> None:
        run = (status["node_id"], status["incarnation"])
        before = self._versions.get(run, {})
        for name, version in before.items():
            now = status["sections"].get(name, 0)
            if now < version:
                self.violations.append(
                    f"{run[0]}: {name} fell from version {version} to {now}"
                )
        self._versions[run] = status["sections"]

    def check_processes(self) -> None:
        """Record nodes that exited without a fault that explains it."""
        for host in self.layout.hosts:
            status = self.processes.exit_status(host.node)
            if status is not None and host.node not in self.expected_exits:
                log_tail = self.processes.log_tail(host.node)
                self.violations.append(
                    f"{host.node} exited unexpectedly with {status}:\n{log_tail}"
                )
