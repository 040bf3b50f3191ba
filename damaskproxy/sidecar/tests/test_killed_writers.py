"""Nodes that are killed before they learn whether their row was written."""

import asyncio

from nose2.tools import params

from damaskproxy.http1 import HttpError
from damaskproxy.model import MemberState
from damaskproxy.sidecar.tests.test_leave import LeaveTestCase


class KilledNodeTests(LeaveTestCase):
    """Guards against a row that the next process of a node does not continue from."""

    async def start_served(self):
        """Start a node whose server is served, with nothing left to write."""
        member = await self.start("n1")
        # The record changes once more when the server has passed its health check.
        await self.until_known(1)
        await self.until_stored(member)
        self.assertIs(self.stored_state(member), MemberState.SERVING)
        return member

    def lose_next_write(self, *, applies):
        """Let the next write get no response."""
        self.rows.calls.clear()
        if applies:
            self.rows.unanswered_writes = 1
        else:
            self.rows.status = 0

    async def kill_during_write(self, member):
        """Kill a node once the store has got a write that it does not respond to."""
        await self.until(lambda: "POST /api/rows-tx" in self.rows.calls)
        await self.kill(member)
        self.rows.status, self.rows.unanswered_writes = 200, 0

    @params(True, False)
    async def test_unconfirmed_leave_is_in_force_if_it_was_stored(self, applies):
        member = await self.start_served()
        self.lose_next_write(applies=applies)
        leave = asyncio.create_task(self.delete(member, born_ms=member.born_ms))
        await self.kill_during_write(member)
        with self.assertRaises(HttpError):
            await leave
        if applies:
            self.assertIs(self.stored_state(member), MemberState.STOPPED)
            await self.restart_and_check_leave(member, callers=(member,))
            return
        self.assertIs(self.stored_state(member), MemberState.SERVING)
        await self.restart(member)
        await self.until_known(1)
        self.assertEqual((await member.call(b"/read/1")).status, 200)

    @params(True, False)
    async def test_confirmed_leave_outlasts_a_later_write(self, applies):
        member = await self.start_served()
        self.assertEqual(await self.delete(member, born_ms=member.born_ms), 200)
        await self.until_stored(member)
        self.lose_next_write(applies=applies)
        member.sidecar.update_record()
        await self.kill_during_write(member)
        self.assertIs(self.stored_state(member), MemberState.STOPPED)
        await self.restart_and_check_leave(member, callers=(member,))
