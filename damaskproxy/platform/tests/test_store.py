"""Client of the platform's store against the stand-in."""

import socket
import unittest

from nose2.tools import params

from damaskproxy.http1 import DeadPeerLimits
from damaskproxy.platform.standins import RowStoreStandIn
from damaskproxy.platform.store import DEAD_PEER_LIMITS, READ_TIMEOUT_S, PlatformStore
from damaskproxy.sidecar.settings import to_address

CALM_S = 3.0
"""Time after a disruption from which a changed configuration must be in force."""
PAUSE_S = 0.25
"""Longest first pause after a store that did not answer."""


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """Guards against an old configuration behind a connection that went silent."""

    @params(
        (DeadPeerLimits(2, 2, 3000), 4.0),
        (DeadPeerLimits(1, 1, 1500), 2.0),
        (DeadPeerLimits(1, 1, 5000), 5.0),
    )
    def test_longest_time_until_it_is_found(self, limits, expected_s):
        self.assertEqual(limits.detection_time_s, expected_s)

    def test_change_is_read_before_it_must_be_in_force(self):
        self.assertLess(
            DEAD_PEER_LIMITS.detection_time_s + PAUSE_S, CALM_S - READ_TIMEOUT_S / 2
        )

    async def test_connections_to_the_store_have_the_limits(self):
        rows = RowStoreStandIn()
        store = PlatformStore(to_address(await rows.open()))
        self.addAsyncCleanup(rows.close)
        self.addCleanup(store.close)
        await store.read("op")
        (connection,) = store._pool._idle
        sock = connection.transport.get_extra_info("socket")
        options = {
            name: sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
            for name in ("TCP_KEEPIDLE", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
        }
        expected = {
            "TCP_KEEPIDLE": DEAD_PEER_LIMITS.probe_after_s,
            "TCP_KEEPCNT": DEAD_PEER_LIMITS.probes,
            "TCP_USER_TIMEOUT": DEAD_PEER_LIMITS.unacknowledged_max_ms,
        }
        self.assertEqual(options, expected)
