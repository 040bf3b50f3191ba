"""Smallest mesh to measure the added latency: an entry node and a target node."""

from dataclasses import dataclass
from pathlib import Path

from damaskproxy.common import Priority
from damaskproxy.model import Route
from damaskproxy.standins.callers_meshes import Mesh
from demo.layout import LISTENERS, LOOPBACK, NEW, Host, Layout
from demo.processes import Processes, free_ports
from demo.starting import (
    put_section,
    start_backend,
    start_node,
    start_platform,
    wait_for_url,
    wait_until_serving,
)

__all__ = ["Addresses", "start_mesh"]

SERVICE = "echo"
CALL_PATH = "/call"
ROUTE = Route("call", "POST", "/", Priority.NORMAL, True, 5000, 2)
MESH = Mesh("bench", "bench", "caller", {SERVICE: (ROUTE,)}, {}, ())


@dataclass(frozen=True, slots=True)
class Addresses:
    """URL of each path, and the process ids of nodes and relays."""

    urls: dict[str, str]
    node_pids: list[int]
    relay_pids: list[int]


def plan_mesh() -> Layout:
    """Return a layout of two hosts; only the second gets a backend server."""
    ports = free_ports(2 * len(LISTENERS) + 3)
    hosts = []
    for number, name in enumerate(("entry", "target")):
        own = ports[number * len(LISTENERS) :]
        listeners = dict(zip(LISTENERS, own))
        hosts.append(Host(name, SERVICE, NEW, listeners, ports[-3]))
    return Layout(MESH, SERVICE, tuple(hosts), ports[-2], ports[-1])


async def start_mesh(processes: Processes, folder: Path) -> Addresses:
    """Start all processes of the benchmark and wait until the mesh serves."""
    layout = plan_mesh()
    entry, target = layout.hosts
    await start_platform(processes, layout)
    await put_section(processes, layout, folder, SERVICE)
    for host in layout.hosts:
        await start_node(processes, layout, host, folder)
    options = ("--service-time-ms", 0, "--spread", 0, "--log-level", "WARNING")
    await start_backend(processes, target, layout, *options)
    backend = f"http://{LOOPBACK}:{target.backend_port}"
    first, second = free_ports(2)
    relay_urls = [f"http://{LOOPBACK}:{port}" for port in (first, second)]
    await processes.start("relay-1", "benchmarks.relay", first, relay_urls[1])
    await processes.start("relay-2", "benchmarks.relay", second, backend)
    await wait_for_url(f"{relay_urls[0]}/damask/load")
    await wait_until_serving(processes, layout, {SERVICE: 1})
    return Addresses(
        urls={
            "direct": f"{backend}{CALL_PATH}",
            "relay": f"{relay_urls[0]}{CALL_PATH}",
            "node": f"http://{entry.address('call')}/{SERVICE}{CALL_PATH}",
        },
        node_pids=[processes.pid(host.node) for host in layout.hosts],
        relay_pids=[processes.pid(name) for name in ("relay-1", "relay-2")],
    )
