"""The checks of allowances in the soak of processes notice what they are for."""

import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.sidecar.tests.soak_allowances import (
    FLOOD,
    QUIET,
    Answered,
    allowance_faults,
    bound,
)

LIMIT_SUM = int(bound(FLOOD))


def spread(count, over_s):
    """Return times at equal distances, the last one just before the end."""
    return [over_s * number / count for number in range(count)]


def answered(name, count, status=200, retry_after=None, runs=1):
    """Return equal requests within some seconds."""
    return [
        Answered(name, at_s, status, retry_after, runs) for at_s in spread(count, 4.0)
    ]


USUAL = (
    *answered(FLOOD, 40),
    *answered(FLOOD, 200, 429, "0.05", 0),
    *answered(QUIET, 300),
)
"""Requests of a run without a fault."""


class AllowanceCheckTests(unittest.TestCase):
    """Guards against a soak that passes although allowances are not kept."""

    @params(
        ("as usual", (), 0),
        ("cut off", answered(FLOOD, 1, None, None, 1), 0),
        ("429 and ran", answered(FLOOD, 1, 429, "0.05", 1), 1),
        ("429 without a wait", answered(FLOOD, 1, 429, None, 0), 1),
        ("429 with a wait of 0", answered(FLOOD, 1, 429, "0.00", 0), 1),
        ("429 with an endless wait", answered(FLOOD, 1, 429, "inf", 0), 1),
        ("429 with a date", answered(FLOOD, 1, 429, "Sun, 06 Dec", 0), 1),
        ("429 without an allowance", answered("guild", 1, 429, "1", 0), 1),
        ("429 without a key", answered("", 1, 429, "1", 0), 1),
        ("2 refused below the limit", answered(QUIET, 2, 429, "1", 0), 0),
        ("3 refused below the limit", answered(QUIET, 3, 429, "1", 0), 1),
    )
    def test_requests(self, name, further, count):
        faults = allowance_faults([*USUAL, *further], {}, Counter())
        self.assertEqual(len(faults), count, (name, faults))

    @params(
        ("no run", [], 0),
        ("at the bound", spread(LIMIT_SUM, 4.9), 0),
        ("over the bound", spread(LIMIT_SUM + 1, 4.9), 1),
        ("over the bound in a longer time", spread(LIMIT_SUM + 1, 6.0), 0),
        ("over the bound, later", [9 + s for s in spread(LIMIT_SUM + 1, 4.9)], 1),
    )
    def test_windows(self, name, runs_s, count):
        faults = allowance_faults(USUAL, {FLOOD: runs_s}, Counter())
        self.assertEqual(len(faults), count, (name, faults))

    @params(
        ("no flood", answered(QUIET, 300), 1),
        ("flood within the bound", answered(FLOOD, LIMIT_SUM), 2),
        ("too few below the limit", (*USUAL[:240], *answered(QUIET, 100)), 1),
        ("nothing", (), 2),
    )
    def test_run_that_shows_nothing_fails(self, name, requests, count):
        faults = allowance_faults(requests, {}, Counter())
        self.assertEqual(len(faults), count, (name, faults))
        self.assertTrue(all("nothing was checked" in text for text in faults))
