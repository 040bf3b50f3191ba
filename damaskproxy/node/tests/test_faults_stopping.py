"""Drains and planned stops: no new work for a draining server, no aborted call."""

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
# Long enough to keep a server busy while the calls of a test go to another one.
SLOW = {"/slow": 400.0}


async def isolate_control_plane(node):
    """Isolate a node from the control plane: it neither receives nor sends changes."""
    await node.parts.control_server.stop()
    # The first background task is `Membership.run`, which probes and pushes to peers.
    node._tasks[0].cancel()


def prefer_server(node, preferred_id, *, after_first=False):
    """Make the balancer of a node choose `preferred_id` if allowed, or only for hedges.

    The balancer would otherwise avoid a busy server because of its load, and the test
    would prove nothing.
    """
    choose = node.parts.balancer.choose

    def choose_preferred(service, members, *, exclude=frozenset()):
        if after_first and not exclude:
            return choose(service, members, exclude={preferred_id})
        preferred = [
            m
            for m in members
            if m.node_id == preferred_id and preferred_id not in exclude
        ]
        return preferred[0] if preferred else choose(service, members, exclude=exclude)

    node.parts.balancer.choose = choose_preferred


class MeshTestCase(unittest.IsolatedAsyncioTestCase):
    """Mesh whose entry node n0 has no backend server."""

    async def asyncSetUp(self):
        self.mesh = Mesh()
        await self.mesh.start()
        self.addAsyncCleanup(self.mesh.close)
        await self.mesh.edit(make_document())

    async def start_nodes(self, services, **config):
        """Start n0, n1, ... with the given services and common options."""
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
        """Send reads, and an order for each key, to the entry node."""
        sends = [self.mesh.call("n0", f"/orders/list?{n}") for n in range(count)]
        sends += [
            self.mesh.call("n0", "/orders/place", method="POST", key=key, body=b"o")
            for key in keys
        ]
        return await asyncio.gather(*sends)

    def assert_complete(self, answers):
        """Check that each response and those of its outbound calls are complete."""
        self.assertEqual([body for status, _, body in answers if status != 200], [])
        for _, _, body in answers:
            children = json.loads(body)["children"]
            self.assertTrue(all(child["whole"] for child in children), body)


class StopTests(MeshTestCase):
    """SIGTERM at any hop of a call chain lets the calls in flight complete."""

    @params(
        # hop, node that stops, node that issues the keys
        ("entry", "n0", "n1"),
        ("entry and ledger", "n0", "n0"),
        ("ledger and first service", "n1", "n1"),
        ("first service", "n1", "n0"),
        ("second service", "n2", "n0"),
        ("ledger elsewhere", "n3", "n3"),
    )
    async def test_stop_aborts_no_call(self, _hop, stopped, issuer):
        await self.start_nodes(
            ["", "orders", "stores", "orders", "stores"], service_time_ms=60.0
        )
        keys = await self.mesh.keys(issuer, CALLS)
        answers = asyncio.create_task(self.send(keys))
        await self.mesh.until(lambda: self.mesh.all_runs() >= CALLS)
        await self.mesh.nodes[stopped].stop()
        answers = await answers
        self.assert_complete(answers)
        orders = self.mesh.runs("n1") + self.mesh.runs("n3")
        self.assertGreaterEqual(orders, 2 * CALLS)
        ran = Counter(
            event.key
            for node_id in ("n1", "n3")
            for event in self.mesh.recorders[node_id].events
            if event.kind is EventKind.RAN
        )
        self.assertEqual([ran[key] for key in keys], [1] * CALLS)


class DrainTests(MeshTestCase):
    """A draining server gets no new work, even from nodes without that information."""

    async def drain(self, node_id):
        """Start to drain a node; return the task once it has begun."""
        node = self.mesh.nodes[node_id]
        task = asyncio.create_task(node.drain())
        await self.mesh.until(lambda: node.parts.state.is_draining)
        return task

    async def drain_n1_with_a_call_in_flight(self):
        """Start to drain n1 with a slow call in flight; return the tasks of both."""
        slow = []
        while not self.mesh.runs("n1"):
            # The entry node chooses the server, so it may take several calls to hit n1.
            slow.append(asyncio.create_task(self.mesh.call("n0", "/orders/slow")))
            target = self.mesh.nodes["n1"].parts.target
            await self.mesh.until(lambda: self.mesh.all_runs() == len(slow))
        self.assertTrue(target.in_flight)
        return await self.drain("n1"), slow

    async def test_entry_node_without_control_plane(self):
        """An entry node that missed the drain must not give the server new work."""
        await self.start_nodes(["", "orders", "orders"], route_time_ms=SLOW)
        keys = await self.mesh.keys("n0", CALLS)
        await isolate_control_plane(self.mesh.nodes["n0"])
        drain_task, slow = await self.drain_n1_with_a_call_in_flight()
        runs_before = self.mesh.runs("n1")
        known = self.mesh.nodes["n0"].parts.membership.serving("orders")
        self.assertEqual(len(known), 2)
        prefer_server(self.mesh.nodes["n0"], "n1")
        answers = await self.send(keys)
        self.assertEqual(self.mesh.runs("n1"), runs_before)
        # The retry budget lets some refusals reach callers; they must be explicit.
        refused = [json.loads(body) for status, _, body in answers if status != 200]
        for problem in refused:
            received_refusal = (problem["reason"], problem["outcome"])
            self.assertEqual(received_refusal, ("leaving", "not-run"))
        self.assertLess(len(refused), len(answers))
        self.assert_complete(await asyncio.gather(*slow))
        await drain_task

    async def test_queued_calls_run_on_another_server(self):
        """Calls queued at a draining server are refused and run on another server."""
        await self.start_nodes(["", "orders", ""], service_time_ms=100.0, slots=1)
        # The other server has enough slots, so that no call is refused by its queue.
        await self.mesh.add_backend("n2", "orders", service_time_ms=30.0, slots=8)
        await self.mesh.until_ready({"orders": 2})
        keys = await self.mesh.keys("n0", 4)
        await isolate_control_plane(self.mesh.nodes["n0"])
        prefer_server(self.mesh.nodes["n0"], "n1")
        answers = asyncio.create_task(self.send(keys, count=0))
        node = self.mesh.nodes["n1"]
        await self.mesh.until(
            lambda: node.parts.target.in_flight == len(keys) and self.mesh.runs("n1")
        )
        drain_task = await self.drain("n1")
        runs_before = self.mesh.runs("n1")
        self.assert_complete(await answers)
        await drain_task
        self.assertEqual(self.mesh.runs("n1"), runs_before)
        self.assertEqual(self.mesh.all_runs(), len(keys))

    async def test_hedge_avoids_a_draining_server(self):
        """A hedge refused by a draining server must not fail the first attempt."""
        await self.start_nodes(["", "orders", "orders"], route_time_ms=SLOW)
        await isolate_control_plane(self.mesh.nodes["n0"])
        drain_task, slow = await self.drain_n1_with_a_call_in_flight()
        runs_before = self.mesh.runs("n1")
        prefer_server(self.mesh.nodes["n0"], "n1", after_first=True)
        balancer = self.mesh.nodes["n0"].parts.balancer
        balancer.hedge_delay_s = lambda service, route: 0.0
        self.assert_complete(await self.send([], count=4))
        self.assertEqual(self.mesh.runs("n1"), runs_before)
        self.assert_complete(await asyncio.gather(*slow))
        await drain_task

    async def test_outbound_calls_of_a_draining_server(self):
        """A request in flight can make outbound calls after its node began to drain."""
        await self.start_nodes(["", "orders", "stores"], service_time_ms=40.0)
        answers = asyncio.create_task(self.send([], count=3))
        await self.mesh.until(lambda: self.mesh.runs("n1") == 3)
        self.assertEqual(self.mesh.runs("n2"), 0)
        await (await self.drain("n1"))
        self.assert_complete(await answers)
        self.assertEqual(self.mesh.runs("n2"), 3)
