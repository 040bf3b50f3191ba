"""Callers draw the right conclusions and resend under the same key only."""

import unittest
from collections import Counter
from itertools import islice

from aiohttp import web
from nose2.tools import params

from damaskproxy.common import Outcome, Priority
from damaskproxy.standins.backend_answer import build_answer, request_digest
from damaskproxy.standins.callers import (
    CallerConfig,
    Callers,
    plan_requests,
)
from damaskproxy.standins.callers_meshes import GEORGIA, MESHES
from damaskproxy.standins.callers_told import Told, read_told

CONFIG = CallerConfig(rate_per_s=2000, duration_s=0.006, seed=3, resend_pause_s=0)
UNKNOWN = {"reason": "ledger-lost", "outcome": "unknown"}
STOPPING = {"reason": "stopping", "outcome": "not-run"}
NOT_RUN = {"reason": "overload-level", "outcome": "not-run"}


class Seen:
    def __init__(self):
        self.sends = Counter()
        self.keys = {}

    def sent(self, request, key):
        self.sends[request.number] += 1
        self.keys.setdefault(request.number, set()).add(key)

    def told(self, request, key, told):
        self.last = told


async def start_entry(respond):
    serial = iter(range(10_000))

    async def keys(request):
        count = int(request.query["count"])
        return web.json_response({"keys": [f"k{n}" for n in islice(serial, count)]})

    async def call(request):
        body = await request.read()
        path = "/" + request.match_info["path"]
        return respond(request, request_digest(request.method, path, body))

    app = web.Application()
    app.router.add_post("/damask/keys", keys)
    app.router.add_route("*", "/{service}/{path:.*}", call)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner


def whole(_request, digest):
    fields = {"server": "s", "attempt": "", "key": "", "children": ()}
    return web.Response(body=build_answer(digest, filler_bytes=8, **fields))


def abort(request, _digest):
    request.transport.abort()
    return web.Response()


class CallersTests(unittest.IsolatedAsyncioTestCase):
    """Guards against resends after `not-run` and against a second key for a request."""

    @params(
        ("whole", whole, "", 1),
        (
            "unknown is resent",
            lambda *_: web.json_response(UNKNOWN, status=503),
            "x",
            5,
        ),
        ("not-run is final", lambda *_: web.json_response(NOT_RUN, status=503), "x", 1),
        ("stopping", lambda *_: web.json_response(STOPPING, status=503), "stopping", 5),
        ("cut is resent", abort, "connection-cut", 5),
        ("a stranger's answer", lambda r, _d: whole(r, "0" * 32), "", 1),
    )
    async def test_resends(self, _name, respond, reason, sends):
        runner = await start_entry(respond)
        self.addAsyncCleanup(runner.cleanup)
        seen = Seen()
        entry = "{}:{}".format(*runner.addresses[0])
        results = await Callers(GEORGIA, CONFIG, [entry], seen).run()
        planned = list(plan_requests(GEORGIA, CONFIG))
        self.assertEqual(len(results), len(planned))
        self.assertEqual(set(seen.sends.values()), {sends})
        self.assertTrue(all(len(keys) == 1 for keys in seen.keys.values()))
        if not reason:
            self.assertEqual(seen.last.whole, respond is whole)
        elif reason != "x":
            self.assertEqual({told.reason for _, told in results}, {reason})

    async def test_no_entry_node(self):
        runner = await start_entry(whole)
        entry = "{}:{}".format(*runner.addresses[0])
        await runner.cleanup()
        results = await Callers(GEORGIA, CONFIG, [entry], Seen()).run()
        outcomes = {told.outcome for _, told in results}
        self.assertEqual(outcomes, {Outcome.NOT_RUN})

    @params(
        ("problem", 503, b'{"reason":"r","outcome":"not-run"}', Outcome.NOT_RUN),
        ("not a problem", 503, b"oops", Outcome.UNKNOWN),
        ("unknown outcome", 503, b'{"reason":"r","outcome":"fine"}', Outcome.UNKNOWN),
        ("truncated answer", 200, b'{"digest":', Outcome.RUN),
    )
    def test_conclusion(self, _name, status, body, outcome):
        told = read_told(status, body, "0" * 32)
        self.assertIs(told.outcome, outcome)
        self.assertFalse(told.whole)

    @params(*MESHES.values())
    def test_mesh_is_consistent(self, mesh):
        for kind in mesh.mix:
            routes = [r for r in mesh.routes[kind.service] if r.method == kind.method]
            match = [r for r in routes if kind.path.startswith(r.path)]
            self.assertEqual(len(match), 1, kind)
            self.assertEqual(match[0].idempotent, not kind.has_key)
            critical = match[0].priority is Priority.CRITICAL
            self.assertEqual(critical, kind.has_key)
        for calls in mesh.children.values():
            self.assertTrue(all(call.service in mesh.routes for call in calls))

    def test_plan_depends_on_the_seed_only(self):
        plans = [list(plan_requests(GEORGIA, CONFIG)) for _ in range(2)]
        self.assertEqual(*plans)
        bodies = [r.body for r in plans[0] if r.kind.has_key]
        self.assertEqual(len(bodies), len(set(bodies)))
        self.assertFalse(Told(200, Outcome.RUN, fault="foreign").whole)
