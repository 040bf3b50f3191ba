"""Settings files of sidecars."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.sidecar.settings import SidecarSettingsError, load_settings

LISTENERS = {
    name: f"10.0.0.1:{port}"
    for port, name in enumerate(("caller", "peer", "readiness", "control"), 8300)
}
SETTINGS = {
    "node_id": "n1",
    "data_centre": "a",
    "region": "r",
    "service": "orders",
    "backend_address": "10.0.0.1:80",
    "listeners": LISTENERS,
    "store_address": "10.0.0.2:80",
    "seeds": ["10.0.0.3:8306"],
}


class SettingsTests(unittest.TestCase):
    """Guards against a node whose record the other nodes would reject."""

    def load(self, settings):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            return load_settings(str(path))

    def test_valid_settings(self):
        self.assertEqual(self.load(SETTINGS).node_id, "n1")

    @params(
        {"listeners": {**LISTENERS, "peer": "backend-1.example:8301"}},
        {"listeners": {**LISTENERS, "peer": "10.0.0.1:0"}},
        {"listeners": {**LISTENERS, "peer": "10.0.0.1:70000"}},
        {"listeners": {**LISTENERS, "control": "10.0.0.1:70000"}},
        {"seeds": ["10.0.0.3:8306", "10.0.0.3:70000"]},
        {"store_address": "10.0.0.2:70000"},
        {"backend_address": "10.0.0.1:70000"},
        {"node_id": "n\n1"},
        {"service": "orders\r\nX-Injected: 1"},
        {"data_centre": "a" * 70_000},
    )
    def test_unusable_settings_are_rejected(self, changes):
        with self.assertRaises(SidecarSettingsError):
            self.load({**SETTINGS, **changes})

    def test_nested_settings_are_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_bytes(b'{"bounds":' + b"[" * 20_000)
            with self.assertRaises(SidecarSettingsError):
                load_settings(str(path))
