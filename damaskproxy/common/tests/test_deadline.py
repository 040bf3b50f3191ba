"""Deadlines that expire, do not expire, or race with an external cancellation."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.common.deadline import Deadline


async def run_with_deadline(delay_s, work_s):
    """Work under a deadline; return ``done`` or ``expired``."""
    deadline = Deadline(asyncio.get_running_loop(), delay_s)
    try:
        await asyncio.sleep(work_s)
        return "done"
    except asyncio.CancelledError:
        if not deadline.is_expired():
            raise
        return "expired"
    finally:
        deadline.close()


class DeadlineTests(unittest.IsolatedAsyncioTestCase):
    """Guards against confusing a client's disconnect with an expired deadline."""

    @params((1.0, 0.0, "done"), (0.01, 5.0, "expired"))
    async def test_whichever_comes_first_decides(self, delay_s, work_s, outcome):
        self.assertEqual(await run_with_deadline(delay_s, work_s), outcome)

    async def test_external_cancellation_is_propagated(self):
        task = asyncio.create_task(run_with_deadline(5.0, 5.0))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_cancellation_racing_with_the_deadline_is_propagated(self):
        task = asyncio.create_task(run_with_deadline(0.01, 5.0))
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, task.cancel)
        await asyncio.wait({task})
        ended = "cancelled" if task.cancelled() else task.result()
        self.assertIn(ended, ("cancelled", "expired"))

    async def test_work_after_an_expired_deadline_is_not_cancelled(self):
        self.assertEqual(await run_with_deadline(0.01, 5.0), "expired")
        await asyncio.sleep(0.02)
        self.assertEqual(asyncio.current_task().cancelling(), 0)
