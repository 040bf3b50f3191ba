"""Sidecars beside a store that returns from an older copy."""

import unittest

from nose2.tools import params

from damaskproxy.directory import decode_member
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.model import MemberState
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar.tests.mesh import MeshTestCase


class RestoredStoreTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against nodes that go back to what an older copy of the store holds."""

    @params("absent", "serving")
    async def test_confirmed_leave_that_the_copy_lacks_survives_a_restart(self, row):
        one = await self.start("n1", "stores")
        without_row = self.rows.version
        two = await self.start("n2")
        await self.until_known(1)
        await self.until(lambda: two.sidecar.own_row_writer._stored.is_set())
        copy = without_row if row == "absent" else self.rows.version
        await two.report("draining")
        await self.until(lambda: not one.sidecar.directory.serving("orders"))
        await self.kill(two)
        self.rows.restore(copy)
        await self.restart_and_check_leave(two, callers=(one, two))

    async def test_lost_rows_are_written_again_and_the_newer_configuration_is_in_force(
        self,
    ):
        one = await self.start("n1", "stores")
        copy = self.rows.version
        two = await self.start("n2")
        await self.until_known(1)
        await two.report("draining")
        self.rows.restore(copy)
        self.rows.put("op", "config", encode_configuration(version=7))
        await self.until(lambda: one.sidecar.configuration.version == 7)
        await self.until(lambda: self.rows.get(MEMBER_TABLE, "n2") is not None)
        stored = decode_member(self.rows.get(MEMBER_TABLE, "n2"))
        self.assertEqual(stored.backend.state, MemberState.DRAINING)
