"""Leaving and planned stops: no new work for the server that goes, no call cut."""

import asyncio
import json
import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.history import EventKind
from damaskproxy.node.tests.mesh import Mesh, make_document
from damaskproxy.standins.backend_settings import ChildCall

CHILD = (ChildCall("/", "GET", "stores", "/stock"),)
CALLS = 6
# Long enough to keep a server busy while the calls of a test pass it by.
SLOW = {"/slow": 400.0}


async def cut_off(node):
    """Let a node neither hear of changes nor spread any."""
    await node.parts.control_server.stop()
    # The first background task is the one that probes, pushes and listens to peers.
    node._tasks[0].cancel()


def prefer(node, wanted, *, after_first=False):
    """Let the balancer of a node choose `wanted` where it may, or only for hedges.

    A busy server would be passed by for its load, which proves nothing.
    """
    choose = node.parts.balancer.choose

    def chosen(service, members, *, exclude=frozenset()):
        if after_first and not exclude:
            return choose(service, members, exclude={wanted})
        usable = [m for m in members if m.node_id == wanted and wanted not in exclude]
        return usable[0] if usable else choose(service, members, exclude=exclude)

    node.parts.balancer.choose = chosen


class MeshCase(unittest.IsolatedAsyncioTestCase):
    """A mesh with an entry node without a backend server."""

    async def asyncSetUp(self):
        self.mesh = Mesh()
        await self.mesh.start()
        self.addAsyncCleanup(self.mesh.close)
        await self.mesh.edit(make_document())

    async def start_nodes(self, services, **config):
        """Start n0, n1, ... with the given services and one set of options."""
        for number in range(len(services)):
            await self.mesh.add_node(f"n{number}")
        for number, service in enumerate(services):
            if service:
                children = CHILD if service == "orders" and "stores" in services else ()
                options = {"spread": 0.0, "children": children} | config
                await self.mesh.add_backend(f"n{number}", service, **options)
        counts = Counter(name for name in services if name)
        await self.mesh.until_ready(counts)

    async def send(self, keys, count=CALLS):
        """Send browsing, and an order for each key, all to the entry node."""
        sends = [self.mesh.call("n0", f"/orders/list?{n}") for n in range(count)]
        sends += [
            self.mesh.call("n0", "/orders/place", method="POST", key=key, body=b"o")
            for key in keys
        ]
        return await asyncio.gather(*sends)

    def assert_whole(self, answers):
        """Each answer is whole, and so are its outbound calls."""
        self.assertEqual([body for status, _, body in answers if status != 200], [])
        for _, _, body in answers:
            children = json.loads(body)["children"]
            self.assertTrue(all(child["whole"] for child in children), body)


class StopTests(MeshCase):
    """SIGTERM at any hop of a chain lets the calls in flight work to the end."""

    @params(
        # hop, node that stops, node that issues the keys
        ("entry", "n0", "n1"),
        ("entry and ledger", "n0", "n0"),
        ("ledger and first service", "n1", "n1"),
        ("first service", "n1", "n0"),
        ("second service", "n2", "n0"),
        ("ledger elsewhere", "n3", "n3"),
    )
    async def test_stop_cuts_no_call(self, _hop, stopped, issuer):
        await self.start_nodes(
            ["", "orders", "stores", "orders", "stores"], service_time_ms=60.0
        )
        keys = await self.mesh.keys(issuer, CALLS)
        answers = asyncio.create_task(self.send(keys))
        await self.mesh.until(lambda: self.mesh.all_runs() >= CALLS)
        await self.mesh.nodes[stopped].stop()
        answers = await answers
        self.assert_whole(answers)
        orders = self.mesh.runs("n1") + self.mesh.runs("n3")
        self.assertGreaterEqual(orders, 2 * CALLS)
        ran = Counter(
            event.key
            for node_id in ("n1", "n3")
            for event in self.mesh.recorders[node_id].events
            if event.kind is EventKind.RAN
        )
        self.assertEqual([ran[key] for key in keys], [1] * CALLS)


class LeavingTests(MeshCase):
    """A leaving server gets no new work, whoever does not know that it leaves."""

    async def drain(self, node_id):
        """Start the drain of a node and return its task when it has begun."""
        node = self.mesh.nodes[node_id]
        task = asyncio.create_task(node.drain())
        await self.mesh.until(lambda: node.parts.state.is_draining)
        return task

    async def drain_n1_with_a_call(self):
        """Let n1 drain while a slow call keeps it; return what to wait for."""
        slow = []
        while not self.mesh.runs("n1"):
            # The entry node chooses the server, so n1 may take more than one call.
            slow.append(asyncio.create_task(self.mesh.call("n0", "/orders/slow")))
            target = self.mesh.nodes["n1"].parts.target
            await self.mesh.until(lambda: self.mesh.all_runs() == len(slow))
        self.assertTrue(target.in_flight)
        return await self.drain("n1"), slow

    async def test_entry_without_control_plane(self):
        """A node that missed the news must not bring the server new work."""
        await self.start_nodes(["", "orders", "orders"], route_time_ms=SLOW)
        keys = await self.mesh.keys("n0", CALLS)
        await cut_off(self.mesh.nodes["n0"])
        drained, slow = await self.drain_n1_with_a_call()
        before = self.mesh.runs("n1")
        known = self.mesh.nodes["n0"].parts.membership.serving("orders")
        self.assertEqual(len(known), 2)
        prefer(self.mesh.nodes["n0"], "n1")
        answers = await self.send(keys)
        self.assertEqual(self.mesh.runs("n1"), before)
        # The retry ratio lets some refusals through; they must be explicit.
        refused = [json.loads(body) for status, _, body in answers if status != 200]
        for problem in refused:
            told = (problem["reason"], problem["outcome"])
            self.assertEqual(told, ("leaving", "not-run"))
        self.assertLess(len(refused), len(answers))
        self.assert_whole(await asyncio.gather(*slow))
        await drained

    async def test_queued_work_goes_elsewhere(self):
        """Calls that wait for a slot are returned and run on another server."""
        await self.start_nodes(["", "orders", ""], service_time_ms=100.0, slots=1)
        # The other server has room, so that no call is refused for its own queue.
        await self.mesh.add_backend("n2", "orders", service_time_ms=30.0, slots=8)
        await self.mesh.until_ready({"orders": 2})
        keys = await self.mesh.keys("n0", 4)
        await cut_off(self.mesh.nodes["n0"])
        prefer(self.mesh.nodes["n0"], "n1")
        answers = asyncio.create_task(self.send(keys, count=0))
        node = self.mesh.nodes["n1"]
        await self.mesh.until(
            lambda: node.parts.target.in_flight == len(keys) and self.mesh.runs("n1")
        )
        drained = await self.drain("n1")
        before = self.mesh.runs("n1")
        self.assert_whole(await answers)
        await drained
        self.assertEqual(self.mesh.runs("n1"), before)
        self.assertEqual(self.mesh.all_runs(), len(keys))

    async def test_hedge_finds_no_leaving_server(self):
        """A hedge that the other server refuses must not spoil the first attempt."""
        await self.start_nodes(["", "orders", "orders"], route_time_ms=SLOW)
        await cut_off(self.mesh.nodes["n0"])
        drained, slow = await self.drain_n1_with_a_call()
        before = self.mesh.runs("n1")
        prefer(self.mesh.nodes["n0"], "n1", after_first=True)
        balancer = self.mesh.nodes["n0"].parts.balancer
        balancer.hedge_delay_s = lambda service, route: 0.0
        self.assert_whole(await self.send([], count=4))
        self.assertEqual(self.mesh.runs("n1"), before)
        self.assert_whole(await asyncio.gather(*slow))
        await drained

    async def test_outbound_calls_of_a_draining_server(self):
        """A request in flight makes its outbound call after its node began to drain."""
        await self.start_nodes(["", "orders", "stores"], service_time_ms=40.0)
        answers = asyncio.create_task(self.send([], count=3))
        await self.mesh.until(lambda: self.mesh.runs("n1") == 3)
        self.assertEqual(self.mesh.runs("n2"), 0)
        await (await self.drain("n1"))
        self.assert_whole(await answers)
        self.assertEqual(self.mesh.runs("n2"), 3)
