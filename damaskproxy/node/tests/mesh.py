"""Mesh in one process: stand-ins, nodes and backend servers on loopback addresses."""

import asyncio
import uuid
from dataclasses import dataclass, field

import aiohttp
import msgspec

from damaskproxy.config import parse_settings
from damaskproxy.history import EventKind, Recorder
from damaskproxy.move import Accepted, edit_section
from damaskproxy.node import Node, compose
from damaskproxy.standins import start_objects, start_table
from damaskproxy.standins.backend import start_backend
from damaskproxy.standins.backend_settings import BackendConfig
from damaskproxy.store import PlatformSettings, open_table

__all__ = ["Mesh", "make_document", "make_settings"]

SECRET = "a secret of the test mesh"
WAIT_LIMIT_S = 20.0


def make_document(name="orders", *, placement=None, services=("orders", "stores")):
    """Return a section with the given services, each with the same two routes."""
    routes = [
        {
            "name": "place",
            "method": "POST",
            "path": "/place",
            "priority": "critical",
            "idempotent": False,
            "deadline_ms": 5000,
            "retry_allowance": 2,
        },
        {
            "name": "browse",
            "method": "GET",
            "path": "/",
            "priority": "sheddable",
            "idempotent": True,
            "deadline_ms": 5000,
            "retry_allowance": 3,
        },
    ]
    return {
        "name": name,
        "team": "test",
        "services": [
            {"name": s, "routes": routes, "placement": placement or {"dc1": "serving"}}
            for s in services
        ],
    }


def make_settings(node_id, table, objects, *, seeds=(), data_centre="dc1", **changes):
    """Return the settings of a node of the test mesh."""
    settings = {
        "node_id": node_id,
        "region": "r1",
        "data_centre": data_centre,
        "mesh_secrets": [SECRET],
        "platform": {
            "table_url": f"http://{table}",
            "objects_url": f"http://{objects}",
        },
        "membership": {"seeds": list(seeds), "join_retry_ms": 50},
        "poller": {"poll_ms": 50, "cold_spread_ms": 10, "alone_ms": 300},
        "routing": {"announce_every_ms": 100, "backend_lease_ms": 2000},
        "drain": {"report_ms": 50, "min_rounds": 1},
    }
    return parse_settings(msgspec.json.encode(settings | changes))


@dataclass
class Mesh:
    """Running stand-ins, nodes and backend servers."""

    table: object = None
    objects: object = None
    nodes: dict = field(default_factory=dict)
    backends: dict = field(default_factory=dict)
    exits: dict = field(default_factory=dict)
    recorders: dict = field(default_factory=dict)
    session: aiohttp.ClientSession = None

    async def start(self):
        """Start the stand-ins of the platform."""
        self.table = await start_table()
        self.objects = await start_objects()
        self.session = aiohttp.ClientSession()

    async def edit(self, document, base_version=0):
        """Submit `document` as an edit and return the new version of its section."""
        platform = PlatformSettings(
            f"http://{self.table.address}", f"http://{self.objects.address}"
        )
        table = open_table(platform)
        try:
            result = await edit_section(
                table,
                msgspec.json.encode(document),
                base_version,
                uuid.uuid4().hex,
                "test",
            )
        finally:
            await table.close()
        assert isinstance(result, Accepted), result
        return result.version

    async def add_node(self, node_id, **changes):
        """Start a node and return it."""
        seeds = [str(node.parts.addresses.control) for node in self.nodes.values()]
        settings = make_settings(
            node_id,
            self.table.address,
            self.objects.address,
            seeds=seeds[:1],
            **changes,
        )
        node = Node(compose(settings, seed=len(self.nodes)))
        await node.start()
        self.nodes[node_id] = node
        return node

    async def add_backend(self, node_id, service, **config):
        """Start the backend server of a node and wait for its announcement."""
        node = self.nodes[node_id]
        backend = await start_backend(
            BackendConfig(
                service=service,
                node=str(node.parts.addresses.backend),
                **({"service_time_ms": 1.0, "seed": 1} | config),
            ),
            recorder=self.recorders.setdefault(node_id, Recorder(name=node_id)),
        )
        self.backends[node_id] = backend
        self.exits[node_id] = asyncio.create_task(_exit_when_stopped(backend))
        await self.until(lambda: node.parts.backend.service == service)
        return backend

    def runs(self, node_id):
        """Return the number of requests that a backend server has run."""
        events = self.recorders[node_id].events
        return sum(event.kind is EventKind.RAN for event in events)

    def all_runs(self):
        """Return the number of requests that all backend servers have run."""
        return sum(map(self.runs, self.backends))

    async def until(self, condition):
        """Wait until `condition` holds; a time-out fails the test."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():  # noqa: ASYNC110 (conditions have no event)
                await asyncio.sleep(0.01)

    async def until_ready(self, service_counts):
        """Wait until each node is ready and has the given server count per service."""

        def ready():
            return all(
                node.parts.state.is_ready
                and all(
                    len(node.parts.membership.serving(service)) == count
                    for service, count in service_counts.items()
                )
                for node in self.nodes.values()
            )

        await self.until(ready)

    def url(self, node_id, path):
        """Return the URL of `path` on the ``call`` listener of a node."""
        return f"http://{self.nodes[node_id].parts.addresses.call}{path}"

    async def keys(self, node_id, count=1):
        """Request idempotency keys from a node."""
        url = self.url(node_id, f"/damask/keys?count={count}")
        async with self.session.post(url) as response:
            return (await response.json())["keys"]

    async def call(self, node_id, path, *, method="GET", key=None, body=b"", **headers):
        """Send a request to a node and return status, headers and body."""
        if key is not None:
            headers["Idempotency-Key"] = key
        async with self.session.request(
            method, self.url(node_id, path), headers=headers, data=body
        ) as response:
            return response.status, response.headers, await response.read()

    async def close(self):
        """Close all backend servers, nodes and stand-ins immediately."""
        await self.session.close()
        for node_id, exit_task in self.exits.items():
            if not exit_task.done():
                exit_task.cancel()
                await self.backends[node_id].close()
        for node in self.nodes.values():
            await node.close()
        await self.table.close()
        await self.objects.close()


async def _exit_when_stopped(backend):
    """Close a backend server after its graceful stop, as its process does."""
    await backend.stopped.wait()
    await backend.close()
