"""Real nodes and development backend servers on loopback sockets, in one process."""

import random

from benchmarks.callers import ROUTES
from benchmarks.mesh import SERVICES
from damaskproxy.history import EventKind
from damaskproxy.node.tests.mesh import Mesh
from damaskproxy.standins.backend_settings import ChildCall

__all__ = ["NODES_CAPACITY_PER_S", "NODES_SCALE", "NodesMesh"]

INSTANCES = 2
DEEP_SLOTS = 4
WORK_MS = 150.0
UPSTREAM_MARGIN = 1.3
TIME_FACTOR = 4.0
DATA_CENTRES = ("a", "b")
NODES_CAPACITY_PER_S = INSTANCES * DEEP_SLOTS * 1000 / WORK_MS
NODES_SCALE = (
    f"nodes: {len(SERVICES)} services x {INSTANCES} instances in one process,"
    f" {DEEP_SLOTS} slots in the deep service, {NODES_CAPACITY_PER_S:.0f}/s"
)


class NodesMesh:
    """Four services of two instances, each beside a node, on loopback.

    Parameters
    ----------
    seed : int
        Seed of the backend servers.
    """

    def __init__(self, seed: int):
        self.seed = seed
        self._mesh = Mesh()
        self.backends: dict[str, list] = {service: [] for service in SERVICES}

    @property
    def session(self):
        """HTTP session of the callers."""
        return self._mesh.session

    async def start(self, **config) -> None:
        """Start nodes and backend servers, with `config` for the latter."""
        mesh = self._mesh
        await mesh.start()
        await mesh.edit(_document())
        for hop, service in enumerate(SERVICES):
            for index in range(INSTANCES):
                await self._add(hop, service, index, config)
        await mesh.until_ready(dict.fromkeys(SERVICES, INSTANCES))

    async def close(self) -> None:
        """Stop all nodes and backend servers."""
        await self._mesh.close()

    def url(self, rng: random.Random, path: str) -> str:
        """Return the URL of `path` on a random node."""
        return self._mesh.url(rng.choice(list(self._mesh.nodes)), path)

    async def keys(self, rng: random.Random, count: int) -> list[str]:
        """Fetch idempotency keys from random nodes."""
        issued: list[str] = []
        while len(issued) < count:
            node_id = rng.choice(list(self._mesh.nodes))
            issued += await self._mesh.keys(node_id, 20)
        return issued

    def runs_by_key(self) -> dict[str, int]:
        """Return how often each order ran in the entry service, by its key."""
        runs: dict[str, int] = {}
        for node_id, recorder in self._mesh.recorders.items():
            if not node_id.startswith(SERVICES[0]):
                continue
            for event in recorder.events:
                if event.kind is EventKind.RAN:
                    runs[event.key] = runs.get(event.key, 0) + 1
        return runs

    def slow_down(self, backend, factor: float) -> None:
        """Set the service time of a backend server to `factor` times its usual one."""
        # The development backend server has no public interface for this.
        times = backend._times
        times._config = _with_changes(times._config, service_time_ms=WORK_MS * factor)

    async def _add(self, hop: int, service: str, index: int, config) -> None:
        node_id = f"{service}-{index}"
        await self._mesh.add_node(node_id, data_centre=DATA_CENTRES[index])
        services_left = len(SERVICES) - hop
        margin = UPSTREAM_MARGIN if services_left > 1 else 1.0
        children = ()
        if services_left > 1:
            callee = SERVICES[hop + 1]
            children = tuple(
                ChildCall(f"/{route}", _method(idempotent), callee, f"/{route}")
                for route, _, idempotent, _, _ in ROUTES
            )
        backend = await self._mesh.add_backend(
            node_id,
            service,
            slots=round(DEEP_SLOTS * services_left * margin),
            service_time_ms=WORK_MS,
            spread=0.4,
            children=children,
            seed=self.seed * 100 + hop * 10 + index,
            **config,
        )
        self.backends[service].append(backend)


def _with_changes(config, **changes):
    fields = {name: getattr(config, name) for name in config.__struct_fields__}
    return type(config)(**(fields | changes))


def _method(idempotent: bool) -> str:
    return "GET" if idempotent else "POST"


def _document() -> dict:
    routes = [
        {
            "name": route,
            "method": _method(idempotent),
            "path": f"/{route}",
            "priority": priority.name.lower(),
            "idempotent": idempotent,
            "deadline_ms": round(deadline_s * TIME_FACTOR * 1000),
            "retry_allowance": 4,
        }
        for route, priority, idempotent, deadline_s, _ in ROUTES
    ]
    placement = dict.fromkeys(DATA_CENTRES, "serving")
    services = [
        {"name": service, "routes": routes, "placement": placement}
        for service in SERVICES
    ]
    return {"name": "bench", "team": "bench", "services": services}
