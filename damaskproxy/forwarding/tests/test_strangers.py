"""Connections to the peer listener that other nodes have not opened."""

import asyncio
import socket
import unittest

from nose2.tools import params

from damaskproxy.common.memory import MemoryAccount, MemoryBudget
from damaskproxy.forwarding.calls import Answer
from damaskproxy.forwarding.frame_decoder import HELLO_MAX_BYTES, FrameDecoder
from damaskproxy.forwarding.frames import (
    AnswerFrame,
    HelloFrame,
    PingFrame,
    PongFrame,
    StateFrame,
    encode_frame,
)
from damaskproxy.forwarding.large_frames import LinkMemory
from damaskproxy.forwarding.link import LinkHandlers
from damaskproxy.forwarding.links import HELLO_CHECKS_MAX, Links

KB, MB = 1 << 10, 1 << 20
WAIT_S = 20.0
HELLO = encode_frame(HelloFrame("stranger", 1, True))
STATE = encode_frame(StateFrame(b"c" * 600 * KB, []))


class StrangerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that hold memory and descriptors of a node."""

    async def asyncSetUp(self):
        budget = MemoryBudget(8 * MB)
        self.memory = LinkMemory(
            *(MemoryAccount(2 * MB, budget) for _ in range(3)),
            partial=MemoryAccount(MB, budget),
        )
        self.budget = budget
        self.links = Links(
            lambda: HelloFrame("n1", 1, True),
            LinkHandlers(self.run_call, lambda: 1, lambda *_: None),
            frozenset(),
            memory=self.memory,
            accepted_max=lambda: 4,
        )
        self.writers = []
        await self.links.serve(socket.create_server(("127.0.0.1", 0)))

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.transport.abort()
        await self.links.close()

    async def run_call(self, call):
        return Answer(200, [], b"")

    async def connect(self, data=b""):
        """Return the reader of a stranger that has sent `data`."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.links.port)
        self.writers.append(writer)
        # The node has accepted the connection once it has sent its own hello frame.
        await reader.readexactly(len(encode_frame(HelloFrame("n1", 1, True))))
        writer.write(data)
        return reader

    async def until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def until_closed(self, reader):
        async with asyncio.timeout(WAIT_S):
            try:
                while await reader.read(MB):
                    pass
            except ConnectionResetError:
                pass

    @params(
        ("another frame", encode_frame(PingFrame())),
        ("a long hello", encode_frame(HelloFrame("n" * HELLO_MAX_BYTES, 1, True))),
        ("the beginning of a long frame", STATE[:10]),
        ("HTTP", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    )
    async def test_first_frame_has_to_be_a_hello_frame(self, name, data):
        await self.until_closed(await self.connect(data))
        self.assertEqual(self.links.closures, {"invalid-frame": 1})
        self.assertEqual(self.budget.held_bytes, 0)

    @params(b"", HELLO[:-1])
    async def test_connection_without_a_hello_is_closed_after_some_checks(self, data):
        peer = await self.connect(HELLO)
        stranger = await self.connect(data)
        await self.until(
            lambda: any(k.hello_received.is_set() for k in self.links.open_links())
        )
        for _ in range(HELLO_CHECKS_MAX):
            self.links.close_idle()
            self.assertEqual(len(self.links.open_links()), 2)
        self.links.close_idle()
        await self.until_closed(stranger)
        self.assertEqual(self.links.closures, {"no-hello": 1})
        self.assertFalse(peer.at_eof())

    async def test_connection_with_the_largest_partly_read_frame_is_closed(self):
        small = await self.connect(HELLO + STATE[: 100 * KB])
        large = await self.connect(HELLO + STATE[:-1])
        await self.until_closed(large)
        self.assertEqual(self.links.closures, {"no-memory": 1})
        self.assertLessEqual(self.memory.partial.held_bytes, MB)
        self.assertGreaterEqual(self.memory.partial.held_bytes, 100 * KB)
        self.assertFalse(small.at_eof())
        for writer in self.writers:
            writer.transport.abort()
        await self.until(lambda: not self.links.open_links())
        self.assertEqual(self.memory.partial.held_bytes, 0)

    async def test_answer_that_nobody_awaits_takes_no_memory(self):
        frame = AnswerFrame(0, 1, 200, [], b"x" * MB, None)
        await self.connect(HELLO + encode_frame(frame)[:-1])
        await asyncio.sleep(0.2)
        self.assertEqual(self.memory.results.held_bytes, 0)

    async def test_oldest_connections_are_closed_for_new_ones(self):
        readers = [await self.connect(HELLO) for _ in range(4)]
        await self.connect(HELLO)
        await self.until_closed(readers[0])
        await self.until(lambda: len(self.links.open_links()) == 4)
        self.assertEqual(self.links.closures, {"connections": 1})
        self.assertFalse(any(reader.at_eof() for reader in readers[1:]))

    async def test_many_small_frames_are_all_answered_while_the_peer_reads(self):
        count = 20_000
        reader = await self.connect(HELLO + encode_frame(PingFrame()) * count)
        decoder, found = FrameDecoder(), []
        async with asyncio.timeout(WAIT_S):
            while len(found) < count:
                found += decoder.feed(await reader.read(MB))
        self.assertEqual(found, [PongFrame()] * count)
