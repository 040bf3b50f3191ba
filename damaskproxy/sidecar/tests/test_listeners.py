"""Start of a node while addresses of its listeners are not free."""

import asyncio
import contextlib
import errno
import os
import signal
import socket
import time
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.model import Address
from damaskproxy.sidecar.listening import ListenerError, ListenerSockets
from damaskproxy.sidecar.tests.node_process import (
    HOST,
    LISTENERS,
    NodeProcessTestCase,
    take_port,
)
from demo.processes import free_ports

ADDRESS_TAKEN, OPENED_LATE = 12013, 12014
READY, STOPPING, RELOADED = 12002, 12003, 12005


def can_connect(address):
    """Tell whether a listener accepts a connection."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


class TakenPortTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a process that ends because a port is taken for a while."""

    async def start_with_taken_ports(self, *names, is_listening=True):
        """Start a node while sockets hold the ports of some of its listeners."""
        node = self.make_node()
        holders = [
            take_port(node.settings["listeners"][name], is_listening=is_listening)
            for name in names
        ]
        for holder in holders:
            self.addCleanup(holder.close)
        await node.start()
        await node.until_event(ADDRESS_TAKEN, len(names))
        return node, holders

    @params(
        *((name, True) for name in LISTENERS),
        ("caller", False),
        ("peer", False),
        ("readiness", False),
    )
    async def test_node_becomes_ready_once_the_port_is_free(self, name, is_listening):
        node, (holder,) = await self.start_with_taken_ports(
            name, is_listening=is_listening
        )
        (event,) = node.events(ADDRESS_TAKEN)
        self.assertEqual(event["listener"], name)
        self.assertEqual(event["address"], node.settings["listeners"][name])
        self.assertIn("in use", event["error"])
        # Several attempts, which are logged once.
        await asyncio.sleep(0.5)
        self.assertNotEqual(await node.ready_status(), 200)
        self.assertEqual(len(node.events(ADDRESS_TAKEN)), 1)
        holder.close()
        await node.until_ready()
        self.assertEqual([e["listener"] for e in node.events(OPENED_LATE)], [name])

    async def test_port_of_an_outgoing_connection_is_waited_for(self):
        node = self.make_node()
        host, _, port = node.settings["listeners"]["caller"].rpartition(":")
        with socket.create_server((HOST, 0)) as server:
            outgoing = socket.socket()
            self.addCleanup(outgoing.close)
            outgoing.bind((host, int(port)))
            outgoing.connect(server.getsockname())
            await node.start()
            await node.until_event(ADDRESS_TAKEN)
            # The end that closes last leaves the port free at once.
            accepted, _ = server.accept()
            accepted.close()
            outgoing.close()
            await node.until_ready()

    async def test_only_health_check_and_metrics_answer_before_all_are_open(self):
        node, (holder,) = await self.start_with_taken_ports("control")
        self.assertEqual(await node.ready_status(), 503)
        listeners = node.settings["listeners"]
        self.assertTrue(can_connect(listeners["metrics"]))
        self.assertFalse(can_connect(listeners["caller"]))
        self.assertFalse(can_connect(listeners["peer"]))
        # Nobody else gets a port that was free.
        with self.assertRaises(OSError):
            take_port(listeners["caller"], is_listening=True)
        holder.close()
        await node.until_ready()
        self.assertTrue(can_connect(listeners["caller"]))

    async def test_node_that_waits_ends_at_once_at_sigterm(self):
        node, _ = await self.start_with_taken_ports("caller", "peer")
        node.send(signal.SIGTERM)
        self.assertEqual(await node.exit_status(), 0)
        self.assertEqual(node.events(STOPPING), [])

    async def test_signals_until_the_end_do_not_change_the_exit_status(self):
        node, _ = await self.start_with_taken_ports("caller")
        end_s = time.monotonic() + 10
        while node.process.returncode is None and time.monotonic() < end_s:
            with contextlib.suppress(ProcessLookupError):
                os.kill(node.process.pid, signal.SIGTERM)
                os.kill(node.process.pid, signal.SIGHUP)
            await asyncio.sleep(0.003)
        self.assertEqual(await node.exit_status(), 0)

    async def test_node_that_waits_takes_new_addresses_at_sighup(self):
        node, _ = await self.start_with_taken_ports("caller", "readiness")
        for name, port in zip(("caller", "readiness"), free_ports(2)):
            node.settings["listeners"][name] = f"{HOST}:{port}"
        node.write_settings()
        node.send(signal.SIGHUP)
        await node.until_ready()
        self.assertTrue(can_connect(node.settings["listeners"]["caller"]))

    async def test_node_that_waits_keeps_its_settings_when_the_new_are_invalid(self):
        node, (holder,) = await self.start_with_taken_ports("caller")
        node.path.write_text("{", encoding="utf-8")
        node.send(signal.SIGHUP)
        await node.until_event(12006)
        holder.close()
        await node.until_ready()

    async def test_restart_with_connections_in_time_wait_opens_at_once(self):
        node = self.make_node()
        await node.start()
        await node.until_ready()
        clients = []
        for name in LISTENERS:
            host, _, port = node.settings["listeners"][name].rpartition(":")
            clients += [
                socket.create_connection((host, int(port)), timeout=5) for _ in range(3)
            ]
        await asyncio.sleep(0.1)
        await node.kill()
        for client in clients:
            client.close()
        node.log_path.unlink()
        start_s = time.monotonic()
        await node.start()
        await node.until_ready()
        self.assertLess(time.monotonic() - start_s, 25)
        self.assertEqual(node.events(ADDRESS_TAKEN), [])


class PermanentErrorTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a node that waits without end, or ends without a clear message."""

    async def test_address_of_no_interface_is_waited_for_and_logged(self):
        node = self.make_node()
        node.settings["listeners"]["peer"] = "192.0.2.1:7620"
        node.write_settings()
        await node.start()
        await node.until_event(ADDRESS_TAKEN)
        (event,) = node.events(ADDRESS_TAKEN)
        self.assertEqual(event["address"], "192.0.2.1:7620")
        self.assertIn("assign requested address", event["error"])

    async def test_missing_permission_ends_with_a_message_that_names_the_listener(self):
        sockets = ListenerSockets({"caller": Address(HOST, 80)})
        refused = PermissionError(errno.EACCES, "Permission denied")
        with (
            mock.patch("socket.socket.bind", side_effect=refused),
            self.assertRaisesRegex(ListenerError, r"caller: 127\.0\.0\.1:80: .*denied"),
        ):
            await sockets.open([], lambda name, sock: None)

    async def test_port_out_of_range_ends_with_a_message_that_names_the_field(self):
        node = self.make_node()
        node.settings["listeners"]["peer"] = f"{HOST}:70000"
        node.write_settings()
        await node.start()
        self.assertEqual(await node.exit_status(), 2)
        self.assertIn("$.listeners.peer", node.errors())
        self.assertNotIn("Traceback", node.errors())
