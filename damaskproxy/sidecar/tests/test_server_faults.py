"""Requests through nodes while backend servers corrupt or lose responses."""

import asyncio
import time
import unittest

from nose2.tools import params

from damaskproxy.sidecar.tests.faulty_server import FORGED, LATE_S, FaultyServer
from damaskproxy.sidecar.tests.mesh import MeshTestCase

AT_ONCE_S = 0.5
"""Time within which a request ends; the time-out of the routes is 0.8 s."""
CLOSED_WITHIN_S = 1.5
"""Time within which a connection is closed; idle ones are closed after 3 s."""


class ServerFaultTestCase(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Test case with two faulty servers of orders."""

    async def start_servers(self, caller_service):
        """Start the servers, and return the node that receives requests."""
        self.faults = []
        self.servers, caller = await self.start_order_servers(
            lambda instance_id: FaultyServer(instance_id, self.faults), caller_service
        )
        return caller

    def runs(self, request_id):
        """Return how often the servers have run a request."""
        return sum(server.runs[request_id] for server in self.servers)


class ResponseTests(ServerFaultTestCase):
    """Guards against forged answers, repeated orders and lost runs named as not run.

    The first node and a server of its own run the request, or another node. Each fault
    is on a new connection and on one that has carried a request.
    """

    async def send(self, caller, target, fault, *, is_kept):
        """Return the answer to a request whose first response is faulty, and its runs.

        The node must close the connection to the faulty server.
        """
        if is_kept:
            await caller.call(target, method=b"POST", request_id=b"first")
        else:
            # A node checks the health of its server on a connection of the same pool.
            for member in self.members:
                member.sidecar.pool.close()
        self.faults.append(fault)
        answer = await caller.call(target, method=b"POST", request_id=b"id")
        self.assertNotIn(FORGED, answer.body)
        # Only refusals of requests that have not run suggest to send them again.
        self.assertIsNone(answer.header(b"retry-after"))
        start_s = time.monotonic()
        await self.until(lambda: sum(s.closed_count for s in self.servers) == 1)
        self.assertLess(time.monotonic() - start_s, CLOSED_WITHIN_S)
        return answer, self.runs(b"id")

    @params(
        *[
            (service, fault, is_kept)
            for service in ("orders", "stores")
            for fault in ("close", "reset", "cut", "other id", "no id", "no MAC")
            for is_kept in (False, True)
        ]
    )
    async def test_request_without_a_proper_response(self, service, fault, is_kept):
        caller = await self.start_servers(service)
        start_s = time.monotonic()
        answer, runs = await self.send(caller, b"/read/1", fault, is_kept=is_kept)
        self.assertEqual((answer.status, answer.body, runs), (200, b"proper", 2))
        self.assertLess(time.monotonic() - start_s, AT_ONCE_S)

    @params(
        *[
            (service, fault, is_kept)
            for service in ("orders", "stores")
            for fault in ("close", "reset", "cut", "other id", "no id", "no MAC")
            for is_kept in (False, True)
        ]
    )
    async def test_order_without_a_proper_response(self, service, fault, is_kept):
        caller = await self.start_servers(service)
        answer, runs = await self.send(caller, b"/write/1", fault, is_kept=is_kept)
        self.assertEqual((answer.status, runs), (502, 1))

    @params(
        *[
            (service, target)
            for service in ("orders", "stores")
            for target in (b"/read/1", b"/write/1")
        ]
    )
    async def test_response_that_never_comes(self, service, target):
        caller = await self.start_servers(service)
        answer, runs = await self.send(caller, target, "silent", is_kept=True)
        self.assertEqual((answer.status, runs), (504, 1))

    @params(
        *[
            (service, target, fault, is_kept)
            for service in ("orders", "stores")
            for target in (b"/read/1", b"/write/1")
            for fault, is_kept in (
                ("more", False),
                ("more", True),
                ("more later", True),
                ("twice", True),
            )
        ]
    )
    async def test_proper_response_among_others(self, service, target, fault, is_kept):
        caller = await self.start_servers(service)
        answer, runs = await self.send(caller, target, fault, is_kept=is_kept)
        self.assertEqual((answer.status, answer.body, runs), (200, b"proper", 1))
        later = await caller.call(target, method=b"POST", request_id=b"later")
        self.assertEqual((later.status, later.body), (200, b"proper"))

    @params(b"/read/1", b"/write/1")
    async def test_response_to_an_abandoned_request(self, target):
        """The late response must not answer the next request of the node."""
        caller = await self.start_servers("orders")
        self.faults.append("late")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(LATE_S / 2):
                await caller.call(target, method=b"POST", request_id=b"first")
        opened_count = self.servers[0].opened_count
        answer = await caller.call(target, method=b"POST", request_id=b"id")
        self.assertEqual((answer.status, answer.body), (200, b"proper"))
        self.assertEqual(self.runs(b"id"), 1)
        self.assertEqual(self.servers[0].opened_count, opened_count + 1)

    @params(
        *[
            (service, target)
            for service in ("orders", "stores")
            for target in (b"/read/1", b"/write/1")
        ]
    )
    async def test_idle_connections_that_the_server_closes(self, service, target):
        """Each request finds the connection of the one before it closed."""
        caller = await self.start_servers(service)
        opened_count = self.servers[0].opened_count
        for number in range(5):
            request_id = b"id%d" % number
            answer = await caller.call(target, method=b"POST", request_id=request_id)
            self.assertEqual((answer.status, answer.body), (200, b"proper"))
            self.assertEqual(self.runs(request_id), 1)
            for server in self.servers:
                server.end_connections()
        self.assertGreaterEqual(self.servers[0].opened_count, opened_count + 4)
