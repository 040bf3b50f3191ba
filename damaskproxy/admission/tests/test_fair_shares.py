"""Shares of organisations in a class under overload."""

import random
import unittest

from nose2.tools import params

from damaskproxy.admission.fair_shares import ORGANISATIONS_MAX, FairShares
from damaskproxy.common.ids import ORDINAL_COUNT

CLASS = 1
FIRST = CLASS * ORDINAL_COUNT


class FairSharesTests(unittest.TestCase):
    """Guards against organisations that lose their share to one that sends more."""

    def setUp(self):
        self.now_s = 100.0
        self.shares = FairShares(now_s=lambda: self.now_s)
        self.rng = random.Random(1)

    def play(self, rates_per_s, level_share, *, early=False, seconds=10):
        """Return the served share of each organisation below a level.

        With `early`, origins refuse by the level that the last result reported.
        """
        level = FIRST + int(ORDINAL_COUNT * level_share)
        names = list(rates_per_s)
        wanted, served = dict.fromkeys(names, 0), dict.fromkeys(names, 0)
        levels, refused = dict.fromkeys(names, FIRST + ORDINAL_COUNT), {}
        total = sum(rates_per_s.values())
        for _ in range(int(total * seconds)):
            self.now_s += 1 / total
            (name,) = self.rng.choices(names, rates_per_s.values())
            ordinal = self.rng.randrange(ORDINAL_COUNT)
            is_counted = self.now_s > 100.0 + seconds / 2
            wanted[name] += is_counted
            if early and FIRST + ordinal >= levels[name]:
                refused[name] = refused.get(name, 0) + 1
                continue
            fair = self.shares.ordinal(CLASS, name, ordinal, refused.pop(name, 0))
            levels[name] = self.shares.level_by_hash(CLASS, name, level)
            served[name] += is_counted and FIRST + fair < level
        return {name: served[name] / max(wanted[name], 1) for name in names}

    @params(
        # Rates, share of the class below the level, expected served shares.
        ({"a": 100, "b": 100}, 0.5, {"a": 0.5, "b": 0.5}),
        ({"a": 300, "b": 50, "c": 50}, 0.5, {"a": 0.33, "b": 1.0, "c": 1.0}),
        ({"a": 300, "b": 100, "c": 50}, 0.3, {"a": 0.16, "b": 0.45, "c": 0.9}),
        ({"a": 1900, "b": 100}, 0.1, {"a": 0.053, "b": 1.0}),
        ({"a": 300, "b": 50, "c": 50}, 1.0, {"a": 1.0, "b": 1.0, "c": 1.0}),
    )
    def test_organisation_that_sends_most_is_refused_first(
        self, rates_per_s, level_share, expected
    ):
        for early in (False, True):
            served = self.play(rates_per_s, level_share, early=early)
            for name, share in expected.items():
                self.assertAlmostEqual(served[name], share, delta=0.12, msg=served)

    @params((0.05, 200), (0.3, 200), (0.3, 20), (0.8, 200))
    def test_no_organisation_is_starved(self, level_share, small):
        """A large organisation must keep a quarter of the served share of all."""
        rates_per_s = {f"s{number}": 5 for number in range(small)} | {"large": 1000}
        served = self.play(rates_per_s, level_share)
        total = sum(rates_per_s.values())
        of_all = sum(served[name] * rate for name, rate in rates_per_s.items()) / total
        self.assertGreaterEqual(served["large"], 0.25 * of_all)

    def test_organisations_of_a_class_are_bounded(self):
        for number in range(3 * ORGANISATIONS_MAX):
            self.shares.ordinal(CLASS, f"o{number}", number % ORDINAL_COUNT)
        counts = self.shares._classes[CLASS].counts
        self.assertEqual(len(counts), ORGANISATIONS_MAX + 1)
        self.now_s += 60
        self.shares.ordinal(CLASS, "a", 1)
        self.assertLessEqual(len(self.shares._classes[CLASS].counts), 1)
