"""Servers that name a limit on their requests get no more from all nodes together."""

import asyncio
import logging
import unittest

from nose2.tools import params

from damaskproxy.forwarding.tests.builders import NAMES
from damaskproxy.forwarding.tests.virtual_service import (
    VirtualServer,
    VirtualService,
    virtual_clock,
)
from tools.faults.virtual_time import now_s, run_virtual

WINDOW_S = 4.0
TOLD_S = 0.5
"""Time after an answer that named the limit from which on the requests of a machine
count."""
WORK_S = 0.2


def allowed_in_window(limit_per_s):
    """Return the requests that a server with a limit may get in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def limit_header(limit_per_s):
    """Return the header that names a limit."""
    return (NAMES.server_limit, b"%.1f" % limit_per_s)


class VirtualTestCase(unittest.TestCase):
    """Test case on virtual time, without log lines."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_virtual(self, coroutine):
        with virtual_clock():
            return run_virtual(coroutine)


class ServerLimitTests(VirtualTestCase):
    """Guards against more requests than a server in need has said that it takes."""

    @params(
        # nodes, limits of the servers (0: none), requests per second
        (4, (12.0, 15.0, 20.0, 0), 100),
        (16, (12.0, 15.0, 20.0, 0), 100),
        (60, (12.0, 15.0, 20.0, 0), 100),
        (16, (2.0, 0, 0, 0), 100),
        (60, (4.0,) * 20 + (0,) * 10, 200),
        (200, (4.0,) * 40 + (0,) * 20, 300),
    )
    def test_limit_holds_and_the_rest_is_served_elsewhere(self, nodes, limits, rate):
        async def main():
            servers = [VirtualServer(WORK_S) for _ in limits]
            service = VirtualService(nodes, servers)
            await service.play(3.0, browse=rate * 0.8, order=rate * 0.2)
            for server, limit in zip(servers, limits):
                server.headers = [limit_header(limit)] if limit else []
            named_s = now_s()
            await service.play(12.0, browse=rate * 0.8, order=rate * 0.2)
            return service, servers, named_s

        service, servers, named_s = self.run_virtual(main())
        for server, limit in zip(servers, limits):
            if limit:
                most = server.most_in(WINDOW_S, named_s + TOLD_S)
                self.assertLessEqual(most, allowed_in_window(limit))
        self.assertGreaterEqual(service.served("browse"), 0.99)
        self.assertGreaterEqual(service.served("order"), 0.99)

    @params((4, 10.0), (16, 10.0), (60, 3.0))
    def test_urgent_requests_come_first_when_all_servers_are_limited(
        self, nodes, limit
    ):
        async def main():
            servers = [VirtualServer(WORK_S, [limit_header(limit)]) for _ in range(4)]
            service = VirtualService(nodes, servers)
            await service.play(3.0, browse=4 * limit, order=limit)
            for statuses in service.statuses.values():
                statuses.clear()
            named_s = now_s()
            await service.play(12.0, browse=8 * limit, order=2 * limit)
            return service, servers, named_s

        service, servers, named_s = self.run_virtual(main())
        for server in servers:
            most = server.most_in(WINDOW_S, named_s)
            self.assertLessEqual(most, allowed_in_window(limit))
        self.assertGreaterEqual(service.served("order"), 0.95)
        used = sum(len([t for t in s.arrivals_s if t >= named_s]) for s in servers)
        self.assertGreaterEqual(used, 0.8 * 4 * limit * 12.0)

    def test_limit_ends_when_it_is_no_longer_named(self):
        async def main():
            server = VirtualServer(WORK_S, [limit_header(5.0)])
            service = VirtualService(4, [server])
            await service.play(4.0, order=20.0)
            server.headers = []
            await service.play(2.0, order=20.0)
            service.statuses["order"].clear()
            await service.play(5.0, order=20.0)
            return service

        self.assertEqual(self.run_virtual(main()).served("order"), 1.0)

    @params(b"", b"much", b"-5", b"nan", b"inf", b"1e400")
    def test_invalid_limit_is_ignored(self, value):
        async def main():
            server = VirtualServer(WORK_S, [(NAMES.server_limit, value)])
            service = VirtualService(4, [server])
            await service.play(5.0, order=50.0)
            return service

        self.assertEqual(self.run_virtual(main()).served("order"), 1.0)

    def test_limit_of_zero_leaves_requests_that_find_its_end(self):
        async def main():
            server = VirtualServer(WORK_S, [limit_header(0.0)])
            service = VirtualService(4, [server])
            await service.play(2.0, order=20.0)
            since_s = now_s()
            await service.play(10.0, order=20.0)
            most = server.most_in(WINDOW_S, since_s)
            server.headers = []
            await service.play(5.0, order=20.0)
            service.statuses["order"].clear()
            await service.play(3.0, order=20.0)
            return service, most

        service, most = self.run_virtual(main())
        self.assertLessEqual(most, allowed_in_window(0.0))
        self.assertEqual(service.served("order"), 1.0)

    def test_limit_holds_after_the_node_beside_the_server_started_anew(self):
        async def main():
            server = VirtualServer(WORK_S, [limit_header(5.0)])
            service = VirtualService(16, [server])
            await service.play(5.0, order=60.0)
            since_s = now_s()
            node = service.nodes["n0"]
            node.start(node.backend.record)
            await asyncio.sleep(0.2)
            await service.play(8.0, order=60.0)
            return server.most_in(WINDOW_S, since_s)

        self.assertLessEqual(self.run_virtual(main()), allowed_in_window(5.0))
