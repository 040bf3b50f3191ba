"""Requests to an address that a server of another service takes over."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.forwarding.calls import NotRunReason
from damaskproxy.platform.standins import StampedBackend, encode_configuration
from damaskproxy.platform.standins.requests import ROUTES
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.faulty_server import FaultyServer
from damaskproxy.sidecar.tests.mesh import MeshTestCase
from demo.processes import free_ports

LISTENERS = ("caller", "readiness", "control")
OTHER_ROUTE = {"prefix": "/other/", "kind": "safe", "service": "stores"}


class ReassignedAddressTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against requests that a server of another service gets or answers.

    Requests are sent to the node of the address and to another one. The earlier server
    does not check which incarnation a request is for.
    """

    async def start_server(self, caller_name):
        """Start a server of orders; return the node that receives requests."""
        routes = {**ROUTES, "other": OTHER_ROUTE}
        self.rows.put("op", "config", encode_configuration(2, routes))
        self.earlier = FaultyServer("i-n2", [])
        address = await self.earlier.open()
        self.addAsyncCleanup(self.earlier.close)
        one = await self.start("n1", "stores")
        await one.report("draining")
        self.two = await self.start("n2", backend_address=address)
        await self.until_known(1)
        await self.until_known(0, "stores")
        caller = {"n1": one, "n2": self.two}[caller_name]
        answer = await caller.call(b"/read/1", request_id=b"0")
        self.assertEqual(answer.status, 200)
        return caller

    async def take_over(self):
        """Start a server of another service at the address, without a report."""
        await self.earlier.close()
        self.later = StampedBackend("i-other", "stores")
        address = to_address(self.two.sidecar.settings.backend_address)
        await self.later.open(address.port)
        self.addAsyncCleanup(self.later.close)

    async def report_later(self):
        """Let the server that took over the address report to the node."""
        self.two.backend.instance_id, self.two.backend.service = "i-other", "stores"
        self.two.born_ms = 2000
        self.assertEqual(await self.two.report(), 200)
        await self.until_known(1, "stores")

    @params(
        *[
            (caller, target)
            for caller in ("n1", "n2")
            for target in (b"/read/1", b"/write/1")
        ]
    )
    async def test_request_for_the_earlier_server_is_not_run(self, caller, target):
        caller = await self.start_server(caller)
        self.earlier.end_connections()
        await self.take_over()
        for number, must_report in enumerate((False, True)):
            if must_report:
                await self.report_later()
            answer = await caller.call(target, request_id=b"id%d" % number)
            self.assertEqual(answer.status, 503)
            self.assertIsNotNone(answer.header(b"retry-after"))
        self.assertFalse(self.later.runs)
        answer = await caller.call(b"/other/1", request_id=b"later")
        self.assertEqual((answer.status, answer.body), (200, b"from i-other"))

    @params("n1", "n2")
    async def test_idle_connection_to_the_earlier_server_is_not_used(self, caller):
        """An earlier server that still runs would answer requests for the later one."""
        caller = await self.start_server(caller)
        await self.take_over()
        await self.report_later()
        answer = await caller.call(b"/other/1", request_id=b"later")
        self.assertEqual((answer.status, answer.body), (200, b"from i-other"))
        self.assertFalse(self.earlier.runs[b"later"])

    @params("n1", "n2")
    async def test_busy_connection_to_the_earlier_server_is_not_used_again(
        self, caller
    ):
        caller = await self.start_server(caller)
        self.earlier.faults.append("late")
        running = asyncio.create_task(caller.call(b"/read/1", request_id=b"running"))
        await self.until(lambda: self.earlier.runs[b"running"])
        await self.take_over()
        await self.report_later()
        self.assertEqual((await running).status, 200)
        answer = await caller.call(b"/other/1", request_id=b"later")
        self.assertEqual((answer.status, answer.body), (200, b"from i-other"))
        self.assertFalse(self.earlier.runs[b"later"])


class ReassignedPeerAddressTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against calls that a node of another service runs on its own server."""

    @params(b"/read/1", b"/write/1")
    async def test_call_to_the_earlier_node_is_not_run(self, target):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        answer = await one.call(target, request_id=b"0")
        self.assertEqual(answer.status, 200)
        peer_address = two.sidecar.settings.listeners.peer
        await self.kill(two)
        ports = zip(LISTENERS, free_ports(len(LISTENERS)))
        listeners = {name: f"127.0.0.1:{port}" for name, port in ports}
        listeners["peer"] = peer_address
        three = await self.start("n3", "stores", listeners=listeners)
        self.assertEqual(len(one.sidecar.directory.serving("orders")), 1)
        for number in range(3):
            answer = await one.call(target, request_id=b"id%d" % number)
            self.assertEqual(answer.status, 503)
            self.assertIsNotNone(answer.header(b"retry-after"))
            await asyncio.sleep(0.3)
        self.assertFalse(three.backend.runs)
        refused = three.sidecar.target._stats.calls_refused
        self.assertGreater(refused[NotRunReason.OTHER_SERVICE], 0)
