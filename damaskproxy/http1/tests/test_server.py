"""Requests that are pipelined, truncated, too large, too slow or malformed."""

import asyncio
import gc
import unittest
import weakref

from nose2.tools import params

from damaskproxy.common.fibers import BackgroundTask, Fiber
from damaskproxy.http1 import ClientLimits, HttpServer, Request, Response
from damaskproxy.http1.messages import end_to_end

LIMITS = ClientLimits(
    max_header_bytes=400,
    max_body_bytes=20,
    header_timeout_ms=100,
    idle_timeout_ms=200,
)
POST = b"POST /a HTTP/1.1\r\nHost: x\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n"


class ServerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against request smuggling and against clients that exhaust resources."""

    async def asyncSetUp(self):
        self.requests: list[Request] = []
        self.cancelled = asyncio.Event()
        self.release = asyncio.Event()
        self.server = HttpServer("test", self.handle, lambda: LIMITS)
        await self.server.open("127.0.0.1", 0)
        self.port = self.server.port
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def asyncTearDown(self):
        self.writer.close()
        await self.server.close()

    async def handle(self, request):
        self.requests.append(request)
        if request.target == b"/slow":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if request.target == b"/broken":
            raise RuntimeError("expected by the test")
        if request.target == b"/large":
            return Response(200, body=b"x" * 20_000_000)
        return Response(200, [(b"X-Target", request.target)], request.body)

    async def read_statuses(self, count):
        """Read `count` responses and return their statuses."""
        statuses = []
        async with asyncio.timeout(5):
            for _ in range(count):
                head = await self.reader.readuntil(b"\r\n\r\n")
                statuses.append(int(head.split()[1]))
                length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
                await self.reader.readexactly(int(length or 0))
        return statuses

    @params(
        (
            "a length and chunks",
            POST + b"Content-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
            400,
        ),
        (
            "two lengths",
            POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            400,
        ),
        ("another coding", POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
        ("a bare line feed", b"GET /a HTTP/1.1\nHost: x\n\n", 400),
        ("a space before the colon", b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n", 400),
        ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        ("a bad chunk", POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        ("a large header", GET + b"A: " + b"a" * 500 + b"\r\n\r\n", 431),
        ("many headers", GET + b"A: b\r\n" * 100 + b"\r\n", 431),
        ("a large body", POST + b"Content-Length: 21\r\n\r\n" + b"a" * 21, 413),
        (
            "a large chunked body",
            POST
            + b"Transfer-Encoding: chunked\r\n\r\n15\r\n"
            + b"a" * 21
            + b"\r\n0\r\n\r\n",
            413,
        ),
    )
    async def test_malformed_request_is_refused_and_the_connection_closed(
        self, name, data, status
    ):
        self.writer.write(data)
        self.assertEqual(await self.read_statuses(1), [status], name)
        self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(self.requests, [], name)

    @params(
        ("a length", POST + b"Content-Length: 5\r\n\r\nhello", b"hello"),
        (
            "chunks",
            POST + b"Transfer-Encoding: chunked\r\n\r\n"
            b"2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-Trailer: 1\r\n\r\n",
            b"hello",
        ),
        ("none", GET + b"\r\n", b""),
    )
    async def test_complete_body_is_read(self, name, data, body):
        for part in (data, *(bytes([byte]) for byte in data)):
            self.writer.write(part)
        self.assertEqual(await self.read_statuses(2), [200, 200], name)
        self.assertEqual([request.body for request in self.requests], [body, body])
        names = [n for request in self.requests for n, _ in request.headers]
        self.assertNotIn(b"X-Trailer", names)

    async def test_pipelined_requests_are_answered_in_order(self):
        self.writer.write(
            b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n" + 9 * (GET + b"\r\n")
        )
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.requests), 1)
        self.release.set()
        self.assertEqual(await self.read_statuses(10), [200] * 10)
        self.assertEqual(self.requests[0].target, b"/slow")

    async def test_garbage_after_a_request_is_refused_after_its_response(self):
        self.writer.write(GET + b"\r\n" + b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(await self.read_statuses(2), [200, 400])
        self.assertEqual(await self.reader.read(), b"")

    async def test_upgrade_is_ignored_and_closes_the_connection(self):
        head = GET + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
        self.writer.write(head + GET + b"\r\n")
        self.assertEqual(await self.read_statuses(1), [200])
        self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(len(self.requests), 1)

    async def test_expect_100_continue_is_honoured(self):
        self.writer.write(POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(head, b"HTTP/1.1 100 Continue\r\n\r\n")
        self.writer.write(b"ab")
        self.assertEqual(await self.read_statuses(1), [200])

    async def test_request_is_cancelled_when_its_client_disconnects(self):
        self.writer.write(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        self.writer.close()
        async with asyncio.timeout(5):
            await self.cancelled.wait()

    @params(
        ("a slow head", b"GET /a HTTP/1.1\r\nHos", 408),
        ("a slow body", POST + b"Content-Length: 2\r\n\r\na", 408),
    )
    async def test_slow_client_is_refused(self, name, data, status):
        self.writer.write(data)
        await asyncio.sleep(0.05)
        self.server.enforce_timeouts()
        await asyncio.sleep(0.08)
        self.server.enforce_timeouts()
        self.assertEqual(await self.read_statuses(1), [status], name)
        self.assertEqual(await self.reader.read(), b"")

    async def test_idle_connection_is_closed_after_the_limit_only(self):
        self.writer.write(GET + b"\r\n")
        await self.read_statuses(1)
        await asyncio.sleep(0.12)
        self.server.enforce_timeouts()
        self.writer.write(GET + b"\r\n")
        self.assertEqual(await self.read_statuses(1), [200])
        await asyncio.sleep(0.25)
        self.server.enforce_timeouts()
        self.assertEqual(await self.reader.read(), b"")

    async def test_client_that_does_not_read_is_closed_after_the_idle_time(self):
        self.writer.write(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(10):
            while self.server.connections:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
                self.server.enforce_timeouts()

    async def test_client_that_reads_slowly_gets_its_whole_response(self):
        self.writer.write(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
        received = b""
        async with asyncio.timeout(30):
            while len(received) < 20_000_000:
                # The server sends more only after the client has read for some time.
                data = await self.reader.readexactly(1_000_000)
                received += data
                await asyncio.sleep(0.03)
                self.server.enforce_timeouts()
        self.assertEqual(received[-1_000_000:], b"x" * 1_000_000)

    @params(
        ("after a request", GET + b"\r\n"),
        ("within a body", POST + b"Content-Length: 20\r\n\r\nabc"),
        ("before a response", GET.replace(b"/a", b"/slow") + b"\r\n"),
    )
    async def test_closed_connection_is_freed_at_once(self, name, sent):
        self.writer.write(sent)
        await asyncio.sleep(0.05)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        references = [weakref.ref(c) for c in self.server.connections]
        self.writer.close()
        await asyncio.sleep(0.05)
        self.assertEqual([reference() for reference in references], [None])

    async def test_bodies_beyond_held_max_bytes_are_refused(self):
        self.server.bodies.limit_bytes = 30
        slow = b"POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n"
        self.writer.write(slow + b"a" * 20)
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(POST + b"Content-Length: 20\r\n\r\n" + b"a" * 20)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)
        writer.close()
        self.release.set()
        self.assertEqual(await self.read_statuses(1), [200])
        self.writer.write(POST + b"Content-Length: 20\r\n\r\n" + b"a" * 20)
        self.assertEqual(await self.read_statuses(1), [200])
        async with asyncio.timeout(5):
            while self.server.held_bytes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    @params(Fiber, BackgroundTask)
    async def test_request_whose_handler_awaits_something_cancelled_is_answered(
        self, run
    ):
        async def handle(request):
            if request.target == b"/a":
                return Response(200)
            future = asyncio.get_running_loop().create_future()
            asyncio.get_running_loop().call_later(0.02, future.cancel)
            await future

        self.server.run, self.server.handle = run, handle
        with self.assertLogs("damaskproxy.http1.server", "ERROR"):
            self.writer.write(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n" + GET + b"\r\n")
            self.assertEqual(await self.read_statuses(2), [502, 200])
        self.assertEqual(self.server.busy_count, 0)

    async def test_unexpected_error_gets_status_502(self):
        with self.assertLogs("damaskproxy.http1.server", "ERROR"):
            self.writer.write(b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual(await self.read_statuses(1), [502])

    async def test_closing_server_closes_connections_after_their_request(self):
        self.writer.write(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        self.server.stop_accepting()
        self.release.set()
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual(await self.reader.read(), b"")
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", self.port)

    @params(
        (GET.replace(b"/a", b"/slow") + b"\r\n", "in_progress", 1),
        (POST + b"Content-Length: 3\r\n\r\na", "is_partly_read", True),
        (GET.replace(b"/a", b"/large") + b"\r\n", "unsent_bytes", None),
    )
    async def test_request_that_the_server_cuts_is_logged(self, sent, field, value):
        self.writer.write(sent)
        await self.writer.drain()
        await asyncio.sleep(0.1)
        with self.assertLogs("damaskproxy.http1.server", "WARNING") as logs:
            await self.server.close()
        fields = logs.records[0].fields
        self.assertEqual(fields["reason"], "the node has stopped")
        self.assertEqual(fields[field], fields[field] if value is None else value)
        self.assertTrue(fields[field])


class EndToEndTests(unittest.TestCase):
    """Guards against hop-by-hop headers that are forwarded."""

    @params(
        (
            [(b"Connection", b"keep-alive, X-Hop"), (b"X-Hop", b"1"), (b"A", b"b")],
            [(b"A", b"b")],
        ),
        (
            [
                (b"Transfer-Encoding", b"chunked"),
                (b"TE", b"trailers"),
                (b"a", b"1"),
                (b"A", b"2"),
            ],
            [(b"a", b"1"), (b"A", b"2")],
        ),
        ([(b"Keep-Alive", b"timeout=5"), (b"Left-Out", b"1"), (b"Upgrade", b"x")], []),
    )
    def test_only_end_to_end_headers_remain(self, headers, expected):
        self.assertEqual(end_to_end(headers, frozenset({b"left-out"})), expected)
