"""Pages for users agree with the lists in the code."""

import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.common import RefusalReason, RetryReason
from tools.markdown import first_column

DOCS = Path(__file__).resolve().parents[2] / "docs"


class PagesTests(unittest.TestCase):
    """Guards against reasons and events that the pages lack or invent."""

    @params(("Refusal reasons", RefusalReason), ("Retry reasons", RetryReason))
    def test_operations_page_lists_every_reason(self, heading, reasons):
        page = (DOCS / "operations.md").read_text(encoding="utf-8")
        self.assertEqual(sorted(first_column(page, heading)), sorted(map(str, reasons)))

    def test_interface_page_names_known_reasons_only(self):
        page = (DOCS / "interface.md").read_text(encoding="utf-8")
        table = page.partition("| status | reasons |")[2].partition("\n\n")[0]
        named = [cell.strip("`, ") for cell in table.split("`")[1::2]]
        self.assertEqual(set(named) - set(map(str, RefusalReason)), set())
        self.assertEqual(len(named), len(set(named)))
