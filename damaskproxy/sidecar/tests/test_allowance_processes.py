"""Allowances while the process of the node that keeps an account is suspended."""

import asyncio
import itertools
import json
import signal
import time
import unittest
from dataclasses import dataclass

from damaskproxy.allowances import AllowanceBounds, Owners
from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.platform.standins import (
    StampedBackend,
    encode_configuration,
    report_request,
)
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.node_process import (
    POLL_S,
    WAIT_S,
    NodeProcess,
    NodeProcessTestCase,
)

NAMES = ("n0", "n1", "n2")
GUILD = "guild"
RATE_PER_S = 20
BURST = 5
"""Small, so that the burst is spent at once and the bound leaves out the burst."""
BOUNDS = AllowanceBounds()
SUM_MAX = RATE_PER_S * BOUNDS.window_s * (1 + BOUNDS.overshoot) + BOUNDS.slack
"""Largest sum of a window in which no burst is left."""
CLIENTS_PER_NODE = 2
FLOOD_PAUSE_S = 0.06
"""Pause of a client between two requests; six clients send 5 times the rate at most."""
SETTLED_REFUSALS = 30
"""Refusals after which the burst is spent and all nodes ask the owner."""
CALM_S = 2.0
"""Time in which the limit holds before the owner is suspended."""
PACE_S = 2 / RATE_PER_S
"""Pause of the client that sends half of the rate, at most. The share of two of three
nodes, which a new owner gives out, is above that."""
TAKEOVER_S = 0.6
"""Longest time until nodes notice a cut, see `damaskproxy.allowances.limits`."""
REFUSED_MAX = round(TAKEOVER_S / PACE_S)
"""Requests of that client in the time that the takeover may take."""
PACED_COUNT = 15
"""Requests after each change of owner, which take longer than a new owner is asked for
each request."""
SLOTS = 64
HEARTBEAT_MS = 60_000
"""Longer than a test, so that one status report of each server is enough."""


@dataclass(frozen=True, slots=True)
class Exchange:
    """Request of the organisation, which was admitted or refused within its times."""

    request_id: bytes
    sent_s: float
    ended_s: float
    status: int | None


class SuspendedOwnerTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against an organisation that gains or loses requests with its owner.

    All checks are of counts. A request counts in a window only if it was sent and
    answered within it, so that a slow machine cannot make the sum larger.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        owners = Owners(NAMES[0])
        owners.update(NAMES)
        self.owner_id = owners.ranking(GUILD)[0]
        self.others = [name for name in NAMES if name != self.owner_id]
        limit = {"apiKeys": ["key-1"], "ratePerS": RATE_PER_S, "burst": BURST}
        body = encode_configuration(tenants={GUILD: limit})
        self.rows.put("op", "config", body)
        self.backends: list[StampedBackend] = []
        self.pools: dict[str, ConnectionPool] = {}
        self.by_name: dict[str, NodeProcess] = {}
        self.exchanges: list[Exchange] = []
        self.number = itertools.count()
        for name in NAMES:
            await self.start_node(name)
        await self.until_owned(NAMES, is_suspended=False)

    async def asyncTearDown(self):
        await super().asyncTearDown()
        for pool in self.pools.values():
            pool.close()
        for backend in self.backends:
            await backend.close()

    async def start_node(self, name):
        """Start a node; the server of the owner is not the one that gets the calls."""
        service = "stores" if name == self.owner_id else "orders"
        backend = StampedBackend(f"i-{name}", service)
        self.backends.append(backend)
        node = self.by_name[name] = self.make_node(name)
        # Also after a failure in `asyncSetUp`, after which nothing is torn down.
        self.addAsyncCleanup(node.kill)
        node.settings |= {
            "service": service,
            "backend_address": await backend.open(),
            "heartbeat_interval_ms": HEARTBEAT_MS,
        }
        node.write_settings()
        await node.start()
        await node.until_ready()
        listeners = node.settings["listeners"]
        self.pools[name] = ConnectionPool(to_address(listeners["caller"]))
        report = report_request(
            backend.instance_id,
            node.settings["backend_address"],
            service,
            slots=SLOTS,
            born_ms=1000,
            sequence=1,
        )
        response = await self.exchange(listeners["control"], report)
        self.assertEqual(response.status, 200)

    async def exchange(self, address, request):
        """Send one request on a connection of its own."""
        pool = ConnectionPool(to_address(address))
        try:
            return await pool.exchange(request)
        finally:
            pool.close()

    async def is_owned(self, name, *, is_suspended):
        """Tell whether a node knows all servers and has the owner that it should."""
        address = self.by_name[name].settings["listeners"]["metrics"]
        request = Request(b"GET", b"/status", [(b"Host", b"m")])
        status = json.loads((await self.exchange(address, request)).body)
        if not status["organisations"] or len(status["members"]) < len(NAMES):
            return False
        owner = status["organisations"][0]["owner"]
        return bool(owner) and (owner != self.owner_id) == is_suspended

    async def until_owned(self, names, *, is_suspended):
        """Wait until nodes have the first owner, or another while it is suspended."""
        async with asyncio.timeout(WAIT_S):
            for name in names:
                while not await self.is_owned(name, is_suspended=is_suspended):
                    self.assertIsNone(self.by_name[name].process.returncode)
                    await asyncio.sleep(POLL_S)

    def signal_owner(self, number):
        self.by_name[self.owner_id].send(number)

    async def send(self, name):
        """Send a request of the organisation to a node; return its status."""
        request_id = b"%s-%d" % (name.encode(), next(self.number))
        fields = [
            (b"Host", b"shop"),
            (b"X-Damaskproxy-Request-Id", request_id),
            (b"Authorization", b"Bearer key-1"),
        ]
        sent_s, status = time.monotonic(), None
        try:
            request = Request(b"GET", b"/read/1", fields)
            status = (await self.pools[name].exchange(request)).status
        except HttpError:
            pass
        ended_s = time.monotonic()
        self.exchanges.append(Exchange(request_id, sent_s, ended_s, status))
        return status

    async def flood(self, name):
        while True:
            await self.send(name)
            await asyncio.sleep(FLOOD_PAUSE_S)

    def count_refused(self):
        return sum(each.status == 429 for each in self.exchanges)

    def runs(self, exchange):
        """Return how many servers have received a request."""
        return sum(backend.runs[exchange.request_id] for backend in self.backends)

    def largest_sum(self):
        """Return the largest number of requests that certainly fell into a window."""
        counts = [(e.sent_s, e.ended_s, self.runs(e)) for e in self.exchanges]
        return max(
            sum(
                runs
                for sent_s, ended_s, runs in counts
                if sent_s >= start_s and ended_s <= start_s + BOUNDS.window_s
            )
            for start_s, _, _ in counts
        )

    async def test_sum_stays_within_the_bound(self):
        names = [name for name in NAMES for _ in range(CLIENTS_PER_NODE)]
        tasks = [asyncio.create_task(self.flood(name)) for name in names]
        owner = self.by_name[self.owner_id]
        await owner.until(lambda: self.count_refused() >= SETTLED_REFUSALS)
        self.exchanges.clear()
        await asyncio.sleep(CALM_S)
        self.signal_owner(signal.SIGSTOP)
        await self.until_owned(self.others, is_suspended=True)
        await asyncio.sleep(BOUNDS.window_s)
        self.signal_owner(signal.SIGCONT)
        await self.until_owned(NAMES, is_suspended=False)
        await asyncio.sleep(BOUNDS.window_s)
        self.assertFalse([task for task in tasks if task.done()])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertGreater(self.count_refused(), 0)
        self.assertLessEqual(self.largest_sum(), SUM_MAX)

    async def test_demand_below_the_limit_is_served_by_the_next_owner(self):
        # Nodes ask for each request before the first change, and not before the others.
        for number, is_suspended in 2 * (
            (signal.SIGSTOP, True),
            (signal.SIGCONT, False),
        ):
            self.exchanges.clear()
            self.signal_owner(number)
            names = self.others if is_suspended else NAMES
            waiting = asyncio.create_task(
                self.until_owned(names, is_suspended=is_suspended)
            )
            nodes = itertools.cycle(self.others)
            left = PACED_COUNT
            while left or not waiting.done():
                await self.send(next(nodes))
                await asyncio.sleep(PACE_S)
                left -= waiting.done()
            await waiting
            self.assertLessEqual(self.count_refused(), REFUSED_MAX, number.name)
            self.assertGreater(sum(map(self.runs, self.exchanges)), 0, number.name)
