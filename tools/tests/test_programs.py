"""Each installed program has the options ``--version`` and ``--help``."""

import tomllib
import unittest
from importlib import import_module
from pathlib import Path

from nose2.tools import params
from typer.testing import CliRunner

from damaskproxy import __version__

ROOT = Path(__file__).resolve().parent.parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]


class ProgramTests(unittest.TestCase):
    """Guards against a program that lacks one of the options or fails to start."""

    @params(*PROJECT["scripts"].items())
    def test_version_and_help(self, program, entry):
        module = import_module(entry.partition(":")[0])
        runner = CliRunner()
        version_result = runner.invoke(module.app, ["--version"])
        self.assertEqual(version_result.output, f"{program} {__version__}\n")
        help_result = runner.invoke(module.app, ["--help"])
        self.assertEqual(help_result.exit_code, 0)
        self.assertIn("--version", help_result.output)
