import asyncio
import unittest

from nose2.tools import params

from damaskproxy.admission import AdmissionController, Permit, Ticket
from damaskproxy.common import Outcome, Priority, Refusal, RefusalReason


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def ticket(priority=Priority.NORMAL, ordinal=5, deadline_s=1000.0, **fields):
    return Ticket(priority, ordinal, fields.pop("route", "r"), deadline_s, **fields)


class ControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = Clock()
        self.controller = AdmissionController(1, now_s=self.clock)

    def test_calls_past_deadline_or_start_by_are_not_run(self):
        late = self.controller.try_acquire(ticket(deadline_s=99.0))
        self.assertEqual(late.reason, RefusalReason.DEADLINE_PASSED)
        late = self.controller.try_acquire(ticket(start_by_s=100.0))
        self.assertEqual(late.reason, RefusalReason.START_BY_PASSED)
        self.assertIs(late.outcome, Outcome.NOT_RUN)

    def test_idle_time_does_not_count_as_a_stall(self):
        """The first calls after an idle time must not be refused as overload."""
        permit = self.controller.try_acquire(ticket())
        self.controller.release(permit, elapsed_s=0.01, ok=True)
        self.clock.now_s += 60.0
        self.assertIsInstance(self.controller.try_acquire(ticket()), Permit)
        self.assertIsNone(self.controller.try_acquire(ticket()))

    async def test_cancellation_after_the_grant_releases_the_permit(self):
        """A permit that was granted to a call that is being cancelled must not leak."""
        held = self.controller.try_acquire(ticket())
        waiting = asyncio.create_task(self.controller.acquire(ticket()))
        await asyncio.sleep(0)
        self.controller.release(held, elapsed_s=0.01, ok=True)
        self.assertEqual(self.controller.load().in_flight, 1)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.controller.load().in_flight, 0)

    async def test_queued_calls_start_by_priority_and_ordinal(self):
        held = self.controller.try_acquire(ticket())
        started = []

        async def run(priority, ordinal):
            permit = await self.controller.acquire(ticket(priority, ordinal))
            self.assertIsInstance(permit, Permit)
            started.append((priority, ordinal))
            self.controller.release(permit, elapsed_s=0.01, ok=True)

        keys = [(3, 0), (2, 9), (0, 99), (2, 1), (0, 3)]
        tasks = [asyncio.create_task(run(*key)) for key in keys]
        await asyncio.sleep(0)
        self.controller.release(held, elapsed_s=0.01, ok=True)
        await asyncio.gather(*tasks)
        self.assertEqual(started, sorted(keys))

    async def _wait(self, *tickets):
        tasks = [asyncio.create_task(self.controller.acquire(t)) for t in tickets]
        await asyncio.sleep(0)
        return tasks

    async def test_a_full_queue_refuses_the_call_of_lowest_priority(self):
        self.controller.try_acquire(ticket())
        first = await self._wait(ticket(Priority.SHEDDABLE, 9))
        rest = await self._wait(*[ticket(Priority.CRITICAL) for _ in range(16)])
        dropped = await first[0]
        self.assertIs(dropped.reason, RefusalReason.OVERLOAD_QUEUE_FULL)
        self.assertEqual(self.controller.load().queued, 16)
        self.controller.refuse_waiting(dropped)
        await asyncio.gather(*rest)

    @params(
        ({"deadline_s": 101.0}, RefusalReason.DEADLINE_PASSED),
        ({"start_by_s": 101.0}, RefusalReason.START_BY_PASSED),
    )
    async def test_a_queued_call_is_not_started_too_late(self, instants, reason):
        """A call that starts after its deadline is wasted or violates `start_by`."""
        held = self.controller.try_acquire(ticket())
        (waiting,) = await self._wait(ticket(**instants))
        self.clock.now_s = 102.0
        self.controller.release(held, elapsed_s=2.0, ok=False)
        refusal = await waiting
        self.assertEqual((refusal.reason, refusal.outcome), (reason, Outcome.NOT_RUN))
        self.assertEqual(self.controller.load().in_flight, 0)

    def test_calls_to_a_stalled_server_are_refused_not_queued(self):
        """The mean cost does not show that the calls in all slots do not end."""
        for _ in range(40):
            permit = self.controller.try_acquire(ticket())
            self.controller.release(permit, elapsed_s=0.01, ok=True)
        self.controller.try_acquire(ticket())
        self.assertIsNone(self.controller.try_acquire(ticket()))
        self.clock.now_s += 0.5
        refusal = self.controller.try_acquire(ticket())
        self.assertIs(refusal.reason, RefusalReason.OVERLOAD_QUEUE_FULL)

    def test_a_call_that_cannot_meet_its_deadline_is_refused(self):
        for _ in range(40):
            permit = self.controller.try_acquire(ticket())
            self.controller.release(permit, elapsed_s=0.03, ok=True)
        self.controller.try_acquire(ticket())
        refusal = self.controller.try_acquire(ticket(deadline_s=100.04))
        self.assertIs(refusal.reason, RefusalReason.OVERLOAD_DEADLINE)

    def test_long_running_calls_leave_slots_to_short_calls(self):
        self.controller.set_slots(10)
        long = ticket(long_work_hint=True)
        granted = [self.controller.try_acquire(long) for _ in range(12)]
        self.assertEqual(sum(isinstance(p, Permit) for p in granted), 9)
        self.assertIsInstance(self.controller.try_acquire(ticket()), Permit)

    async def test_refuse_waiting_refuses_all_queued_calls(self):
        self.controller.try_acquire(ticket())
        tasks = [
            asyncio.create_task(self.controller.acquire(ticket())) for _ in range(3)
        ]
        await asyncio.sleep(0)
        leaving = Refusal(RefusalReason.LEAVING, Outcome.NOT_RUN)
        self.controller.refuse_waiting(leaving)
        self.assertEqual(await asyncio.gather(*tasks), [leaving] * 3)
        self.assertEqual(self.controller.load().queued, 0)
