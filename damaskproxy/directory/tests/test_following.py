"""A store that is unavailable, slow, or loses its history or its responses."""

import asyncio
import random
import time
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from damaskproxy.directory import (
    CurrentConfiguration,
    Directory,
    MemberRecord,
    OwnRowWriter,
    StorePosition,
    StoreWatcher,
    decode_member,
    encode_member,
    following,
)
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.model import MemberState
from damaskproxy.platform import (
    PlatformStore,
    decode_configuration,
    store as store_module,
)
from damaskproxy.platform.standins import RowStoreStandIn
from damaskproxy.sidecar.settings import to_address

MEMBERS_CHECK_S = 0.02
FEED_WAIT_S = 0.1


def configuration(version):
    """Return an encoded configuration without routes."""
    body = {"version": version, "routes": {}, "services": {}}
    return msgspec.json.encode(body)


def record(node_id, version=1, incarnation=1):
    """Return a member record."""
    return MemberRecord(node_id, incarnation, version, "a", "10.0.0.1", 1)


DEEP = b"[" * 20_000 + b"]" * 20_000
DEEP_MEMBER = encode_member(record("n0")).replace(b"}", b',"later":' + DEEP + b"}")


class AlwaysFollow:
    """Plan of a node that always follows the store."""

    def __init__(self):
        self.configuration_position = self.members_position = StorePosition()
        self.is_feed_open = False
        self.wants_store = True
        self.eras = []
        self.restored_era = 0

    async def wait_until_store_wanted(self):
        return

    def feed_wait_s(self):
        return FEED_WAIT_S

    def store_retry_s(self, failures):
        return 0.01

    def feed_closed(self):
        self.is_feed_open = False

    async def wait_until_feed_stuck(self):
        await asyncio.Event().wait()

    def store_succeeded(self, position, clock_s):
        self.configuration_position = position
        self.is_feed_open = True

    def store_failed(self):
        self.is_feed_open = False

    def note_era(self, era):
        self.eras.append(era)

    def is_members_poll_due(self):
        return True

    @property
    def must_restore_members(self):
        return max(self.eras, default=0) > self.restored_era

    def members_restored(self, position):
        self.members_position = position
        self.restored_era = position.era


class SyncTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a view of the mesh that does not catch up with the store."""

    async def asyncSetUp(self):
        for module, name, value in (
            (following, "RETRY_MIN_S", 0.01),
            (following, "RETRY_MAX_S", 0.02),
            (following, "MEMBERS_CHECK_S", MEMBERS_CHECK_S),
            (store_module, "READ_TIMEOUT_S", 0.1),
            (store_module, "FEED_GRACE_S", 0.05),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.rows = RowStoreStandIn()
        self.store = PlatformStore(to_address(await self.rows.open()))
        self.current, self.directory = CurrentConfiguration(), Directory()
        rng = random.Random(1)
        self.published = []
        self.plan = AlwaysFollow()
        self.watcher = StoreWatcher(
            self.store,
            self.current,
            self.directory,
            decode_configuration,
            "n1",
            self.plan,
            self.published.append,
            lambda: None,
            rng,
        )
        self.broadcast = []
        self.own_row_writer = OwnRowWriter(
            self.store, self.watcher, self.broadcast.append, rng
        )
        self.tasks = [
            asyncio.create_task(step())
            for step in (
                self.watcher.follow_configuration,
                self.watcher.read_members,
                self.watcher.poll_members,
                self.own_row_writer.write_published_records,
            )
        ]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        self.store.close()
        await self.rows.close()

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_each_new_configuration_comes_into_force(self):
        for version in (3, 9, 10):
            self.rows.put("op", "config", configuration(version))
            await self.until(lambda v=version: self.current.version == v)

    @params(("unreadable", b"\xff"), ("older", configuration(2)))
    async def test_invalid_or_older_configuration_is_ignored(self, name, value):
        self.rows.put("op", "config", configuration(5))
        await self.until(lambda: self.current.version == 5)
        self.rows.put("op", "config", value)
        self.rows.put("op", "other", configuration(8))
        await asyncio.sleep(0.05)
        self.assertEqual(self.current.version, 5, name)
        self.rows.put("op", "config", configuration(6))
        await self.until(lambda: self.current.version == 6)

    @params(503, 429, 0)
    async def test_updates_continue_after_an_outage_of_the_store(self, status):
        self.rows.put("op", "config", configuration(1))
        await self.until(lambda: self.current.version == 1)
        self.rows.status = status
        self.rows.put("op", "config", configuration(2))
        await self.until(lambda: self.watcher.is_store_unavailable)
        self.rows.status = 200
        self.rows.put("op", "config", configuration(3))
        await self.until(
            lambda: self.current.version == 3 and not self.watcher.is_store_unavailable
        )

    async def test_lost_history_is_read_again_and_dropped_members_are_removed(self):
        self.rows.put(MEMBER_TABLE, "n2", encode_member(record("n2")))
        self.rows.put(MEMBER_TABLE, "n3", encode_member(record("n3")))
        await self.until(lambda: len(self.directory) == 2)
        self.rows.status = 503
        await self.until(lambda: self.watcher.is_store_unavailable)
        self.rows.drop(MEMBER_TABLE, "n2")
        self.rows.put(MEMBER_TABLE, "n4", encode_member(record("n4")))
        self.rows.oldest_version = self.rows.version
        self.rows.version += 1
        self.rows.oldest_version = self.rows.version
        self.rows.status = 200
        names = {"n3", "n4"}
        await self.until(lambda: self.serving_names() == names)
        # Other nodes hear of the removed member as of any other change.
        self.assertIn("n2", [r.node_id for r in self.published])

    @params(False, True)
    async def test_change_after_a_restore_is_read_although_its_version_is_old(
        self, is_passed
    ):
        for version in (2, 3, 4):
            self.rows.put("op", "config", configuration(version))
        await self.until(lambda: self.current.version == 4)
        self.rows.status = 503
        await self.until(lambda: self.watcher.is_store_unavailable)
        self.rows.restore(1)
        self.rows.put("op", "config", configuration(5))
        while is_passed and self.rows.version < 6:
            self.rows.put("other", "row", b"")
        self.rows.status = 200
        await self.until(lambda: self.current.version == 5)

    async def test_older_configuration_of_a_restored_copy_is_ignored(self):
        for version in (2, 3, 4):
            self.rows.put("op", "config", configuration(version))
        await self.until(lambda: self.current.version == 4)
        self.rows.restore(1)
        self.rows.put("other", "row", b"")
        await self.until(lambda: 1 in self.plan.eras)
        await asyncio.sleep(0.05)
        self.assertEqual(self.current.version, 4)

    def serving_names(self):
        """Return the ids of the nodes that have not been removed."""
        records = self.directory.records()
        return {r.node_id for r in records if r.state is MemberState.SERVING}

    async def test_many_changes_of_members_cost_few_calls(self):
        await self.until(lambda: self.watcher.has_read_members)
        self.rows.calls.clear()
        start_s = time.monotonic()
        for number in range(50):
            name = f"n{number + 2}"
            self.rows.put(MEMBER_TABLE, name, encode_member(record(name)))
            await asyncio.sleep(0.002)
        await self.until(lambda: len(self.directory) == 50)
        elapsed_s = time.monotonic() - start_s
        polls = elapsed_s / MEMBERS_CHECK_S + elapsed_s / FEED_WAIT_S
        self.assertLessEqual(self.rows.calls.count("GET /api/rows-feed"), polls + 2)

    async def test_invalid_member_rows_are_ignored(self):
        self.rows.put(MEMBER_TABLE, "bad", b"\x00")
        self.rows.put(MEMBER_TABLE, "n9", encode_member(record("n8")))
        self.rows.put(MEMBER_TABLE, "n2", encode_member(record("n2")))
        await self.until(lambda: self.directory.get("n2") is not None)
        self.assertEqual(len(self.directory), 1)

    @params(
        encode_member(record("n2")).replace(b"}", b',"later":' + DEEP + b"}"),
        encode_member(record("n2")).replace(b'"version":1', b'"version":' + b"9" * 30),
        encode_member(record("n2")).replace(b'"port":1', b'"port":70000'),
        DEEP,
        b"",
    )
    async def test_odd_row_keeps_no_other_row_from_being_applied(self, odd):
        await self.until(lambda: self.watcher.has_read_members)
        self.rows.put(MEMBER_TABLE, "n2", odd)
        self.rows.put(MEMBER_TABLE, "n3", encode_member(record("n3")))
        await self.until(lambda: self.directory.get("n3") is not None)
        await self.until(
            lambda: self.plan.members_position.version == self.rows.version
        )
        self.rows.drop(MEMBER_TABLE, "n2")
        self.rows.put(MEMBER_TABLE, "n2", encode_member(record("n2")))
        await self.until(lambda: self.directory.get("n2") is not None)
        self.assertFalse([task for task in self.tasks[2:] if task.done()])

    async def test_node_starts_beside_odd_rows(self):
        for name, odd in (("n0", DEEP_MEMBER), ("n2", DEEP), ("n9", b"\0")):
            self.rows.put(MEMBER_TABLE, name, odd)
        self.rows.put(MEMBER_TABLE, "n3", encode_member(record("n3")))
        await self.watcher.read_members()
        self.assertEqual([r.node_id for r in self.directory.records()], ["n3"])

    async def test_record_that_fails_when_it_is_used_keeps_no_other_row_back(self):
        def fail(changed):
            if changed.node_id == "n2":
                raise KeyError("expected by the test")

        self.directory._on_change = fail
        with self.assertLogs(following.logger, "ERROR") as logs:
            for name in ("n2", "n3"):
                self.rows.put(MEMBER_TABLE, name, encode_member(record(name)))
            await self.until(lambda: self.directory.get("n3") is not None)
        self.assertEqual(logs.records[0].fields["key"], "n2")

    async def test_odd_row_is_logged_once_for_each_version(self):
        await self.until(lambda: self.watcher.has_read_members)
        # Each poll reads all rows.
        self.rows.oldest_version = 1 << 40
        read = self.store.read
        tables = []

        async def count_reads(table):
            tables.append(table)
            return await read(table)

        self.store.read = count_reads
        with self.assertLogs(following.logger, "WARNING") as logs:
            for _ in range(2):
                self.rows.put(MEMBER_TABLE, "n2", b"\0")
                self.rows.put("op", "config", b"\0")
                tables.clear()
                await self.until(lambda: tables.count(MEMBER_TABLE) > 4)
        keys = [r.fields["key"] for r in logs.records if "key" in r.fields]
        self.assertEqual(keys.count("n2"), 2)
        self.assertLessEqual(keys.count("config"), 2)

    async def test_position_beyond_the_store_is_corrected(self):
        await self.until(lambda: self.watcher.has_read_members)
        self.rows.put(MEMBER_TABLE, "n2", encode_member(record("n2")))
        self.plan.members_position = StorePosition(0, (1 << 63) - 1)
        await self.until(
            lambda: self.plan.members_position.version == self.rows.version
        )

    async def test_odd_configuration_does_not_stop_the_feed(self):
        self.rows.put("op", "config", configuration(5))
        await self.until(lambda: self.current.version == 5)
        body = configuration(6).replace(b"}}", b'},"later":' + DEEP + b"}")
        self.rows.put("op", "config", body)
        await asyncio.sleep(2 * FEED_WAIT_S)
        self.rows.put("op", "config", configuration(7))
        await self.until(lambda: self.current.version == 7)
        self.assertFalse(self.tasks[0].done())

    @params(0, 1, 3)
    async def test_own_row_is_written_although_responses_are_lost(self, lost_count):
        self.rows.unanswered_writes = lost_count
        for version in (1, 2, 3):
            self.own_row_writer.publish(record("n1", version))
            await asyncio.sleep(0.02)
        await self.until(lambda: self.rows.get(MEMBER_TABLE, "n1") is not None)
        async with asyncio.timeout(5):
            await self.own_row_writer.wait_until_stored()
        stored = decode_member(self.rows.get(MEMBER_TABLE, "n1"))
        self.assertEqual(stored.version, 3)

    async def test_row_of_an_earlier_incarnation_is_replaced(self):
        self.rows.put(MEMBER_TABLE, "n1", encode_member(record("n1", 9, 0)))
        self.own_row_writer.publish(record("n1", 1, 1))
        async with asyncio.timeout(5):
            await self.own_row_writer.wait_until_stored()
        stored = decode_member(self.rows.get(MEMBER_TABLE, "n1"))
        self.assertEqual(stored.order, (1, 1))

    async def test_record_is_sent_to_other_nodes_while_the_store_is_unavailable(self):
        self.rows.status = 503
        self.own_row_writer.publish(record("n1"))
        await self.until(lambda: self.broadcast)
        self.assertEqual(self.broadcast[0].node_id, "n1")
        self.rows.status = 200
        async with asyncio.timeout(5):
            await self.own_row_writer.wait_until_stored()
