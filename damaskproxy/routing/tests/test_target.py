"""Handling of duplicate, cancelled, late and refused calls on the target node."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.admission import AdmissionController
from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.ledger import AttemptGuard
from damaskproxy.routing import Announcement, LocalBackend, RoutingSettings, Target
from damaskproxy.routing.tests.builders import make_call
from damaskproxy.wire import Answer

NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN


class Clock:
    """Clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class FakeExecutor:
    """Executor that returns a response when the test sets `release`."""

    def __init__(self):
        self.ran = []
        self.release = asyncio.Event()

    async def run(self, call, *, deadline_s, start_by_s, suspect):
        self.ran.append(call.attempt_id)
        await self.release.wait()
        return Answer(call.attempt_id, 200, [], call.body, call.retry_tokens), 0.0


class NoSuspicion:
    """Quarantine without suspects."""

    async def acquire_permit(self, call, *, timeout_s):
        return None


class TargetTests(unittest.IsolatedAsyncioTestCase):
    """Guards against duplicate runs and against work for cancelled calls."""

    def setUp(self):
        self.clock = Clock()
        self.refusal = None
        self.executor = FakeExecutor()
        backend = LocalBackend(RoutingSettings(), self.clock, lambda: None)
        backend.announce(Announcement("orders", 1, slots=1))
        self.target = Target(
            backend,
            self.executor,
            AttemptGuard(now_s=self.clock),
            NoSuspicion(),
            lambda slots: AdmissionController(slots, now_s=self.clock),
            lambda: self.refusal,
            self.clock,
        )

    async def start(self, call):
        """Start `call` and return the task when the call is running or queued."""
        task = asyncio.create_task(self.target.run(call))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return task

    async def test_retransmitted_call_gets_the_first_result(self):
        """A frame that is retransmitted after its stream broke must not run again."""
        call = make_call(idempotent=False)
        first = await self.start(call)
        second = await self.start(call)
        self.executor.release.set()
        self.assertEqual((await first).status, 200)
        self.assertEqual((await second).status, 200)
        third = await self.target.run(call)
        self.assertEqual(third.status, 200)
        self.assertEqual(self.executor.ran, [call.attempt_id])

    @params(True, False)
    async def test_cancel_before_arrival(self, idempotent):
        call = make_call(idempotent=idempotent)
        self.target.cancel(call.attempt_id)
        result = await self.target.run(call)
        self.assertEqual(result.reason, RefusalReason.CANCELLED)
        self.assertEqual(result.outcome, NOT_RUN)
        self.assertEqual(self.executor.ran, [])

    async def test_cancel_of_a_started_call(self):
        call = make_call(idempotent=True)
        task = await self.start(call)
        self.target.cancel(call.attempt_id)
        result = await task
        self.assertEqual((result.reason, result.outcome), ("cancelled", UNKNOWN))
        self.assertEqual(self.target.in_flight, 0)

    async def test_started_non_idempotent_call_runs_to_completion(self):
        call = make_call(idempotent=False)
        task = await self.start(call)
        self.target.cancel(call.attempt_id)
        self.executor.release.set()
        self.assertEqual((await task).status, 200)

    async def test_cancel_of_a_queued_call(self):
        """A cancelled call must be removed from the queue and never run."""
        await self.start(make_call(attempt_id="1" * 32))
        waiting = await self.start(make_call(attempt_id="2" * 32, idempotent=False))
        self.target.cancel("2" * 32)
        result = await waiting
        self.assertEqual((result.reason, result.outcome), ("cancelled", NOT_RUN))
        self.executor.release.set()
        await asyncio.sleep(0)
        self.assertEqual(self.executor.ran, ["1" * 32])

    async def test_process_pause_while_queued(self):
        """A node that was paused must not start a call after its start-by time."""
        first = await self.start(make_call(attempt_id="1" * 32, deadline_ms=60_000))
        waiting = await self.start(
            make_call(
                attempt_id="2" * 32,
                idempotent=False,
                deadline_ms=60_000,
                start_by_ms=2000,
            )
        )
        self.clock.now_s += 10
        self.executor.release.set()
        await first
        result = await waiting
        self.assertEqual((result.reason, result.outcome), ("start-by-passed", NOT_RUN))
        self.assertEqual(self.executor.ran, ["1" * 32])

    @params(RefusalReason.LEAVING, RefusalReason.ISOLATED, RefusalReason.NOT_READY)
    async def test_gate(self, reason):
        self.refusal = Refusal(reason, NOT_RUN)
        result = await self.target.run(make_call(retry_tokens=2))
        self.assertEqual((result.reason, result.outcome), (reason, NOT_RUN))
        self.assertEqual(result.tokens_left, 2)

    async def test_drain_refuses_queued_calls(self):
        first = await self.start(make_call(attempt_id="1" * 32))
        waiting = await self.start(make_call(attempt_id="2" * 32))
        self.target.refuse_waiting(Refusal(RefusalReason.LEAVING, NOT_RUN))
        self.assertEqual((await waiting).reason, RefusalReason.LEAVING)
        self.executor.release.set()
        self.assertEqual((await first).status, 200)

    async def test_other_service(self):
        """A call must not run when its address now belongs to another service."""
        result = await self.target.run(make_call(service="stores"))
        self.assertEqual((result.reason, result.outcome), ("no-backend", NOT_RUN))
