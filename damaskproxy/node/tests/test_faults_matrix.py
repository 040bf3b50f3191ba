"""Runs the cells of the fault table of complete nodes."""

import logging
import unittest

from nose2.tools import params

from damaskproxy.history import Finding
from damaskproxy.node.tests.fault_table import CELLS, FAULT_TABLE


class MatrixTests(unittest.TestCase):
    """Checks the guarantees to callers and operators under one fault at each step."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(*CELLS)
    def test_cell(self, cell):
        verdict, conclusion = FAULT_TABLE.run((cell,), cell.seed)
        self.assertTrue(verdict.ok, verdict.lines())
        self.assertEqual(conclusion, "answered")
        # The entry node neither stops nor crashes, so each send must get a response.
        self.assertEqual(verdict.counts[Finding.CUT], 0, verdict.lines())
        self.assertEqual(verdict.counts[Finding.UNANSWERED], 0, verdict.lines())
