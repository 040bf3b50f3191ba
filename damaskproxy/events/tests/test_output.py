"""Rate limit of the log, and log readers that are slow, stop or disconnect."""

import contextlib
import os
import time
import unittest

from damaskproxy.events import DroppingOutput
from damaskproxy.events.logs import LineLimit

LINE = "x" * 999 + "\n"


class LineLimitTests(unittest.TestCase):
    """Guards against logging that costs more than the work it reports."""

    def test_lines_beyond_the_limit_are_dropped_and_counted(self):
        now_s = 10.0
        limit = LineLimit(3, lambda: now_s)
        self.assertEqual([limit.count_line() for _ in range(5)], [0, 0, 0, None, None])
        now_s = 11.2
        self.assertEqual([limit.count_line() for _ in range(4)], [2, 0, 0, None])
        now_s = 15.0
        self.assertEqual(limit.count_line(), 1)


class DroppingOutputTests(unittest.TestCase):
    """Guards against a process that blocks because its log is not being read."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.stream = os.fdopen(writer, "w")
        self.addCleanup(self.stream.close)
        self.output = DroppingOutput(self.stream)

    def test_lines_are_written_completely(self):
        for number in range(5):
            self.output.write(f"line {number}\n")
        lines = os.read(self.reader, 1000).decode().splitlines()
        self.assertEqual(lines, [f"line {number}" for number in range(5)])
        os.close(self.reader)

    def test_stalled_reader_only_loses_lines(self):
        began_s = time.monotonic()
        for _ in range(1000):
            self.output.write(LINE)
        self.assertLess(time.monotonic() - began_s, 1.0)
        self.assertGreater(self.output.dropped_count, 500)
        received = b""
        os.set_blocking(self.reader, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                received += os.read(self.reader, 65536)
                self.output.flush()
        self.assertEqual(set(received.decode().splitlines()), {LINE[:-1]})
        os.close(self.reader)

    def test_closed_reader_only_loses_lines(self):
        os.close(self.reader)
        self.output.write("one\n")
        self.output.write("two\n")
        self.assertEqual(self.output.dropped_count, 2)
