"""Member rows that are written again after the store has lost them."""

import unittest

import msgspec
from nose2.tools import params

from damaskproxy.directory import (
    BackendRecord,
    Directory,
    MemberRecord,
    Row,
    StoreError,
    decode_member,
    encode_member,
)
from damaskproxy.directory.lost_rows import (
    CONFLICTS_MAX,
    WRITES_PER_CALL,
    lost_writes,
    write_lost_rows,
)
from damaskproxy.model import MemberState
from damaskproxy.platform import PlatformStore
from damaskproxy.platform.standins import RowStoreStandIn
from damaskproxy.sidecar.settings import to_address

SERVING = BackendRecord("i-1", "orders", 4)
DRAINING = BackendRecord("i-1", "orders", 4, MemberState.DRAINING)


def record(node_id="n1", version=1, backend=SERVING):
    """Return a member record."""
    return MemberRecord(node_id, 1, version, "a", "10.0.0.1", 1, backend=backend)


class LostWritesTests(unittest.TestCase):
    """Guards against lost rows that stay lost, and against rows that are set back."""

    @params(
        ("older", record(version=2), record(), True),
        ("equal", record(), record(), False),
        ("newer", record(), record(version=2), False),
        ("leave", record(backend=DRAINING), record(), True),
        ("missing", record(), None, True),
        ("missing and deleted before", record().removed(), None, False),
    )
    def test_rows_that_are_older_than_a_record_are_written(
        self, name, known, stored, is_written
    ):
        directory = Directory()
        directory.merge(known)
        rows = [Row("n1", 7, encode_member(stored))] if stored else []
        writes = list(lost_writes(directory, rows))
        self.assertEqual(bool(writes), is_written, name)
        for write in writes:
            self.assertEqual(write.version, 7 if stored else 0)
            self.assertEqual(decode_member(write.value), known)

    def test_unreadable_row_is_replaced(self):
        directory = Directory()
        directory.merge(record())
        (write,) = lost_writes(directory, [Row("n1", 7, b"\xff")])
        self.assertEqual(write.version, 7)


class WriteTests(unittest.IsolatedAsyncioTestCase):
    """Guards against rows of other writers that are overwritten."""

    async def asyncSetUp(self):
        self.rows = RowStoreStandIn()
        self.store = PlatformStore(to_address(await self.rows.open()))
        self.addAsyncCleanup(self.rows.close)
        self.addCleanup(self.store.close)
        self.directory = Directory()

    async def write(self):
        """Write what the rows lack; return the number of rows."""
        read = await self.store.read("members")
        return await write_lost_rows(self.store, "members", self.directory, read)

    async def test_many_rows_take_few_calls(self):
        for number in range(2 * WRITES_PER_CALL + 1):
            self.directory.merge(record(f"n{number}"))
        self.assertEqual(await self.write(), 2 * WRITES_PER_CALL + 1)
        self.assertEqual(self.rows.calls.count("POST /api/rows-tx"), 3)
        self.assertEqual(await self.write(), 0)

    async def test_large_rows_are_split_by_size(self):
        backend = msgspec.structs.replace(SERVING, service="s" * 40_000)
        for number in range(30):
            self.directory.merge(record(f"n{number}", backend=backend))
        self.assertEqual(await self.write(), 30)
        self.assertEqual(self.rows.calls.count("POST /api/rows-tx"), 3)

    async def test_row_that_its_owner_wrote_meanwhile_is_kept(self):
        self.directory.merge(record("n1", 2))
        self.directory.merge(record("n2", 2))
        read = await self.store.read("members")
        newer = encode_member(record("n1", 3))
        self.rows.put("members", "n1", newer)
        count = await write_lost_rows(self.store, "members", self.directory, read)
        self.assertEqual(count, 1)
        self.assertEqual(self.rows.get("members", "n1"), newer)
        self.assertIsNotNone(self.rows.get("members", "n2"))

    async def test_endless_conflicts_are_given_up(self):
        self.directory.merge(record("n1", 2))
        handle = self.rows.server.handle

        async def write_before(request):
            self.rows.put("members", "n1", encode_member(record("n1", 1)))
            return await handle(request)

        self.rows.server.handle = write_before
        with self.assertRaises(StoreError):
            await self.write()
        self.assertEqual(self.rows.calls.count("POST /api/rows-tx"), CONFLICTS_MAX)
