"""Retry budget of a service: repeats that are chosen and repeats that are not."""

import unittest

from nose2.tools import params

from damaskproxy.retries import RetryBudget, RetrySettings


class RetryRatioTests(unittest.TestCase):
    """Guards against repeats that exceed the ratio over a window."""

    def setUp(self):
        self.ratio = RetryBudget(RetrySettings(ratio=0.1, saved_max=2))

    def allowed(self, tries):
        return sum(self.ratio.allow("s") for _ in range(tries))

    def attempt(self, count):
        for _ in range(count):
            self.ratio.first_attempt("s")

    @params((0, 2), (10, 2), (1000, 2))
    def test_saved_retries_are_bounded(self, attempts, allowed):
        self.attempt(attempts)
        self.assertEqual(self.allowed(10), allowed)

    def test_forced_repeats_are_paid_back_before_others_are_allowed(self):
        for _ in range(60):
            self.ratio.charge("s")
        self.attempt(500)
        self.assertEqual(self.allowed(10), 0)
        self.attempt(100)
        self.assertGreater(self.allowed(10), 0)

    def test_retry_that_reached_nothing_is_returned(self):
        self.assertEqual(self.allowed(10), 2)
        self.ratio.give_back("s")
        self.assertEqual(self.allowed(10), 1)

    @params((0.0, 2), (0.5, 1), (1.0, 1), (1.5, 0))
    def test_reserve_is_left(self, reserve, allowed):
        found = sum(self.ratio.allow("s", reserve=reserve) for _ in range(10))
        self.assertEqual(found, allowed)

    def test_limit_on_saved_retries_can_fall(self):
        self.ratio.first_attempt("s")
        self.ratio.set_capacity(1.0)
        self.assertEqual(self.allowed(10), 1)
