"""Streams between nodes: reordered, late, lost and cancelled responses."""

import asyncio
import unittest

from aiohttp import web
from nose2.tools import params

from damaskproxy.common import Outcome
from damaskproxy.model import Address
from damaskproxy.routing import (
    PeerError,
    PeerServer,
    PeerStreams,
    RoutingSettings,
    StreamLostError,
)
from damaskproxy.routing.tests.builders import make_call, make_member
from damaskproxy.wire import Answer, Hello


class FakeNode:
    """Peer whose responses the test controls."""

    def __init__(self):
        self.received = {}
        self.cancelled = []
        self.call_received = asyncio.Event()

    async def serve(self, call):
        release = asyncio.get_running_loop().create_future()
        self.received[call.attempt_id] = release
        self.call_received.set()
        return await release

    def answer(self, attempt_id, body, status=200):
        """Respond to the call `attempt_id` with `body`."""
        self.received[attempt_id].set_result(Answer(attempt_id, status, [], body))


class PeerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against responses that are delivered to the wrong call."""

    async def asyncSetUp(self):
        self.node = FakeNode()
        self.identity = Hello("peer", 7)
        self.server = PeerServer(
            lambda: self.identity,
            self.node.serve,
            self.node.cancelled.append,
            RoutingSettings(),
        )
        self.runner = web.ServerRunner(web.Server(self.server.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        address = Address(*self.runner.addresses[0][:2])
        self.member = make_member("peer", incarnation=7, peer=address)
        self.late_answers = []
        self.streams = PeerStreams(
            Hello("me", 1),
            RoutingSettings(),
            lambda: 0.0,
            lambda: self.late_answers.append(1),
        )

    async def asyncTearDown(self):
        await self.streams.close()
        await self.server.close()
        await self.runner.cleanup()

    async def start(self, attempt_id):
        """Start a call and wait until the peer has received it."""
        self.node.call_received.clear()
        call = make_call(attempt_id=attempt_id)
        task = asyncio.create_task(self.streams.call(self.member, call))
        await self.node.call_received.wait()
        return task

    async def test_responses_out_of_order(self):
        first = await self.start("1")
        second = await self.start("2")
        self.node.answer("2", b"two")
        self.assertEqual((await second).body, b"two")
        self.node.answer("1", b"one")
        self.assertEqual((await first).body, b"one")
        self.assertEqual(len(self.streams), 1)

    @params(-1, 0, 99, 101, 199, 600, 999)
    async def test_status_that_is_no_response_is_an_unknown_outcome(self, status):
        first = await self.start("1")
        second = await self.start("2")
        self.node.answer("1", b"one", status)
        self.assertEqual((await first).outcome, Outcome.UNKNOWN)
        self.node.answer("2", b"two")
        self.assertEqual((await second).body, b"two")

    async def test_late_response_is_dropped(self):
        """The response to a cancelled call must not be delivered to the next one."""
        first = await self.start("1")
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        second = await self.start("2")
        self.node.answer("1", b"one")
        self.node.answer("2", b"two")
        self.assertEqual((await second).body, b"two")
        self.assertEqual(self.late_answers, [1])
        self.assertEqual(self.node.cancelled, ["1"])

    async def test_stream_breaks(self):
        """A call that was sent before the stream broke may have started."""
        task = await self.start("1")
        await self.server.close()
        with self.assertRaises(StreamLostError):
            await task

    async def test_reconnects_after_a_break(self):
        task = await self.start("1")
        await self.server.close()
        await asyncio.gather(task, return_exceptions=True)
        second = await self.start("2")
        self.node.answer("2", b"two")
        self.assertEqual((await second).body, b"two")

    async def test_other_incarnation(self):
        """A later incarnation at the same address must not receive the call."""
        self.identity = Hello("peer", 8)
        with self.assertRaises(PeerError) as caught:
            await self.streams.call(self.member, make_call())
        self.assertNotIsInstance(caught.exception, StreamLostError)
        self.assertEqual(self.node.received, {})

    async def test_incremented_incarnation(self):
        """A node that was wrongly declared dead has a higher incarnation afterwards."""
        self.member = make_member("peer", incarnation=9, peer=self.member.peer)
        task = await self.start("1")
        self.node.answer("1", b"one")
        self.assertEqual((await task).body, b"one")

    async def test_other_node(self):
        """Another node at the same address must not receive the call."""
        self.identity = Hello("other", 7)
        with self.assertRaises(PeerError):
            await self.streams.call(self.member, make_call())
        self.assertEqual(self.node.received, {})

    async def test_connection_refused(self):
        await self.runner.cleanup()
        with self.assertRaises(PeerError) as caught:
            await self.streams.call(self.member, make_call())
        self.assertNotIsInstance(caught.exception, StreamLostError)

    async def test_dead_member(self):
        """Calls to a member that is declared dead must fail before their deadline."""
        task = await self.start("1")
        await self.streams.drop("peer")
        with self.assertRaises(StreamLostError):
            await task

    async def test_restarted_member(self):
        """Calls to an earlier incarnation must fail when the peer has restarted."""
        task = await self.start("1")
        self.identity = Hello("peer", 8)
        self.member = make_member("peer", incarnation=8, peer=self.member.peer)
        second = await self.start("2")
        self.node.answer("2", b"two")
        self.assertEqual((await second).body, b"two")
        with self.assertRaises(StreamLostError):
            await task

    async def test_streams_are_bounded(self):
        """An entry node must not hold a stream to every node of a large mesh."""
        settings = RoutingSettings(max_peer_streams=2)
        self.streams = PeerStreams(Hello("me", 1), settings, lambda: 0.0)
        busy = await self.start_at("p1", "1")
        for name in ("p2", "p3", "p4"):
            done = await self.start_at(name, name)
            self.node.answer(name, b"")
            await done
        self.assertEqual(len(self.streams), 2)
        self.node.answer("1", b"one")
        self.assertEqual((await busy).body, b"one")

    async def start_at(self, node_id, attempt_id):
        """Start a call to a peer with another node id at the same address."""
        self.identity = Hello(node_id, 7)
        self.member = make_member(node_id, incarnation=7, peer=self.member.peer)
        return await self.start(attempt_id)

    async def test_failure_of_the_peer(self):
        """A call must get a response after an unexpected error of the peer."""
        task = await self.start("1")
        self.node.received["1"].set_exception(RuntimeError("broken"))
        with self.assertLogs("damaskproxy.routing.peer_server", "ERROR"):
            result = await task
        self.assertEqual((result.reason, result.outcome), ("backend-error", "unknown"))

    async def test_malformed_frame_closes_the_stream(self):
        """A frame that does not match the schema must not be interpreted."""
        task = await self.start("1")
        stream = self.streams._stream(self.member)
        await stream._socket.send_bytes(b"\xc1")
        with self.assertRaises(StreamLostError):
            await task
