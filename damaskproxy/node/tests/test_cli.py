"""Command line of damask-node: exit codes, one-line errors and signals."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy import __version__

SETTINGS = {
    "node_id": "n1",
    "region": "r",
    "data_centre": "d",
    "mesh_secrets": ["a secret of sixteen"],
    "platform": {
        "table_url": "http://127.0.0.1:1",
        "objects_url": "http://127.0.0.1:1",
    },
}
TIMEOUT_S = 30


def run(*arguments):
    """Run damask-node and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "damaskproxy.node.cli", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


class CommandLineTests(unittest.TestCase):
    """Guards against tracebacks and incorrect exit codes."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "node.json")

    def write(self, **changes):
        """Write the settings file and return its path."""
        self.path.write_text(json.dumps(SETTINGS | changes))
        return self.path

    def test_version(self):
        self.assertEqual(run("--version").stdout, f"damask-node {__version__}\n")

    @params("", "run", "check", "status", "top", "explain")
    def test_help(self, command):
        completed = run(*command.split(), "--help")
        self.assertEqual(completed.returncode, 0)
        self.assertIn("Usage", completed.stdout)

    def test_check(self):
        completed = run("check", self.write())
        self.assertEqual((completed.returncode, completed.stderr), (0, ""))

    @params(("check", {"colour": 1}, 2), ("run", {"node_id": ""}, 2))
    def test_invalid_settings(self, command, changes, code):
        completed = run(command, self.write(**changes))
        self.assertEqual(completed.returncode, code)
        self.assertEqual(len(completed.stderr.splitlines()), 1, completed.stderr)

    def test_port_in_use(self):
        """A second node must not listen on an address that is in use."""
        with subprocess.Popen(
            [sys.executable, "-m", "damaskproxy.node.cli", "run", self.write()],
            stderr=subprocess.PIPE,
            text=True,
        ) as first:
            started = json.loads(first.stderr.readline())
            host, _, port = started["call"].rpartition(":")
            listeners = {"call": {"host": host, "port": int(port)}}
            second = run("run", self.write(listeners=listeners))
            self.assertEqual(second.returncode, 1)
            self.assertIn(f"cannot listen on {host}:{port}", second.stderr)
            os.kill(first.pid, signal.SIGTERM)
            first.stderr.read()
            self.assertEqual(first.wait(TIMEOUT_S), 0)

    def test_status_without_a_running_node(self):
        completed = run("status", "--admin", "127.0.0.1:1")
        self.assertEqual(completed.returncode, 3)
        self.assertEqual(len(completed.stderr.splitlines()), 1)
