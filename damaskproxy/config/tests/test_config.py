"""Invalid settings raise an error with the path of the field."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.config import SettingsError, load_settings, parse_settings

VALID = {
    "node_id": "orders-1",
    "region": "georgia",
    "data_centre": "tbilisi-1",
    "mesh_secrets": ["a secret of sixteen"],
    "platform": {
        "table_url": "http://127.0.0.1:1",
        "objects_url": "http://127.0.0.1:2",
    },
}


def changed(path, value):
    """Return the valid settings with one field replaced or added."""
    settings = json.loads(json.dumps(VALID))
    *parents, name = path.split(".")
    target = settings
    for parent in parents:
        target = target.setdefault(parent, {})
    target[name] = value
    return settings


class SettingsTests(unittest.TestCase):
    """Guards against invalid settings that are silently ignored."""

    def test_default_values(self):
        settings = parse_settings(json.dumps(VALID).encode())
        self.assertEqual(settings.listeners.admin.host, "127.0.0.1")

    @params(
        ("colour", "red", "colour"),
        ("node_id", "", "$.node_id"),
        ("node_id", "a b", "$.node_id"),
        ("mesh_secrets", [], "$.mesh_secrets"),
        ("mesh_secrets", ["short"], "$.mesh_secrets[0]"),
        ("listeners.call", {"port": 70000}, "$.listeners.call.port"),
        ("listeners.call", {"host": "localhost"}, "$.listeners.call.host"),
        ("listeners.peer", {"host": "0.0.0.0"}, "$.advertised_host"),
        ("advertised_host", "node-1", "$.advertised_host"),
        ("log", {"style": "xml"}, "$.log.style"),
        ("routing", {"max_depth": 0}, "$.routing.max_depth"),
        ("routing", {"max_dept": 3}, "max_dept"),
        ("platform.table_url", "ftp://x", "$.platform.table_url"),
        ("membership", {"probe_interval_ms": -1}, "$.membership.probe_interval_ms"),
    )
    def test_invalid_field(self, path, value, expected_path):
        with self.assertRaises(SettingsError) as caught:
            parse_settings(json.dumps(changed(path, value)).encode())
        self.assertIn(expected_path, str(caught.exception))

    @params(b"", b"{", b"[]", b"{}")
    def test_missing_or_malformed_document(self, data):
        with self.assertRaises(SettingsError):
            parse_settings(data)

    def test_unreadable_file(self):
        with tempfile.TemporaryDirectory() as folder:
            missing = Path(folder, "absent.json")
            with self.assertRaises(SettingsError) as caught:
                load_settings(missing)
        self.assertIn("absent.json", str(caught.exception))
