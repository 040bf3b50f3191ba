"""The development backend server keeps the promises that the checkers rely on."""

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


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0)


async def start_fake_node():
    """Return the runner of a node that echoes the headers of outbound calls."""
    seen = []

    async def announce(request):
        seen.append(("announce", await request.json()))
        return web.json_response({"announce_every_ms": 60_000, "node_id": "n"})

    async def call(request):
        seen.append((request.path, dict(request.headers)))
        return web.json_response({}, status=503)

    app = web.Application()
    app.router.add_post("/damask/announce", announce)
    app.router.add_route("*", "/{path:.*}", call)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, seen


class BackendTests(unittest.IsolatedAsyncioTestCase):
    """Guards against lost runs, wrong answers and interrupted requests."""

    def runs(self):
        return [e for e in self.recorder.events if e.kind is EventKind.RAN]

    async def start(self, gated=False, unix_s=time.time, **fields):
        self.gate = asyncio.Event()
        sleep = (lambda _time_s: self.gate.wait()) if gated else asyncio.sleep
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
            content = request_bytes("POST", "/place", b"x")
            sent.sent("k", send="1", caller="c", request=content)
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
        backend, session = await self.start(gated=True)
        first = asyncio.ensure_future(session.post("/a"))
        await until(self.runs)
        async with session.post("/damask/stop") as response:
            self.assertEqual(response.status, 202)
        await until(lambda: backend.draining)
        async with session.post("/b") as refused:
            self.assertEqual(refused.headers["Damask-Not-Started"], "1")
        self.assertFalse(backend.stopped.is_set())
        self.gate.set()
        self.assertEqual((await first).status, 200)
        await backend.stopped.wait()
        self.assertEqual(len(self.runs()), 1)

    @params(("keyed goes on", "k", True), ("unkeyed is cancelled", "", False))
    async def test_closed_connection(self, _name, key, finishes):
        backend, session = await self.start(gated=True)
        headers = {"Idempotency-Key": key} if key else {}
        call = asyncio.ensure_future(session.post("/a", headers=headers))
        await until(self.runs)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        backend.stop()
        if finishes:
            # The server has noticed the closed connection when it answers this call.
            async with session.get("/damask/load"):
                self.assertFalse(backend.stopped.is_set())
            self.gate.set()
        await backend.stopped.wait()
        finished = [e for e in self.recorder.events if e.kind is EventKind.FINISHED]
        self.assertEqual(bool(finished), finishes)

    async def test_more_than_the_waiting_room_is_not_started(self):
        _backend, session = await self.start(slots=1, waiting=0, gated=True)
        first = asyncio.ensure_future(session.get("/1"))
        await until(self.runs)
        async with session.get("/2") as second:
            self.assertEqual(second.headers["Damask-Not-Started"], "1")
        self.gate.set()
        self.assertEqual((await first).status, 200)
        self.assertEqual(len(self.runs()), 1)

    async def test_start_by_passes_in_the_queue(self):
        unix_s = [10.0]
        backend, session = await self.start(
            slots=1, gated=True, unix_s=lambda: unix_s[-1]
        )
        headers = {"Damask-Start-By": "11000", "Idempotency-Key": "k"}
        first = asyncio.ensure_future(session.post("/1", headers=headers))
        await until(self.runs)
        second = asyncio.ensure_future(session.post("/2", headers=headers))
        await until(lambda: backend._present == 2)
        unix_s.append(11.1)
        self.gate.set()
        self.assertEqual((await first).status, 200)
        self.assertEqual((await second).headers["Damask-Not-Started"], "1")
        self.assertEqual(len(self.runs()), 1)

    async def test_announces_and_passes_the_attempt_on(self):
        runner, seen = await start_fake_node()
        self.addAsyncCleanup(runner.cleanup)
        node = "{}:{}".format(*runner.addresses[0])
        child = parse_child("/place=GET stores/stock")
        backend, session = await self.start(node=node, children=(child,), slots=3)
        await backend.announcer.accepted.wait()
        self.assertEqual(seen[0][1]["port"], backend.port)
        self.assertEqual(seen[0][1]["slots"], 3)
        headers = {"Damask-Attempt": "a1", "Damask-Deadline-Ms": "5000"}
        async with session.post("/place", headers=headers) as response:
            answer = await response.json()
        path, sent = seen[1]
        self.assertEqual(path, "/stores/stock")
        self.assertEqual(sent["Damask-Attempt"], "a1")
        self.assertLessEqual(int(sent["Damask-Deadline-Ms"]), 5000)
        child = {"service": "stores", "status": 503, "whole": False}
        self.assertEqual(answer["children"], [child])


class PartsTests(unittest.TestCase):
    """Guards the checks of answers, the run log and the model of service times."""

    @params(
        ("foreign", lambda body: body, "other", "foreign"),
        ("truncated", lambda body: body[:-9], "", "incomplete"),
        ("shorter filler", lambda body: body.replace(b"a", b"", 1), "", "incomplete"),
        ("empty", lambda body: b"", "", "incomplete"),
    )
    def test_bad_answer(self, _name, damage, digest, verdict):
        from damaskproxy.standins.backend_answer import build_answer

        own = "a" * 32
        body = build_answer(
            own, server="s", attempt="", key="", children=(), filler_bytes=50
        )
        self.assertEqual(check_answer(body, own), "")
        self.assertIn(check_answer(damage(body), digest or own), (verdict, "foreign"))

    @params("place=GET a/b", "/place", "/place=GET", "/place=GET stores")
    def test_bad_child(self, text):
        with self.assertRaises(ValueError):
            parse_child(text)

    def test_cold_start_and_slow_moments(self):
        clock = Clock()
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
        drawn = [round(times.draw_s("/"), 6) for _ in range(3)]
        self.assertEqual(drawn, [0.03, 0.02, 0.01])
        slow = 0
        for _ in range(20_000):
            clock.now_s += 0.05
            slow += times.draw_s("/") > 0.03
        # One second in eleven is slow; 1,000 s hold about 91 such moments.
        self.assertAlmostEqual(slow / 20_000, 1 / 11, delta=0.03)

    def test_load_report_lags(self):
        clock = Clock()
        load = LaggingLoad(2.0, clock)
        load.note(3, 1)
        self.assertEqual(load.report(), (0, 0))
        clock.now_s += 1.9
        load.note(5, 0)
        self.assertEqual(load.report(), (0, 0))
        clock.now_s += 0.2
        self.assertEqual(load.report(), (3, 1))
