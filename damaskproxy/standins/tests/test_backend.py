"""The development backend server gives the guarantees that the history check needs."""

import asyncio
import random
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web
from nose2.tools import params

from damaskproxy.history import EventKind, Recorder, check, read_history
from damaskproxy.standins.backend import start_backend
from damaskproxy.standins.backend_answer import (
    check_answer,
    request_bytes,
    request_digest,
)
from damaskproxy.standins.backend_settings import BackendConfig, parse_child
from damaskproxy.standins.backend_work import LaggingLoad, ServiceTimes


class FakeClock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0)


async def start_fake_node():
    """Return the runner of a fake node and the list of requests that it receives."""
    received = []

    async def announce(request):
        received.append(("announce", await request.json()))
        return web.json_response({"announce_every_ms": 60_000, "node_id": "n"})

    async def call(request):
        received.append((request.path, dict(request.headers)))
        return web.json_response({}, status=503)

    app = web.Application()
    app.router.add_post("/damask/announce", announce)
    app.router.add_route("*", "/{path:.*}", call)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, received


class BackendTests(unittest.IsolatedAsyncioTestCase):
    """Guards against unrecorded runs, wrong responses and interrupted requests."""

    def runs(self):
        return [e for e in self.recorder.events if e.kind is EventKind.RAN]

    async def start(self, is_blocked=False, unix_s=time.time, **fields):
        self.gate = asyncio.Event()
        sleep = (lambda _time_s: self.gate.wait()) if is_blocked else asyncio.sleep
        fields = {"service": "orders", "service_time_ms": 0.0, **fields}
        self.crashes = []
        crash = lambda: self.crashes.append(1)  # noqa: E731
        self.recorder = Recorder()
        backend = await start_backend(
            BackendConfig(**fields),
            crash=crash,
            recorder=self.recorder,
            sleep=sleep,
            unix_s=unix_s,
        )
        self.addAsyncCleanup(backend.close)
        session = aiohttp.ClientSession(f"http://{backend.address}")
        self.addAsyncCleanup(session.close)
        return backend, session

    @params(
        ("plain", {}, b"x", 200, 1, 0),
        ("start-by passed", {"Damask-Start-By": "1000"}, b"x", 503, 0, 0),
        ("malformed start-by", {"Damask-Start-By": "soon"}, b"x", 400, 0, 0),
        ("crash mark", {}, b"damask-crash", 200, 1, 1),
    )
    async def test_request(self, _name, headers, body, status, runs, crashes):
        backend, session = await self.start()
        async with session.post("/place?n=1", data=body, headers=headers) as response:
            answer = await response.read()
        self.assertEqual(response.status, status)
        self.assertEqual(len(self.runs()), runs)
        self.assertEqual(len(self.crashes), crashes)
        self.assertEqual("Damask-Not-Started" in response.headers, runs == 0)
        if status == 200:
            digest = request_digest("POST", "/place?n=1", body)
            self.assertEqual(check_answer(answer, digest), "")

    async def test_history_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "history")
            backend, session = await self.start(history=str(path))
            sent = Recorder()
            request_content = request_bytes("POST", "/place", b"x")
            sent.sent("k", send="1", caller="c", request=request_content)
            headers = {"Idempotency-Key": "k", "Damask-Attempt": "a"}
            async with session.post("/place", data=b"x", headers=headers) as response:
                answer = await response.read()
            sent.told("k", send="1", caller="c", answer=answer)
            events = [*sent.events, *read_history(path)]
            verdict = check(events)
            self.assertTrue(verdict.ok, verdict.lines())
            self.assertEqual((verdict.runs, verdict.undecided), (1, 0))
            self.assertFalse(
                check([*events, msgspec.structs.replace(events[2], run="other")]).ok
            )

    async def test_drain_finishes_the_request_in_flight(self):
        backend, session = await self.start(is_blocked=True)
        first = asyncio.ensure_future(session.post("/a"))
        await wait_until(self.runs)
        async with session.post("/damask/stop") as response:
            self.assertEqual(response.status, 202)
        await wait_until(lambda: backend.draining)
        async with session.post("/b") as refused:
            self.assertEqual(refused.headers["Damask-Not-Started"], "1")
        self.assertFalse(backend.stopped.is_set())
        self.gate.set()
        self.assertEqual((await first).status, 200)
        await backend.stopped.wait()
        self.assertEqual(len(self.runs()), 1)

    @params(("with key completes", "k", True), ("without key is cancelled", "", False))
    async def test_closed_connection(self, _name, key, finishes):
        backend, session = await self.start(is_blocked=True)
        headers = {"Idempotency-Key": key} if key else {}
        call = asyncio.ensure_future(session.post("/a", headers=headers))
        await wait_until(self.runs)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        backend.stop()
        if finishes:
            # The server has detected the closed connection when it responds to this.
            async with session.get("/damask/load"):
                self.assertFalse(backend.stopped.is_set())
            self.gate.set()
        await backend.stopped.wait()
        finished = [e for e in self.recorder.events if e.kind is EventKind.FINISHED]
        self.assertEqual(bool(finished), finishes)

    async def test_request_beyond_the_waiting_limit_is_not_started(self):
        _backend, session = await self.start(slots=1, waiting=0, is_blocked=True)
        first = asyncio.ensure_future(session.get("/1"))
        await wait_until(self.runs)
        async with session.get("/2") as second:
            self.assertEqual(second.headers["Damask-Not-Started"], "1")
        self.gate.set()
        self.assertEqual((await first).status, 200)
        self.assertEqual(len(self.runs()), 1)

    async def test_start_by_passes_while_waiting_for_a_slot(self):
        unix_s = [10.0]
        backend, session = await self.start(
            slots=1, is_blocked=True, unix_s=lambda: unix_s[-1]
        )
        headers = {"Damask-Start-By": "11000", "Idempotency-Key": "k"}
        first = asyncio.ensure_future(session.post("/1", headers=headers))
        await wait_until(self.runs)
        second = asyncio.ensure_future(session.post("/2", headers=headers))
        await wait_until(lambda: backend._in_flight == 2)
        unix_s.append(11.1)
        self.gate.set()
        self.assertEqual((await first).status, 200)
        self.assertEqual((await second).headers["Damask-Not-Started"], "1")
        self.assertEqual(len(self.runs()), 1)

    async def test_announces_and_forwards_the_attempt_header(self):
        runner, received = await start_fake_node()
        self.addAsyncCleanup(runner.cleanup)
        node = "{}:{}".format(*runner.addresses[0])
        child = parse_child("/place=GET stores/stock")
        backend, session = await self.start(node=node, children=(child,), slots=3)
        await backend.announcer.accepted.wait()
        self.assertEqual(received[0][1]["port"], backend.port)
        self.assertEqual(received[0][1]["slots"], 3)
        headers = {"Damask-Attempt": "a1", "Damask-Deadline-Ms": "5000"}
        async with session.post("/place", headers=headers) as response:
            answer = await response.json()
        path, sent = received[1]
        self.assertEqual(path, "/stores/stock")
        self.assertEqual(sent["Damask-Attempt"], "a1")
        self.assertLessEqual(int(sent["Damask-Deadline-Ms"]), 5000)
        child = {"service": "stores", "status": 503, "whole": False}
        self.assertEqual(answer["children"], [child])


class ComponentTests(unittest.TestCase):
    """Guards the response check, the parsing of child calls and the service times."""

    @params(
        ("foreign", lambda body: body, "other", "foreign"),
        ("truncated", lambda body: body[:-9], "", "incomplete"),
        ("shorter filler", lambda body: body.replace(b"a", b"", 1), "", "incomplete"),
        ("empty", lambda body: b"", "", "incomplete"),
    )
    def test_invalid_response(self, _name, corrupt, digest, verdict):
        from damaskproxy.standins.backend_answer import build_answer

        own_digest = "a" * 32
        body = build_answer(
            own_digest, server="s", attempt="", key="", children=(), filler_bytes=50
        )
        self.assertEqual(check_answer(body, own_digest), "")
        self.assertIn(
            check_answer(corrupt(body), digest or own_digest),
            (verdict, "foreign"),
        )

    @params("place=GET a/b", "/place", "/place=GET", "/place=GET stores")
    def test_invalid_child(self, text):
        with self.assertRaises(ValueError):
            parse_child(text)

    def test_cold_start_and_slow_periods(self):
        clock = FakeClock()
        config = BackendConfig(
            service="s",
            spread=0.0,
            service_time_ms=10.0,
            cold_factor=3.0,
            cold_requests=2,
            slow_every_s=10.0,
            slow_factor=4.0,
        )
        times = ServiceTimes(config, random.Random(1), clock)
        times_s = [round(times.draw_s("/"), 6) for _ in range(3)]
        self.assertEqual(times_s, [0.03, 0.02, 0.01])
        slow = 0
        for _ in range(20_000):
            clock.now_s += 0.05
            slow += times.draw_s("/") > 0.03
        # One second in eleven is slow; 1,000 s contain about 91 slow periods.
        self.assertAlmostEqual(slow / 20_000, 1 / 11, delta=0.03)

    def test_load_report_lags(self):
        clock = FakeClock()
        load = LaggingLoad(2.0, clock)
        load.record(3, 1)
        self.assertEqual(load.report(), (0, 0))
        clock.now_s += 1.9
        load.record(5, 0)
        self.assertEqual(load.report(), (0, 0))
        clock.now_s += 0.2
        self.assertEqual(load.report(), (3, 1))
