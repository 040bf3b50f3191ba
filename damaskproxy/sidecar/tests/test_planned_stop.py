"""Planned stops while requests, calls and responses are on their way."""

import asyncio
import contextlib
import socket
import time
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.http1 import HttpError, Request
from damaskproxy.platform.standins import ROUTES, encode_configuration
from damaskproxy.sidecar import stopping
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.stopping import drain, stop
from damaskproxy.sidecar.tests.mesh import MeshTestCase

ACCEPT_S = 0.2
"""Time in which requests are still accepted, shortened for these tests."""
EXIT_MAX_S = 0.6
"""Longest time from the end of `ACCEPT_S` until a node with nothing left ends."""
PADDING = b"x" * (12 << 20)
HEAD = b"%s HTTP/1.1\r\nHost: shop\r\nX-Damaskproxy-Request-Id: %d\r\n"


class PlannedStopTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a planned stop that takes handed over for sent."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = {name: {**route, "timeoutMs": 5000} for name, route in ROUTES.items()}
        self.rows.put("op", "config", encode_configuration(2, routes))
        patch = mock.patch.object(stopping, "STOP_ACCEPT_S", ACCEPT_S)
        patch.start()
        self.addCleanup(patch.stop)

    async def start(self, name, service="orders", **settings):
        """Start a sidecar with the usual grace time."""
        settings.setdefault("bounds", {"graceS": 6})
        return await super().start(name, service, **settings)

    async def end_process(self, member):
        """Stop a node as its process does; return the time that this took."""
        start_s = time.monotonic()
        sidecar, member.sidecar = member.sidecar, None
        await drain(sidecar)
        for task in member.tasks:
            task.cancel()
        sidecar.propagation._is_started = False
        links = sidecar.links.open_links()
        await stop(sidecar)
        # The event loop ends here, whatever its transports have buffered.
        for link in links:
            link._transport.abort()
        return time.monotonic() - start_s

    async def connect(self, member, listener="caller", receive_buffer_bytes=None):
        """Open a connection to a listener."""
        address = to_address(getattr(member.sidecar.settings.listeners, listener))
        sock = socket.socket()
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (address.host, address.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=16384)
        self.stack.callback(writer.close)
        return reader, writer

    @params(("n1", 0), ("n1", 2000), ("n2", 0))
    async def test_response_that_is_read_slowly_is_sent_completely(
        self, stopped, more_bytes
    ):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.padding = PADDING
        reader, writer = await self.connect(one, receive_buffer_bytes=8192)
        writer.write(HEAD % (b"POST /write/1", 1) + b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        ending = asyncio.create_task(self.end_process({"n1": one, "n2": two}[stopped]))
        await asyncio.sleep(0.1)
        writer.write(b"x" * more_bytes)
        expected = b"from i-n2" + PADDING
        received = bytearray()
        while len(received) < len(expected) and (data := await reader.read(65536)):
            received += data
            await asyncio.sleep(0.01 if stopped == "n1" else 0)
        self.assertEqual(len(received[: len(expected)]), len(expected))
        self.assertTrue(received.startswith(expected))
        writer.close()
        self.assertLess(await ending, 5.5)

    async def test_result_that_a_peer_reads_slowly_is_sent_completely(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.padding = PADDING
        for link in one.sidecar.links.open_links():
            link._transport.pause_reading()
        pending = asyncio.create_task(one.call(b"/write/1", method=b"POST"))
        await self.until(lambda: two.sidecar.links.unsent_bytes > 0)
        ending = asyncio.create_task(self.end_process(two))
        await asyncio.sleep(0.8)
        for link in one.sidecar.links.open_links():
            link._transport.resume_reading()
        answer = await pending
        self.assertEqual((answer.status, len(answer.body) > len(PADDING)), (200, True))
        self.assertLess(await ending, 3.0)

    async def test_call_that_arrives_in_the_last_moment_is_not_run(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        for link in two.sidecar.links.open_links():
            link._transport.pause_reading()
        pending = asyncio.create_task(one.call(b"/write/1", method=b"POST"))
        await asyncio.sleep(0.1)
        await self.end_process(two)
        self.assertEqual((await pending).status, 503)
        self.assertFalse(two.backend.runs)

    async def test_request_that_is_partly_read_is_refused(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        reader, writer = await self.connect(one)
        head = HEAD % (b"POST /write/1", 1) + b"Content-Length: 4\r\n\r\n"
        writer.write(head + b"one")
        ending = asyncio.create_task(self.end_process(one))
        await asyncio.sleep(ACCEPT_S + 0.5)
        writer.write(b"!")
        self.assertRegex(await reader.read(), rb"^HTTP/1.1 503 ")
        self.assertLess(await ending, ACCEPT_S + 0.5 + EXIT_MAX_S)
        self.assertFalse(two.backend.runs)

    async def test_request_that_is_never_complete_is_refused_in_the_grace_time(self):
        one = await self.start("n1", bounds={"graceS": 2})
        reader, writer = await self.connect(one)
        head = HEAD % (b"POST /write/1", 1) + b"Content-Length: 4\r\n\r\n"
        writer.write(head + b"one")
        ending = asyncio.create_task(self.end_process(one))
        self.assertRegex(await reader.read(), rb"^HTTP/1.1 503 ")
        self.assertLess(await ending, 2.0)

    @params(
        ("DELETE", False, 503),
        ("DELETE", True, 200),
        ("draining report", False, 503),
        ("draining report", True, 200),
    )
    async def test_answer_to_a_leave_that_waits_for_the_store_is_sent(
        self, kind, comes_back, expected
    ):
        one = await self.start("n1")
        await self.start("n2")
        await self.until_known(2)
        await asyncio.sleep(0.3)
        self.rows.status = 503 if comes_back else 0
        leave = Request(
            b"DELETE", b"/api/instances/i-n1", [(b"Host", b"c")], b'{"born": 1000}'
        )
        is_delete = kind == "DELETE"
        leaving = one.control(leave) if is_delete else one.report("draining")
        pending = asyncio.create_task(leaving)
        await asyncio.sleep(0.05)
        ending = asyncio.create_task(self.end_process(one))
        await asyncio.sleep(0.1)
        if comes_back:
            self.rows.status = 200
        duration_s = await ending
        answer = await pending
        self.assertEqual(answer.status if is_delete else answer, expected)
        self.assertLess(duration_s, 2.0)

    async def test_open_connections_do_not_delay_the_end(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        await asyncio.sleep(0.2)
        connections = []
        for number in range(4):
            reader, writer = await self.connect(one, "caller" if number else "control")
            if number > 1:
                writer.write(HEAD % (b"GET /read/1", 1) + b"\r\n")
                await reader.readuntil(b"from i-n2")
            connections.append((reader, writer))
        for link in two.sidecar.links.open_links():
            link._transport.pause_reading()
        duration_s = await self.end_process(one)
        self.assertLess(duration_s, ACCEPT_S + EXIT_MAX_S)
        for reader, _ in connections:
            self.assertEqual(await reader.read(), b"")

    async def test_everything_ends_within_the_grace_time(self):
        one = await self.start("n1", "stores", bounds={"graceS": 1})
        two = await self.start("n2", bounds={"graceS": 1})
        await self.until_known(1)
        two.backend.padding = PADDING
        reader, writer = await self.connect(one, receive_buffer_bytes=8192)
        writer.write(HEAD % (b"POST /write/1", 1) + b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        two.backend.faults[b"/write/2"] = "hang"
        pending = asyncio.create_task(one.call(b"/write/2", method=b"POST"))
        for link in two.sidecar.links.open_links():
            link._transport.pause_reading()
        await asyncio.sleep(0.1)
        with self.assertLogs("damaskproxy.sidecar.stopping", "INFO") as logs:
            self.assertLess(await self.end_process(one), 1.0)
        fields = logs.records[-1].fields
        self.assertEqual((fields["cut"], fields["partly_read"]), (1, 0))
        self.assertGreater(fields["unsent_bytes"], 1 << 20)
        with contextlib.suppress(HttpError):
            await pending

    async def test_requests_on_kept_connections_are_answered_until_the_end(self):
        one = await self.start("n1", "stores")
        await self.start("n2")
        await self.until_known(1)
        ended = asyncio.Event()

        async def client(number):
            """Send requests until the connection ends; return the last answer."""
            address = one.sidecar.settings.listeners.caller
            last = b""
            while not ended.is_set():
                host, _, port = address.rpartition(":")
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                except ConnectionRefusedError:
                    return last
                with contextlib.closing(writer):
                    while b"close" not in last:
                        writer.write(HEAD % (b"GET /read/1", number) + b"\r\n")
                        last = await reader.readuntil(b"\r\n\r\n")
                        length = last.partition(b"Content-Length: ")[2].split()[0]
                        await reader.readexactly(int(length))
                    last = b""
            return last

        clients = [asyncio.create_task(client(number)) for number in range(8)]
        await asyncio.sleep(0.2)
        await self.end_process(one)
        ended.set()
        for outcome in await asyncio.gather(*clients, return_exceptions=True):
            self.assertEqual(outcome, b"")
