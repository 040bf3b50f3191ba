"""Nodes and the servers of one service, on virtual time and without a network."""

import asyncio
import contextlib
import random
import sys
from dataclasses import dataclass, field
from unittest import mock

from damaskproxy.admission import AdmissionController
from damaskproxy.common import clock
from damaskproxy.directory import (
    Configuration,
    CurrentConfiguration,
    Directory,
    MemberRecord,
)
from damaskproxy.forwarding import (
    Backend,
    MemberSelector,
    Origin,
    ParentRequests,
    PoisonRequestDetector,
    RequestStats,
    Target,
)
from damaskproxy.forwarding.tests.builders import NAMES, make_report, make_route
from damaskproxy.http1 import ClientLimits, Request, Response
from damaskproxy.model import Address
from damaskproxy.retries import RetryBudget, RetrySettings
from damaskproxy.sidecar.compose import ADMISSION_SETTINGS
from tools.faults.virtual_time import now_s

__all__ = ["VirtualNode", "VirtualServer", "VirtualService", "virtual_clock"]

LINK_S = 0.0015
SPREAD_S = 0.1
"""Time after which all nodes have a changed record."""
SLOTS = 72
ROUTES = (
    make_route(name="order", prefix="/order/", priority=0, timeout_ms=5000),
    make_route(name="browse", prefix="/browse/", priority=3, timeout_ms=5000),
)


@contextlib.contextmanager
def virtual_clock():
    """Let all loaded modules read the clock of the running event loop."""
    real = clock.boot_s
    modules = [
        module
        for name, module in list(sys.modules.items())
        if name.startswith("damaskproxy.") and getattr(module, "boot_s", None) is real
    ]
    with contextlib.ExitStack() as stack:
        for module in modules:
            stack.enter_context(mock.patch.object(module, "boot_s", now_s))
        yield


@dataclass
class VirtualServer:
    """Backend server that names a limit or its leave; takes the place of its pool.

    Attributes
    ----------
    headers : list of tuple of bytes
        Headers that it adds to all answers.
    arrivals_s : list of float
        Time of each request that it got.
    """

    work_s: float
    headers: list = field(default_factory=list)
    arrivals_s: list = field(default_factory=list)
    address: Address = Address("127.0.0.1", 1)
    slots: int = SLOTS
    service: str = "orders"
    caller_name: str = "stores"

    def retire(self):
        """Do nothing: there are no connections."""

    async def exchange(self, request, *, accept, max_idle_share):
        """Run a request."""
        self.arrivals_s.append(now_s())
        await asyncio.sleep(self.work_s)
        echoed = (NAMES.request_id, request.header(NAMES.lower("request_id")))
        headers = [echoed, (NAMES.stamp, b"s"), *self.headers]
        return Response(200, headers, b"done")

    def most_in(self, window_s, since_s):
        """Return the largest number of requests in any window after a moment."""
        times = [time_s for time_s in self.arrivals_s if time_s >= since_s]
        most = start = 0
        for end, time_s in enumerate(times):
            while times[start] < time_s - window_s:
                start += 1
            most = max(most, end - start + 1)
        return most


class VirtualNode:
    """One node: its origin, its target, and the server beside it, if any."""

    def __init__(self, service, number, server):
        self.service = service
        self.node_id = f"n{number}"
        self.server = server
        self.version = 0
        self.start()

    def start(self, stored=None):
        """Start the process, with the record that it had stored before."""
        self.version += 1
        rng = random.Random(f"{self.node_id}/{self.version}")
        configuration = CurrentConfiguration()
        incarnations = {}

        def member_changed(record):
            backend_id = record.backend.instance_id if record.backend else ""
            if incarnations.get(record.node_id, backend_id) != backend_id:
                selector.reset(record.node_id)
            incarnations[record.node_id] = backend_id
            selector.apply_limit(record)

        self.directory = Directory(member_changed)
        selector = self.service.make_selector(
            self.service.data_centre_of(self.node_id), self.directory, rng
        )
        configuration.apply_if_newer(self.service.configuration)
        poison, stats = (
            PoisonRequestDetector(self.node_id, lambda: None),
            RequestStats(),
        )
        parents = ParentRequests()
        self.backend = Backend(10**9, self._backend_changed)
        self.target = Target(
            self.backend,
            self.server,
            NAMES,
            poison,
            parents,
            lambda slots: AdmissionController(
                slots, now_s=now_s, settings=ADMISSION_SETTINGS
            ),
            stats,
        )
        self.origin = Origin(
            self.node_id,
            lambda: "stores" if self.server is None else self.server.caller_name,
            configuration,
            self.directory,
            selector,
            self.target.run,
            self.service.run_remote,
            RetryBudget(RetrySettings(ratio=0.1, saved_max=2)),
            poison,
            parents,
            NAMES,
            stats,
            rng,
        )
        for record in self.service.records.values():
            self.directory.merge(record)
        if stored is not None:
            self.backend.restore(stored)
        elif self.server is not None:
            self.backend.report(
                make_report(slots=self.server.slots, service=self.server.service)
            )
        else:
            self._backend_changed()

    def _backend_changed(self):
        self.target.apply_backend_state()
        self.version += 1
        record = MemberRecord(
            self.node_id,
            1,
            self.version,
            self.service.data_centre_of(self.node_id),
            "10.0.0.1",
            1,
            backend=self.backend.published_record(),
        )
        self.service.publish(record)


class VirtualService:
    """Nodes, some with a server of the service beside them.

    Parameters
    ----------
    nodes : int
        Number of nodes; requests begin at all of them.
    servers : list of VirtualServer
        Servers of the service.
    """

    configuration = Configuration(1, ROUTES, {}, ClientLimits(), b"")

    def __init__(self, nodes, servers):
        self.records = {}
        self.nodes = {}
        self.rng = random.Random(1)
        self.statuses = {"order": [], "browse": []}
        beside = servers + [None] * (nodes - len(servers))
        for number, server in enumerate(beside):
            self.nodes[f"n{number}"] = VirtualNode(self, number, server)

    def data_centre_of(self, node_id):
        """Return the data centre of a node."""
        return "a"

    def make_selector(self, data_centre, directory, rng):
        """Return the member selector of a node."""
        return MemberSelector(data_centre, rng, lambda: directory.running_count)

    def publish(self, record):
        """Pass a record on to all nodes."""
        self.records[record.node_id] = record
        loop = asyncio.get_running_loop()
        loop.call_later(SPREAD_S, self._merge, record)

    def _merge(self, record):
        for node in self.nodes.values():
            node.directory.merge(record)

    async def run_remote(self, member, call):
        """Run a call at another node."""
        await asyncio.sleep(LINK_S)
        result = await self.nodes[member.node_id].target.run(call)
        await asyncio.sleep(LINK_S)
        return result

    async def play(self, duration_s, **rates):
        """Let requests begin at all nodes, at a rate by route, and await them."""
        await asyncio.sleep(2 * SPREAD_S)
        end_s = now_s() + duration_s
        tasks = []
        total = sum(rates.values())
        while now_s() < end_s:
            await asyncio.sleep(self.rng.expovariate(total))
            (route,) = self.rng.choices(list(rates), list(rates.values()))
            node = self.rng.choice(list(self.nodes.values()))
            tasks.append(asyncio.create_task(self._send(node, route, len(tasks))))
        await asyncio.gather(*tasks)

    async def _send(self, node, route, number):
        fields = [
            (b"Host", b"h"),
            (NAMES.request_id, b"%x-%d" % (self.rng.getrandbits(32), number)),
            (NAMES.deadline_ms, b"5000"),
        ]
        request = Request(b"GET", f"/{route}/1".encode(), fields)
        response = await node.origin.handle(request)
        self.statuses[route].append(response.status)

    def served(self, route):
        """Return the share of the requests of a route that were served."""
        statuses = self.statuses[route]
        return statuses.count(200) / len(statuses)
