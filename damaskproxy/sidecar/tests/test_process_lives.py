"""Conditions that must neither end the process of a node nor stop a part of it."""

import asyncio
import os
import resource
import signal
import socket
import unittest
from unittest import mock

import uvloop
from nose2.tools import params

from damaskproxy.http1 import ConnectionPool, HttpServer, Request, Response
from damaskproxy.http1.server import ServerConnection
from damaskproxy.model import Address
from damaskproxy.sidecar import lifecycle
from damaskproxy.sidecar.tests.node_process import (
    HOST,
    LISTENERS,
    NodeProcessTestCase,
)

STREAMS = {"stdout": 1, "stderr": 2}
FREE_DESCRIPTORS = 12
"""Fewer than the connections that any listener accepts."""


def full_pipe():
    """Return the ends of a pipe that takes no more bytes."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, bytes(4096))
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer


def status_field(pid, name):
    """Return a field of the status of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(line.split()[1] for line in status if line.startswith(name))


def cpu_s(pid):
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class OutputTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a process that ends or blocks because nobody reads its log."""

    @params(*STREAMS)
    async def test_node_starts_without_the_stream(self, name):
        node = self.make_node()
        await node.start(preexec_fn=lambda: os.close(STREAMS[name]))
        await node.until_ready()

    @params(*STREAMS)
    async def test_node_runs_after_the_reader_has_gone(self, name):
        node = self.make_node()
        reader, writer = os.pipe()
        os.close(reader)
        await node.start(**{name: writer})
        os.close(writer)
        await node.until_ready()

    @params(*STREAMS)
    async def test_node_runs_while_the_reader_reads_nothing(self, name):
        node = self.make_node()
        reader, writer = full_pipe()
        self.addCleanup(os.close, reader)
        await node.start(**{name: writer})
        os.close(writer)
        await node.until_ready()
        # The reload is logged.
        node.send(signal.SIGHUP)
        await asyncio.sleep(0.1)
        self.assertEqual(await node.ready_status(), 200)

    @params("gone", "reads nothing")
    async def test_incomplete_settings_are_waited_for_when_the_reader(self, state):
        node = self.make_node()
        text = node.path.read_bytes()
        node.path.write_bytes(b"")
        if state == "gone":
            reader, writer = os.pipe()
            os.close(reader)
        else:
            reader, writer = full_pipe()
            self.addCleanup(os.close, reader)
        await node.start(stderr=writer)
        os.close(writer)
        await asyncio.sleep(1.0)
        node.path.write_bytes(text)
        await node.until_ready()


class ResourceTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a listener that is lost when descriptors are used up."""

    @params(*LISTENERS)
    async def test_listener_answers_after_descriptors_were_used_up(self, name):
        node = self.make_node()
        await node.start()
        await node.until_ready()
        # The limit is lowered after the start, since a listener has fewer connections
        # than the process may have descriptors when it starts.
        pid = node.process.pid
        limit = len(os.listdir(f"/proc/{pid}/fd")) + FREE_DESCRIPTORS
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))
        host, _, port = node.settings["listeners"][name].rpartition(":")
        address = (host, int(port))
        clients = [socket.create_connection(address, timeout=10) for _ in range(80)]
        folder = f"/proc/{node.process.pid}/fd"
        await node.until(lambda: len(os.listdir(folder)) >= limit - 3)
        used_s = cpu_s(node.process.pid)
        await asyncio.sleep(0.5)
        self.assertLess(cpu_s(node.process.pid) - used_s, 0.25)
        for client in clients:
            client.close()
        await node.until(lambda: len(os.listdir(folder)) < limit - 10)
        with socket.create_connection(address, timeout=10) as client:
            self.assertEqual(client.send(b"x"), 1)
        await node.until_ready()

    async def test_node_starts_no_threads(self):
        node = self.make_node()
        await node.start()
        await node.until_ready()
        self.assertEqual(status_field(node.process.pid, "Threads"), "1")


class SignalTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a process that is ended by a signal that does not ask for it."""

    @params(signal.SIGPIPE, signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP)
    async def test_signal_does_not_end_the_process(self, number):
        node = self.make_node()
        await node.start()
        await node.until_ready()
        for _ in range(3):
            node.send(number)
            await asyncio.sleep(0.05)
        self.assertEqual(await node.ready_status(), 200)
        self.assertIsNone(node.process.returncode)


class TaskTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a background task that ends for good."""

    @params(ValueError, RecursionError, MemoryError, asyncio.CancelledError)
    async def test_task_that_raises_is_started_again(self, error):
        runs = 0

        async def job():
            nonlocal runs
            runs += 1
            if runs == 1:
                raise error

        with self.assertLogs("damaskproxy.sidecar.lifecycle", "ERROR") as logs:
            await lifecycle._run_with_restart(job)
        self.assertEqual(runs, 2)
        self.assertEqual(logs.records[0].event, 12007)

    async def test_task_that_is_cancelled_ends(self):
        task = asyncio.create_task(
            lifecycle._run_with_restart(lambda: asyncio.sleep(60))
        )
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class CallbackTests(unittest.TestCase):
    """Guards against an event loop that ends with an exception in a callback."""

    @params(ValueError, RecursionError, MemoryError, asyncio.CancelledError)
    def test_listener_answers_after_callbacks_raised(self, error):
        def fail(*_):
            raise error

        async def answer(_):
            return Response(204)

        async def main():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            server = HttpServer("caller", answer)
            await server.open(HOST, 0)
            address = Address(HOST, server.port)
            for name in ("connection_made", "data_received", "connection_lost"):
                with (
                    mock.patch.object(ServerConnection, name, fail),
                    socket.create_connection((HOST, server.port)) as client,
                ):
                    client.send(b"GET / HTTP/1.1\r\n\r\n")
                    await asyncio.sleep(0.05)
                    client.close()
                    await asyncio.sleep(0.05)
            loop.call_soon(fail)
            loop.call_later(0.01, fail)
            await asyncio.sleep(0.05)
            pool = ConnectionPool(address)
            response = await pool.exchange(Request(b"GET", b"/", [(b"Host", b"a")]))
            pool.close()
            await server.close()
            return response.status

        self.assertEqual(uvloop.run(main()), 204)
