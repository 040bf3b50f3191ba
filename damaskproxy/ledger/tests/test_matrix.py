"""Tests that all guarantees hold under faults, and that each mechanism is needed."""

import logging
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.ledger.tests.matrix import FAULT_TABLE
from tools.fault_matrix import PAGE, broken_pairs
from tools.faults.cells import collect, render

cells = st.sampled_from(FAULT_TABLE.cells)


class MatrixTests(unittest.TestCase):
    """Guards against violated guarantees, and against mechanisms without effect."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_page_is_current(self):
        """Each cell keeps the guarantees, its fault occurs, and the page is current."""
        page = render(collect())
        bad = [line for line in page.splitlines() if "BROKEN" in line]
        bad += [line for line in page.splitlines() if "not reached" in line]
        self.assertEqual(bad, [])
        written = PAGE.read_text(encoding="utf-8")
        self.assertEqual(page.splitlines(), written.splitlines())

    @params(*FAULT_TABLE.proofs)
    def test_proof(self, proof):
        """A run violates a guarantee only if the mechanism is disabled."""
        kept, _ = FAULT_TABLE.run(proof.cells, proof.seed)
        self.assertTrue(kept.ok, kept.lines())
        broken, _ = FAULT_TABLE.run(proof.cells, proof.seed, proof.mechanism)
        self.assertGreater(broken.counts[proof.finding], 0, broken.lines())

    def test_pairs_of_faults(self):
        count, broken = broken_pairs(FAULT_TABLE, every=97)
        self.assertGreater(count, 100)
        self.assertEqual(broken, [])

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(cells, max_size=5), st.integers(0, 10**6))
    def test_any_faults(self, faults, seed):
        verdict, _ = FAULT_TABLE.run(tuple(faults), seed)
        self.assertTrue(verdict.ok, verdict.lines())
