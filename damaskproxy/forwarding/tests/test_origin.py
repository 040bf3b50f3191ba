"""Requests of callers: routing, retries, refusals and statuses."""

import asyncio
import random
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.directory import Configuration, CurrentConfiguration, Directory
from damaskproxy.forwarding import (
    MemberSelector,
    Origin,
    ParentRequests,
    PoisonRequestDetector,
    RequestStats,
    parent_requests as parent_requests_module,
)
from damaskproxy.forwarding.calls import (
    Answer,
    LoadReport,
    NotRun,
    NotRunReason,
    Unknown,
)
from damaskproxy.forwarding.tests.builders import (
    NAMES,
    make_call,
    make_member,
    make_route,
)
from damaskproxy.http1 import ClientLimits, Request
from damaskproxy.organisations import Organisations
from damaskproxy.retries import RetryBudget, RetrySettings

ROUTES = (
    make_route(),
    make_route(name="w", prefix="/w/", is_idempotent=False, priority=0),
    make_route(name="late", prefix="/late/", priority=3),
)
REJECTED = NotRun(NotRunReason.BACKEND_REJECTED, reached_backend=True)
OVERLOAD = NotRun(NotRunReason.OVERLOAD)
DRAINING = NotRun(NotRunReason.DRAINING)
LOST = Unknown("lost")
FAILED = Answer(500, [], b"failed")
DONE = Answer(200, [], b"done")
OPEN_LEVEL = 512


def with_level(level):
    """Return a successful response that reports an admission level."""
    return Answer(200, [], b"", LoadReport(1, 0, 4, 10, level))


class OriginFixture:
    """Mix-in with an origin whose calls get prepared results."""

    def setUp(self):
        self.sent = []
        self.results = []
        self.parent_requests = ParentRequests()
        configuration, directory = CurrentConfiguration(), Directory()
        self.configuration = configuration
        configuration.apply_if_newer(Configuration(1, ROUTES, {}, ClientLimits(), b""))
        for number in range(6):
            directory.merge(make_member(f"n{number}"))
        rng = random.Random(1)
        self.retry_budget = RetryBudget(RetrySettings(ratio=0.1, saved_max=2))
        self.stats = RequestStats()
        self.origin = Origin(
            "here",
            lambda: "stores",
            configuration,
            directory,
            MemberSelector("a", rng, lambda: 6),
            self.run_call,
            lambda member, call: self.run_call(call),
            self.retry_budget,
            PoisonRequestDetector("n1", lambda: None),
            self.parent_requests,
            NAMES,
            self.stats,
            rng,
        )

    async def run_call(self, call):
        self.sent.append(call)
        result = self.results.pop(0) if self.results else DONE
        if result is None:
            await asyncio.sleep(3600)
        return result


class OriginTests(OriginFixture, unittest.IsolatedAsyncioTestCase):
    """Guards against false "not run" statuses, duplicate orders and retry storms."""

    async def send(self, target=b"/a/1", request_id=b"1", deadline=b"5000"):
        fields = [(b"Host", b"H:80"), (b"X-Id", request_id), (b"X-Deadline", deadline)]
        return await self.origin.handle(Request(b"GET", target, fields))

    @params(
        ("done", b"/a/1", [DONE], 200, 1),
        ("failed, then done", b"/a/1", [FAILED, DONE], 200, 2),
        ("lost, then done", b"/a/1", [LOST, DONE], 200, 2),
        ("twice lost", b"/a/1", [LOST, LOST], 502, 2),
        ("lost, then refused", b"/a/1", [LOST, OVERLOAD, OVERLOAD, OVERLOAD], 502, 4),
        ("twice failed", b"/a/1", [FAILED, FAILED], 500, 2),
        ("twice rejected", b"/a/1", [REJECTED, REJECTED], 503, 2),
        ("refused by nodes", b"/a/1", [OVERLOAD, DRAINING, OVERLOAD], 503, 3),
        ("order, done", b"/w/1", [DONE], 200, 1),
        ("order, failed", b"/w/1", [FAILED], 500, 1),
        ("order, lost", b"/w/1", [LOST], 502, 1),
        ("order, refused, then done", b"/w/1", [OVERLOAD, DONE], 200, 2),
        ("order, rejected, then lost", b"/w/1", [REJECTED, LOST], 502, 2),
        ("order, twice rejected", b"/w/1", [REJECTED, REJECTED], 503, 2),
    )
    async def test_status_says_what_is_known(self, name, target, results, status, sent):
        self.results = list(results)
        response = await self.send(target)
        self.assertEqual((response.status, len(self.sent)), (status, sent), name)
        self.assertEqual(response.header(b"x-id"), b"1")
        retry_after = response.header(b"retry-after")
        self.assertEqual(retry_after is not None, status == 503, name)

    async def test_hanging_call_ends_at_the_timeout(self):
        self.results = [None]
        response = await self.send(deadline=b"50")
        self.assertEqual(response.status, 504)

    async def test_retry_gets_the_remaining_time(self):
        async def slow_failure(call):
            self.sent.append(call)
            await asyncio.sleep(0.1)
            return LOST

        self.origin._run_remote = lambda member, call: slow_failure(call)
        await self.send(deadline=b"600")
        first, second = (call.deadline_ms for call in self.sent)
        self.assertLessEqual(first, 600)
        self.assertLessEqual(second, first - 95)

    async def test_requests_that_reach_no_server_earn_no_retries(self):
        failing = 30
        for number in range(failing):
            for refused in range(9):
                self.results = [OVERLOAD] * 3
                await self.send(request_id=b"%d-%d" % (number, refused))
            self.results = [FAILED, DONE]
            await self.send(request_id=b"%d" % number)
        retries = sum(call.is_repeat for call in self.sent)
        # The initial tokens, and a tenth of the requests that ran.
        self.assertLessEqual(retries, 2 + 0.1 * failing)
        self.assertGreater(retries, 2)

    async def test_retries_stay_within_the_ratio(self):
        for number in range(100):
            self.results = [LOST, DONE]
            await self.send(request_id=b"%d" % number)
        retries = sum(call.is_repeat for call in self.sent)
        self.assertLessEqual(retries, 2 + 100 * 0.1)
        self.assertGreaterEqual(retries, 10)

    async def test_last_tokens_of_the_retry_budget_are_for_urgent_calls(self):
        self.retry_budget.set_capacity(1.0)
        self.results = [LOST, DONE]
        self.assertEqual((await self.send(b"/late/1")).status, 502)
        self.results = [LOST, DONE]
        self.assertEqual((await self.send(b"/a/1")).status, 200)

    async def test_calls_of_retried_requests_are_charged_to_the_retry_budget(self):
        self.parent_requests.call_started(make_call(request_id=b"p", is_repeat=True))
        for number in range(10):
            await self.send(request_id=b"p.%d" % number)
        self.assertTrue(all(call.is_repeat for call in self.sent))
        self.results = [LOST, DONE]
        self.assertEqual((await self.send(request_id=b"root")).status, 502)

    @params(
        ("child of an urgent request", b"p.1", 0),
        ("grandchild", b"p.1.2", 1),
        ("child of a request elsewhere", b"q.1", 1),
        ("root request", b"p", 1),
        ("other id", b"p1", 1),
    )
    async def test_calls_have_the_priority_of_their_root_request(
        self, name, request_id, rank
    ):
        self.parent_requests.call_started(make_call(request_id=b"p", priority=0))
        await self.send(request_id=request_id)
        self.assertEqual(self.sent[0].priority, rank, name)

    async def test_priority_of_a_finished_request_is_not_inherited(self):
        call = make_call(request_id=b"p", priority=0)
        self.parent_requests.call_started(call)
        self.parent_requests.call_ended(call)
        await self.send(request_id=b"p.1")
        self.assertEqual(self.sent[0].priority, 1)

    @params(("browsing", b"/late/1", 50), ("urgent", b"/a/1", 100))
    async def test_circuit_breaker_limits_work_for_a_failing_route(
        self, name, target, limit
    ):
        for number in range(100):
            self.results = [FAILED, FAILED]
            await self.send(target, request_id=b"%d" % number)
        self.sent.clear()
        for number in range(100):
            self.results = [FAILED, FAILED]
            await self.send(target, request_id=b"%d" % number)
        first_attempts = sum(not call.is_repeat for call in self.sent)
        self.assertLessEqual(first_attempts, limit, name)
        self.assertGreater(first_attempts, limit / 4, name)

    async def report_level(self, level, target):
        """Send requests to `target` whose results report `level`."""
        for number in range(40):
            self.results = [with_level(level)]
            await self.send(target, request_id=b"p.%d" % number)
            self.results = [with_level(level)]
            await self.send(target, request_id=b"%d" % number)
        self.sent.clear()

    @params(
        ("open", OPEN_LEVEL, b"/late/1", 100),
        ("closed above this priority", 2 * 128, b"/a/1", 100),
        ("closed for this priority", 128, b"/a/1", 0),
        ("half closed", 128 + 64, b"/a/1", 50),
    )
    async def test_root_requests_above_the_admission_level_are_refused(
        self, name, level, target, served
    ):
        with mock.patch.object(parent_requests_module, "boot_s", lambda: 100.0):
            await self.report_level(level, target)
            statuses = []
            for number in range(100):
                self.results = [with_level(level)]
                response = await self.send(target, request_id=b"r%d" % number)
                statuses.append(response.status)
        self.assertAlmostEqual(statuses.count(200), served, delta=15, msg=name)
        self.assertEqual(statuses.count(200) + statuses.count(503), 100, name)

    async def test_calls_of_a_running_request_ignore_the_admission_level(self):
        self.parent_requests.call_started(make_call(request_id=b"p", priority=1))
        with mock.patch.object(parent_requests_module, "boot_s", lambda: 100.0):
            await self.report_level(128, b"/a/1")
            self.assertEqual((await self.send(request_id=b"p.x")).status, 200)

    async def test_reported_level_reopens_without_reports(self):
        now_s = 100.0
        with mock.patch.object(parent_requests_module, "boot_s", lambda: now_s):
            await self.report_level(1, b"/a/1")
            self.assertEqual((await self.send()).status, 503)
            now_s += 1.1
            self.assertEqual((await self.send()).status, 200)


class RetryAfterTests(OriginFixture, unittest.IsolatedAsyncioTestCase):
    """Guards against refused callers that all come back at the same moment."""

    @params(
        # Organisations, deadline, expected shortest and longest Retry-After.
        (True, b"5000", 0.3, 0.75),
        (True, b"1500", 0.3, 0.45),
        (True, b"600", 0.18, 0.18),
        (True, None, 0.3, 0.3),
        (False, b"5000", 0.3, 0.3),
    )
    async def test_times_are_spread_within_the_objective_and_the_deadline(
        self, has_organisations, deadline, shortest_s, longest_s
    ):
        route = make_route(objective_ms=1500, is_public=True)
        organisations = Organisations() if has_organisations else None
        self.configuration.apply_if_newer(
            Configuration(2, (route,), {}, ClientLimits(), b"", organisations)
        )
        found = []
        for number in range(100):
            self.results = [OVERLOAD] * 3
            fields = [(b"Host", b"h"), (b"X-Id", b"%d" % number)]
            if deadline is not None:
                fields.append((b"X-Deadline", deadline))
            response = await self.origin.handle(Request(b"GET", b"/a/1", fields))
            self.assertEqual(response.status, 503)
            found.append(float(response.header(b"retry-after")))
        self.assertAlmostEqual(min(found), shortest_s, delta=0.03)
        self.assertAlmostEqual(max(found), longest_s, delta=0.03)


class ParentRequestsTests(unittest.TestCase):
    """Guards against a level of callees that their caller does not report."""

    def test_callee_level_is_recorded_for_the_route_of_the_parent(self):
        parent_requests = ParentRequests()
        parent_requests.call_started(make_call(request_id=b"p", route="buy"))
        parent = parent_requests.parent_of(b"p.1")
        with mock.patch.object(parent_requests_module, "boot_s", lambda: 100.0):
            for _ in range(40):
                parent_requests.report(parent, 100)
            self.assertAlmostEqual(parent_requests.callee_level("buy"), 100, delta=2)
            self.assertEqual(parent_requests.callee_level("read"), OPEN_LEVEL)
