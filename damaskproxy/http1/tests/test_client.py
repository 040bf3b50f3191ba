"""Responses that are late, truncated, unframed, malformed or followed by more bytes."""

import asyncio
import gc
import socket
import struct
import unittest
import weakref

import uvloop
from nose2.tools import params

from damaskproxy.common.fibers import Fiber
from damaskproxy.http1 import (
    OTHER_ID,
    ConnectFailed,
    ConnectionPool,
    ExchangeLost,
    Request,
)
from damaskproxy.model import Address

CLOSE = None
RESET = "reset"


def response(request_id, body=b"ok", extra=b""):
    """Return a serialised response."""
    return b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        request_id,
        extra,
        len(body),
        body,
    )


class ClientTests(unittest.IsolatedAsyncioTestCase):
    """Guards against mixed-up and truncated responses and against resent requests."""

    async def asyncSetUp(self):
        self.scripts = []
        self.received = []
        self.connections = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])
        self.pool = ConnectionPool(self.address)

    async def asyncTearDown(self):
        self.pool.close()
        self.server.close()

    async def serve(self, reader, writer):
        """Send the scripted parts for each request."""
        self.connections += 1
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (
                asyncio.IncompleteReadError,
                ConnectionError,
                asyncio.CancelledError,
            ):
                writer.close()
                return
            length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
            body = await reader.readexactly(int(length or 0))
            self.received.append(head + body)
            for part in self.scripts.pop(0):
                if part is CLOSE:
                    writer.close()
                    return
                if part is RESET:
                    no_linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
                    writer.transport.abort()
                    return
                writer.write(part)
                await asyncio.sleep(0.01)

    async def exchange(
        self, request_id=b"1", *parts, method=b"GET", body=b"", accept=None
    ):
        """Send one request, to which the server responds with `parts`."""
        self.scripts.append(parts)
        request = Request(method, b"/a/../b?x=%41", [(b"X-Id", request_id)], body)
        async with asyncio.timeout(5):
            return await self.pool.exchange(
                request,
                accept=accept
                or (lambda answer, _: answer.header(b"x-id") == request_id),
            )

    @params(
        ("in one piece", [response(b"1")], b"ok"),
        ("byte by byte", [bytes([b]) for b in response(b"1")], b"ok"),
        (
            "after an interim response",
            [b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + response(b"1")],
            b"ok",
        ),
        (
            "chunked",
            [
                b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"2\r\nok\r\n0\r\n\r\n",
            ],
            b"ok",
        ),
        (
            "ended by the connection",
            [b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", CLOSE],
            b"ok",
        ),
        (
            "after a late response to another request",
            [response(b"0", b"late") + response(b"1")],
            b"ok",
        ),
    )
    async def test_complete_response_is_returned(self, name, parts, body):
        answer = await self.exchange(b"1", *parts)
        self.assertEqual((answer.status, answer.body), (200, body), name)
        self.assertTrue(self.received[0].startswith(b"GET /a/../b?x=%41 HTTP/1.1\r\n"))

    @params(
        ("truncated body", [response(b"1")[:-1], CLOSE]),
        (
            "truncated chunks",
            [
                b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                CLOSE,
            ],
        ),
        ("truncated headers", [b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", CLOSE]),
        ("reset without a length", [b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", RESET]),
        ("no response", [CLOSE]),
        ("reset", [RESET]),
        ("no HTTP", [b"\x00\x01\x02 garbage\r\n\r\n"]),
        ("only another request's response", [response(b"0"), CLOSE]),
        (
            "another request's unframed response",
            [b"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\nok", CLOSE],
        ),
    )
    async def test_incomplete_response_is_an_error_and_nothing_is_resent(
        self, name, parts
    ):
        with self.assertRaises(ExchangeLost, msg=name):
            await self.exchange(b"1", *parts)
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.received), 1, name)

    @params(
        *[
            (framing, before)
            for framing in (
                b"Content-Length: 2\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"Connection: close\r\n",
            )
            for before in (
                b"",
                b"HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n",
                response(b"0"),
            )
        ]
    )
    async def test_head_that_ends_anywhere_is_no_response(self, framing, before):
        head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n%s\r\n" % framing
        for end in range(len(head)):
            with self.assertRaises(ExchangeLost, msg=head[:end]):
                await self.exchange(b"1", before + head[:end], CLOSE)

    @params(
        ("in the same piece", [response(b"1") + response(b"0", b"extra")]),
        ("a moment later", [response(b"1"), response(b"0", b"extra")]),
        ("garbage", [response(b"1") + b"@@@@"]),
        ("the server closes", [response(b"1", extra=b"Connection: close\r\n")]),
    )
    async def test_connection_with_more_bytes_is_not_reused(self, name, parts):
        await self.exchange(b"1", *parts)
        await asyncio.sleep(0.05)
        answer = await self.exchange(b"2", response(b"2", b"second"))
        self.assertEqual(answer.body, b"second", name)
        self.assertEqual(self.connections, 2, name)

    @params((b"1", True), (b"2", True), (b"3", True), (b"0", False), (b"4", False))
    async def test_late_response_to_an_earlier_request_is_skipped(self, late, is_known):
        """A server may repeat a response when later requests have been answered.

        A response with an id that the connection never carried ends the exchange.
        """

        def accept_id(request_id):
            def accept(answer, _):
                return answer.header(b"x-id") == request_id or OTHER_ID

            return accept

        for number in (b"1", b"2", b"3"):
            await self.exchange(number, response(number), accept=accept_id(number))
        parts = (response(late, b"late"), response(b"5", b"proper"))
        last = self.exchange(b"5", *parts, accept=accept_id(b"5"))
        if is_known:
            self.assertEqual((await last).body, b"proper")
        else:
            with self.assertRaises(ExchangeLost):
                await last
        self.assertEqual(self.connections, 1)

    async def test_connection_is_reused(self):
        for number in (b"1", b"2", b"3"):
            await self.exchange(number, response(number))
        self.assertEqual((self.connections, self.pool.opened_count), (1, 1))

    @params((b"timeout=1", 2), (b"timeout=30, max=9", 1), (b"timeout=x", 1))
    async def test_keep_alive_timeout_limits_reuse(self, keep_alive, connections):
        extra = b"Keep-Alive: %s\r\n" % keep_alive
        await self.exchange(b"1", response(b"1", extra=extra))
        await self.exchange(b"2", response(b"2"))
        self.assertEqual(self.connections, connections)

    async def test_request_on_a_broken_idle_connection_is_not_resent(self):
        await self.exchange(b"1", response(b"1"))
        with self.assertRaises(ExchangeLost):
            await self.exchange(b"2", RESET, method=b"POST", body=b"order")
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.received), 2)

    async def test_response_before_the_request_body_was_read_keeps_the_order(self):
        body = b"x" * 300_000
        await self.exchange(b"1", response(b"1"), method=b"POST", body=body)
        await self.exchange(b"2", response(b"2"))
        self.assertTrue(self.received[0].endswith(body))
        self.assertTrue(self.received[1].startswith(b"GET "))

    async def test_cancelled_exchange_closes_its_connection(self):
        task = asyncio.create_task(self.exchange(b"1"))
        # The server must have taken the empty script, or the next request would get it.
        async with asyncio.timeout(5):
            while not self.received:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.exchange(b"2", response(b"2"))
        self.assertEqual(self.connections, 2)

    async def test_refused_connection_is_reported_as_not_sent(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(ConnectFailed):
            await self.exchange(b"1")

    @params(
        ("closed", [CLOSE]),
        ("reset", [RESET]),
        ("malformed", [b"x\r\n\r\n"]),
        ("truncated", [response(b"1")[:-1], CLOSE]),
        ("cancelled", [b""]),
    )
    async def test_failed_exchange_frees_its_request_at_once(self, name, parts):
        class TrackedRequest(Request):
            """Request that can be referred to weakly."""

        async def run(request):
            try:
                await self.pool.exchange(request)
            except ExchangeLost:
                pass
            finally:
                ended.set()

        self.scripts.append(parts)
        ended = asyncio.Event()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        request = TrackedRequest(b"GET", b"/", [])
        reference = weakref.ref(request)
        fiber = Fiber(run(request), self.fail)
        del request
        if name == "cancelled":
            while not self.received:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            fiber.cancel()
        await ended.wait()
        await asyncio.sleep(0.02)
        self.assertIsNone(reference())

    @params(
        ("by the server", [response(b"1"), CLOSE]), ("by the pool", [response(b"1")])
    )
    async def test_closed_connection_is_freed_at_once(self, name, parts):
        await self.exchange(b"1", *parts)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        references = [weakref.ref(c) for c in self.pool._idle]
        if name == "by the pool":
            self.pool.close()
        await asyncio.sleep(0.05)
        self.pool.close_idle()
        self.assertEqual([reference() for reference in references], [None])


class GivenUpTests(unittest.TestCase):
    """Guards against open connections that no pool knows."""

    @params(*range(8))
    def test_connection_of_a_request_given_up_while_it_opens_is_closed(self, rounds):
        open_connections = []

        async def accept(reader, writer):
            open_connections.append(writer)
            await reader.read()
            open_connections.remove(writer)
            writer.close()

        async def give_up():
            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            pool = ConnectionPool(Address(*server.sockets[0].getsockname()[:2]))
            fiber = Fiber(pool.exchange(Request(b"GET", b"/", [])), self.fail)
            for _ in range(rounds):
                await asyncio.sleep(0)
            fiber.cancel()
            await asyncio.sleep(0.05)
            self.assertEqual(open_connections, [])
            server.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(give_up())
