"""Benchmark of the decisions about organisations and members."""

import unittest

from nose2.tools import params

from benchmarks import decisions

NODES, ORGANISATIONS = 10, 10


class DecisionsTests(unittest.TestCase):
    """Guards against figures of another state than the one that they are given for."""

    @params(1, 1000)
    def test_requests_are_authenticated(self, count):
        operation = decisions.make_authentication(count)
        names = {operation(number).name for number in range(count)}
        self.assertEqual(len(names), count)
        self.assertIsNotNone(decisions.make_lookup(count)(0))

    @params((10, 10), (300, 10), (10, 1000))
    def test_gate_is_open(self, nodes, count):
        check = decisions.make_check(nodes, count)
        waits_s = {check(number) for number in range(2 * count)}
        self.assertEqual(waits_s, {0.0})

    @params(
        ("open", decisions.make_report, 0),
        ("limited", decisions.make_limited_report, 1),
    )
    def test_ledger_is_in_the_state_that_is_measured(self, name, make, share):
        owners = decisions._owners(NODES)
        owned = len(decisions._owned_names(owners, 50))
        self.assertTrue(0 < owned < 50)
        handle = make(NODES, 50)
        for number in range(1000):
            self.assertEqual(len(handle(number).limited), share * owned, name)

    def test_organisations_share_by_their_counts(self):
        decide = decisions.make_ordinal(ORGANISATIONS)
        ordinals = {decide(number) for number in range(2000)}
        self.assertGreater(len(ordinals), 50)
        level = decisions.make_level(ORGANISATIONS)(0)
        self.assertNotIn(level, (0, decisions.ORDINAL_COUNT * 4))

    def test_each_decision_is_measured_at_each_size(self):
        sizes = [(d.name, d.nodes, d.organisations) for d in decisions.decisions()]
        self.assertEqual(len(sizes), len(set(sizes)))
        self.assertEqual({size[1] for size in sizes}, {None, *decisions.NODES})
        self.assertEqual({size[2] for size in sizes}, {None, *decisions.ORGANISATIONS})
        for decision in decisions.decisions():
            if decision.organisations in (None, 10) and decision.nodes in (None, 10):
                self.assertGreater(decisions.measure(decision.make, 1e-4), 0)
