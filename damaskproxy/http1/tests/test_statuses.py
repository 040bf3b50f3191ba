"""Statuses and framing of a server in trouble that are no response.

The table of what the caller gets, for each status::

    python -m damaskproxy.http1.tests.test_statuses
"""

import asyncio
import contextlib
import itertools
import unittest
from collections import Counter, defaultdict

from nose2.tools import params

from damaskproxy.http1 import ConnectionPool, ExchangeLost, Request
from damaskproxy.model import Address

SEND_REST_S = 0.02
"""Time after which a server that is still connected sends the bytes that follow."""
CLOSE_S = 0.1
"""Time after which a server that is still connected closes the connection."""
TIMEOUT_S = 2.0
LOST = "lost"

NO_RESPONSES = (
    b"000",
    b"001",
    b"099",
    b"101",
    b"104",
    b"199",
    b"600",
    b"999",
    b"20",
    b"2000",
    b"2x0",
    b"abc",
    b"+20",
    b"-20",
    b"",
)
FINAL = (b"200", b"299", b"302", b"404", b"500", b"599")
INTERIM = (b"100", b"102", b"103")
BODIES = {
    "length": (b"Content-Length: 2\r\n", b"ok"),
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
    "until the end": (b"", b"ok"),
    "none": (b"", b""),
}
METHODS = {b"GET": b"", b"HEAD": b"", b"POST": b"order"}
REASONS = (b" OK", b"")
PROPER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrest"
CASES = tuple(itertools.product(BODIES, (False, True), METHODS, REASONS))
"""Body, whether the request is a later one of its connection, method, and reason."""


class TroubledServer:
    """Sends one scripted response, and a proper one behind it if it still can.

    Attributes
    ----------
    closed_count : int
        Connections that the client closed before the server did.
    """

    def __init__(self):
        self.parts: list[bytes] = []
        self.closed_count = 0

    async def open(self) -> Address:
        """Listen on a loopback port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        with contextlib.closing(writer):
            while True:
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                    is_post = head.startswith(b"POST")
                    await reader.readexactly(len(METHODS[b"POST"]) if is_post else 0)
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                if b" /first " in head:
                    writer.write(PROPER)
                    continue
                await self._send_parts(reader, writer)
                return

    async def _send_parts(self, reader, writer) -> None:
        """Send the response; notice whether the client closes the connection."""
        for part, wait_s in ((self.parts[0], SEND_REST_S), (self.parts[1], CLOSE_S)):
            writer.write(part)
            try:
                async with asyncio.timeout(wait_s):
                    await reader.read()
            except ConnectionError:
                pass
            except TimeoutError:
                continue
            self.closed_count += 1
            return


async def observe(server, address, head, body, *, is_later, method, rest=PROPER):
    """Send a request to which `head` and `body` are the response.

    Returns
    -------
    str
        What the caller gets.
    """
    is_head = method == b"HEAD"
    server.parts = [head + (b"" if is_head else body), rest]
    pool = ConnectionPool(address)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            if is_later:
                await pool.exchange(Request(b"GET", b"/first", []))
            request = Request(method, b"/", [], METHODS[method])
            response = await pool.exchange(request)
            return f"{response.status} {response.body.decode()}".strip()
    except ExchangeLost:
        return LOST
    except TimeoutError:
        return "nothing"
    finally:
        pool.close()


def status_head(status, body_name, reason=b" OK", version=b"HTTP/1.1"):
    """Return the head of a response."""
    return b"%s %s%s\r\n%s\r\n" % (version, status, reason, BODIES[body_name][0])


class StatusTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a server in trouble."""

    async def asyncSetUp(self):
        self.server = TroubledServer()
        self.address = await self.server.open()
        self.addAsyncCleanup(self.server.close)

    async def observe(self, *args, is_later=False, method=b"GET", **kwargs):
        """Return what the caller gets."""
        return await observe(
            self.server,
            self.address,
            *args,
            is_later=is_later,
            method=method,
            **kwargs,
        )

    async def until_closed(self):
        """Wait until the server has noticed that the client closed a connection."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.server.closed_count:  # noqa: ASYNC110
                await asyncio.sleep(0.002)


class StatusTests(StatusTestCase):
    """Guards against statuses that reach the caller or let it wait for nothing."""

    @params(*NO_RESPONSES)
    async def test_status_is_no_response(self, status):
        found = {}
        for case in CASES:
            body_name, is_later, method, reason = case
            self.server.closed_count = 0
            head = status_head(status, body_name, reason)
            body = BODIES[body_name][1]
            found[case] = await self.observe(
                head, body, is_later=is_later, method=method
            )
            if found[case] == LOST:
                await self.until_closed()
        self.assertEqual(found, dict.fromkeys(CASES, LOST), status)

    @params(*itertools.product(FINAL, METHODS, (False, True)))
    async def test_final_status_is_a_response(self, status, method, is_later):
        for body_name in ("length", "chunked", "until the end"):
            head, body = status_head(status, body_name), BODIES[body_name][1]
            found = await self.observe(
                head, body, is_later=is_later, method=method, rest=b""
            )
            expected = f"{status.decode()} ok"[: 3 if method == b"HEAD" else None]
            self.assertEqual(found, expected, body_name)

    @params(*itertools.product(INTERIM, (b"GET", b"POST"), (False, True), REASONS))
    async def test_interim_status_is_skipped(self, status, method, is_later, reason):
        for body_name in ("length", "none"):
            head = status_head(status, body_name, reason)
            found = await self.observe(head, b"", is_later=is_later, method=method)
            self.assertEqual(found, "200 rest")

    @params(b"600", b"199", b"101")
    async def test_status_without_a_complete_head_is_no_response(self, status):
        for end in (b"", b"\r\n", b"\r\nA: b\r\n", b" OK", b" OK\r\n"):
            found = await self.observe(b"HTTP/1.1 " + status + end, b"", rest=b"")
            self.assertEqual(found, LOST, end)
            await self.until_closed()
            self.server.closed_count = 0

    @params(*INTERIM)
    async def test_status_after_an_interim_response_is_no_response(self, interim):
        for status in (b"000", b"199", b"600", b"101"):
            head = status_head(interim, "none") + status_head(status, "length")
            self.assertEqual(await self.observe(head, b"ok"), LOST, status)


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
LENGTH, CODING = b"Content-Length: %d\r\n", b"Transfer-Encoding: %s\r\n"


class FramingTests(StatusTestCase):
    """Guards against other bytes of a server in trouble that are taken for a response.

    A body without a proof of its end may be cut or belong to another response.
    """

    @params(
        ("HTTP/0.9", b"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok", LOST),
        ("HTTP/1.0", b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "200 ok"),
        ("HTTP/1.2", b"HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", LOST),
        ("HTTP/2.0", b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", LOST),
        ("HTTP/2", b"HTTP/2 200 OK\r\nContent-Length: 2\r\n\r\nok", LOST),
        ("RTSP", b"RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", LOST),
        ("ICE", b"ICE/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", LOST),
        ("two lengths", OK + LENGTH % 2 + LENGTH % 3 + b"\r\nok", LOST),
        ("equal lengths", OK + LENGTH % 2 + LENGTH % 2 + b"\r\nok", LOST),
        ("list of lengths", OK + b"Content-Length: 2, 3\r\n\r\nok", LOST),
        ("length below 0", OK + LENGTH % -2 + b"\r\nok", LOST),
        ("coding, length", OK + CODING % b"chunked" + LENGTH % 2 + b"\r\nok", LOST),
        ("length, coding", OK + LENGTH % 2 + CODING % b"chunked" + b"\r\nok", LOST),
        ("length, gzip", OK + LENGTH % 2 + CODING % b"gzip" + b"\r\nok", LOST),
        ("gzip", OK + CODING % b"gzip" + b"\r\nok", LOST),
        ("gzip, chunked", OK + CODING % b"gzip, chunked" + b"\r\n" + CHUNKS, LOST),
        ("chunked, gzip", OK + CODING % b"chunked, gzip" + b"\r\n" + CHUNKS, LOST),
        ("chunked twice", OK + CODING % b"chunked" * 2 + b"\r\n" + CHUNKS, LOST),
        ("Chunked", OK + CODING % b"Chunked " + b"\r\n" + CHUNKS, "200 ok"),
        ("short body", OK + LENGTH % 9 + b"\r\nok", LOST),
        ("short chunk", OK + CODING % b"chunked" + b"\r\n9\r\nok", LOST),
        ("no last chunk", OK + CODING % b"chunked" + b"\r\n2\r\nok\r\n", LOST),
        ("upgrade", OK + b"Upgrade: h2c\r\n" + LENGTH % 2 + b"\r\nok", "200 ok"),
        (
            "upgrade of the connection",
            OK + b"Connection: Upgrade\r\nUpgrade: h2c\r\n" + LENGTH % 2 + b"\r\nok",
            "200 ok",
        ),
        (
            "upgrade until the end",
            OK + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\nok",
            "200 ok",
        ),
        ("bytes beyond the length", OK + LENGTH % 1 + b"\r\nok", "200 o"),
        ("204 with a body", OK.replace(b"200", b"204") + b"\r\nok", "204"),
    )
    async def test_caller_gets(self, name, response, expected):
        for is_later in (False, True):
            found = await self.observe(response, b"", is_later=is_later, rest=b"")
            self.assertEqual(found, expected, name)


async def print_table() -> None:
    """Print what the caller gets for each status, with the number of cases."""
    server = TroubledServer()
    address = await server.open()
    statuses = (*NO_RESPONSES, *INTERIM, *FINAL)
    for status, body_name in itertools.product(statuses, BODIES):
        found = defaultdict(Counter)
        for case_body, is_later, method, reason in CASES:
            if case_body != body_name:
                continue
            server.closed_count = 0
            head = status_head(status, body_name, reason)
            got = await observe(
                server,
                address,
                head,
                BODIES[body_name][1],
                is_later=is_later,
                method=method,
            )
            await asyncio.sleep(0.01)
            kept = "" if server.closed_count else ", not closed"
            found[got + kept][f"{method.decode()}{' later' * is_later}"] += 1
        for got, cases in found.items():
            print(f"{status.decode():5}{body_name:14}{got}: {dict(cases)}")
    await server.close()


if __name__ == "__main__":
    asyncio.run(print_table())
