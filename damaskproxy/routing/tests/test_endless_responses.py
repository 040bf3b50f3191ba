"""Backend servers in trouble that send a response without end."""

import unittest

from nose2.tools import params

from damaskproxy.http1.tests.endless_server import (
    ENDLESS,
    SENT_MAX_BYTES,
    EndlessServer,
)
from damaskproxy.routing import BackendClient, BackendError
from damaskproxy.routing.tests.builders import make_call

LIMIT_BYTES = 1 << 20
TIMEOUT_S = 2.0


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a node that runs out of memory because of one backend server."""

    @params(*(name for name in ENDLESS if name != "other responses"))
    async def test_response_without_end_is_cut_at_the_limit(self, name):
        server = EndlessServer()
        await server.start()
        self.addAsyncCleanup(server.close)
        client = BackendClient(connect_timeout_s=5.0, max_body_bytes=LIMIT_BYTES)
        self.addAsyncCleanup(client.close)
        with self.assertRaises(BackendError) as caught:
            await client.run(
                server.address,
                make_call(path=server.path_of(name)),
                timeout_s=TIMEOUT_S,
                deadline_ms=1000,
                start_by_unix_ms=123,
            )
        self.assertTrue(caught.exception.maybe_started)
        await server.until_closed()
        self.assertLess(server.sent_bytes, SENT_MAX_BYTES)
