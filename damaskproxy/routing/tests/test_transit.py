"""Delays in the network count against the budgets of a call."""

import unittest

from nose2.tools import params

from damaskproxy.routing.tests.builders import make_call
from damaskproxy.routing.transit import TransitClock

OFFSET_MS = 7_000_000


class TransitTests(unittest.TestCase):
    """Guards against a delayed call that starts on a budget that is long spent."""

    @params(
        # delays of the greeting and of the calls, budgets that the last one keeps
        ((0, 0), 1000),
        ((0, 300), 700),
        ((0, 5000), 0),
        ((200, 300), 900),
        ((200, 0, 300), 700),
    )
    def test_budget(self, delays_ms, left_ms):
        now_ms = [0]
        clock = TransitClock(lambda: now_ms[0] / 1000)
        sent_ms = 10_000
        for delay_ms in delays_ms:
            now_ms[0] = sent_ms + OFFSET_MS + delay_ms
            call = clock.arrived(make_call(deadline_ms=1000, sent_ms=sent_ms))
            sent_ms += 10_000
        self.assertEqual((call.deadline_ms, call.start_by_ms), (left_ms, left_ms))

    def test_frame_without_time(self):
        """A node of an earlier release sends no time."""
        call = TransitClock(lambda: 1e6).arrived(make_call())
        self.assertEqual(call.deadline_ms, 1000)
