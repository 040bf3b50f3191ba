"""Command line of damask-node: exit codes, one-line errors, signals."""

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
    """Run damask-node and return the finished process."""
    return subprocess.run(
        [sys.executable, "-m", "damaskproxy.node.cli", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


class CommandLineTests(unittest.TestCase):
    """Guards against tracebacks and wrong exit codes."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "node.json")

    def write(self, **changes):
        """Write the settings file."""
        self.path.write_text(json.dumps(SETTINGS | changes))
        return self.path

    def test_version(self):
        self.assertEqual(run("--version").stdout, f"damask-node {__version__}\n")

    @params("", "run", "check", "status", "top", "explain")
    def test_help(self, command):
        done = run(*command.split(), "--help")
        self.assertEqual(done.returncode, 0)
        self.assertIn("Usage", done.stdout)

    def test_check(self):
        done = run("check", self.write())
        self.assertEqual((done.returncode, done.stderr), (0, ""))

    @params(("check", {"colour": 1}, 2), ("run", {"node_id": ""}, 2))
    def test_wrong_settings(self, command, changes, code):
        done = run(command, self.write(**changes))
        self.assertEqual(done.returncode, code)
        self.assertEqual(len(done.stderr.splitlines()), 1, done.stderr)

    def test_port_in_use(self):
        """Two nodes on one address must not share it."""
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

    def test_status_of_nobody(self):
        done = run("status", "--admin", "127.0.0.1:1")
        self.assertEqual(done.returncode, 3)
        self.assertEqual(len(done.stderr.splitlines()), 1)
