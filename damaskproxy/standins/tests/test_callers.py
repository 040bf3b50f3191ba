"""Callers conclude the right outcome and resend with the same key only."""

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
from damaskproxy.standins.callers_results import SendResult, read_result

CONFIG = CallerConfig(rate_per_s=2000, duration_s=0.006, seed=3, resend_pause_s=0)
UNKNOWN = {"reason": "ledger-lost", "outcome": "unknown"}
STOPPING = {"reason": "stopping", "outcome": "not-run"}
NOT_RUN = {"reason": "overload-level", "outcome": "not-run"}


class RecordingObserver:
    def __init__(self):
        self.sends = Counter()
        self.keys = {}

    def sent(self, request, key):
        self.sends[request.number] += 1
        self.keys.setdefault(request.number, set()).add(key)

    def told(self, request, key, result):
        self.last_result = result


async def start_entry_node(respond):
    serials = iter(range(10_000))

    async def keys(request):
        count = int(request.query["count"])
        return web.json_response({"keys": [f"k{n}" for n in islice(serials, count)]})

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


def respond_complete(_request, digest):
    fields = {"server": "s", "attempt": "", "key": "", "children": ()}
    return web.Response(body=build_answer(digest, filler_bytes=8, **fields))


def respond_abort(request, _digest):
    request.transport.abort()
    return web.Response()


class CallersTests(unittest.IsolatedAsyncioTestCase):
    """Guards against resends after `not-run` and against a second key for a request."""

    @params(
        ("complete", respond_complete, "", 1),
        (
            "unknown is resent",
            lambda *_: web.json_response(UNKNOWN, status=503),
            "x",
            5,
        ),
        ("not-run is final", lambda *_: web.json_response(NOT_RUN, status=503), "x", 1),
        ("stopping", lambda *_: web.json_response(STOPPING, status=503), "stopping", 5),
        ("aborted connection is resent", respond_abort, "connection-cut", 5),
        (
            "response to another request",
            lambda r, _d: respond_complete(r, "0" * 32),
            "",
            1,
        ),
    )
    async def test_number_of_sends(self, _name, respond, reason, sends):
        runner = await start_entry_node(respond)
        self.addAsyncCleanup(runner.cleanup)
        observer = RecordingObserver()
        entry_address = "{}:{}".format(*runner.addresses[0])
        results = await Callers(GEORGIA, CONFIG, [entry_address], observer).run()
        planned = list(plan_requests(GEORGIA, CONFIG))
        self.assertEqual(len(results), len(planned))
        self.assertEqual(set(observer.sends.values()), {sends})
        self.assertTrue(all(len(keys) == 1 for keys in observer.keys.values()))
        if not reason:
            self.assertEqual(
                observer.last_result.is_complete, respond is respond_complete
            )
        elif reason != "x":
            self.assertEqual({result.reason for _, result in results}, {reason})

    async def test_unreachable_entry_node(self):
        runner = await start_entry_node(respond_complete)
        entry_address = "{}:{}".format(*runner.addresses[0])
        await runner.cleanup()
        results = await Callers(
            GEORGIA, CONFIG, [entry_address], RecordingObserver()
        ).run()
        outcomes = {result.outcome for _, result in results}
        self.assertEqual(outcomes, {Outcome.NOT_RUN})

    @params(
        ("problem", 503, b'{"reason":"r","outcome":"not-run"}', Outcome.NOT_RUN),
        ("not a problem", 503, b"oops", Outcome.UNKNOWN),
        ("unknown outcome", 503, b'{"reason":"r","outcome":"fine"}', Outcome.UNKNOWN),
        ("truncated response", 200, b'{"digest":', Outcome.RUN),
    )
    def test_concluded_outcome(self, _name, status, body, outcome):
        result = read_result(status, body, "0" * 32)
        self.assertIs(result.outcome, outcome)
        self.assertFalse(result.is_complete)

    @params(*MESHES.values())
    def test_mesh_is_consistent(self, mesh):
        for kind in mesh.mix:
            routes = [r for r in mesh.routes[kind.service] if r.method == kind.method]
            matching = [r for r in routes if kind.path.startswith(r.path)]
            self.assertEqual(len(matching), 1, kind)
            self.assertEqual(matching[0].idempotent, not kind.has_key)
            critical = matching[0].priority is Priority.CRITICAL
            self.assertEqual(critical, kind.has_key)
        for calls in mesh.children.values():
            self.assertTrue(all(call.service in mesh.routes for call in calls))

    def test_plan_depends_on_the_seed_only(self):
        plans = [list(plan_requests(GEORGIA, CONFIG)) for _ in range(2)]
        self.assertEqual(*plans)
        bodies = [r.body for r in plans[0] if r.kind.has_key]
        self.assertEqual(len(bodies), len(set(bodies)))
        self.assertFalse(SendResult(200, Outcome.RUN, fault="foreign").is_complete)
