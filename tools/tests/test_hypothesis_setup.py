"""Preparation of Hypothesis before the first test."""

import subprocess
import sys
import unittest

SCRIPT = """
from hypothesis.internal.conjecture import providers
from tools.hypothesis_setup import draw
draw()
print(providers._sys_modules_len is not None)
"""


class HypothesisSetupTests(unittest.TestCase):
    """Guards against a health check that fails since a test parses all modules."""

    def test_modules_are_parsed_before_the_first_test(self):
        process = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        self.assertEqual(process.stdout.strip(), "True")
