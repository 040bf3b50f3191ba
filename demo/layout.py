"""Processes of the demo and their settings."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from damaskproxy.standins.callers_meshes import Mesh
from demo.processes import free_ports

__all__ = ["Host", "Layout", "backend_arguments", "node_settings", "plan", "section"]

LOOPBACK = "127.0.0.1"
LISTENERS = ("call", "backend", "peer", "control", "admin")
MESH_SECRET = "demo-secret-not-for-production"
SEED_NODES = 3
OLD, NEW = "old-building", "new-building"


@dataclass(frozen=True, slots=True)
class Host:
    """A VM of the demo: a node and the backend server beside it."""

    name: str
    service: str
    data_centre: str
    ports: Mapping[str, int]
    backend_port: int

    def address(self, listener: str) -> str:
        """Return ``host:port`` of a listener of the node."""
        return f"{LOOPBACK}:{self.ports[listener]}"

    @property
    def node(self) -> str:
        """Name of the node process."""
        return f"{self.name}-node"

    @property
    def backend(self) -> str:
        """Name of the backend server process."""
        return f"{self.name}-backend"


@dataclass(frozen=True, slots=True)
class Layout:
    """All processes of the demo.

    Parameters
    ----------
    mesh : Mesh
        Services, their routes and their callers.
    moved : str
        Service that leaves the old building.
    hosts : sequence of Host
        VMs, each with a node and a backend server.
    table_port, objects_port : int
        Ports of the stand-ins for the table service and the object store.
    """

    mesh: Mesh
    moved: str
    hosts: Sequence[Host]
    table_port: int
    objects_port: int

    @property
    def table_url(self) -> str:
        """URL of the table service."""
        return f"http://{LOOPBACK}:{self.table_port}"

    @property
    def objects_url(self) -> str:
        """URL of the object store."""
        return f"http://{LOOPBACK}:{self.objects_port}"

    def leaving(self) -> list[Host]:
        """Return the hosts of the moved service in the old building."""
        return [
            host
            for host in self.hosts
            if host.service == self.moved and host.data_centre == OLD
        ]


def plan(mesh: Mesh, moved: str, moved_count: int = 2) -> Layout:
    """Return a layout with a host per service and building, more for `moved`.

    Parameters
    ----------
    mesh : Mesh
        Services, their routes and their callers.
    moved : str
        Service that leaves the old building.
    moved_count : int
        Hosts of `moved` in each building.
    """
    specifications = [
        (service, data_centre, number)
        for service in mesh.routes
        for data_centre in (OLD, NEW)
        for number in range(moved_count if service == moved else 1)
    ]
    ports_per_host = len(LISTENERS) + 1
    ports = free_ports(len(specifications) * ports_per_host + 2)
    hosts = []
    for index, (service, data_centre, number) in enumerate(specifications):
        host_ports = ports[index * ports_per_host : (index + 1) * ports_per_host]
        name_prefix = data_centre.partition("-")[0]
        host = Host(
            name=f"{name_prefix}-{service}-{number + 1}",
            service=service,
            data_centre=data_centre,
            ports=dict(zip(LISTENERS, host_ports)),
            backend_port=host_ports[-1],
        )
        hosts.append(host)
    return Layout(mesh, moved, tuple(hosts), ports[-2], ports[-1])


def node_settings(layout: Layout, host: Host) -> bytes:
    """Return the content of the settings file of a node."""
    seeds = [seed.address("control") for seed in layout.hosts[:SEED_NODES]]
    settings = {
        "node_id": host.name,
        "region": "demo",
        "data_centre": host.data_centre,
        "mesh_secrets": [MESH_SECRET],
        "listeners": {
            name: {"host": LOOPBACK, "port": port} for name, port in host.ports.items()
        },
        "platform": {
            "table_url": layout.table_url,
            "objects_url": layout.objects_url,
        },
        "membership": {"seeds": seeds},
        # Shorter than in production, so that the demo takes less than a minute.
        "drain": {"report_ms": 500},
        "poller": {"cold_spread_ms": 500, "alone_ms": 1000},
        "log": {"level": "INFO"},
    }
    return msgspec.json.encode(settings)


def backend_arguments(layout: Layout, host: Host) -> list[object]:
    """Return the command line arguments of a backend server."""
    arguments: list[object] = [
        "--service", host.service,
        "--node", host.address("backend"),
        "--port", host.backend_port,
        "--slots", 16,
        "--service-time-ms", 8,
        "--straggler-share", 0.01,
        "--cold-factor", 3,
        "--cold-requests", 20,
        "--slow-every-s", 20,
        "--slow-factor", 3,
        "--seed", host.backend_port,
    ]  # fmt: skip
    for call in layout.mesh.children.get(host.service, ()):
        child = f"{call.prefix}={call.method} {call.service}{call.path}"
        arguments += ["--child", child]
    return arguments


def section(
    layout: Layout, service: str, version: int = 0, leaving: Sequence[str] = ()
) -> bytes:
    """Return the configuration section of a service as operators write it.

    Parameters
    ----------
    layout : Layout
        Layout of the demo.
    service : str
        Name of the service, and of its section.
    version : int
        Version of the section that the edit replaces, 0 for a new section.
    leaving : sequence of str
        Data centres that the service leaves.
    """
    routes = [
        {
            "name": route.name,
            "method": route.method,
            "path": route.path,
            "priority": route.priority.name.lower(),
            "idempotent": route.idempotent,
            "deadline_ms": route.deadline_ms,
            "retry_allowance": route.retry_allowance,
        }
        for route in layout.mesh.routes[service]
    ]
    placement = {
        name: "leaving" if name in leaving else "serving" for name in (OLD, NEW)
    }
    document = {
        "name": service,
        "team": layout.mesh.team,
        "version": version,
        "services": [{"name": service, "routes": routes, "placement": placement}],
    }
    return msgspec.json.format(msgspec.json.encode(document), indent=2)
