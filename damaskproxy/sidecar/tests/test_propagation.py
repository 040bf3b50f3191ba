"""Sidecars that learn from each other while a node that others follow fails."""

import asyncio
import time
import unittest

from nose2.tools import params

from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar.tests.mesh import MeshTestCase

CONFIGURATION_S = 2.0


class PropagationTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a node that is alone with an old configuration or old members."""

    async def start_mesh(self, count=4):
        """Start nodes of one data centre and wait until one of them is first."""
        members = [await self.start(f"n{i}") for i in range(count)]
        await self.until_known(count)
        await self.until(lambda: len(self.first_members()) == 1)
        return members

    def first_members(self):
        """Return the members that follow the store."""
        return [m for m in self.running() if m.sidecar.propagation.sources.is_first]

    def running(self):
        """Return the members whose sidecar runs."""
        return [m for m in self.members if m.sidecar is not None]

    async def configure_and_wait(self, version, members):
        """Write a configuration; return the time until all of `members` have it."""
        self.rows.put("op", "config", encode_configuration(version))
        start_s = time.monotonic()
        await self.until(
            lambda: all(m.sidecar.configuration.version == version for m in members)
        )
        return time.monotonic() - start_s

    async def test_one_node_follows_the_store_for_all(self):
        members = await self.start_mesh()
        await asyncio.sleep(0.5)
        self.rows.calls.clear()
        elapsed_s = await self.configure_and_wait(5, members)
        self.assertLess(elapsed_s, CONFIGURATION_S)
        await asyncio.sleep(0.2)
        self.assertLessEqual(len(self.rows.calls), 3)

    @params("killed", "frozen")
    async def test_configuration_is_in_force_after_the_first_node_failed(self, fault):
        members = await self.start_mesh()
        first = self.first_members()[0]
        others = [m for m in members if m is not first]
        if fault == "killed":
            await self.kill(first)
        else:
            # Its connections stay open, but it neither sends nor passes on anything.
            for task in first.tasks:
                task.cancel()
            first.sidecar.propagation.handle = lambda link, frame: None
            first.sidecar.propagation.flush = lambda: None
        elapsed_s = await self.configure_and_wait(7, others)
        self.assertLess(elapsed_s, CONFIGURATION_S)

    async def test_leave_reaches_all_nodes_while_the_store_is_unavailable(self):
        members = await self.start_mesh()
        self.rows.status = 503
        leaving = next(m for m in members if not m.sidecar.propagation.sources.is_first)
        self.assertEqual(await leaving.report("draining"), 200)
        start_s = time.monotonic()
        await self.until_known(3)
        self.assertLess(time.monotonic() - start_s, CONFIGURATION_S)

    @params(("first", False), ("other", False), ("first", True), ("other", True))
    async def test_deleted_row_of_a_running_node_comes_back(
        self, kind, is_history_lost
    ):
        members = await self.start_mesh(3)
        first = self.first_members()[0]
        victim = (
            first if kind == "first" else next(m for m in members if m is not first)
        )
        self.rows.drop("damask-members", victim.name)
        if is_history_lost:
            self.rows.oldest_version = self.rows.version
        await self.until(
            lambda: self.rows.get("damask-members", victim.name) is not None
        )
        await self.until(
            lambda: all(
                m.sidecar.directory.get(victim.name) == victim.sidecar.record
                for m in members
            )
        )
        await self.until_known(3)

    async def test_restarted_node_takes_the_configuration_from_its_followers(self):
        """The only node that follows the store reads an invalid row there."""
        await self.start_mesh(3)
        first = self.first_members()[0]
        self.rows.put("op", "config", b"invalid")
        await self.kill(first)
        await self.restart(first, report=False)
        await self.until(lambda: first.sidecar.is_ready)
        self.assertEqual(first.sidecar.configuration.version, 1)

    async def test_node_killed_during_the_first_start_is_ready_at_once(self):
        member = await self.start("n1", is_first_start=True)
        await self.kill(member)
        start_s = time.monotonic()
        await self.restart(member, report=False)
        await member.report()
        await self.until(lambda: member.sidecar.is_ready)
        self.assertLess(time.monotonic() - start_s, CONFIGURATION_S)
