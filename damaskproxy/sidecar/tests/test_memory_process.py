"""Peak memory of node processes whose clients or backend servers read slowly."""

import asyncio
import json
import sys
import unittest
from types import SimpleNamespace

from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.platform.standins import StampedBackend
from damaskproxy.sidecar.settings import load_settings, to_address
from damaskproxy.sidecar.tests.mesh import MeshTestCase

MB = 1 << 20
MACHINE_MB = 200
"""Memory of the smallest machines."""
HEAD = b"%s %s HTTP/1.1\r\nHost: shop\r\nX-Damaskproxy-Request-Id: %d\r\n"


class UnreadingBackend(StampedBackend):
    """Backend server that accepts connections and reads nothing from them."""

    async def open(self, port=0):
        self.writers = []
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    async def close(self):
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        writer.transport.pause_reading()
        self.writers.append(writer)


class MemoryOfProcessesTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a process that exceeds the memory of its machine."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clients = []

    async def asyncTearDown(self):
        for writer in self.clients:
            if not writer.transport.is_closing():
                writer.transport.abort()
        await super().asyncTearDown()

    async def restart(self, member, *, report=True):
        """Start the process of a node."""
        settings = load_settings(str(member.path))
        member.sidecar = SimpleNamespace(settings=settings)
        member.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "damaskproxy.sidecar",
            str(member.path),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(20):
            while not await self.is_ready(member):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await member.report()

    async def kill(self, member):
        """End the process of a node."""
        member.process.kill()
        await member.process.wait()

    async def is_ready(self, member):
        try:
            return await member.ready_status() == 200
        except HttpError:
            return False

    async def start_two(self):
        """Start the node of the clients and the node that they call."""
        settings = {"memory_limit_mb": MACHINE_MB, "has_metrics": True}
        one = await self.start("n1", service="stores", **settings)
        two = await self.start("n2", **settings)
        async with asyncio.timeout(20):
            while (await one.call(b"/read/1")).status != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return one, two

    async def peak_mb(self, member):
        """Return the largest resident size that a process has had."""
        address = to_address(member.sidecar.settings.listeners.metrics)
        pool = ConnectionPool(address)
        try:
            status = await pool.exchange(Request(b"GET", b"/status", [(b"Host", b"m")]))
        finally:
            pool.close()
        return json.loads(status.body)["peak_memory_bytes"] / MB

    async def send(self, member, method, path, number, body=None):
        """Send a request from a new client that does not read."""
        address = to_address(member.sidecar.settings.listeners.caller)
        _, writer = await asyncio.open_connection(address.host, address.port)
        self.clients.append(writer)
        writer.transport.pause_reading()
        writer.write(HEAD % (method, path, number))
        if body is not None:
            writer.write(b"Content-Length: %d\r\n" % len(body))
        writer.write(b"\r\n")
        writer.write(body or b"")

    async def test_clients_that_do_not_read_do_not_exceed_the_memory(self):
        one, two = await self.start_two()
        two.backend.answer_bytes[b"/read/large"] = 12 * MB
        for number in range(25):
            await self.send(one, b"GET", b"/read/large", number)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        self.assertLess(await self.peak_mb(one), 0.8 * MACHINE_MB)
        self.assertLess(await self.peak_mb(two), 0.8 * MACHINE_MB)
        answer = await one.call(b"/write/1", method=b"POST")
        self.assertEqual(answer.status, 200)

    async def test_servers_that_do_not_read_do_not_exceed_the_memory(self):
        one, two = await self.start_two()
        backend = UnreadingBackend("i-slow", "orders")
        self.addAsyncCleanup(backend.close)
        settings = json.loads(two.path.read_text(encoding="utf-8"))
        settings["backend_address"] = await backend.open()
        two.path.write_text(json.dumps(settings), encoding="utf-8")
        await self.kill(two)
        two.backend.instance_id = "i-slow"
        two.born_ms += 1000
        await self.restart(two)
        origins = [one]
        for name in ("n3", "n4", "n5"):
            origins.append(
                await self.start(name, service="stores", memory_limit_mb=MACHINE_MB)
            )
        body = b"x" * 15 * MB
        for number in range(12):
            origin = origins[number % len(origins)]
            await self.send(origin, b"POST", b"/write/1", number, body)
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        self.assertTrue(backend.writers)
        self.assertLess(await self.peak_mb(one), 0.8 * MACHINE_MB)
        self.assertLess(await self.peak_mb(two), 0.8 * MACHINE_MB)
