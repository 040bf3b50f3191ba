"""Folders of libraries, as the build command and the Makefile keep or replace them."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from nose2.tools import params

ROOT = Path(__file__).resolve().parents[2]
PIP_STUB = """#!/bin/sh
case "$*" in
"-m pip "*--target*)
    echo "$*" >> "{log}"
    [ -e "{failure}" ] && exit 1
    while [ "$1" != --target ]; do shift; done
    mkdir -p "$2" && touch "$2/installed.so" ;;
"-m venv "*)
    echo "$*" >> "{log}"
    [ -e "{failure}" ] && exit 1
    mkdir -p "$3/bin" && cp "$0" "$3/bin/pip" && touch "$3/installed.so" ;;
"install "*) ;;
*) exec "{python}" "$@" ;;
esac
"""


class FolderCase:
    """Mix-in with a checkout and a Python whose pip installs one file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name, "checkout")
        for name in ("deploy", "tools"):
            shutil.copytree(ROOT / name, self.root / name)
        (self.root / "damaskproxy").mkdir()
        for name in ("requirements.txt", "requirements-dev.txt", "pyproject.toml"):
            shutil.copy(ROOT / name, self.root / name)
        shutil.copy(ROOT / "Makefile", self.root / "Makefile")
        self.log = Path(folder.name, "log")
        self.failure = Path(folder.name, "failure")
        self.python = Path(folder.name, "bin", "python3")
        self.python.parent.mkdir()
        text = PIP_STUB.format(
            log=self.log, failure=self.failure, python=sys.executable
        )
        self.python.write_text(text, encoding="utf-8")
        self.python.chmod(0o755)

    def build(self):
        """Run the command that makes the folder; return its exit status."""
        path = f"{self.python.parent}:{os.environ['PATH']}"
        return subprocess.run(
            self.command(),
            cwd=self.root,
            env={"PATH": path, "HOME": str(self.root)},
            check=False,
            capture_output=True,
        ).returncode

    @property
    def installations(self):
        """Number of installations so far."""
        if not self.log.exists():
            return 0
        return len(self.log.read_text(encoding="utf-8").splitlines())

    def change_fact(self, name):
        """Change one of the facts in the stamp of the folder."""
        stamp = json.loads((self.folder / ".installed").read_text(encoding="utf-8"))
        self.assertIn(name, stamp)
        text = json.dumps({**stamp, name: "other"})
        (self.folder / ".installed").write_text(text, encoding="utf-8")

    def test_clean_checkout_is_built_once(self):
        self.assertEqual([self.build(), self.build()], [0, 0])
        self.assertEqual(self.installations, 1)
        self.assertTrue((self.folder / "installed.so").exists())

    def test_folder_without_a_finished_installation_is_replaced(self):
        self.folder.mkdir(parents=True)
        (self.folder / "stale.so").touch()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installations, 1)
        self.assertFalse((self.folder / "stale.so").exists())

    @params("system", "machine", "python", "abi", "inputs", "command")
    def test_folder_of_another_kind_of_machine_is_replaced(self, name):
        self.build()
        self.change_fact(name)
        (self.folder / "stale.so").touch()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installations, 2)
        self.assertFalse((self.folder / "stale.so").exists())

    def test_changed_requirements_are_installed(self):
        self.build()
        with (self.root / "requirements.txt").open("a", encoding="utf-8") as file:
            file.write("new==1\n")
        # Older than the folder, as after a checkout of another branch.
        os.utime(self.root / "requirements.txt", (0, 0))
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installations, 2)

    def test_installation_that_fails_is_reported_and_repeated(self):
        self.failure.touch()
        self.assertNotEqual(self.build(), 0)
        self.assertFalse((self.folder / ".installed").exists())
        self.failure.unlink()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installations, 2)

    def test_former_folder_stays_when_the_installation_fails(self):
        self.build()
        self.change_fact("machine")
        self.failure.touch()
        self.assertNotEqual(self.build(), 0)
        self.assertTrue((self.folder / "installed.so").exists())
        self.failure.unlink()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installations, 3)


class DeployBuildTests(FolderCase, unittest.TestCase):
    """Guards against a program that does not start with the folder that was kept."""

    @property
    def folder(self):
        """Folder of the libraries."""
        return self.root / "target" / "deps"

    def command(self):
        """Return the build command of the deploy file, in a plain shell."""
        text = (self.root / "deploy" / "system.toml").read_text(encoding="utf-8")
        return ["sh", "-c", tomllib.loads(text)["build"]]


class SetupTests(FolderCase, unittest.TestCase):
    """Guards against tools that do not start in the environment that was kept."""

    @property
    def folder(self):
        """Folder of the virtual environment."""
        return self.root / ".venv"

    def command(self):
        """Return the command that sets up a checkout."""
        return ["make", "setup", f"PYTHON={self.python}"]

    def test_environment_that_was_moved_is_replaced(self):
        self.build()
        self.root = self.root.rename(self.root.with_name("moved"))
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.installations, 2)
