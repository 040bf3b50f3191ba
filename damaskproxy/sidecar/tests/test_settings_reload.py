"""Settings files that are changed or incomplete while a node starts or runs."""

import json
import tempfile
import time
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.sidecar.settings import SidecarSettingsError, load_settings
from damaskproxy.sidecar.tests.mesh import MeshTestCase
from damaskproxy.sidecar.tests.node_process import NodeProcessTestCase


class ReloadTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a reload that leaves a node with settings it does not run with."""

    @params(
        ("node_id", "other"),
        ("data_centre", "b"),
        ("listeners", dict.fromkeys(("caller", "peer"), "127.0.0.1:1")),
        ("store_address", "127.0.0.1:1"),
        ("memory_limit_mb", 64),
    )
    async def test_settings_of_a_running_node_stay_in_force(self, name, value):
        one = await self.start("one")
        body = json.loads(one.path.read_bytes())
        before = getattr(one.sidecar.settings, name)
        if isinstance(value, dict):
            value = {**body[name], **value}
        body |= {name: value, "service": "stock"}
        one.path.write_text(json.dumps(body), encoding="utf-8")
        with self.assertLogs("damaskproxy.sidecar.lifecycle", "INFO") as logs:
            one.reload.set()
            await self.until(lambda: one.sidecar.settings.service == "stock")
        self.assertEqual(getattr(one.sidecar.settings, name), before)
        fields = logs.records[-1].fields
        self.assertEqual(fields, {"changed": ["service"], "needs_restart": [name]})


class InvalidTextTests(unittest.TestCase):
    """Guards against an exception that is not that of invalid settings."""

    @params(
        b"", b"{", b"\xff", b'{"bounds":{"a":' + b"[" * 100_000, b'{"node_id":"\xff"}'
    )
    def test_text_that_cannot_be_decoded_is_invalid(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_bytes(text)
            with self.assertRaises(SidecarSettingsError):
                load_settings(str(path))


class FirstSettingsTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a process that ends because its settings are being written."""

    @params("missing", "empty", "half written", "unreadable")
    async def test_settings_that_are_completed_after_the_start_are_used(self, state):
        node = self.make_node()
        text = node.path.read_bytes()
        if state == "missing":
            node.path.unlink()
        elif state == "unreadable":
            node.path.unlink()
            node.path.mkdir()
        else:
            node.path.write_bytes(text[: len(text) // 2] if state[0] == "h" else b"")
        await node.start()
        await node.until(lambda: node.errors())
        if state == "unreadable":
            node.path.rmdir()
        replacement = node.path.with_suffix(".new")
        replacement.write_bytes(text)
        replacement.replace(node.path)
        await node.until_ready()

    @params(
        ({"retries": 3}, "unknown field `retries`"),
        ({"memory_limit_mb": "300"}, "$.memory_limit_mb"),
        ({"log_level": "LOUD"}, "$.log_level"),
    )
    async def test_invalid_field_ends_the_process_with_its_name(self, change, message):
        node = self.make_node()
        node.settings |= change
        node.write_settings()
        start_s = time.monotonic()
        await node.start()
        self.assertEqual(await node.exit_status(), 2)
        self.assertIn(message, node.errors())
        self.assertNotIn("Traceback", node.errors())
        self.assertLess(time.monotonic() - start_s, 20)

    @params(b"", b'{"node_id": "one"', None)
    async def test_settings_that_stay_incomplete_end_the_process(self, text):
        node = self.make_node()
        if text is None:
            node.path.unlink()
        else:
            node.path.write_bytes(text)
        await node.start()
        self.assertEqual(await node.exit_status(), 2)
        self.assertIn(f"settings {node.path}: ", node.errors())
        self.assertNotIn("Traceback", node.errors())
