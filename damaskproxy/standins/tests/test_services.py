"""The stand-ins reject invalid input and apply the fault controls over HTTP."""

import unittest

import aiohttp
from nose2.tools import params
from typer.testing import CliRunner

from damaskproxy.standins import objects_cli, start_objects, start_table, table_cli

ONE_ROW = {"checks": {}, "puts": {"a": "AA=="}}


class FaultControlTests(unittest.IsolatedAsyncioTestCase):
    """Guards against fault controls that fail silently or block themselves."""

    @params(
        (start_table, "POST", "/table/commit"),
        (start_objects, "PUT", "/objects/a"),
    )
    async def test_set_and_clear_down(self, start, method, path):
        running = await start()
        self.addAsyncCleanup(running.close)
        async with aiohttp.ClientSession(running.url) as session:

            async def status(method, path, body):
                async with session.request(method, path, json=body) as response:
                    return response.status

            self.assertIn(await status(method, path, ONE_ROW), (200, 204))
            self.assertEqual(await status("PUT", "/faults", {"down": True}), 200)
            self.assertEqual(await status(method, path, ONE_ROW), 503)
            for invalid in ({"down": 1}, {"dwon": True}, {"delay_ms": -1}, []):
                self.assertEqual(await status("PUT", "/faults", invalid), 400)
            self.assertTrue(running.faults.down)
            self.assertEqual(await status("PUT", "/faults", {}), 200)
            self.assertIn(await status(method, path, ONE_ROW), (200, 204))

    @params(
        ("read", {"keys": "a"}),
        ("scan", {"prefix": "a", "limit": 0}),
        ("commit", {"checks": {"a": -1}, "puts": {"a": ""}}),
        ("commit", {"checks": {}, "puts": {"a": "?"}}),
        ("commit", {"puts": {"a": ""}}),
    )
    async def test_invalid_body_applies_nothing(self, name, body):
        running = await start_table()
        self.addAsyncCleanup(running.close)
        async with (
            aiohttp.ClientSession(running.url) as session,
            session.post(f"/table/{name}", json=body) as response,
        ):
            self.assertEqual(response.status, 400)
            self.assertIs((await response.json())["applied"], False)
        self.assertEqual(running.rows.rows, {})


class CommandTests(unittest.TestCase):
    """Guards against a traceback instead of an error message."""

    @params((table_cli.app, "damask-table"), (objects_cli.app, "damask-objects"))
    def test_address_that_is_not_local(self, app, name):
        result = CliRunner().invoke(app, ["--host", "192.0.2.1"])
        self.assertEqual(result.exit_code, 1)
        self.assertRegex(result.stderr, f"^{name}: cannot listen on 192.0.2.1:.*\n$")
