"""Idle connections of a pool that a server closes, or is about to close."""

import asyncio
import socket
import struct
import threading
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.http1 import ConnectionPool, Request, client, client_connection
from damaskproxy.model import Address

OK = b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n"
UNASKED = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
NO_LINGER = struct.pack("ii", 1, 0)
WAIT_S = 5.0
"""Longest wait of the server and of the test for each other."""


class IdleLimitTests(unittest.IsolatedAsyncioTestCase):
    """Guards against requests on connections that the server may close meanwhile."""

    @params(
        # Keep-Alive header, share of the time-out, idle time, connections.
        (b"", 1.0, 2.9, 1),
        (b"", 1.0, 3.1, 2),
        (b"", 0.5, 1.4, 1),
        (b"", 0.5, 1.6, 2),
        (b"Keep-Alive: timeout=10\r\n", 1.0, 8.9, 1),
        (b"Keep-Alive: timeout=10\r\n", 1.0, 9.1, 2),
        (b"Keep-Alive: timeout=10\r\n", 0.5, 4.6, 2),
        (b"Keep-Alive: timeout=2\r\n", 1.0, 0.9, 1),
        (b"Keep-Alive: timeout=2\r\n", 1.0, 1.1, 2),
        (b"Keep-Alive: timeout=1\r\n", 1.0, 0.0, 2),
    )
    async def test_connection_is_not_reused_near_the_time_out_of_the_server(
        self, keep_alive, share, idle_s, connections
    ):
        async def serve(reader, writer):
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(OK % keep_alive)
            except asyncio.IncompleteReadError:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        pool = ConnectionPool(Address(*server.sockets[0].getsockname()[:2]))
        self.addCleanup(pool.close)
        now_s = 100.0
        with (
            mock.patch.object(client, "boot_s", lambda: now_s),
            mock.patch.object(client_connection, "boot_s", lambda: now_s),
        ):
            request = Request(b"GET", b"/", [])
            await pool.exchange(request, max_idle_share=share)
            now_s += idle_s
            await pool.exchange(request, max_idle_share=share)
        self.assertEqual(pool.opened_count, connections)


class ThreadServer:
    """Server in a thread, which ends its first connection while it is idle.

    Parameters
    ----------
    end : str
        How it ends the connection: ``close``, ``reset``, or ``unasked``, which sends a
        response that answers no request.

    Attributes
    ----------
    received : list of bytes
        What it received on each connection.
    """

    def __init__(self, end: str):
        self.received: list[bytes] = []
        self._end = end
        self._must_end = threading.Event()
        self._has_ended = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(WAIT_S)
        self.address = Address(*self._listener.getsockname()[:2])
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def end_first_connection(self) -> None:
        """End the first connection; the event loop of the caller waits for that."""
        self._must_end.set()
        self._has_ended.wait(WAIT_S)

    def close(self) -> None:
        """Stop the thread."""
        self._must_end.set()
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        try:
            first = self._accept_and_answer()
            self._must_end.wait(WAIT_S)
            if self._end == "reset":
                first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            elif self._end == "unasked":
                first.sendall(UNASKED)
            first.close()
            self._has_ended.set()
            self._accept_and_answer().close()
        except OSError:
            # No second connection; the test sees that nothing was received on it.
            return

    def _accept_and_answer(self) -> socket.socket:
        connection = self._listener.accept()[0]
        connection.settimeout(WAIT_S)
        self.received.append(connection.recv(4096))
        connection.sendall(OK % b"")
        return connection


class ClosedIdleConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Guards against lost requests that a server certainly has not received.

    The event loop learns of the closed connection only when it runs again, and a
    request that starts before that must not be written on the connection.
    """

    @params("close", "reset", "unasked")
    async def test_request_is_sent_on_a_new_connection(self, end):
        server = ThreadServer(end)
        self.addCleanup(server.close)
        pool = ConnectionPool(server.address)
        self.addCleanup(pool.close)
        await pool.exchange(Request(b"GET", b"/1", []))
        server.end_first_connection()
        answer = await pool.exchange(Request(b"POST", b"/2", [], b"order"))
        self.assertEqual(answer.status, 200)
        starts = [data.partition(b" HTTP")[0] for data in server.received]
        self.assertEqual(starts, [b"GET /1", b"POST /2"])
