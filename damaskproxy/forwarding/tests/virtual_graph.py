"""Services that call each other, on virtual time and without a network.

They are a tenth of a mesh of 68 nodes in which four servers of one service are called
by three others, with the same number of requests per node.
"""

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass

from damaskproxy.directory import Configuration
from damaskproxy.forwarding.tests.builders import NAMES, make_route
from damaskproxy.forwarding.tests.virtual_service import VirtualServer, VirtualService
from damaskproxy.http1 import ClientLimits, Request, Response
from damaskproxy.organisations import Organisation, Organisations
from tools.faults.virtual_time import now_s

__all__ = [
    "RATES_PER_S",
    "REJECTING",
    "Load",
    "VirtualGraph",
    "make_graph",
    "organisations_of",
]

RATES_PER_S = {
    "ride-list": 62.4,
    "seat-book": 29.9,
    "doc-upload": 8.2,
    "fare-quote": 19.5,
}
DEADLINES_MS = {"fare-quote": 800}
DEADLINE_DEFAULT_MS = 5000
WORK_S = {
    "ride-list": 0.120,
    "seat-book": 0.160,
    "doc-upload": 0.140,
    "fare-quote": 0.048,
    "book": 0.015,
    "document": 0.015,
    "price": 0.030,
}
CALLS = {
    "ride-list": ("book",),
    "seat-book": ("document",),
    "book": ("document",),
    "document": ("price",) * 4,
}
REJECTING = -1.0
IMPATIENT_SHARE, REPEATS = 0.5, 3
"""Clients that do not wait before they repeat a failed request, and how often they
do; the others come back once, after Retry-After."""


def _route(name, service, priority, timeout_ms, objective_ms, **changes):
    return make_route(
        name=name,
        prefix=f"/{name}/",
        services=((service, 1.0),),
        priority=priority,
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        **changes,
    )


ROUTES = (
    _route("ride-list", "listings", 1, 1000, 1500),
    _route("seat-book", "bookings", 2, 1200, 3000, is_idempotent=False),
    _route("doc-upload", "documents", 1, 1000, 600),
    _route("fare-quote", "pricing", 0, 800, 200),
    _route("book", "bookings", 1, 1000, 1500, is_public=True),
    _route("document", "documents", 1, 1000, 1500, is_public=True),
    _route("price", "pricing", 1, 1000, 1500, is_public=True),
)


def organisations_of(*names):
    """Return organisations whose key is their name."""
    return Organisations(Organisation(name, (name.encode(),)) for name in names)


@dataclass
class GraphServer(VirtualServer):
    """Backend server that calls others through its node before it answers.

    With a speed of 0 it does not answer, with `REJECTING` it rejects everything.
    """

    speed: float = 1.0
    graph: object = None
    node: object = None

    async def exchange(self, request, *, accept, max_idle_share):
        """Run a request and its calls; a call that fails makes it fail."""
        route = request.target.split(b"/")[1].decode()
        request_id = request.header(NAMES.lower("request_id"))
        root = request_id.partition(b".")[0]
        if self.speed == REJECTING:
            rejected = [(NAMES.request_id, request_id), (NAMES.not_executed, b"1")]
            return Response(503, rejected)
        if self.speed == 0:
            await asyncio.sleep(60)
        spread = 0.8 + 0.4 * self.graph.rng.random()
        work_s = WORK_S[route] * spread / self.speed
        self.graph.work_s[root] += work_s
        await asyncio.sleep(work_s)
        status = 200
        for number, callee in enumerate(CALLS.get(route, ())):
            fields = [
                (b"Host", b"h"),
                (NAMES.request_id, b"%s.%x" % (request_id, number)),
                (NAMES.deadline_ms, request.header(NAMES.lower("deadline_ms"))),
            ]
            call = Request(b"GET", f"/{callee}/1".encode(), fields)
            response = await self.node.origin.handle(call)
            if response.status != 200:
                status = 500
                break
        headers = [(NAMES.request_id, request_id), (NAMES.stamp, b"s")]
        return Response(status, headers, b"done")


@dataclass(frozen=True)
class Load:
    """Requests per second, and what some clients do.

    Parameters
    ----------
    factor : float
        Multiple of the usual load.
    is_impatient : bool
        Whether a quarter of the clients repeat failed requests at once.
    names : tuple of str
        Organisations.
    shares : tuple of float
        Relative numbers of their requests.
    nodes : tuple of str
        Nodes that their requests go to, empty for all nodes.
    """

    factor: float = 1.0
    is_impatient: bool = False
    names: tuple = ("a",)
    shares: tuple = (1.0,)
    nodes: tuple = ("",)


class VirtualGraph(VirtualService):
    """Nodes beside the servers of four services, with what their clients got.

    Attributes
    ----------
    ends : list of tuple
        Organisation, route, start, time that the client waited, and last status.
    statuses_500 : int
        Responses of 500, after servers had worked.
    wasted_s : float
        Work of servers for requests that failed.
    """

    def __init__(self, servers, organisations=None, seed=1):
        self.configuration = Configuration(
            1, ROUTES, {}, ClientLimits(), b"", organisations=organisations
        )
        self.ends = []
        self.counts = Counter()
        self.work_s = defaultdict(float)
        self.wasted_s = 0.0
        super().__init__(len(servers), servers)
        self.rng = random.Random(seed)
        for server, node in zip(servers, self.nodes.values()):
            server.graph, server.node = self, node

    async def play_load(self, duration_s, load):
        """Let clients send requests; they may still wait when this returns."""
        rates = {name: rate * load.factor for name, rate in RATES_PER_S.items()}
        end_s = now_s() + duration_s
        tasks = []
        while True:
            await asyncio.sleep(self.rng.expovariate(sum(rates.values())))
            if now_s() >= end_s:
                return tasks
            (route,) = self.rng.choices(list(rates), list(rates.values()))
            (number,) = self.rng.choices(range(len(load.names)), load.shares)
            tasks.append(asyncio.create_task(self._run_client(route, number, load)))

    async def _run_client(self, route, number, load):
        name = load.names[number]
        started_s = now_s()
        deadline_s = started_s + DEADLINES_MS.get(route, DEADLINE_DEFAULT_MS) / 1000
        node_id = load.nodes[number] or self.rng.choice(list(self.nodes))
        node = self.nodes[node_id]
        is_impatient = load.is_impatient and self.rng.random() < IMPATIENT_SHARE
        for _ in range(1 + REPEATS if is_impatient else 2):
            response = await self._send_once(node, route, name, deadline_s)
            self.counts[route, response.status] += 1
            wait_s = response.header(b"retry-after")
            if response.status == 200:
                break
            if not is_impatient:
                if wait_s is None or now_s() + float(wait_s) >= deadline_s:
                    break
                await asyncio.sleep(float(wait_s))
        self.ends.append((name, route, started_s, now_s() - started_s, response.status))

    async def _send_once(self, node, route, name, deadline_s):
        root = b"%032x" % self.rng.getrandbits(128)
        remaining_ms = int((deadline_s - now_s()) * 1000)
        fields = [
            (b"Host", b"h"),
            (NAMES.request_id, root),
            (NAMES.deadline_ms, b"%d" % remaining_ms),
        ]
        fields.append((b"Authorization", b"Bearer " + name.encode()))
        request = Request(b"GET", f"/{route}/1".encode(), fields)
        response = await node.origin.handle(request)
        work_s = self.work_s.pop(root, 0.0)
        if response.status != 200:
            self.wasted_s += work_s
        return response

    def served_share(self, begin_s=0.0, end_s=1e9, *, routes=None, name=None):
        """Return the share of clients that were served within the objective.

        Parameters
        ----------
        begin_s, end_s : float
            Interval in which they began.
        routes : collection of str, optional
            Only these routes.
        name : str, optional
            Only this organisation.
        """
        objectives_s = {route.name: route.objective_ms / 1000 for route in ROUTES}
        found = [
            status == 200 and took_s <= objectives_s[route]
            for owner, route, started_s, took_s, status in self.ends
            if begin_s <= started_s < end_s
            and (routes is None or route in routes)
            and (name is None or owner == name)
        ]
        return sum(found) / max(len(found), 1)

    def failed_after_work(self):
        """Return the responses of 500, which servers had worked for."""
        return sum(count for (_, status), count in self.counts.items() if status == 500)


def make_graph(
    organisations=None,
    *,
    pricing_speeds=(0.7, 0.7, 1.6, 1.6),
    documents_slots=150,
    seed=1,
):
    """Return a graph with a tenth of the servers of the mesh."""
    servers = [
        GraphServer(0.0, service=service, caller_name=service, slots=slots, speed=speed)
        for service, slots, speeds in (
            ("listings", 40, (1.0,) * 3),
            ("bookings", 60, (1.0,) * 3),
            ("documents", documents_slots, (1.0,)),
            ("pricing", 6, pricing_speeds),
        )
        for speed in speeds
    ]
    return VirtualGraph(servers, organisations, seed)
