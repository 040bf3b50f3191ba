"""Detection of an unresponsive store by its client."""

import asyncio
import socket
import unittest
from contextlib import closing

from nose2.tools import params

from damaskproxy.directory import RowWrite, StoreError, StorePosition
from damaskproxy.http1 import DeadPeerLimits, HttpServer, Response
from damaskproxy.platform.messages import decode_feed
from damaskproxy.platform.standins import RowStoreStandIn
from damaskproxy.platform.store import DEAD_PEER_LIMITS, READ_TIMEOUT_S, PlatformStore
from damaskproxy.sidecar.settings import to_address
from tools.faults.virtual_time import run_virtual

RECOVERY_S = 3.0
"""Time after a disruption within which a changed configuration must be in force."""
FIRST_PAUSE_S = 0.25
"""Longest first pause of the backoff after a failed call."""


class DeadPeerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against an outdated configuration because of a dead connection."""

    @params(
        (DeadPeerLimits(2, 2, 3000), 4.0),
        (DeadPeerLimits(1, 1, 1500), 2.0),
        (DeadPeerLimits(1, 1, 5000), 5.0),
    )
    def test_detection_time(self, limits, expected_s):
        self.assertEqual(limits.detection_time_s, expected_s)

    def test_detection_leaves_time_to_read_a_change(self):
        self.assertLess(
            DEAD_PEER_LIMITS.detection_time_s + FIRST_PAUSE_S,
            RECOVERY_S - READ_TIMEOUT_S / 2,
        )

    async def test_connections_use_the_limits(self):
        rows = RowStoreStandIn()
        store = PlatformStore(to_address(await rows.open()))
        self.addAsyncCleanup(rows.close)
        self.addCleanup(store.close)
        await store.read("op")
        (connection,) = store._pool._idle
        sock = connection.transport.get_extra_info("socket")
        options = {
            name: sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
            for name in ("TCP_KEEPIDLE", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
        }
        expected = {
            "TCP_KEEPIDLE": DEAD_PEER_LIMITS.probe_after_s,
            "TCP_KEEPCNT": DEAD_PEER_LIMITS.probes,
            "TCP_USER_TIMEOUT": DEAD_PEER_LIMITS.unacknowledged_max_ms,
        }
        self.assertEqual(options, expected)


class PathTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a store that cannot be reached and seems to have no news."""

    async def test_reachable_store_gets_no_call(self):
        rows = RowStoreStandIn()
        store = PlatformStore(to_address(await rows.open()))
        self.addAsyncCleanup(rows.close)
        await store.check_path()
        self.assertEqual(rows.calls, [])

    async def test_closed_port(self):
        with closing(socket.create_server(("127.0.0.1", 0))) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(StoreError):
            await PlatformStore(to_address(f"127.0.0.1:{port}")).check_path()

    async def test_dropped_packets(self):
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        # The kernel drops the packets that open a connection beyond the backlog.
        self.addCleanup(socket.create_connection(listener.getsockname()).close)
        port = listener.getsockname()[1]
        with self.assertRaises(StoreError):
            await PlatformStore(to_address(f"127.0.0.1:{port}")).check_path()


class EraTests(unittest.IsolatedAsyncioTestCase):
    """Guards against responses that are taken for those of another era of the store."""

    async def asyncSetUp(self):
        self.rows = RowStoreStandIn()
        self.store = PlatformStore(to_address(await self.rows.open()))
        self.addAsyncCleanup(self.rows.close)
        self.addCleanup(self.store.close)
        for version in range(1, 6):
            self.rows.put("op", f"row-{version}", b"x")

    async def test_each_response_names_the_era(self):
        self.rows.restore(3)
        read = await self.store.read("op")
        changes = await self.store.changes("op", 2, 0)
        write = RowWrite("row-9", 0, b"x")
        _, written = await self.store.write("op", [write])
        _, conflict = await self.store.write("op", [write])
        positions = [rows.position for rows in (read, changes, written, conflict)]
        versions = (3, 3, 4, 4)
        self.assertEqual(positions, [StorePosition(1, v) for v in versions])

    @params((0, True), (1, False))
    async def test_pages_of_two_eras_are_not_combined(self, restores, is_read):
        self.rows.page_rows = 2
        handle = self.rows.server.handle

        async def restore_after_first_page(request):
            response = await handle(request)
            if restores and self.rows.era == 0:
                self.rows.restore(3)
            return response

        self.rows.server.handle = restore_after_first_page
        if is_read:
            self.assertEqual(len((await self.store.read("op")).rows), 5)
        else:
            with self.assertRaises(StoreError):
                await self.store.read("op")

    async def test_invalid_era_is_an_error(self):
        self.rows.era = "new"
        with self.assertRaises(StoreError):
            await self.store.read("op")


class StandInTests(unittest.TestCase):
    """Guards against a stand-in that names a version but leaves out its row."""

    @params((0.5, ["row"]), (1.5, ["row"]), (2.5, []))
    def test_row_that_is_written_when_the_wait_ends_is_not_left_out(self, at_s, keys):
        async def main():
            rows = RowStoreStandIn()
            loop = asyncio.get_running_loop()
            loop.call_at(at_s, rows.put, "op", "row", b"x")
            query = {"table": "op", "after": "0", "waitMs": "1500"}
            response = await rows._changes(query)
            return decode_feed(response.body)

        body = run_virtual(main())
        self.assertEqual(([row.key for row in body.rows], body.ver), (keys, len(keys)))


class OddResponseTests(unittest.IsolatedAsyncioTestCase):
    """Guards against responses of the store that are applied wrongly or for ever."""

    async def asyncSetUp(self):
        self.calls = []
        self.responses = []
        server = HttpServer("odd store", self.respond)
        await server.open("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        self.store = PlatformStore(to_address(f"127.0.0.1:{server.port}"))
        self.addCleanup(self.store.close)

    async def respond(self, request):
        self.calls.append(request.target)
        if len(self.calls) > 20:
            return Response(500)
        response = self.responses[min(len(self.calls), len(self.responses)) - 1]
        return (
            response if isinstance(response, Response) else Response(200, [], response)
        )

    @params(
        b"1" * 30,
        b"-1",
        b"-5",
        b"1_0",
        b"+1",
        b"0x1",
        b"1.0",
        b"\xb2",
        b"9" * 5000,
        b"9223372036854775808",
    )
    async def test_odd_era_is_an_error(self, era):
        self.responses = [Response(200, [(b"Store-Era", era)], b'{"rows":[],"ver":1}')]
        with self.assertRaises(StoreError):
            await self.store.read("op")

    @params((b"9223372036854775807", (1 << 63) - 1), (b"0", 0), (b"007", 7))
    async def test_valid_era_is_named(self, era, expected):
        self.responses = [Response(200, [(b"Store-Era", era)], b'{"rows":[],"ver":1}')]
        found = (await self.store.read("op")).position
        self.assertEqual(found, StorePosition(expected, 1))

    @params(
        [b'{"rows":[{"key":"b","ver":1}],"ver":1,"truncated":true}'],
        [
            b'{"rows":[{"key":"b","ver":1}],"ver":1,"truncated":true}',
            b'{"rows":[{"key":"a","ver":1}],"ver":1,"truncated":true}',
        ],
        [b'{"rows":[],"ver":1,"truncated":true}'],
        [
            b'{"rows":[{"key":"b","ver":1}],"ver":1,"truncated":true}',
            b'{"rows":[],"ver":1,"truncated":true}',
        ],
    )
    async def test_pages_without_progress_are_an_error(self, responses):
        self.responses = responses
        with self.assertRaises(StoreError):
            await self.store.read("op")
        self.assertLessEqual(len(self.calls), 2)

    @params(
        b"",
        b"null",
        b"\xff",
        b'{"rows":7}',
        b'{"ver":' + b"9" * 30 + b"}",
        b"[" * 20_000 + b"]" * 20_000,
        b'{"rows":[{"key":"\\ud800","ver":1}],"ver":1}',
        Response(404),
        Response(200, [(b"Content-Encoding", b"gzip")], b"\x1f\x8b"),
    )
    async def test_odd_response_is_an_error(self, response):
        self.responses = [response]
        for call in (
            self.store.read("op"),
            self.store.changes("op", 1, 0),
            self.store.write("op", [RowWrite("k", 0, b"x")]),
        ):
            with self.assertRaises(StoreError):
                await call

    @params(600, 999, 199, 104, 101)
    async def test_status_that_is_no_response_is_an_error_at_once(self, status):
        body = b'{"rows":[],"ver":1}'
        self.responses = [Response(status, [], body)]
        for call in (
            self.store.read("op"),
            self.store.changes("op", 1, 30_000),
            self.store.write("op", [RowWrite("k", 0, b"x")]),
        ):
            async with asyncio.timeout(READ_TIMEOUT_S / 2):
                with self.assertRaises(StoreError):
                    await call
        self.assertFalse(self.store._pool._idle)

    async def test_feed_waits_no_longer_than_the_store_allows(self):
        self.responses = [b'{"rows":[],"ver":1}']
        await self.store.changes("op", 1, 3_000_000)
        self.assertTrue(self.calls[0].endswith(b"waitMs=30000"))

    @params(b"a\0b", "ü/&?=%".encode(), b"a b\\u0085")
    async def test_any_key_continues_a_read(self, key):
        page = b'{"rows":[{"key":"%s","ver":1}],"ver":1,"truncated":%s}'
        text = key.replace(b"\0", b"\\u0000")
        self.responses = [
            page % (text, b"true"),
            page % (b"\xf0\x9f\x98\x80", b"false"),
        ]
        self.assertEqual(len((await self.store.read("op")).rows), 2)
