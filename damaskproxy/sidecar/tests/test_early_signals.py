"""Signals to a process that has just been started."""

import asyncio
import json
import os
import signal
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.sidecar import lifecycle
from damaskproxy.sidecar.compose import compose
from damaskproxy.sidecar.settings import load_first_settings
from damaskproxy.sidecar.tests.mesh import MeshTestCase
from damaskproxy.sidecar.tests.node_process import NodeProcessTestCase

STARTED, RELOADED = 12001, 12005
SETTINGS_DELAYS_S = (0.0, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4)


def handles(pid, number):
    """Tell whether a process has a handler for a signal."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        (mask,) = [line.split()[1] for line in status if line.startswith("SigCgt")]
    return bool(int(mask, 16) >> (number - 1) & 1)


def loaded_files(pid):
    """Return the list of files that a process has mapped."""
    with open(f"/proc/{pid}/maps", encoding="utf-8") as maps:
        return maps.read()


class EarlySignalTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a process that is ended by a signal at its start."""

    async def start_until_handled(self):
        """Start a node; return as soon as it handles signals, SIGTERM as the last."""
        node = self.make_node()
        await node.start()
        await node.until(lambda: handles(node.process.pid, signal.SIGTERM))
        return node

    async def test_sighup_is_handled_before_the_libraries_are_loaded(self):
        node = await self.start_until_handled()
        loaded = loaded_files(node.process.pid)
        self.assertNotIn("uvloop", loaded)
        self.assertNotIn("msgspec", loaded)

    @params(*SETTINGS_DELAYS_S)
    async def test_settings_of_a_sighup_at_the_start_are_in_force(self, delay_s):
        node = await self.start_until_handled()
        await asyncio.sleep(delay_s)
        node.settings["service"] = "stock"
        node.settings["bounds"] = {"graceS": 3}
        stamp = os.stat(node.path)
        node.write_settings()
        # Only the signal tells of the change.
        os.utime(node.path, ns=(stamp.st_atime_ns, stamp.st_mtime_ns))
        node.send(signal.SIGHUP)
        await node.until_ready()
        # Either the node has started with them, or it has loaded them afterwards.
        await node.until(
            lambda: (
                node.events(STARTED)[-1].get("service") == "stock"
                or any("service" in e["changed"] for e in node.events(RELOADED))
            )
        )

    @params(signal.SIGTERM, signal.SIGINT)
    async def test_process_that_is_stopped_at_its_start_exits_with_status_0(
        self, number
    ):
        node = await self.start_until_handled()
        node.send(number)
        self.assertEqual(await node.exit_status(), 0)
        self.assertEqual(node.errors(), "")


class ChangeAtTheStartTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a change of the settings that is never noticed."""

    async def test_change_between_loading_and_the_first_check_is_noticed(self):
        member = await self.start("one")
        await self.kill(member)
        path = str(member.path)
        settings, stamp = load_first_settings(path)
        changed = json.loads(member.path.read_bytes()) | {"service": "stock"}
        member.path.write_text(json.dumps(changed), encoding="utf-8")
        sidecar = compose(settings)
        with mock.patch.object(lifecycle, "SETTINGS_POLL_INTERVAL_S", 0.01):
            task = asyncio.create_task(
                lifecycle._follow_settings(sidecar, path, asyncio.Event(), stamp)
            )
            await self.until(lambda: sidecar.settings.service == "stock")
        task.cancel()
