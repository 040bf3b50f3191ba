"""The clients meet the contract and distinguish failed from unknown commits."""

import asyncio
import contextlib
import itertools
import unittest

import msgspec
from aiohttp import web
from nose2.tools import params

from damaskproxy.standins import Lose, start_objects, start_table
from damaskproxy.standins.serving import start_site
from damaskproxy.store import (
    ObjectStoreError,
    PlatformSettings,
    TableRejected,
    TableUnavailable,
    TableUnknown,
    open_objects,
    open_table,
)
from damaskproxy.store.tests.contract import ObjectStoreContract, TableContract

UNUSED_URL = "http://127.0.0.1:9"


def settings(url, **changes):
    return PlatformSettings(table_url=url, objects_url=url, **changes)


def shorten_timeout(client, slow):
    """Shorten the timeout of a client whose service is slow on purpose."""
    if slow:
        client._exchange._timeout_s = 0.05


class StandInTable(unittest.IsolatedAsyncioTestCase):
    async def open_table(self, **changes):
        self.running = await start_table()
        self.addAsyncCleanup(self.running.close)
        table = open_table(settings(self.running.url, **changes))
        self.addAsyncCleanup(table.close)
        return table


class TableContractTests(TableContract, StandInTable):
    """The client and the stand-in together meet the contract."""


class ObjectStoreContractTests(ObjectStoreContract, unittest.IsolatedAsyncioTestCase):
    """The client and the stand-in together meet the contract."""

    async def open_objects(self):
        self.running = await start_objects()
        self.addAsyncCleanup(self.running.close)
        objects = open_objects(settings(self.running.url))
        self.addAsyncCleanup(objects.close)
        return objects

    @params(
        ("down", {"down": True}, ("get", "put"), b"old"),
        ("slow", {"delay_ms": 600_000}, ("get", "put"), b"old"),
        ("put lost before", {"lose": Lose.BEFORE}, ("put",), b"old"),
        ("put lost after", {"lose": Lose.AFTER}, ("put",), b"new"),
    )
    async def test_faults(self, _name, faults, failing, left):
        await self.objects.put("a", b"old")
        for name, value in faults.items():
            setattr(self.running.faults, name, value)
        shorten_timeout(self.objects, "delay_ms" in faults)
        objects = self.objects
        calls = {
            "get": lambda: objects.get("a"),
            "put": lambda: objects.put("a", b"new"),
        }
        for name in failing:
            with self.assertRaises(ObjectStoreError):
                await calls[name]()
        self.running.faults.clear()
        self.assertEqual(await self.objects.get("a"), left)


class TableFaultTests(StandInTable):
    """Guards against reporting an applied commit as not applied."""

    @params(
        ("down", {"down": True}, TableUnavailable, TableUnavailable, False),
        ("slow", {"delay_ms": 60}, TableUnknown, TableUnavailable, True),
        ("lost before", {"lose": Lose.BEFORE}, TableUnknown, None, False),
        ("lost after", {"lose": Lose.AFTER}, TableUnknown, None, True),
    )
    async def test_faults(self, _name, faults, commit_error, read_error, applied):
        table = await self.open_table()
        # With an open connection the commit is sent before the timeout.
        await table.read(["a"])
        for name, value in faults.items():
            setattr(self.running.faults, name, value)
        shorten_timeout(table, "delay_ms" in faults)
        with self.assertRaises(commit_error):
            await table.commit({"a": 0}, {"a": b"1"})
        if read_error:
            with self.assertRaises(read_error):
                await table.read(["a"])
        self.running.faults.clear()
        for _ in range(1000):
            # The delayed commit is applied after the timeout of the client.
            if not applied or self.running.rows.rows:
                break
            await asyncio.sleep(0.002)
        self.assertEqual(list(self.running.rows.rows), ["a"] * applied)

    async def test_refused_connection(self):
        table = await self.open_table()
        await self.running.close()
        for operation in (table.commit({}, {"a": b"1"}), table.read(["a"])):
            with self.assertRaises(TableUnavailable):
                await operation

    @params(
        (200, b"not json", TableUnknown, TableUnavailable),
        (409, b"{}", TableUnknown, TableRejected),
        (502, b"bad gateway", TableUnknown, TableUnavailable),
        (503, b"{}", TableUnknown, TableUnavailable),
        (503, b'{"error": "x", "applied": false}', TableUnavailable, TableUnavailable),
        (413, b'{"error": "x", "applied": false}', TableRejected, TableRejected),
        (404, b"not found", TableUnknown, TableRejected),
        (307, b"", TableUnknown, TableRejected),
    )
    async def test_unexpected_responses(self, status, body, commit_error, read_error):
        async def answer(_request):
            return web.Response(status=status, body=body, headers={"Location": "/x"})

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        runner, address = await start_site(app, "127.0.0.1", 0)
        self.addAsyncCleanup(runner.cleanup)
        table = open_table(settings(f"http://{address}"))
        self.addAsyncCleanup(table.close)
        with self.assertRaises(commit_error):
            await table.commit({}, {"a": b"1"})
        with self.assertRaises(read_error):
            await table.read(["a"])

    @params(
        *itertools.product(
            ("000", "001", "099", "101", "600", "999", "20", "2x0", "2000"),
            ("Content-Length: 32\r\n", ""),
        ),
        ("104", ""),
        ("199", ""),
    )
    async def test_status_that_is_no_response(self, status, framing):
        """A commit is unknown, whatever the body claims.

        The client library waits for a response after an interim one.
        """
        body = b'{"error": "x", "applied": false}'
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 {status} OK\r\n{framing}\r\n".encode()
            writer.write(head + (b"" if status.startswith("1") else body))
            with contextlib.suppress(ConnectionError):
                while await reader.read(1024):
                    pass
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        table = open_table(settings(f"http://127.0.0.1:{port}", timeout_ms=500))
        self.addAsyncCleanup(table.close)
        for operation, error in (
            (table.commit({}, {"a": b"1"}), TableUnknown),
            (table.read(["a"]), TableUnavailable),
        ):
            closed.clear()
            with self.assertRaises(error):
                await operation
            async with asyncio.timeout(1):
                await closed.wait()

    async def test_commit_that_exceeds_the_limit_is_not_sent(self):
        """A commit that waits for other requests until its deadline is never sent."""
        table = await self.open_table(timeout_ms=10, max_concurrent=1)
        await table._exchange._semaphore.acquire()
        with self.assertRaises(TableUnavailable):
            await table.commit({}, {"a": b"1"})
        self.assertEqual(self.running.rows.rows, {})


class SettingsTests(unittest.TestCase):
    """Guards against settings that fail only when the first request is sent."""

    @params(
        {"table_url": "127.0.0.1:7101"},
        {"objects_url": "http://"},
        {"timeout_ms": 0},
        {"max_concurrent": 0},
        {"retries": 3},
    )
    def test_invalid(self, changes):
        fields = {"table_url": UNUSED_URL, "objects_url": UNUSED_URL} | changes
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert(fields, PlatformSettings)
