"""Frames with large bodies, slow peers, and memory that is used up."""

import asyncio
import socket
import tracemalloc
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from damaskproxy.common.fibers import Waiter
from damaskproxy.common.memory import MemoryAccount, MemoryBudget
from damaskproxy.forwarding import (
    HelloFrame,
    LinkHandlers,
    LinkMemory,
    Links,
    frames as frames_module,
)
from damaskproxy.forwarding.calls import (
    DISCARDED_BODY,
    Answer,
    NotRun,
    NotRunReason,
    Unknown,
)
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.forwarding.frames import (
    FRAME_MAX_BYTES,
    AnswerFrame,
    PingFrame,
    RunFrame,
    StateFrame,
    encode_frame,
    encode_large_frame,
)
from damaskproxy.forwarding.large_frames import FrameError
from damaskproxy.forwarding.tests.builders import make_call, make_member

MB = 1 << 20
HEADERS = [b"A\0b", 3, (4, b"v"), (b"Name", b"\xff" * 300)]


def run_frame(size, call_id=1):
    """Return a call with a body of `size` bytes."""
    return RunFrame(
        call_id,
        70_000,
        1 << 30,
        b"orders",
        1,
        b"POST",
        b"/a?q=1",
        HEADERS,
        b"x" * size,
        b"id-1",
        b"stores",
        1,
        False,
        -5,
        True,
    )


def answer_frame(size, call_id=1):
    """Return an answer with a body of `size` bytes."""
    return AnswerFrame(call_id, 1, 200, HEADERS, b"y" * size, None)


def make_memory(calls_mb=1000, results_mb=1000, unsent_mb=1000):
    """Return accounts with these limits."""
    budget = MemoryBudget(4000 * MB)
    limits = (calls_mb, results_mb, unsent_mb)
    return LinkMemory(*(MemoryAccount(int(mb * MB), budget) for mb in limits))


def split(data, size):
    """Return the parts of `data` with `size` bytes each."""
    return [data[start : start + size] for start in range(0, len(data), size)]


class LargeFrameTests(unittest.TestCase):
    """Guards against frames that change, are copied or are held without a limit."""

    @params(
        (run_frame(200_000), 1000),
        (run_frame(200_000), 70_001),
        (run_frame(70_000), 1),
        (run_frame(65_537), 4096),
        (run_frame(65_536), 4096),
        (run_frame(20_000), 1000),
        (run_frame(20_000), 25_000),
        (answer_frame(5_000), 4_000),
        (answer_frame(200_000), 1000),
        (answer_frame(1_000_000), 262_144),
        (answer_frame(0), 10),
        (StateFrame(b"c" * 200_000, [make_member()]), 1000),
        (msgspec.structs.replace(run_frame(5), headers=[b"h" * 200_000]), 1000),
        (msgspec.structs.replace(run_frame(70_000), headers=[b"h" * 900]), 70),
    )
    def test_frame_arrives_unchanged_whatever_its_parts_are(self, frame, size):
        data = encode_frame(frame)
        memory = make_memory()
        decoder = FrameDecoder(memory)
        stream = encode_frame(PingFrame()) + data + encode_frame(PingFrame()) + data
        found = [f for part in split(stream, size) for f in decoder.feed(part)]
        self.assertEqual(found, [PingFrame(), frame, PingFrame(), frame])
        self.assertEqual(memory.calls.held_bytes + memory.results.held_bytes, 0)

    @params(run_frame(65_537), run_frame(1_000_000), answer_frame(70_000))
    def test_parts_of_a_large_frame_are_its_usual_encoding(self, frame):
        self.assertEqual(b"".join(encode_large_frame(frame)), encode_frame(frame))

    @params(run_frame, answer_frame)
    def test_large_body_is_not_copied(self, make_frame):
        data = b"".join(encode_large_frame(make_frame(32 * MB)))
        parts = split(data, 256 << 10)
        decoder = FrameDecoder()
        tracemalloc.start()
        try:
            frames = [frame for part in parts for frame in decoder.feed(part)]
            peak_bytes = tracemalloc.get_traced_memory()[1]
            encode_large_frame(frames[0])
            encoded_peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(peak_bytes, 1.2 * 32 * MB)
        self.assertLess(encoded_peak_bytes, 1.2 * 32 * MB)

    def test_parts_of_calls_on_many_connections_stay_within_the_limit(self):
        memory = make_memory(calls_mb=10)
        decoders = [FrameDecoder(memory) for _ in range(40)]
        data = b"".join(encode_large_frame(run_frame(4 * MB)))
        small = encode_frame(PingFrame())
        tracemalloc.start()
        try:
            for part in split(data[:-1], 256 << 10):
                for decoder in decoders:
                    self.assertEqual(decoder.feed(part), [])
            held_bytes = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        self.assertEqual(memory.calls.held_bytes, 8 * MB)
        self.assertLess(held_bytes, 14 * MB)
        bodies = []
        for decoder in decoders:
            frame, ping = decoder.feed(data[-1:] + small)
            self.assertEqual(ping, PingFrame())
            bodies.append(frame.body)
        self.assertEqual([len(body) for body in bodies[:2]], [4 * MB] * 2)
        self.assertTrue(all(body is DISCARDED_BODY for body in bodies[2:]))
        self.assertEqual(memory.calls.held_bytes, 0)

    def test_partly_read_frame_is_not_counted_after_its_connection_is_lost(self):
        memory = make_memory()
        long = StateFrame(b"c" * 3 * MB, [])
        for frame in (run_frame(MB), answer_frame(MB), long):
            decoder = FrameDecoder(memory)
            decoder.feed(encode_frame(frame)[: 300 << 10])
            held = memory.calls.held_bytes + memory.results.held_bytes
            self.assertGreaterEqual(held, MB)
            decoder.close()
            held = memory.calls.held_bytes + memory.results.held_bytes
            self.assertEqual(held, 0)

    @params(60 << 10, MB)
    def test_partly_read_state_counts_by_what_has_been_read(self, size):
        decoder = FrameDecoder(make_memory())
        decoder.feed(encode_frame(StateFrame(b"c" * size, []))[: size // 2])
        self.assertGreaterEqual(decoder.partial_bytes, size // 2)
        decoder.close()
        self.assertEqual(decoder.partial_bytes, 0)

    @params(
        # A body that is longer than its frame, an item of an unknown type, and a
        # frame without a body that is too long for the memory.
        (b"\x97\x02\x01\x01\xcc\xc8\x90\xc6\x00\x20\x00\x00", 200_000),
        (b"\x97\x02\x01\x01\xcc\xc8\xc1", 200_000),
        (b"\x93\x07\xc6\x00\x40\x00\x00", 4 * MB),
    )
    def test_invalid_large_frame_is_an_error(self, head, length):
        decoder = FrameDecoder(make_memory(results_mb=5))
        with self.assertRaises(FrameError):
            decoder.feed(length.to_bytes(4) + head + b"x" * 100_000)


class SlowPeerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against memory that fills because another node is slow or sends much."""

    async def asyncSetUp(self):
        self.result = Answer(200, [], b"small")
        self.waiters = None
        self.ran = []
        self.handlers = LinkHandlers(self.run_call, lambda: 1, lambda *_: None)

    async def run_call(self, call):
        self.ran.append(call)
        if call.body is DISCARDED_BODY:
            return NotRun(NotRunReason.MEMORY)
        if self.waiters is None:
            return self.result
        self.waiters.append(Waiter())
        return await self.waiters[-1]

    def make_links(self, name, memory):
        """Return the links of a node."""
        links = Links(
            lambda: HelloFrame(name, 1), self.handlers, frozenset(), memory=memory
        )
        self.addAsyncCleanup(links.close)
        return links

    async def connect(self, origin_memory=None, target_memory=None):
        """Return the links of an origin, and the member that it calls."""
        target = self.make_links("n2", target_memory)
        await target.serve(socket.create_server(("127.0.0.1", 0)))
        return self.make_links("n1", origin_memory), make_member("n2", port=target.port)

    async def listen_without_reading(self):
        """Return a member whose node accepts connections and reads nothing."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        return make_member("n2", port=listener.getsockname()[1])

    async def test_only_calls_whose_body_has_no_room_are_not_run(self):
        links, member = await self.connect(target_memory=make_memory(calls_mb=3))
        headers = [(b"Header-of-the-large-call", b"value")]
        large = make_call(body=b"x" * 4 * MB, headers=headers)
        small = make_call(body=b"x" * MB, headers=headers)
        for call, kind in ((large, NotRun), (small, Answer), (large, NotRun)):
            result = await links.run(member, call)
            self.assertIsInstance(result, kind)
        self.assertEqual([c.headers for c in self.ran], [headers] * 3)
        self.assertEqual(self.ran[1].body, small.body)

    async def test_peer_of_an_earlier_release_knows_the_reason(self):
        links, member = await self.connect(target_memory=make_memory(calls_mb=1))
        result = await links.run(member, make_call(body=b"x" * 4 * MB))
        self.assertIs(result.reason, NotRunReason.OVERLOAD)

    async def test_only_answers_that_have_no_room_are_lost(self):
        links, member = await self.connect(origin_memory=make_memory(results_mb=3))
        for size, kind in ((MB, Answer), (4 * MB, Unknown), (MB, Answer)):
            self.result = Answer(200, [(b"A", b"b")], b"x" * size)
            result = await links.run(member, make_call())
            self.assertIsInstance(result, kind)
        self.assertEqual(result, self.result)

    async def test_calls_that_a_peer_does_not_read_stay_within_the_limit(self):
        memory = make_memory(unsent_mb=40)
        links = self.make_links("n1", memory)
        member = await self.listen_without_reading()
        call = make_call(body=b"x" * 8 * MB, is_idempotent=False)
        tasks = [asyncio.create_task(links.run(member, call)) for _ in range(8)]
        await asyncio.sleep(0.2)
        self.assertLessEqual(links.unsent_bytes, 20 * MB)
        ended = [task.result() for task in tasks if task.done()]
        self.assertGreaterEqual(len(ended), 5)
        for result in ended:
            self.assertEqual(result, NotRun(NotRunReason.MEMORY))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The callers have gone; the bodies wait in the connection.
        self.assertGreaterEqual(memory.unsent.held_bytes, 8 * MB)
        await links.close()
        for link in links.open_links():
            link._transport.abort()
        await asyncio.sleep(0.02)
        self.assertEqual(memory.unsent.held_bytes, 0)

    async def test_results_that_a_peer_does_not_read_stay_within_the_limit(self):
        memory = make_memory(unsent_mb=20)
        links = self.make_links("n2", memory)
        await links.serve(socket.create_server(("127.0.0.1", 0)))
        reader, writer = await asyncio.open_connection("127.0.0.1", links.port)
        writer.transport.pause_reading()
        writer.write(encode_frame(HelloFrame("n1", 1)))
        self.waiters = []
        for call_id in range(8):
            frame = msgspec.structs.replace(
                run_frame(10, call_id), headers=[], route=b"r"
            )
            writer.write(encode_frame(frame))
        while len(self.waiters) < 8:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        for waiter in self.waiters:
            waiter.set_result(Answer(200, [], b"y" * 8 * MB))
        self.assertLessEqual(memory.unsent.held_bytes, 20 * MB)
        self.assertGreaterEqual(memory.unsent.held_bytes, 8 * MB)
        writer.transport.resume_reading()
        decoder, found = FrameDecoder(), []
        async with asyncio.timeout(10):
            while sum(type(f).__name__ != "HelloFrame" for f in found) < 8:
                found += decoder.feed(await reader.read(1 << 20))
        self.assertEqual(memory.unsent.held_bytes, 0)
        kinds = [type(frame).__name__ for frame in found]
        self.assertGreaterEqual(kinds.count("AnswerFrame"), 2)
        self.assertGreaterEqual(kinds.count("UnknownFrame"), 5)
        writer.close()

    @params("call", "answer")
    async def test_message_that_is_too_long_for_a_frame_fails_alone(self, kind):
        links, member = await self.connect()
        await links.run(member, make_call())
        with mock.patch.object(frames_module, "FRAME_MAX_BYTES", 4 * MB):
            call = make_call()
            if kind == "call":
                call = make_call(body=b"x" * 4 * MB)
            else:
                self.result = Answer(200, [], b"x" * 4 * MB)
            result = await links.run(member, call)
            self.assertIsInstance(result, NotRun if kind == "call" else Unknown)
            self.result = Answer(200, [], b"small")
            self.assertEqual(await links.run(member, make_call()), self.result)
        self.assertEqual(len(links.open_links()), 1)
        self.assertEqual(FRAME_MAX_BYTES, frames_module.FRAME_MAX_BYTES)
