"""Limits on the calls per second of a backend server."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.admission import AdmissionController, Permit, Ticket
from damaskproxy.admission.rate import MIN_PER_S, RateLimit
from damaskproxy.common import Priority, RefusalReason
from tools.faults.virtual_time import now_s, run_virtual

SLOTS = 50
WORK_S = 0.1


def make_ticket(priority=Priority.NORMAL, ordinal=5):
    """Return a ticket with a distant deadline."""
    return Ticket(priority, ordinal, "r", now_s() + 60)


class RateLimitTests(unittest.TestCase):
    """Guards against more calls in a window than the rate and one burst."""

    @params(
        # calls per second, seconds, expected calls
        (10.0, 4.0, 40),
        (0.0, 4.0, 4.0 * MIN_PER_S),
        (0.7, 10.0, 7),
        (1000.0, 1.0, 1000),
    )
    def test_eager_caller_gets_the_rate(self, per_s, duration_s, expected):
        rate, clock_s, calls = RateLimit(per_s, 0.0), 0.0, 0
        while clock_s < duration_s:
            wait_s = rate.wait_s(clock_s)
            if wait_s == 0.0:
                rate.take(clock_s)
                calls += 1
            clock_s += wait_s
        self.assertAlmostEqual(calls, expected, delta=2)

    def test_unused_calls_are_saved_up_for_a_short_time_only(self):
        rate, calls = RateLimit(100.0, 0.0), 0
        while rate.wait_s(1000.0) == 0.0:
            rate.take(1000.0)
            calls += 1
        self.assertEqual(calls, 20)


class ControllerRateTests(unittest.TestCase):
    """Guards against a rate that is exceeded, or that delays urgent calls."""

    def play(self, main):
        """Run `main` with a controller on virtual time."""

        async def run():
            return await main(AdmissionController(SLOTS, now_s=now_s))

        return run_virtual(run())

    async def call(self, controller, started, **fields):
        """Run one call and record its start."""
        permit = await controller.acquire(make_ticket(**fields))
        if not isinstance(permit, Permit):
            return permit
        started.append(now_s())
        await asyncio.sleep(WORK_S)
        controller.release(permit, elapsed_s=WORK_S, ok=True)
        return permit

    def test_queued_calls_start_at_the_rate_by_priority(self):
        async def main(controller):
            controller.set_rate(50.0)
            order = []

            async def run(priority):
                permit = await controller.acquire(make_ticket(priority))
                order.append((priority, round(now_s(), 3)))
                controller.release(permit, elapsed_s=0.0, ok=True)

            await run(Priority.SHEDDABLE)
            await asyncio.gather(
                run(Priority.SHEDDABLE), run(Priority.CRITICAL), run(Priority.NORMAL)
            )
            return order

        expected = [
            (Priority.SHEDDABLE, 0.0),
            (Priority.CRITICAL, 0.02),
            (Priority.NORMAL, 0.04),
            (Priority.SHEDDABLE, 0.06),
        ]
        self.assertEqual(self.play(main), expected)

    def test_call_that_would_wait_too_long_is_refused_at_once(self):
        async def main(controller):
            controller.set_rate(2.0)
            started = []
            await self.call(controller, started)
            return await self.call(controller, started)

        self.assertIs(self.play(main).reason, RefusalReason.OVERLOAD_QUEUE_FULL)

    def test_calls_start_at_once_after_the_limit_ended(self):
        async def main(controller):
            controller.set_rate(25.0)
            started = []
            calls = [self.call(controller, started) for _ in range(3)]
            tasks = [asyncio.create_task(call) for call in calls]
            await asyncio.sleep(0.01)
            controller.set_rate(None)
            await asyncio.gather(*tasks)
            return started

        self.assertLessEqual(max(self.play(main)), 0.011)

    def test_rate_does_not_lower_the_admission_level(self):
        async def main(controller):
            controller.set_rate(20.0)
            before, started = controller.load().level, []
            for _ in range(200):
                asyncio.create_task(self.call(controller, started))  # noqa: RUF006
                await asyncio.sleep(0.01)
            return before, controller.load().level, controller.load().limit

        before, after, limit = self.play(main)
        self.assertEqual(before, after)
        self.assertEqual(limit, 2)
