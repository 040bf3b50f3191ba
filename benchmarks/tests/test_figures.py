"""Tests of the figures of the latency benchmarks, and of their relay."""

import asyncio
import os
import random
import unittest

from nose2.tools import params

from benchmarks.added_latency import summarize
from benchmarks.cpu import process_cpu_s
from benchmarks.figures import percentile, send_at_rate
from benchmarks.relay import forwarded


class FiguresTests(unittest.IsolatedAsyncioTestCase):
    """Guards against percentiles off by one rank and against calls not counted."""

    @params(
        ([5], 0.99, 5),
        (list(range(1, 101)), 0.99, 99),
        (list(range(1, 101)), 0.5, 50),
        (list(range(1, 102)), 0.99, 100),
        ([3, 1, 2], 1.0, 3),
    )
    def test_percentile(self, values, share, expected):
        self.assertEqual(percentile(values, share), expected)

    def test_percentile_without_values_raises(self):
        with self.assertRaises(ValueError):
            percentile([], 0.5)

    def test_added_time_is_the_difference_to_direct_calls(self):
        times_s = {"direct": [0.001], "relay": [0.0015], "node": [0.003, 0.004]}
        figures = summarize(times_s)
        self.assertAlmostEqual(figures["added_p50_ms"], 2.0)
        self.assertAlmostEqual(figures["added_p99_ms"], 3.0)
        self.assertAlmostEqual(figures["floor_p99_ms"], 0.5)

    async def test_a_failed_call_raises(self):
        async def call():
            raise OSError("refused")

        with self.assertRaises(OSError):
            await send_at_rate(
                call, rate_per_s=1e5, duration_s=1e-4, rng=random.Random(1)
            )

    async def test_all_calls_are_timed(self):
        made = []

        async def call():
            made.append(1)
            await asyncio.sleep(0)

        times_s = await send_at_rate(
            call, rate_per_s=1e5, duration_s=1e-3, rng=random.Random(1)
        )
        self.assertEqual(len(times_s), len(made))

    def test_cpu_of_this_process(self):
        self.assertGreater(process_cpu_s(os.getpid()), 0)

    def test_relay_removes_hop_by_hop_headers(self):
        headers = {"Host": "h", "Connection": "close", "Damask-Attempt": "a"}
        self.assertEqual(forwarded(headers), [("Damask-Attempt", "a")])
