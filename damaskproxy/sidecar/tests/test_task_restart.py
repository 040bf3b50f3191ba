"""Background tasks of a sidecar that fail."""

import asyncio
import unittest
from unittest import mock

from damaskproxy.sidecar import lifecycle


class TaskRestartTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a task that fails at once again and again and floods the log."""

    async def asyncSetUp(self):
        self.pauses = []
        self.now_s = 0.0
        real_sleep = asyncio.sleep

        async def sleep(delay_s):
            self.pauses.append(delay_s)
            self.now_s += delay_s
            await real_sleep(0)

        for patch in (
            mock.patch.object(lifecycle.asyncio, "sleep", sleep),
            mock.patch.object(lifecycle, "boot_s", lambda: self.now_s),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    async def run_job(self, outcomes):
        """Run a job with scripted outcomes; return the records of the log."""
        outcomes = iter(outcomes)

        async def job():
            elapsed_s, error = next(outcomes)
            self.now_s += elapsed_s
            if error is not None:
                raise error

        with self.assertLogs(lifecycle.logger, "ERROR") as logs:
            await lifecycle._run_with_restart(job)
        return logs.records

    async def test_pauses_grow_and_the_traceback_is_logged_once(self):
        outcomes = [(0.0, KeyError("expected"))] * 12 + [(0.0, None)]
        records = await self.run_job(outcomes)
        self.assertEqual(self.pauses[0], lifecycle.TASK_RESTART_DELAY_S)
        self.assertEqual(self.pauses, sorted(self.pauses))
        self.assertEqual(self.pauses[-1], lifecycle.TASK_RESTART_MAX_S)
        self.assertEqual(sum(1 for r in records if r.exc_info), 1)
        self.assertEqual(len(records), 12)

    async def test_another_error_is_logged_with_its_traceback(self):
        outcomes = [(0.0, KeyError("a")), (0.0, KeyError("b")), (0.0, None)]
        records = await self.run_job(outcomes)
        self.assertEqual(sum(1 for r in records if r.exc_info), 2)

    async def test_task_that_ran_for_long_is_restarted_soon(self):
        error = KeyError("expected")
        outcomes = [(0.0, error)] * 8 + [(3600.0, error), (0.0, None)]
        records = await self.run_job(outcomes)
        self.assertEqual(self.pauses[-1], lifecycle.TASK_RESTART_DELAY_S)
        self.assertTrue(records[-1].exc_info)
