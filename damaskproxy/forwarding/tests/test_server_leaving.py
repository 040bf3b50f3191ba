"""Servers that say in their answers that they leave get no more requests."""

from nose2.tools import params

from damaskproxy.forwarding.tests.builders import NAMES
from damaskproxy.forwarding.tests.test_server_limit import VirtualTestCase
from damaskproxy.forwarding.tests.virtual_service import (
    VirtualServer,
    VirtualService,
)
from tools.faults.virtual_time import now_s

WORK_S = 0.2
DRAIN_S = 2.0
"""Time after an answer that named the leave from which on no request may arrive."""
LEAVING = (NAMES.server_leaving, b"1")


class ServerLeavingTests(VirtualTestCase):
    """Guards against requests to a server that has said that it leaves."""

    @params(4, 16, 200)
    def test_no_request_arrives_after_the_drain_time(self, nodes):
        async def main():
            servers = [VirtualServer(WORK_S) for _ in range(4)]
            service = VirtualService(nodes, servers)
            await service.play(2.0, browse=80.0, order=20.0)
            servers[0].headers = [LEAVING]
            left_s = now_s()
            await service.play(6.0, browse=80.0, order=20.0)
            return service, servers[0], left_s

        service, server, left_s = self.run_virtual(main())
        self.assertEqual([t for t in server.arrivals_s if t > left_s + DRAIN_S], [])
        self.assertGreaterEqual(service.served("browse"), 0.99)
        self.assertGreaterEqual(service.served("order"), 0.99)

    def test_server_stays_gone_after_its_node_started_anew(self):
        async def main():
            servers = [VirtualServer(WORK_S) for _ in range(2)]
            service = VirtualService(4, servers)
            await service.play(1.0, order=20.0)
            servers[0].headers = [LEAVING]
            await service.play(2.0, order=20.0)
            since_s = now_s()
            node = service.nodes["n0"]
            node.start(node.backend.record)
            await service.play(4.0, order=20.0)
            return [t for t in servers[0].arrivals_s if t > since_s]

        self.assertEqual(self.run_virtual(main()), [])

    @params(b"0", b"", b"yes")
    def test_other_values_name_no_leave(self, value):
        async def main():
            server = VirtualServer(WORK_S, [(NAMES.server_leaving, value)])
            service = VirtualService(4, [server])
            await service.play(3.0, order=20.0)
            return service.served("order")

        self.assertEqual(self.run_virtual(main()), 1.0)
