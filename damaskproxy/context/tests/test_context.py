"""Tests that handlers and outbound calls receive the context of the request."""

import unittest

import aiohttp
from aiohttp import web
from nose2.tools import params

from damaskproxy.context import (
    OutboundClient,
    current_request,
    read_context,
    request_middleware,
)

TRACE = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class ContextTests(unittest.IsolatedAsyncioTestCase):
    """Guards against lost attempt ids, restarted deadlines and leaked contexts."""

    @params(
        ("no deadline", {}, 0.0, None),
        ("fresh", {"Damask-Deadline-Ms": "300"}, 0.0, 300),
        ("partly elapsed", {"Damask-Deadline-Ms": "300"}, 0.1, 200),
        ("elapsed", {"Damask-Deadline-Ms": "300"}, 9.0, 0),
    )
    def test_remaining(self, _name, headers, later_s, expected):
        times_s = [100.0]
        context = read_context(headers, lambda: times_s[-1])
        times_s.append(100.0 + later_s)
        self.assertEqual(context.remaining_ms(), expected)

    async def test_outbound_call_sends_the_attempt_id(self):
        seen = {}

        async def node(request):
            seen.update(request.headers)
            return web.Response()

        async def serve(request):
            client = OutboundClient(session, str(request.url.origin()) + "/node/")
            async with client.request("GET", "stores", "/stock") as response:
                return web.Response(status=response.status)

        app = web.Application(middlewares=[request_middleware(now_s=lambda: 5.0)])
        app.router.add_get("/node/stores/stock", node)
        app.router.add_get("/work", serve)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        sent = {
            "Damask-Attempt": "a1",
            "Damask-Deadline-Ms": "900",
            "traceparent": TRACE,
            "Idempotency-Key": "k",
        }
        url = "http://{}:{}/work".format(*runner.addresses[0])
        async with session.get(url, headers=sent) as response:
            self.assertEqual(response.status, 200)
        for name in ("Damask-Attempt", "Damask-Deadline-Ms", "traceparent"):
            self.assertEqual(seen[name], sent[name])
        # The key belongs to the inbound request, not to its outbound calls.
        self.assertNotIn("Idempotency-Key", seen)
        self.assertIsNone(current_request())

    async def test_path_without_slash(self):
        client = OutboundClient(None, "http://127.0.0.1:1")
        with self.assertRaises(ValueError):
            client.request("GET", "stores", "stock")
