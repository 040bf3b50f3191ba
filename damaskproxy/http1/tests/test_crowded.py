"""Connections whose input has many small parts, and listeners with many connections."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.common.fibers import BackgroundTask, Fiber
from damaskproxy.http1 import ClientLimits, HttpServer, ListenerLimits, Response
from damaskproxy.http1.closures import LINES_PER_S, Closure
from damaskproxy.http1.limits import CONNECTION_BYTES

HOST = "127.0.0.1"
GET = b"GET %s HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
POST = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
WAIT_S = 20.0
KB = 1 << 10
SHORT_FIELDS = b"".join(b"a%d:b\r\n" % (n % 10) for n in range(2000))
"""12,000 bytes, which hold some 300 KB as objects."""


class CrowdedTestCase:
    """Mix-in with a listener and its clients."""

    async def asyncSetUp(self):
        self.release = asyncio.Event()
        self.writers = []

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.transport.abort()
        await self.server.close()

    async def start(self, run=BackgroundTask, limits=None, **options):
        """Start the listener."""
        self.server = HttpServer(
            "test", self.handle, lambda: limits or ClientLimits(), run, **options
        )
        await self.server.open(HOST, 0)

    async def handle(self, request):
        if request.target == b"/slow":
            await self.release.wait()
        body = request.body if request.target == b"/echo" else b""
        return Response(200, body=body)

    async def connect(self, data=b""):
        """Return a client that has sent `data`."""
        reader, writer = await asyncio.open_connection(HOST, self.server.port)
        self.writers.append(writer)
        writer.write(data)
        return reader, writer

    async def read_response(self, reader):
        """Return the status, the head and the body of the next response."""
        async with asyncio.timeout(WAIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
            body = await reader.readexactly(int(length or 0))
        return int(head.split()[1]), head, body

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)


class SmallPartTests(CrowdedTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against input that is lost, reordered or refused because it is sliced."""

    @params(Fiber, BackgroundTask)
    async def test_pipelined_requests_are_all_answered_in_order(self, run):
        await self.start(run)
        count = 3000
        data = b"".join(POST % 4 + b"%04d" % number for number in range(count))
        reader, _ = await self.connect(data)
        bodies = [(await self.read_response(reader))[2] for _ in range(count)]
        self.assertEqual(bodies, [b"%04d" % number for number in range(count)])

    @params(
        ("chunks of one byte", b"1\r\nx\r\n" * 50_000, 50_000),
        ("large chunks", (b"10000\r\n" + b"x" * 65_536 + b"\r\n") * 50, 50 * 65_536),
        ("both", b"1\r\nx\r\n" * 9999 + b"10000\r\n" + b"x" * 65_536 + b"\r\n", 75_535),
    )
    async def test_legal_body_in_chunks_is_served(self, name, chunks, size):
        await self.start()
        reader, _ = await self.connect(CHUNKED + chunks + b"0\r\nA: b\r\n\r\n")
        status, _, body = await self.read_response(reader)
        self.assertEqual((status, body), (200, b"x" * size))

    @params(1, 1000, 16_000)
    async def test_legal_head_is_served_whatever_its_parts_are(self, size):
        await self.start()
        field = b"A: " + b"b" * (16_000 - 3)
        many = b"".join(b"Name-%04d: %030d\r\n" % (n, n) for n in range(300))
        for fields in (field + b"\r\n", many):
            reader, writer = await self.connect()
            data = GET % b"/a" + fields + b"\r\n"
            for start in range(0, len(data), max(size, 100)):
                writer.write(data[start : start + max(size, 100)])
                await asyncio.sleep(0)
            self.assertEqual((await self.read_response(reader))[0], 200)

    @params(
        ("field of a head", GET % b"/a" + b"A: " + b"b" * 40_000),
        ("target", b"GET /" + b"a" * 40_000),
        ("field of a trailer", CHUNKED + b"0\r\nA: " + b"b" * 40_000),
        ("fields of a trailer", CHUNKED + b"0\r\n" + b"a:b\r\n" * 8000),
        ("parameter of a chunk", CHUNKED + b"1;a=" + b"b" * 40_000),
    )
    async def test_part_beyond_the_limit_on_a_head_is_refused(self, name, data):
        await self.start()
        reader, _ = await self.connect(data)
        self.assertEqual((await self.read_response(reader))[0], 431)
        self.assertEqual(self.server.closures.counts[Closure.HEAD_TOO_LARGE], 1)

    async def test_queue_of_a_connection_is_short_while_a_request_runs(self):
        await self.start()
        reader, _ = await self.connect((GET % b"/slow" + b"\r\n") * 3000)
        await self.until(lambda: self.server.busy_count == 1)
        await asyncio.sleep(0.1)
        (connection,) = self.server.connections
        self.assertLess(len(connection._pending), 60)
        self.assertLess(self.server.overhead.held_bytes, 512 * KB)
        self.release.set()
        for _ in range(3000):
            self.assertEqual((await self.read_response(reader))[0], 200)


class AccountTests(CrowdedTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against memory that is not counted, and counted memory that stays."""

    @params(
        ("nothing", b"", CONNECTION_BYTES),
        ("fields", GET % b"/a" + SHORT_FIELDS, 300 * KB),
        ("a target", b"GET /" + b"a" * 10_000, CONNECTION_BYTES + 10_000),
        ("queued fields", (GET % b"/slow" + SHORT_FIELDS + b"\r\n") * 3, 900 * KB),
        ("input", GET % b"/slow" + b"\r\n" + (GET % b"/a" + b"\r\n") * 9000, 60 * KB),
    )
    async def test_overhead_counts_until_the_connection_is_lost(self, name, data, size):
        await self.start()
        _, writer = await self.connect(data)
        await self.until(lambda: self.server.overhead.held_bytes >= size)
        writer.transport.abort()
        # A listener that reads nothing learns of the loss when it answers.
        self.release.set()
        await self.until(lambda: not self.server.connections)
        self.assertEqual(self.server.overhead.held_bytes, 0)
        self.assertEqual(self.server.bodies.held_bytes, 0)
        self.assertEqual(self.server.bodies.budget.held_bytes, 0)

    async def test_overhead_of_a_request_counts_until_it_is_answered(self):
        await self.start()
        reader, _ = await self.connect(GET % b"/slow" + SHORT_FIELDS + b"\r\n")
        await self.until(lambda: self.server.overhead.held_bytes >= 300 * KB)
        self.release.set()
        await self.read_response(reader)
        self.assertEqual(self.server.overhead.held_bytes, CONNECTION_BYTES)

    @params(
        ("bodies", POST % 90_000 + b"x" * 80_000, POST % 30_000 + b"x" * 30_000),
        (
            "fields",
            GET % b"/a" + SHORT_FIELDS,
            GET % b"/a" + b"A: b\r\n" * 50 + b"\r\n",
        ),
    )
    async def test_largest_request_that_has_not_run_is_refused(
        self, name, large, small
    ):
        limits = ListenerLimits(overhead_max_bytes=350 * KB)
        await self.start(held_max_bytes=100_000, listener_limits=limits)
        reader, _ = await self.connect(large)
        await self.until(lambda: self.server.partly_read_count == 1)
        await asyncio.sleep(0.05)
        other, _ = await self.connect(small)
        self.assertEqual((await self.read_response(other))[0], 200)
        status, head, _ = await self.read_response(reader)
        self.assertEqual(status, 503)
        self.assertIn(b"Retry-After: 0.30\r\n", head)
        self.assertEqual(self.server.closures.counts[Closure.NO_MEMORY], 1)

    async def test_request_in_progress_is_not_given_up_for_others(self):
        await self.start(held_max_bytes=100_000)
        slow = (POST % 90_000).replace(b"/echo", b"/slow") + b"x" * 90_000
        reader, _ = await self.connect(slow)
        await self.until(lambda: self.server.busy_count == 1)
        other, _ = await self.connect(POST % 30_000 + b"x" * 30_000)
        self.assertEqual((await self.read_response(other))[0], 503)
        self.release.set()
        self.assertEqual((await self.read_response(reader))[0], 200)

    async def test_small_request_may_use_what_is_reserved_for_answers(self):
        await self.start(
            held_max_bytes=1 << 20,
            unsent_max_bytes=0,
            listener_limits=ListenerLimits(overhead_max_bytes=1 << 20),
        )
        budget = self.server.bodies.budget
        budget.held_bytes = int(0.9 * budget.limit_bytes)
        for size, status in ((10_000, 200), (100_000, 503)):
            reader, _ = await self.connect(POST % size + b"x" * size)
            self.assertEqual((await self.read_response(reader))[0], status)


class ConnectionLimitTests(CrowdedTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against clients that keep others from connecting."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start(listener_limits=ListenerLimits(connections_max=4))

    @params(
        ("nothing", b""),
        ("half a request", b"GET / HT"),
        ("half a body", POST % 10 + b"xxxxx"),
        ("pipelined requests", (GET % b"/slow" + b"\r\n") * 10),
    )
    async def test_oldest_connection_is_closed_for_a_new_one(self, name, data):
        clients = [await self.connect(data) for _ in range(4)]
        await self.until(lambda: len(self.server.connections) == 4)
        await asyncio.sleep(0.02)
        reader, _ = await self.connect(GET % b"/a" + b"\r\n")
        self.assertEqual((await self.read_response(reader))[0], 200)
        self.assertLessEqual(len(self.server.connections), 4)
        self.assertEqual(self.server.closures.counts[Closure.CONNECTIONS], 1)
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await clients[0][0].read(1), b"")

    async def test_connection_with_one_request_in_progress_stays_open(self):
        slow = GET % b"/slow" + b"\r\n"
        clients = [await self.connect(slow) for _ in range(4)]
        await self.until(lambda: self.server.busy_count == 4)
        await self.connect(slow)
        await self.until(lambda: self.server.closures.counts[Closure.CONNECTIONS])
        self.release.set()
        for reader, _ in clients:
            self.assertEqual((await self.read_response(reader))[0], 200)

    async def test_log_has_a_few_lines_per_second_and_says_how_many_it_lacks(self):
        with self.assertLogs("damaskproxy.http1.server", "WARNING") as logs:
            for _ in range(3 * LINES_PER_S):
                await self.connect()
                await asyncio.sleep(0)
            closed = self.server.closures.counts
            await self.until(lambda: closed[Closure.CONNECTIONS] >= 2 * LINES_PER_S)
            await asyncio.sleep(1.1)
            await self.connect()
            await self.until(lambda: any("left_out" in r.fields for r in logs.records))
        logged = len(logs.records)
        left_out = sum(r.fields.get("left_out", 0) for r in logs.records)
        self.assertLess(logged, closed[Closure.CONNECTIONS])
        self.assertEqual(logged + left_out, closed[Closure.CONNECTIONS])
