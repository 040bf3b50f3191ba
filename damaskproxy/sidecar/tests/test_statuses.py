"""Requests through two nodes while a backend server sends what is no response."""

import contextlib
import time
import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.http1.tests.test_statuses import NO_RESPONSES
from damaskproxy.sidecar.tests.mesh import MeshTestCase
from damaskproxy.sidecar.tests.raw_server import ID, RawServer

OTHER_FAULTS = (
    b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n%s\r\nok",
    b"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n%s\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n%s\r\nok",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n%s\r\n0\r\n\r\n",
)
STAMPED = b"X-Damaskproxy-Server-Stamp: s\r\n"
EARN_REQUESTS = 12
"""Requests that earn a token of the retry budget; the ratio is 0.2 by default."""
AT_ONCE_S = 0.5
"""Time within which a request ends; the time-out of the routes is 0.8 s."""


class ScriptedServer(RawServer):
    """Backend server that sends some responses as given.

    Attributes
    ----------
    script : list of bytes
        What it sends for the next requests, with a place for the id of the request;
        servers may share it. Afterwards responses are proper.
    """

    def __init__(self, instance_id: str, script: list[bytes]):
        super().__init__(instance_id)
        self.script = script

    async def _serve(self, reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            async for head, request_id in self._requests(reader, writer):
                fields = b"%s: %s\r\n%s" % (ID, request_id, STAMPED)
                length = b"Content-Length: 6\r\n"
                proper = b"HTTP/1.1 200 OK\r\n%s%s\r\n" % (fields, length)
                is_head = head.startswith(b"HEAD")
                if self.script:
                    body = b"forged"
                    writer.write(self.script.pop() % fields + proper + body)
                    with contextlib.suppress(ConnectionError):
                        await reader.read()
                    self.closed_count += 1
                    return
                writer.write(proper + (b"" if is_head else b"proper"))


class StatusTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against requests that wait for, or get, what is no response."""

    async def start_servers(self, caller_service):
        """Start a node that receives requests, and two servers of orders."""
        self.script = []
        self.servers, caller = await self.start_order_servers(
            lambda instance_id: ScriptedServer(instance_id, self.script), caller_service
        )
        return caller

    async def check(self, caller, method, target, raw, expected):
        """Send a request while a server sends `raw` once; check status and runs."""
        request_id = b"id-%d" % time.monotonic_ns()
        closed_count = sum(s.closed_count for s in self.servers)
        self.script.append(raw)
        start_s = time.monotonic()
        answer = await caller.call(target, method=method, request_id=request_id)
        took_s = time.monotonic() - start_s
        runs = sum(s.runs[request_id] for s in self.servers)
        self.assertEqual((answer.status, runs), expected, (method, raw))
        self.assertNotIn(b"forged", answer.body)
        self.assertIsNone(answer.header(b"retry-after"))
        self.assertLess(took_s, AT_ONCE_S, (method, raw))
        await self.until(
            lambda: sum(s.closed_count for s in self.servers) > closed_count
        )

    @params("orders", "stores")
    async def test_idempotent_request_runs_on_another_server(self, caller_service):
        caller = await self.start_servers(caller_service)
        for status in NO_RESPONSES:
            # Without a length it lasts until the end of the connection.
            raw = b"HTTP/1.1 %s OK\r\n" % status + b"%s\r\n"
            for method in (b"GET", b"HEAD", b"POST"):
                await self.check(caller, method, b"/read/1", raw, (200, 2))
                for _ in range(EARN_REQUESTS):
                    await caller.call(b"/read/1")

    @params("orders", "stores")
    async def test_order_is_not_sent_again(self, caller_service):
        caller = await self.start_servers(caller_service)
        for status in NO_RESPONSES:
            raw = b"HTTP/1.1 %s OK\r\nContent-Length: 0\r\n" % status + b"%s\r\n"
            await self.check(caller, b"POST", b"/write/1", raw, (502, 1))

    @params(*OTHER_FAULTS)
    async def test_framing_that_is_no_answer(self, raw):
        caller = await self.start_servers("orders")
        await self.check(caller, b"GET", b"/read/1", raw, (200, 2))
        await self.check(caller, b"POST", b"/write/1", raw, (502, 1))

    async def test_attempts_are_limited(self):
        caller = await self.start_servers("orders")
        self.script += [b"HTTP/1.1 600 OK\r\n%s\r\n"] * 2
        answer = await caller.call(b"/read/1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(s.runs[b"1"] for s in self.servers), 2)

    async def test_retry_needs_a_token_of_the_budget(self):
        caller = await self.start_servers("orders")
        statuses = Counter()
        for number in range(60):
            self.script[:] = [b"HTTP/1.1 600 OK\r\n%s\r\n"]
            answer = await caller.call(b"/read/1", request_id=b"%d" % number)
            statuses[answer.status] += 1
        self.assertEqual(set(statuses), {200, 502})
        runs = sum(sum(s.runs.values()) for s in self.servers)
        self.assertEqual(runs, 60 + statuses[200])
