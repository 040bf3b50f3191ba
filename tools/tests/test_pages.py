"""The documentation pages agree with the enumerations and models in the code."""

import re
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.common import RefusalReason, RetryReason
from damaskproxy.forwarding.calls import NotRunReason
from damaskproxy.routing.problems import status_of
from tools import event_catalogue as event_page, settings_page
from tools.event_catalogue import PAGE as EVENTS
from tools.markdown import first_column
from tools.settings_page import PAGE as SETTINGS

DOCS = Path(__file__).resolve().parents[2] / "docs"


class PagesTests(unittest.TestCase):
    """Guards against pages that lack entries or list some that do not exist."""

    @params(
        ("Refusal reasons", RefusalReason),
        ("Retry reasons", RetryReason),
        ("Reasons of the sidecar", NotRunReason),
    )
    def test_operations_page_lists_every_reason(self, heading, reasons):
        page = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        self.assertEqual(sorted(first_column(page, heading)), sorted(map(str, reasons)))

    def test_interface_page_gives_the_status_of_every_reason(self):
        page = (DOCS / "interface.md").read_text(encoding="utf-8")
        table = page.partition("| status | reasons |")[2].partition("\n\n")[0]
        listed = dict.fromkeys(map(str, RefusalReason), 503)
        for row in re.findall(r"^\| (\d+) \| (`.*) \|$", table, re.MULTILINE):
            for reason in re.findall(r"`([^`]+)`", row[1]):
                listed[reason] = int(row[0])
        self.assertEqual(listed, {str(r): status_of(r) for r in RefusalReason})

    @params((EVENTS, event_page), (SETTINGS, settings_page))
    def test_generated_page_is_current(self, page, module):
        self.assertEqual(
            page.read_text(encoding="utf-8"),
            module.render(),
            f"run: python -m {module.__name__}",
        )

    def test_every_setting_has_a_meaning(self):
        page = SETTINGS.read_text(encoding="utf-8")
        self.assertEqual([line for line in page.splitlines() if "|  |" in line], [])

    @params(*sorted(p.name for p in DOCS.glob("*.md")), "../README.md")
    def test_linked_files_exist(self, name):
        page = DOCS / name
        links = re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8"))
        missing = [link for link in links if not (page.parent / link).exists()]
        self.assertEqual(missing, [])
