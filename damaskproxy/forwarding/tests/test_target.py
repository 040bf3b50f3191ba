"""Target node: admission, classification of results, crashes and draining."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.admission import AdmissionController
from damaskproxy.admission.settings import AdmissionSettings
from damaskproxy.common.clock import boot_s
from damaskproxy.common.memory import MemoryAccount
from damaskproxy.forwarding import (
    AnswerSizes,
    Backend,
    ParentRequests,
    PoisonRequestDetector,
    RequestStats,
    Target,
)
from damaskproxy.forwarding.calls import (
    DISCARDED_BODY,
    Answer,
    NotRun,
    NotRunReason,
    Unknown,
)
from damaskproxy.forwarding.parent_requests import Parent
from damaskproxy.forwarding.tests.builders import NAMES, make_call, make_report
from damaskproxy.http1 import ConnectFailed, ConnectionPool, ExchangeLost, Response
from damaskproxy.model import Address

ID, STAMP = (b"X-Id", b"id-1"), (b"X-Stamp", b"s")
NOT_RUN = (b"X-Not-Run", b"1")
GZIP = (b"content-encoding", b"gzip")
WORK_S = 0.02
UNREACHABLE = Address("127.0.0.1", 1)


class FakePool:
    """Stand-in for the connections to a backend server, with a scripted outcome."""

    address = UNREACHABLE

    def __init__(self):
        self.outcome = Response(200, [ID, STAMP], b"ok")
        self.requests = []
        self.in_flight = self.max_in_flight = 0
        self.work_s = 0.0

    async def exchange(self, request, *, accept, max_idle_share):
        self.requests.append((request, max_idle_share))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.in_flight -= 1
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class TargetTests(unittest.IsolatedAsyncioTestCase):
    """Guards against false outcomes and against urgent calls delayed by other calls."""

    def setUp(self):
        self.pool = FakePool()
        self.max_connections = None
        self.poison_requests = PoisonRequestDetector("n1", lambda: None)
        self.backend = Backend(1000, lambda: self.target.apply_backend_state())
        settings = AdmissionSettings(adaptive_limit=False, newest_first=False)
        self.parent_requests = ParentRequests()
        self.target = Target(
            self.backend,
            self.pool,
            NAMES,
            self.poison_requests,
            self.parent_requests,
            lambda slots: AdmissionController(slots, now_s=boot_s, settings=settings),
            RequestStats(),
            lambda service: self.max_connections,
        )
        self.backend.report(make_report(slots=2))

    @params(
        ("success", Response(200, [ID, STAMP], b"ok"), Answer),
        ("server error", Response(500, [ID, STAMP]), Answer),
        ("server error without a MAC", Response(502, [ID]), Answer),
        ("success without a MAC", Response(200, [ID]), Unknown),
        (
            "encoded",
            Response(200, [ID, STAMP, (b"content-encoding", b"gzip")]),
            Unknown,
        ),
        ("rejected", Response(503, [ID, NOT_RUN]), NotRun),
        ("rejected without an id", Response(429, [NOT_RUN]), NotRun),
        ("another incarnation", Response(421, []), NotRun),
        ("connection lost", ExchangeLost("cut"), Unknown),
        ("no connection", ConnectFailed("refused"), NotRun),
    )
    async def test_response_is_classified_by_what_is_known(self, name, outcome, kind):
        self.pool.outcome = outcome
        result = await self.target.run(make_call())
        self.assertIsInstance(result, kind, name)
        self.assertIsNotNone(result.load, name)
        if isinstance(result, NotRun):
            reached = isinstance(outcome, Response)
            self.assertEqual(result.reached_backend, reached, name)

    @params(
        # First exchange of its connection, refusal, expected result.
        ("identified", True, b"X-Id: id-1\r\n", NotRun),
        ("identified", False, b"X-Id: id-1\r\n", NotRun),
        ("without an id", True, b"", NotRun),
        ("without an id", False, b"", Answer),
        ("of an earlier request", False, b"X-Id: id-0\r\n", Answer),
    )
    async def test_refusal_that_is_sent_once_more_does_not_count_as_not_run(
        self, name, is_first, id_line, kind
    ):
        refusal = b"HTTP/1.1 503 Busy\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n"
        )
        second = refusal % id_line + answer % b"id-1"
        scripts = [second] if is_first else [answer % b"id-0", second]

        async def serve(reader, writer):
            for part in scripts:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(part)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        pool = ConnectionPool(Address(*server.sockets[0].getsockname()[:2]))
        self.addCleanup(pool.close)
        self.target._pool = pool
        if not is_first:
            await self.target.run(make_call(request_id=b"id-0"))
        result = await self.target.run(make_call())
        self.assertIsInstance(result, kind, name)

    async def test_body_of_a_call_of_another_node_counts_until_the_call_ends(self):
        self.target._bodies = bodies = MemoryAccount(10)
        self.pool.work_s = WORK_S
        calls = [make_call(body=b"12345678"), make_call(body=b"123")]
        running = asyncio.create_task(self.target.run_remote(calls[0]))
        await asyncio.sleep(0)
        self.assertEqual(bodies.held_bytes, 8)
        refused = await self.target.run_remote(calls[1])
        self.assertEqual(refused.reason, NotRunReason.MEMORY)
        self.assertIsInstance(await running, Answer)
        self.assertEqual(bodies.held_bytes, 0)
        self.assertIsInstance(await self.target.run_remote(calls[1]), Answer)
        discarded = make_call(body=DISCARDED_BODY)
        refused = await self.target.run_remote(discarded)
        self.assertEqual(refused.reason, NotRunReason.MEMORY)
        self.assertEqual(len(self.pool.requests), 2)

    async def test_body_of_a_cancelled_call_is_not_counted_any_more(self):
        self.target._bodies = bodies = MemoryAccount(10)
        self.pool.work_s = 60.0
        call = make_call(body=b"12345678")
        running = asyncio.create_task(self.target.run_remote(call))
        await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(bodies.held_bytes, 0)

    async def test_call_whose_answer_has_no_room_is_not_run(self):
        sizes = AnswerSizes(lambda count: count <= 300_000, 1_000_000)
        self.target._answer_sizes = sizes
        self.pool.outcome = Response(200, [ID, STAMP], b"x" * 200_000)
        self.pool.work_s = WORK_S
        self.assertIsInstance(await self.target.run(make_call()), Answer)
        results = await asyncio.gather(
            self.target.run(make_call()),
            self.target.run(make_call()),
            self.target.run(make_call(route="other")),
        )
        self.assertEqual([type(r) for r in results], [Answer, NotRun, Answer])
        self.assertEqual(results[1].reason, NotRunReason.MEMORY)
        self.assertEqual(sizes.reserved_bytes, 0)

    async def test_internal_headers_are_not_returned(self):
        kept = (b"Content-Type", b"text/plain")
        self.pool.outcome = Response(200, [ID, STAMP, kept, (b"Connection", b"close")])
        result = await self.target.run(make_call())
        self.assertEqual(result.headers, [STAMP, kept])

    @params((True, 1.0), (False, 0.5))
    async def test_non_idempotent_calls_use_recent_connections_only(
        self, is_idempotent, max_idle_share
    ):
        await self.target.run(make_call(is_idempotent=is_idempotent))
        self.assertEqual(self.pool.requests[0][1], max_idle_share)

    @params(
        ("no report", None, NotRunReason.NO_BACKEND),
        ("another service", make_report(service="stores"), NotRunReason.OTHER_SERVICE),
        ("draining", make_report(is_draining=True), NotRunReason.DRAINING),
    )
    async def test_call_that_the_server_must_not_run_is_not_sent(
        self, name, report, reason
    ):
        self.backend.record = None
        if report is not None:
            self.backend.report(report)
        result = await self.target.run(make_call())
        self.assertEqual((result.reason, result.reached_backend), (reason, False), name)
        self.assertFalse(self.pool.requests)

    @params(
        ({"is_shared": True}, NotRun),
        ({"is_shared": True, "has_begun": True}, Answer),
        ({"is_shared": True, "priority": 0}, Answer),
        ({}, Answer),
    )
    async def test_new_request_is_not_begun_beyond_the_level_of_its_callees(
        self, changes, kind
    ):
        """Its calls would be refused after the server has worked on it."""
        parent = Parent("r", 1, False)
        self.parent_requests.report(parent, 128, is_held=True)
        result = await self.target.run(make_call(**changes))
        self.assertIsInstance(result, kind)
        self.assertEqual(len(self.pool.requests), kind is Answer)

    async def test_stopping_node_refuses_calls(self):
        self.target.is_stopping = True
        result = await self.target.run(make_call())
        self.assertIs(result.reason, NotRunReason.STOPPING)

    async def test_concurrent_calls_are_limited_by_slots(self):
        self.pool.work_s = WORK_S
        results = await asyncio.gather(
            *(self.target.run(make_call(request_id=b"%d" % n)) for n in range(6))
        )
        self.assertEqual(self.pool.max_in_flight, 2)
        self.assertGreaterEqual(sum(isinstance(r, Answer) for r in results), 4)

    @params((None, 2), (1, 1), (9, 2))
    async def test_concurrent_calls_are_limited_by_connections(
        self, accepted, expected
    ):
        self.max_connections = accepted
        self.target.apply_backend_state()
        self.pool.work_s = WORK_S
        await asyncio.gather(
            *(self.target.run(make_call(request_id=b"%d" % n)) for n in range(6))
        )
        self.assertEqual(self.pool.max_in_flight, expected)

    async def test_urgent_calls_are_served_under_overload(self):
        self.pool.work_s = WORK_S
        served = {0: [], 3: []}

        async def send(number, priority):
            call = make_call(request_id=b"%d" % number, priority=priority)
            result = await self.target.run(call)
            served[priority].append(isinstance(result, Answer))

        tasks = []
        for number in range(150):
            priority = 0 if number % 3 == 0 else 3
            tasks.append(asyncio.create_task(send(number, priority)))
            # Twice the rate that two slots can serve at 20 ms per call.
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        urgent = sum(served[0]) / len(served[0])
        late = sum(served[3]) / len(served[3])
        self.assertGreater(urgent, 0.8)
        self.assertGreater(urgent, late + 0.2)

    async def test_queued_calls_are_refused_when_the_server_drains(self):
        self.pool.work_s = 0.1
        tasks = [
            asyncio.create_task(self.target.run(make_call(request_id=b"%d" % n)))
            for n in range(5)
        ]
        await asyncio.sleep(0.02)
        self.backend.report(make_report(is_draining=True, sequence=2))
        results = await asyncio.gather(*tasks)
        reasons = [r.reason for r in results if isinstance(r, NotRun)]
        self.assertEqual(reasons, [NotRunReason.DRAINING] * 3)

    async def test_call_past_its_deadline_is_not_sent(self):
        result = await self.target.run(make_call(deadline_ms=0))
        self.assertIs(result.reason, NotRunReason.DEADLINE_PASSED)
        self.assertFalse(self.pool.requests)

    async def test_cancelled_calls_release_their_slots(self):
        self.pool.work_s = 5.0
        tasks = [
            asyncio.create_task(self.target.run(make_call(request_id=b"%d" % n)))
            for n in range(4)
        ]
        await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        self.pool.work_s = 0.0
        self.assertIsInstance(await self.target.run(make_call()), Answer)

    async def test_crash_is_distinguished_from_one_lost_response(self):
        self.pool.outcome = ExchangeLost("reset")
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        self.pool.address = Address(*server.sockets[0].getsockname()[:2])
        await self.target.run(make_call())
        await asyncio.sleep(0.1)
        self.assertFalse(self.poison_requests.local_crashes)
        server.close()
        await server.wait_closed()
        await self.target.run(make_call())
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.poison_requests.local_crashes), 1)
        self.assertFalse(self.backend.is_reachable)

    async def test_calls_lost_during_a_crash_check_are_checked_and_freed(self):
        self.pool.outcome = ExchangeLost("reset")
        accepted = []

        async def accept(reader, writer):
            # Lost while the first check knows the outcome and has not ended.
            if not accepted:
                accepted.append(await self.target.run(make_call()))
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.pool.address = Address(*server.sockets[0].getsockname()[:2])
        probe = self.target._crash_check._is_listening

        async def slow_probe():
            is_listening = await probe()
            await asyncio.sleep(0.05)
            return is_listening

        self.target._crash_check._is_listening = slow_probe
        await self.target.run(make_call())
        await asyncio.sleep(0.3)
        self.assertEqual(len(accepted), 1)
        self.assertEqual(self.target._crash_check.lost_calls, [])
        self.assertIsNone(self.target._crash_check.task)
        server.close()

    async def test_bodies_of_lost_calls_are_counted_until_they_are_checked(self):
        self.pool.outcome = ExchangeLost("reset")
        bodies = self.target._bodies
        for number in range(1, 4):
            await self.target.run_remote(make_call(body=b"x" * 1000))
            self.assertEqual(bodies.held_bytes, number * 1000)
        await asyncio.sleep(0.3)
        self.assertEqual(bodies.held_bytes, 0)
