"""Requests that arrive, and responses that are not yet read, when a server stops."""

import asyncio
import socket
import unittest

from nose2.tools import params

from damaskproxy.http1 import ClientLimits, HttpServer, Response

GET = b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"
BODY_BYTES = {b"/large": 20_000_000, b"/medium": 500_000}


class ServerStopTests(unittest.IsolatedAsyncioTestCase):
    """Guards against requests and responses that are cut by a planned stop."""

    async def asyncSetUp(self):
        self.release = asyncio.Event()
        limits = ClientLimits(max_body_bytes=20)
        self.server = HttpServer("test", self.handle, lambda: limits)
        await self.server.open("127.0.0.1", 0)
        self.port = self.server.port
        self.sockets = []

    async def asyncTearDown(self):
        for sock in self.sockets:
            sock.close()
        await self.server.close()

    async def handle(self, request):
        if request.target == b"/slow":
            await self.release.wait()
        return Response(200, body=b"x" * BODY_BYTES.get(request.target, 1))

    def connect(self, receive_buffer_bytes=None):
        """Open a connection without a turn of the event loop."""
        sock = socket.socket()
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.connect(("127.0.0.1", self.port))
        self.sockets.append(sock)
        return sock

    async def receive(self, sock):
        """Return what arrives until the end of the connection."""
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        received = bytearray()
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(sock, 65536):
                received += data
        return bytes(received)

    async def test_connections_in_the_accept_queue_are_answered(self):
        sockets = [self.connect() for _ in range(20)]
        for sock in sockets:
            sock.sendall(GET % b"a")
        self.server.stop_accepting()
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        for sock in sockets:
            self.assertRegex(await self.receive(sock), rb"200 (?s:.*)\r\n\r\nx$")

    async def test_request_in_the_receive_buffer_is_answered(self):
        sock = self.connect()
        await asyncio.sleep(0.3)
        sock.sendall(GET % b"a")
        self.server.stop_accepting()
        received = await self.receive(sock)
        self.assertRegex(received, rb"200 (?s:.*)Connection: close\r\n\r\nx$")

    async def test_request_behind_the_last_response_is_answered(self):
        sock = self.connect()
        sock.sendall(GET % b"slow" + POST)
        await asyncio.sleep(0.05)
        self.server.stop_accepting()
        self.release.set()
        await asyncio.sleep(0.05)
        sock.sendall(b"abc")
        received = await self.receive(sock)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(received.count(b"Connection: close"), 1)

    async def test_malformed_request_behind_the_last_response_is_refused(self):
        sock = self.connect()
        sock.sendall(GET % b"slow" + b"no HTTP\r\n\r\n")
        await asyncio.sleep(0.05)
        self.server.stop_accepting()
        self.release.set()
        received = await self.receive(sock)
        self.assertRegex(received, rb"(?s)^HTTP/1.1 200 .*HTTP/1.1 400 ")

    async def test_last_response_reaches_a_client_that_sends_more(self):
        sock = self.connect(4096)
        self.server.is_closing = True
        sock.sendall(GET % b"large")
        await asyncio.sleep(0.05)
        sock.sendall(GET % b"a")
        received = await self.receive(sock)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 20_000_000)

    @params(
        ("in progress", GET % b"slow", True),
        ("partly read", POST, True),
        ("refused in its body", POST.replace(b"3", b"30") + 21 * b"a", True),
        ("not handed to the kernel", GET % b"large", True),
        ("not taken by the client's kernel", GET % b"medium", True),
        ("answered", GET % b"a", False),
        ("without a request", b"", False),
    )
    async def test_connection_counts_until_all_has_been_sent(
        self, name, sent, is_unfinished
    ):
        sock = self.connect(4096)
        self.server.is_closing = "without" not in name
        sock.sendall(sent)
        await asyncio.sleep(0.3)
        self.assertEqual(self.server.unfinished_count, int(is_unfinished), name)
        self.server.stop_accepting()
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.unfinished_count, int(is_unfinished), name)

    async def test_new_connection_may_still_send_its_first_request(self):
        sock = self.connect()
        self.server.stop_accepting()
        await asyncio.sleep(0.02)
        self.assertEqual(self.server.unfinished_count, 1)
        self.server.stop_accepting()
        sock.sendall(GET % b"a")
        self.assertRegex(await self.receive(sock), rb"200 (?s:.*)\r\n\r\nx$")

    async def test_partly_read_request_is_refused_at_the_end(self):
        sock = self.connect()
        sock.sendall(POST)
        await asyncio.sleep(0.05)
        self.server.stop_accepting()
        self.server.refuse_partly_read()
        self.assertRegex(await self.receive(sock), rb"HTTP/1.1 503 ")
        self.assertEqual(self.server.partly_read_count, 0)
