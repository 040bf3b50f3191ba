"""Processes that are killed before they learn the outcome of a conditional write."""

import asyncio
import random
import unittest

import msgspec
from nose2.tools import params

from damaskproxy.directory import (
    BackendRecord,
    CurrentConfiguration,
    Directory,
    MemberRecord,
    OwnRowWriter,
    StoreWatcher,
    decode_member,
    encode_member,
)
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.directory.lost_rows import WRITES_PER_CALL, write_lost_rows
from damaskproxy.directory.tests.test_following import AlwaysFollow
from damaskproxy.model import MemberState
from damaskproxy.platform import PlatformStore, decode_configuration
from damaskproxy.platform.standins import RowStoreStandIn
from damaskproxy.sidecar.settings import to_address

SERVING = BackendRecord("i-1", "orders", 4)
LEAVING = BackendRecord("i-1", "orders", 4, MemberState.DRAINING)
OWN = MemberRecord("n1", 1, 1, "a", "10.0.0.1", 1, backend=SERVING)
WRITE = b"POST"
APPLIED, CONFLICT = 200, 412


def record(node_id, version):
    """Return the record of another node."""
    return msgspec.structs.replace(OWN, node_id=node_id, version=version)


class FaultyStore:
    """Store that does not respond to one write, and applies it at once, later or never.

    Attributes
    ----------
    held : list of Request
        Writes that got no response and were not applied.
    statuses : list of int
        Statuses of the writes that were applied or rejected.
    """

    def __init__(self, rows):
        self.held = []
        self.statuses = []
        self.applies_next = None
        self._handle = rows.server.handle
        rows.server.handle = self._pass_on

    async def _pass_on(self, request):
        if request.method != WRITE:
            return await self._handle(request)
        applies, self.applies_next = self.applies_next, None
        if applies is False:
            self.held.append(request)
        else:
            response = await self.apply(request)
            if applies is None:
                return response
        return await asyncio.Event().wait()

    async def apply(self, request):
        """Apply a write whose conditions hold."""
        response = await self._handle(request)
        self.statuses.append(response.status)
        return response


class Process:
    """What a node does with its own row, from its start until it is killed."""

    def __init__(self, address):
        self.store = PlatformStore(to_address(address))
        rng = random.Random(1)
        self.directory = Directory()
        self.watcher = StoreWatcher(
            self.store,
            CurrentConfiguration(),
            self.directory,
            decode_configuration,
            "n1",
            AlwaysFollow(),
            lambda _: None,
            lambda: None,
            rng,
        )
        self.writer = OwnRowWriter(self.store, self.watcher, lambda _: None, rng)
        self.task = asyncio.create_task(self.writer.write_published_records())

    async def write(self, written):
        """Write a record and wait until that is confirmed."""
        self.writer.publish(written)
        async with asyncio.timeout(5):
            await self.writer.wait_until_stored()

    def kill(self):
        """End the process."""
        self.task.cancel()
        self.store.close()


class KilledWriterTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a store that does not respond to one write."""

    async def asyncSetUp(self):
        self.rows = RowStoreStandIn()
        self.address = await self.rows.open()
        self.addAsyncCleanup(self.rows.close)
        self.faults = FaultyStore(self.rows)

    def start(self):
        """Start a process of the node."""
        process = Process(self.address)
        self.addCleanup(process.kill)
        return process

    def stored(self, node_id="n1"):
        """Return the record in a row."""
        return decode_member(self.rows.get(MEMBER_TABLE, node_id))

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)


class OwnRowTests(KilledWriterTestCase):
    """Guards against a change of the own row that is lost, mixed or applied twice."""

    async def write_and_kill(self, written, *, applies):
        """Kill a process that has begun to write a change of its row."""
        process = self.start()
        await process.write(OWN)
        self.faults.applies_next = applies
        count = len(self.faults.statuses) + len(self.faults.held)
        process.writer.publish(written)
        await self.until(
            lambda: len(self.faults.statuses) + len(self.faults.held) > count
        )
        process.kill()

    @params(True, False)
    async def test_next_process_continues_from_the_state_that_it_reads(self, applies):
        left = OWN.successor(backend=LEAVING)
        await self.write_and_kill(left, applies=applies)
        self.assertEqual(self.stored(), left if applies else OWN)
        process = self.start()
        await process.watcher.read_members()
        found = decode_member(process.watcher.own_row.value)
        self.assertEqual(found, self.stored())
        following = msgspec.structs.replace(found, incarnation=2, port=2)
        await process.write(following)
        self.assertEqual(self.stored(), following)
        # Each change was applied once and at the first attempt.
        self.assertEqual(self.faults.statuses, [APPLIED] * (3 if applies else 2))

    @params("before the read", "before the write", "after the write")
    async def test_late_write_of_the_killed_process(self, moment):
        """The store gets it at different moments of the start of the next process."""
        late = OWN.successor(backend=SERVING, port=9)
        await self.write_and_kill(late, applies=False)
        (request,) = self.faults.held
        if moment == "before the read":
            await self.faults.apply(request)
        process = self.start()
        await process.watcher.read_members()
        if moment == "before the write":
            await self.faults.apply(request)
        confirmed = msgspec.structs.replace(OWN, incarnation=2, backend=LEAVING)
        await process.write(confirmed)
        if moment == "after the write":
            response = await self.faults.apply(request)
            self.assertEqual(response.status, CONFLICT)
        self.assertEqual(self.stored(), confirmed)
        self.assertEqual(self.faults.statuses.count(APPLIED), 2 + (moment[0] == "b"))

    @params(True, False)
    async def test_first_row_of_a_killed_process_is_found(self, applies):
        self.faults.applies_next = applies
        process = self.start()
        creation = asyncio.create_task(process.writer.create(OWN))
        await self.until(lambda: self.faults.statuses or self.faults.held)
        creation.cancel()
        process.kill()
        process = self.start()
        restarted = msgspec.structs.replace(OWN, incarnation=2)
        # The node then reads the row instead of replacing it.
        self.assertEqual(await process.writer.create(restarted), not applies)
        self.assertEqual(self.stored(), OWN if applies else restarted)


class LostRowTests(KilledWriterTestCase):
    """Guards against rows that are written twice or set back by the next writer.

    A node that writes the rows again which the store has lost is killed after some of
    the calls; another node takes its turn.
    """

    @params(*[(applies, calls) for applies in (True, False) for calls in (0, 1, 2)])
    async def test_next_writer_writes_the_rest(self, applies, calls):
        names = [f"n{number}" for number in range(2, 2 * WRITES_PER_CALL + 12)]
        first, second = self.start(), self.start()
        for name in names:
            first.directory.merge(record(name, 2))
            second.directory.merge(record(name, 2))
        read = await first.store.read(MEMBER_TABLE)
        writing = asyncio.create_task(
            write_lost_rows(first.store, MEMBER_TABLE, first.directory, read)
        )
        await self.lose_response(calls, applies=applies)
        writing.cancel()
        first.kill()
        self.rows.put(MEMBER_TABLE, names[0], encode_member(record(names[0], 3)))
        read = await second.store.read(MEMBER_TABLE)
        count = await write_lost_rows(
            second.store, MEMBER_TABLE, second.directory, read
        )
        applied_calls = calls + applies
        written = min(WRITES_PER_CALL * applied_calls, len(names))
        # The owner of the first row has written a newer record meanwhile.
        self.assertEqual(count, len(names) - max(written, 1))
        self.assertEqual(self.stored(names[0]).version, 3)
        self.assertEqual({self.stored(name).version for name in names[1:]}, {2})
        # One version for each row, and one for the newer record if it was a second one.
        self.assertEqual(self.rows.version, len(names) + (written > 0))

    async def lose_response(self, calls, *, applies):
        """Let the next calls but the last one succeed, and wait for that one."""
        handle = self.faults._pass_on

        async def count_calls(request):
            if request.method == WRITE and len(self.faults.statuses) == calls:
                self.faults.applies_next = applies
            return await handle(request)

        self.rows.server.handle = count_calls
        await self.until(
            lambda: self.faults.held or len(self.faults.statuses) == calls + 1
        )
        self.rows.server.handle = handle
