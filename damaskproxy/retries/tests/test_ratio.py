"""Retry budget of a service: retries that it may refuse and retries that it may not."""

import unittest

from nose2.tools import params

from damaskproxy.retries import RetryBudget, RetrySettings


class RetryBudgetTests(unittest.TestCase):
    """Guards against retries that exceed the ratio over a window."""

    def setUp(self):
        self.budget = RetryBudget(RetrySettings(ratio=0.1, saved_max=2))

    def count_allowed(self, tries):
        return sum(self.budget.allow("s") for _ in range(tries))

    def add_first_attempts(self, count):
        for _ in range(count):
            self.budget.first_attempt("s")

    @params((0, 2), (10, 2), (1000, 2))
    def test_balance_is_bounded(self, attempts, expected):
        self.add_first_attempts(attempts)
        self.assertEqual(self.count_allowed(10), expected)

    def test_retries_are_refused_while_the_balance_is_negative(self):
        for _ in range(60):
            self.budget.charge("s")
        self.add_first_attempts(500)
        self.assertEqual(self.count_allowed(10), 0)
        self.add_first_attempts(100)
        self.assertGreater(self.count_allowed(10), 0)

    def test_retry_that_reached_no_server_is_returned(self):
        self.assertEqual(self.count_allowed(10), 2)
        self.budget.give_back("s")
        self.assertEqual(self.count_allowed(10), 1)

    @params((0.0, 2), (0.5, 1), (1.0, 1), (1.5, 0))
    def test_reserve_is_kept(self, reserve, expected):
        granted = sum(self.budget.allow("s", reserve=reserve) for _ in range(10))
        self.assertEqual(granted, expected)

    def test_capacity_can_be_lowered(self):
        self.budget.first_attempt("s")
        self.budget.set_capacity(1.0)
        self.assertEqual(self.count_allowed(10), 1)
