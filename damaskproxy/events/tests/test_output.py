"""Readers of the log that are slow, stop or go away."""

import contextlib
import os
import time
import unittest

from damaskproxy.events import DroppingOutput
from damaskproxy.events.logs import LineLimit

LINE = "x" * 999 + "\n"


class LineLimitTests(unittest.TestCase):
    """Guards against a log that costs more than the work it tells of."""

    def test_lines_beyond_the_limit_are_dropped_and_counted(self):
        now_s = 10.0
        limit = LineLimit(3, lambda: now_s)
        self.assertEqual([limit.take() for _ in range(5)], [0, 0, 0, None, None])
        now_s = 11.2
        self.assertEqual([limit.take() for _ in range(4)], [2, 0, 0, None])
        now_s = 15.0
        self.assertEqual(limit.take(), 1)


class DroppingOutputTests(unittest.TestCase):
    """Guards against a process that stands still because nobody reads its log."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.stream = os.fdopen(writer, "w")
        self.addCleanup(self.stream.close)
        self.output = DroppingOutput(self.stream)

    def test_lines_are_written_whole(self):
        for number in range(5):
            self.output.write(f"line {number}\n")
        lines = os.read(self.reader, 1000).decode().splitlines()
        self.assertEqual(lines, [f"line {number}" for number in range(5)])
        os.close(self.reader)

    def test_reader_that_stops_costs_lines_only(self):
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

    def test_reader_that_goes_away_costs_lines_only(self):
        os.close(self.reader)
        self.output.write("one\n")
        self.output.write("two\n")
        self.assertEqual(self.output.dropped_count, 2)
