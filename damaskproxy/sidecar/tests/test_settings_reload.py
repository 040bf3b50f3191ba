"""Settings files that are changed or incomplete while a node starts or runs."""

import json
import unittest

from nose2.tools import params

from damaskproxy.sidecar.tests.mesh import MeshTestCase


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
