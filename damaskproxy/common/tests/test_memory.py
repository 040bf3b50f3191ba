"""Accounts of the memory that a node holds for others."""

import unittest

from nose2.tools import params

from damaskproxy.common.memory import (
    LargestHolders,
    MemoryAccount,
    MemoryBudget,
    UnsentWrites,
    add_part,
    join_parts,
)


class MemoryAccountTests(unittest.TestCase):
    """Guards against work that is accepted although its memory is used up."""

    def setUp(self):
        self.budget = MemoryBudget(100)
        self.one = MemoryAccount(50, self.budget)
        self.two = MemoryAccount(50, self.budget)

    def test_new_work_leaves_a_part_of_the_budget_to_work_that_has_run(self):
        self.assertTrue(self.one.fits(50))
        self.assertFalse(self.one.fits(51))
        self.two.hold(50)
        self.assertTrue(self.one.fits(30))
        self.assertFalse(self.one.fits(31))
        self.two.release(50)
        self.assertTrue(self.one.fits(50))
        self.assertEqual(self.budget.held_bytes, 0)

    def test_largest_holder_is_given_up_until_the_account_is_within_its_limit(self):
        holders = LargestHolders(self.one)
        given_up = []
        functions = [lambda n=n: given_up.append(n) for n in range(3)]
        for function, count in zip(functions, (10, 25, 15)):
            holders.add(function, count)
        self.assertEqual(given_up, [])
        holders.add(functions[0], 10)
        self.assertEqual(given_up, [1])
        self.assertEqual(self.one.held_bytes, self.budget.held_bytes)
        self.assertEqual(self.one.held_bytes, 35)
        holders.release(functions[0])
        holders.release(functions[0])
        self.assertEqual(self.one.held_bytes, 15)

    @params((True, [0]), (False, [1]))
    def test_shortage_of_the_budget_is_met_by_what_may_be_given_up_first(
        self, has_unread, expected
    ):
        unread, others = LargestHolders(self.one), LargestHolders(self.two)
        self.budget.on_shortage(unread.give_up_largest)
        given_up = []
        if has_unread:
            unread.add(lambda: given_up.append(0), 45)
        else:
            self.one.hold(45)
        self.budget.held_bytes += 10
        others.add(lambda: given_up.append(1), 46)
        self.assertEqual(given_up, expected)


class UnsentWritesTests(unittest.TestCase):
    """Guards against buffers of a transport that are counted in part or for good."""

    def test_write_counts_in_full_until_it_has_been_sent(self):
        writes = UnsentWrites()
        self.assertEqual(writes.add(100, 100), 100)
        self.assertEqual(writes.add(10, 11), 10)
        self.assertEqual(writes.add(10, 20), -90)
        self.assertEqual(writes.held_bytes, 20)
        self.assertEqual(writes.clear(), 20)
        self.assertEqual(writes.clear(), 0)


class PartsTests(unittest.TestCase):
    """Guards against bodies that change while their parts are joined."""

    @params([], [b"one"], [b"", b"one"], [b"one", b"", b"two", b"three"])
    def test_parts_are_joined_in_order(self, parts):
        body = b""
        for part in parts:
            body = add_part(body, part)
        self.assertEqual(join_parts(body), b"".join(parts))
