"""Calls over loopback: call chains, keys, drains, stops and invalid input."""

import asyncio
import json
import unittest

from nose2.tools import params

from damaskproxy.node.tests.mesh import Mesh, make_document
from damaskproxy.standins.backend_settings import ChildCall


class MeshTests(unittest.IsolatedAsyncioTestCase):
    """Checks the guarantees to callers on a mesh of up to three nodes."""

    async def asyncSetUp(self):
        self.mesh = Mesh()
        await self.mesh.start()
        self.addAsyncCleanup(self.mesh.close)
        self.version = await self.mesh.edit(make_document())

    async def start_nodes(self, services, **config):
        """Start a node for each entry, with a backend server unless it is empty."""
        for number in range(len(services)):
            await self.mesh.add_node(f"n{number}")
        for number, service in enumerate(services):
            if service:
                await self.mesh.add_backend(f"n{number}", service, **config)
        counts = {name: services.count(name) for name in set(services) if name}
        await self.mesh.until_ready(counts)

    async def test_call_chain(self):
        """A backend server calls a second service through its local node."""
        for number in range(3):
            await self.mesh.add_node(f"n{number}")
        await self.mesh.add_backend(
            "n1",
            "orders",
            children=(ChildCall("/", "GET", "stores", "/stock"),),
        )
        await self.mesh.add_backend("n2", "stores")
        await self.mesh.until_ready({"orders": 1, "stores": 1})
        status, headers, body = await self.mesh.call("n0", "/orders/list")
        self.assertEqual(status, 200, body)
        self.assertEqual(headers["Damask-Outcome"], "run")
        self.assertEqual(self.mesh.runs("n2"), 1)

    async def test_key_runs_once(self):
        """Resends through any node join the first run or get its response."""
        await self.start_nodes(["", "orders", "orders"])
        (key,) = await self.mesh.keys("n0")
        sends = [
            self.mesh.call(f"n{n}", "/orders/place", method="POST", key=key, body=b"o")
            for n in (0, 1, 2, 0, 1, 2)
        ]
        answers = await asyncio.gather(*sends)
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(len({body for _, _, body in answers}), 1)
        self.assertEqual(self.mesh.all_runs(), 1)

    async def test_chosen_key_runs_once(self):
        """Entry nodes that receive a caller-chosen key concurrently use one ledger."""
        await self.start_nodes(["", "orders", "orders"])
        sends = [
            self.mesh.call(
                f"n{n}", "/orders/place", method="POST", key="k-1", body=b"o"
            )
            for n in (0, 1, 2, 0)
        ]
        answers = await asyncio.gather(*sends)
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(self.mesh.all_runs(), 1)

    async def test_table_unavailable(self):
        """Issued keys work without the table; caller-chosen keys are refused."""
        await self.start_nodes(["", "orders"])
        keys = await self.mesh.keys("n0", 2)
        self.mesh.table.faults.down = True
        status, _, _ = await self.mesh.call(
            "n0", "/orders/place", method="POST", key=keys[0], body=b"o"
        )
        self.assertEqual(status, 200)
        status, _, body = await self.mesh.call(
            "n0", "/orders/place", method="POST", key="chosen", body=b"o"
        )
        problem = json.loads(body)
        self.assertEqual((status, problem["reason"]), (503, "pin-unavailable"))
        self.assertEqual(problem["outcome"], "unknown")

    @params(
        ("GET", "/nothing/x", {}, b"", 404, "unknown-service"),
        ("PUT", "/orders/x", {}, b"", 404, "unknown-route"),
        ("POST", "/orders/place", {}, b"", 400, "key-required"),
        ("POST", "/orders/place", {"key": "dk1.x.1.2.3.4"}, b"", 400, "key-invalid"),
        ("POST", "/orders/place", {"key": "k" * 300}, b"", 400, "key-invalid"),
        ("GET", "/orders/x", {"X-Long": "x" * 20_000}, b"", 431, "header-too-large"),
        ("GET", "/orders/x", {}, b"x" * (2 << 20), 413, "body-too-large"),
        ("GET", "/orders/x", {"Damask-Deadline-Ms": "-1"}, b"", 400, "bad-request"),
        ("GET", "/damask/keys", {}, b"", 400, "bad-request"),
        ("POST", "/damask/keys?count=many", {}, b"", 400, "bad-request"),
    )
    async def test_invalid_input(self, method, path, headers, body, status, reason):
        """Each kind of invalid input gets its own status and reaches no server."""
        await self.start_nodes(["orders"])
        received_status, answer_headers, problem = await self.mesh.call(
            "n0", path, method=method, body=body, **headers
        )
        self.assertEqual(
            (received_status, json.loads(problem)["reason"]), (status, reason)
        )
        self.assertEqual(answer_headers["Content-Type"], "application/problem+json")
        self.assertEqual(self.mesh.runs("n0"), 0)

    async def test_stop_aborts_no_request(self):
        """Requests in flight when a node begins to stop get their responses."""
        await self.start_nodes(["", "orders", "orders"], service_time_ms=100.0)
        sends = [
            asyncio.create_task(self.mesh.call("n0", "/orders/list")) for _ in range(10)
        ]
        node = self.mesh.nodes["n1"]
        await self.mesh.until(lambda: node.parts.target.in_flight)
        await node.stop()
        answers = await asyncio.gather(*sends)
        self.assertEqual([status for status, _, _ in answers], [200] * 10)
        self.assertTrue(self.mesh.exits["n1"].done())

    async def test_key_stays_valid_after_its_node_stopped(self):
        """The heir has the response for a key after its issuer was stopped."""
        await self.start_nodes(["", "orders", "orders"])
        used, fresh = await self.mesh.keys("n1", 2)
        send = {"method": "POST", "body": b"o"}
        _, _, first = await self.mesh.call("n1", "/orders/place", key=used, **send)
        await self.mesh.nodes["n1"].stop()
        status, _, replayed = await self.mesh.call(
            "n0", "/orders/place", key=used, **send
        )
        self.assertEqual((status, replayed), (200, first))
        status, _, _ = await self.mesh.call("n0", "/orders/place", key=fresh, **send)
        self.assertEqual(status, 200)
        self.assertEqual(self.mesh.all_runs(), 2)

    async def test_raised_incarnation(self):
        """A node falsely declared dead keeps its keys and calls, and can be heir."""
        await self.start_nodes(["", "orders", "orders"])
        used, fresh = await self.mesh.keys("n1", 2)
        send = {"method": "POST", "body": b"o"}
        _, _, first = await self.mesh.call("n0", "/orders/place", key=used, **send)
        nodes = self.mesh.nodes
        for node_id in ("n1", "n2"):
            nodes[node_id].parts.membership._own.rejoin()
        raised = nodes["n1"].parts.membership.self_member().incarnation
        await self.mesh.until(
            lambda: nodes["n0"].parts.membership.member("n1").incarnation == raised
        )
        status, _, replayed = await self.mesh.call(
            "n0", "/orders/place", key=used, **send
        )
        self.assertEqual((status, replayed), (200, first))
        await nodes["n1"].stop()
        status, _, replayed = await self.mesh.call(
            "n0", "/orders/place", key=used, **send
        )
        self.assertEqual((status, replayed), (200, first))
        status, _, _ = await self.mesh.call("n0", "/orders/place", key=fresh, **send)
        self.assertEqual((status, self.mesh.all_runs()), (200, 2))

    async def test_move_out_of_a_data_centre(self):
        """A service that leaves a data centre drains there without failed calls."""
        await self.mesh.add_node("n0", data_centre="dc1")
        await self.mesh.add_node("n1", data_centre="dc2")
        for node_id in ("n0", "n1"):
            await self.mesh.add_backend(node_id, "orders", service_time_ms=20.0)
        await self.mesh.until_ready({"orders": 2})
        for _ in range(60):
            await self.mesh.call("n0", "/orders/list")
        leaving = {"dc1": "leaving", "dc2": "serving"}
        await self.mesh.edit(make_document(placement=leaving), self.version)
        statuses = []
        async with asyncio.timeout(20):
            while self.mesh.nodes["n0"].parts.backend.service:
                status, _, _ = await self.mesh.call("n0", "/orders/list")
                statuses.append(status)
        self.assertEqual(set(statuses), {200})
        before = self.mesh.runs("n0")
        status, _, _ = await self.mesh.call("n0", "/orders/list")
        self.assertEqual((status, self.mesh.runs("n0")), (200, before))
