"""Deadlines that pass, do not pass, or race with a cancellation from outside."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.common.deadline import Deadline


async def limited(delay_s, work_s):
    """Work under a deadline and return what ended it."""
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
    """Guards against a client's leave that is taken for a time-out, and the reverse."""

    @params((1.0, 0.0, "done"), (0.01, 5.0, "expired"))
    async def test_first_event_decides(self, delay_s, work_s, ending):
        self.assertEqual(await limited(delay_s, work_s), ending)

    async def test_cancellation_from_outside_is_passed_on(self):
        task = asyncio.create_task(limited(5.0, 5.0))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_cancellation_beside_the_deadline_is_passed_on(self):
        task = asyncio.create_task(limited(0.01, 5.0))
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, task.cancel)
        await asyncio.wait({task})
        ended = "cancelled" if task.cancelled() else task.result()
        self.assertIn(ended, ("cancelled", "expired"))

    async def test_work_after_an_expired_deadline_is_not_disturbed(self):
        self.assertEqual(await limited(0.01, 5.0), "expired")
        await asyncio.sleep(0.02)
        self.assertEqual(asyncio.current_task().cancelling(), 0)
