"""Bounds on the retries of random call trees, and on retry budgets."""

import random
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.retries import RetryAllowance, RetryBudget, RetrySettings

MAX_DEPTH = 8


class CallTree:
    """Runs one root request through a random call tree and counts its retries."""

    def __init__(self, rng, fanout, failing, losing):
        self.rng = rng
        self.fanout = fanout
        self.failing = failing
        self.losing = losing
        self.retries = 0

    def run(self, tokens, depth):
        """Run a call with its children, and return the tokens that are left."""
        allowance = RetryAllowance(tokens)
        children = self.rng.randint(0, self.fanout) if depth < MAX_DEPTH else 0
        loans = []
        for _ in range(children):
            loans.append(allowance.lend(self.rng.randint(0, tokens + 1)))
        for loan in loans:
            allowance.give_back(self.attempts(loan, depth + 1))
        return allowance.tokens

    def attempts(self, tokens, depth):
        """Call a child until it succeeds or no token is left; return what is left."""
        allowance = RetryAllowance(tokens)
        while True:
            lent = allowance.lend(allowance.tokens)
            left = self.run(lent, depth)
            if self.rng.random() >= self.losing:
                allowance.give_back(left)
            if self.rng.random() >= self.failing or not allowance.take():
                return allowance.tokens
            self.retries += 1


class RetryAllowanceTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 2**32),
        tokens=st.integers(0, 5),
        fanout=st.integers(0, 3),
        failing=st.floats(0, 1),
        losing=st.floats(0, 1),
        resends=st.integers(0, 4),
    )
    def test_retries_of_a_call_tree_are_limited_by_its_root(
        self, seed, tokens, fanout, failing, losing, resends
    ):
        """Lost responses, parallel calls and resends must not add retries.

        A resend with the same key joins the entry of the root request and shares its
        allowance.
        """
        fanout = min(fanout, 2 if tokens > 2 else 3)
        tree = CallTree(random.Random(seed), fanout, failing, losing)
        root = RetryAllowance(tokens)
        for _ in range(1 + resends):
            loan = root.lend(root.tokens)
            root.give_back(tree.attempts(loan, MAX_DEPTH - 4))
        self.assertLessEqual(tree.retries + root.tokens, tokens)

    @params((0, 0, 0), (3, 2, 2), (3, 9, 3), (3, -1, 0))
    def test_tokens_are_lent_and_returned(self, tokens, requested, lent):
        allowance = RetryAllowance(tokens)
        self.assertEqual(allowance.lend(requested), lent)
        allowance.give_back(99)
        self.assertEqual(allowance.tokens, tokens)

    def test_negative_tokens_are_an_error(self):
        with self.assertRaises(ValueError):
            RetryAllowance(-1)


class RetryBudgetTest(unittest.TestCase):
    @params((0, 10), (100, 10), (1, 10))
    def test_balance_is_bounded(self, first_attempts, allowed):
        budget = RetryBudget()
        for _ in range(first_attempts):
            budget.first_attempt("s")
        self.assertEqual(sum(budget.allow("s") for _ in range(50)), allowed)

    def test_services_have_separate_budgets(self):
        budget = RetryBudget(RetrySettings(saved_max=1))
        self.assertTrue(budget.allow("a"))
        self.assertFalse(budget.allow("a"))
        self.assertTrue(budget.allow("b"))
