"""Exchanges with a backend server whose responses are valid, malformed or missing."""

import asyncio
import itertools
import unittest

from nose2.tools import params

from damaskproxy.model import Address
from damaskproxy.routing import BackendClient, BackendError
from damaskproxy.routing.tests.builders import make_call

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
LIMIT_BYTES = 4096


class BackendClientTests(unittest.IsolatedAsyncioTestCase):
    """Guards against truncated and mixed-up responses and a wrong `maybe_started`."""

    async def asyncSetUp(self):
        self.requests = []
        self.connections = 0
        self.writers = []
        self.responses = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])
        self.now_s = 0.0
        self.client = BackendClient(
            connect_timeout_s=5.0,
            max_body_bytes=LIMIT_BYTES,
            now_s=lambda: self.now_s,
        )

    async def asyncTearDown(self):
        await self.client.close()
        for writer in self.writers:
            writer.close()
        self.server.close()

    async def serve(self, reader, writer):
        """Send the scripted response to each request, then hang."""
        self.connections += 1
        self.writers.append(writer)
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            body = b""
            if b"Content-Length: " in head:
                length = head.split(b"Content-Length: ")[1].split(b"\r\n")[0]
                body = await reader.readexactly(int(length))
            self.requests.append((head, body))
            for part in self.responses.pop(0):
                if part is None:
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)

    async def run_call(self, *parts, timeout_s=5.0, **changes):
        """Send a call to a server that responds with `parts`; None closes."""
        self.responses.append(parts)
        return await self.client.run(
            self.address,
            make_call(**changes),
            timeout_s=timeout_s,
            deadline_ms=1000,
            start_by_unix_ms=123,
        )

    @params(
        ("in one piece", [OK], 200, b"hello"),
        ("byte by byte", [OK[i : i + 1] for i in range(len(OK))], 200, b"hello"),
        (
            "chunked",
            [
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"3\r\nabc\r\n0\r\n\r\n",
            ],
            200,
            b"abc",
        ),
        (
            "ended by the connection",
            [b"HTTP/1.1 200 OK\r\n\r\nrest", None],
            200,
            b"rest",
        ),
        ("no content", [b"HTTP/1.1 204 No Content\r\n\r\n"], 204, b""),
        (
            "informational response first",
            [b"HTTP/1.1 100 Continue\r\n\r\n", OK],
            200,
            b"hello",
        ),
        ("error of the server", [OK.replace(b"200 OK", b"500 No")], 500, b"hello"),
    )
    async def test_complete_response(self, _name, parts, status, body):
        answer = await self.run_call(*parts)
        self.assertEqual((answer.status, answer.body), (status, body))

    @params(
        ("closed at once", [None], True),
        ("truncated headers", [OK[:10], None], True),
        ("truncated body", [OK[:-2], None], True),
        (
            "truncated chunk",
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\na", None],
            True,
        ),
        ("no HTTP", [b"hello\r\n\r\n"], False),
        (
            "too large",
            [b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n" + b"x" * 9999],
            False,
        ),
    )
    async def test_no_complete_response(self, _name, parts, disconnected):
        with self.assertRaises(BackendError) as caught:
            await self.run_call(*parts)
        self.assertTrue(caught.exception.maybe_started)
        self.assertEqual(caught.exception.disconnected, disconnected)

    @params(
        *itertools.product(
            ("000", "001", "099", "101", "104", "199", "600", "999", "20", "2x0", ""),
            ("Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""),
            ("GET", "HEAD", "POST"),
        )
    )
    async def test_status_that_is_no_response(self, status, framing, method):
        """A server in trouble must not decide a request, nor let it wait."""
        head = f"HTTP/1.1 {status} OK\r\n{framing}\r\n".encode()
        for is_later in (False, True):
            if is_later:
                await self.run_call(OK)
            with self.assertRaises(BackendError) as caught:
                await self.run_call(head, OK, method=method, body=b"", timeout_s=0.5)
            self.assertTrue(caught.exception.maybe_started)
            self.assertIn("malformed", str(caught.exception))
            self.assertEqual(self.client._idle, [])

    @params("HTTP/0.9", "HTTP/2.0", "HTTP/1.2")
    async def test_version_that_is_not_understood(self, version):
        with self.assertRaises(BackendError):
            await self.run_call(OK.replace(b"HTTP/1.1", version.encode()))

    async def test_refused_connection_was_not_started(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(BackendError) as caught:
            await self.run_call(OK)
        self.assertFalse(caught.exception.maybe_started)

    async def test_time_out(self):
        """The connection of a late response must not be reused for the next request."""
        with self.assertRaises(BackendError) as caught:
            await self.run_call(timeout_s=0.01)
        self.assertTrue(caught.exception.maybe_started)
        await self.run_call(OK)
        self.assertEqual(self.connections, 2)

    async def test_connection_is_reused(self):
        for _ in range(3):
            await self.run_call(OK)
        self.assertEqual(self.connections, 1)

    @params(
        ("idle for long", [OK], 5.0),
        (
            "asked to close",
            [OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")],
            0.0,
        ),
        ("bytes after the response", [OK + b"HTTP/1.1 200 OK\r\n\r\n"], 0.0),
    )
    async def test_connection_is_not_reused(self, _name, parts, idle_s):
        await self.run_call(*parts)
        self.now_s += idle_s
        answer = await self.run_call(OK)
        self.assertEqual((answer.body, self.connections), (b"hello", 2))

    async def test_request(self):
        await self.run_call(OK, headers=[("X-A", "b")], body=b"order", path="/p?q=1")
        ((head, body),) = self.requests
        lines = head.decode().split("\r\n")
        self.assertEqual((lines[0], body), ("POST /p?q=1 HTTP/1.1", b"order"))
        self.assertIn("X-A: b", lines)
        self.assertIn("Damask-Start-By: 123", lines)

    @params(
        {"headers": [("X", "a\r\nY: b")]}, {"path": "/ HTTP/1.1\r\nHost: x\r\n\r\n"}
    )
    async def test_line_breaks_are_rejected(self, changes):
        """A line break in a value could inject a second request."""
        with self.assertRaises(BackendError):
            await self.run_call(OK, **changes)
        self.assertEqual(self.requests, [])

    async def test_not_started(self):
        answer = await self.run_call(
            b"HTTP/1.1 503 Busy\r\ndamask-not-started: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertTrue(answer.not_started)
