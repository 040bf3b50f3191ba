"""Events before a process ends: close to its memory limit, and by an exception."""

import subprocess
import sys
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.sidecar import lifecycle
from damaskproxy.sidecar.memory import MemoryWatch, peak_memory_bytes


class MemoryWatchTests(unittest.TestCase):
    """Guards against a process that exceeds its memory without a trace in the log."""

    @params(
        ([10, 69], []),
        ([71, 72, 80], [71]),
        ([71, 86, 96, 99], [71, 86, 96]),
        ([97, 98], [97]),
    )
    def test_each_share_of_the_limit_is_logged_once(self, peaks_bytes, logged_bytes):
        peaks = iter(peaks_bytes)
        watch = MemoryWatch(100, lambda: {"held_bytes": 5}, lambda: next(peaks))
        with mock.patch("damaskproxy.sidecar.memory.log_event") as log_event:
            for _ in peaks_bytes:
                watch.check()
        logged = [call.kwargs for call in log_event.call_args_list]
        self.assertEqual([fields["peak_bytes"] for fields in logged], logged_bytes)
        self.assertTrue(all(fields["held_bytes"] == 5 for fields in logged))

    def test_peak_is_not_that_of_the_process_that_started_this_one(self):
        held = b"x" * (150 << 20)
        script = "from damaskproxy.sidecar.memory import *; print(peak_memory_bytes())"
        printed = subprocess.check_output([sys.executable, "-c", script])
        self.assertLess(int(printed), len(held))
        self.assertGreater(int(printed), 5 << 20)
        self.assertGreater(peak_memory_bytes(), 5 << 20)

    def test_peak_without_the_status_of_the_process(self):
        with mock.patch("damaskproxy.sidecar.memory.PROCESS_STATUS", "/nothing"):
            self.assertGreater(peak_memory_bytes(), 5 << 20)


class ProcessFailedTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that ends by an exception without an event."""

    async def test_exception_at_the_start_is_logged(self):
        with (
            mock.patch.object(lifecycle, "compose", side_effect=RuntimeError),
            self.assertLogs("damaskproxy.sidecar.lifecycle", "CRITICAL") as logs,
            self.assertRaises(RuntimeError),
        ):
            await lifecycle.run_sidecar(None, "settings.json")
        self.assertEqual(logs.records[0].event, 12011)
