"""The fault table of whole nodes holds."""

import logging
import unittest

from nose2.tools import params

from damaskproxy.history import Finding
from damaskproxy.node.tests.fault_table import CELLS, FAULT_TABLE


class MatrixTests(unittest.TestCase):
    """Guards the promises to callers and operators against one fault at each step."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(*CELLS)
    def test_cell(self, cell):
        verdict, conclusion = FAULT_TABLE.run((cell,), cell.seed)
        self.assertTrue(verdict.ok, verdict.lines())
        self.assertEqual(conclusion, "answered")
        # The entry node neither stops nor dies, so it owes each send a reply.
        self.assertEqual(verdict.counts[Finding.CUT], 0, verdict.lines())
        self.assertEqual(verdict.counts[Finding.UNANSWERED], 0, verdict.lines())
