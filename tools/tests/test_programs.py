"""Each program of the package has the usual options."""

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
    """Guards against a program without help or version."""

    @params(*PROJECT["scripts"].items())
    def test_options(self, program, entry):
        module = import_module(entry.partition(":")[0])
        runner = CliRunner()
        version = runner.invoke(module.app, ["--version"])
        self.assertEqual(version.output, f"{program} {__version__}\n")
        shown = runner.invoke(module.app, ["--help"])
        self.assertEqual(shown.exit_code, 0)
        self.assertIn("--version", shown.output)
