"""Connections between nodes that break, refuse, cross or carry late frames."""

import asyncio
import socket
import unittest

import msgspec
from nose2.tools import params

from damaskproxy.common.fibers import Fiber, Waiter
from damaskproxy.forwarding import (
    HelloFrame,
    LinkHandlers,
    Links,
    StateFrame,
    StateRequestFrame,
)
from damaskproxy.forwarding.calls import (
    Answer,
    LoadReport,
    NotRun,
    NotRunReason,
    Unknown,
)
from damaskproxy.forwarding.frames import encode_frame
from damaskproxy.forwarding.link import PING_AFTER_S, PONG_TIMEOUT_S
from damaskproxy.forwarding.links import CONNECT_TIMEOUT_S
from damaskproxy.forwarding.tests.builders import make_call, make_member

LOAD = LoadReport(1, 2, 3, 4, 5)
RESULTS = (
    Answer(200, [(b"A", b"b"), (b"X-Stamp", b"s")], b"body", LOAD),
    Answer(500, [], b""),
    NotRun(NotRunReason.OVERLOAD, False, 250, LOAD),
    NotRun(NotRunReason.BACKEND_REJECTED, True),
    Unknown("lost", LOAD),
)


class Node:
    """One end of links, whose runs are scripted."""

    def __init__(self, name):
        self.name = name
        self.version = 1
        self.ran = []
        self.cancelled = 0
        self.waiters = []
        self.results = []
        self.told = []
        self.asked = []
        self.opened = []
        handlers = LinkHandlers(
            self.run, lambda: self.version, self.answer_state_request, self.told.append
        )
        self.incarnation = 1
        self.links = Links(
            lambda: HelloFrame(name, self.incarnation),
            handlers,
            frozenset({b"x-stamp"}),
            self.opened.append,
        )

    async def run(self, call):
        self.ran.append(call)
        if self.results:
            return self.results.pop(0)
        waiter = Waiter()
        self.waiters.append(waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def answer_state_request(self, ask):
        self.asked.append(ask)
        return StateFrame(b"configuration", [make_member()])


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Guards against results that are mixed up, lost or promised wrongly."""

    async def asyncSetUp(self):
        self.one, self.two = Node("n1"), Node("n2")
        await self.two.links.listen("127.0.0.1", 0)
        port = self.two.links.port
        self.member = make_member("n2", port=port)

    async def asyncTearDown(self):
        await self.one.links.close()
        await self.two.links.close()

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    @params(*RESULTS)
    async def test_result_arrives_unchanged(self, result):
        for _ in range(3):
            self.two.results = [msgspec.structs.replace(result)]
            found = await self.one.links.run(self.member, make_call())
            self.assertEqual(found, result)

    async def test_call_arrives_unchanged(self):
        self.two.results = [RESULTS[0]] * 3
        headers = [(b"Host", b"h"), (b"X-Stamp", b"v"), (b"Empty", b"")]
        for number in range(3):
            call = make_call(
                headers=headers, body=b"b" * number, is_repeat=bool(number)
            )
            await self.one.links.run(self.member, call)
            found = self.two.ran[-1]
            self.assertLessEqual(found.deadline_ms, call.deadline_ms)
            found.deadline_ms = call.deadline_ms
            self.assertEqual(found, call)

    async def test_results_in_another_order_reach_their_calls(self):
        tasks = [
            asyncio.create_task(
                self.one.links.run(self.member, make_call(request_id=b"%d" % number))
            )
            for number in range(5)
        ]
        await self.until(lambda: len(self.two.waiters) == 5)
        for call, waiter in reversed(list(zip(self.two.ran, self.two.waiters))):
            waiter.set_result(Answer(200, [], call.request_id))
        for number, task in enumerate(tasks):
            self.assertEqual((await task).body, b"%d" % number)

    @params("task", "fiber")
    async def test_cancelled_call_is_cancelled_at_the_target(self, kind):
        run = self.one.links.run(self.member, make_call())
        start = {"task": asyncio.create_task, "fiber": lambda c: Fiber(c, self.fail)}
        running = start[kind](run)
        await self.until(lambda: self.two.waiters)
        running.cancel()
        await self.until(lambda: self.two.cancelled == 1)
        self.two.waiters[0].set_result(RESULTS[0])
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])

    async def test_lost_connection_leaves_calls_unknown_and_ends_their_runs(self):
        tasks = [
            asyncio.create_task(self.one.links.run(self.member, make_call()))
            for _ in range(3)
        ]
        await self.until(lambda: len(self.two.waiters) == 3)
        for link in self.one.links.open_links():
            link._transport.abort()
        for task in tasks:
            self.assertIsInstance(await task, Unknown)
        await self.until(lambda: self.two.cancelled == 3)
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])

    async def test_node_that_accepts_nothing_ran_nothing(self):
        await self.two.links.close()
        result = await self.one.links.run(self.member, make_call())
        self.assertEqual(result, NotRun(NotRunReason.PEER_UNREACHABLE))

    async def test_earlier_incarnation_is_not_used(self):
        self.two.results = [RESULTS[0], RESULTS[0]]
        await self.one.links.run(self.member, make_call())
        (first,) = self.one.links.open_links()
        restarted = msgspec.structs.replace(self.member, incarnation=2)
        await self.one.links.run(restarted, make_call())
        await self.until(lambda: not first.is_open)

    @params((1, 2, Unknown), (2, 2, Answer), (3, 2, Answer))
    async def test_late_record_of_a_restart_ends_only_old_connections(
        self, peer_incarnation, record_incarnation, kind
    ):
        self.two.incarnation = peer_incarnation
        running = asyncio.ensure_future(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        self.one.links.close_outdated(
            msgspec.structs.replace(self.member, incarnation=record_incarnation)
        )
        await asyncio.sleep(0.02)
        self.two.waiters[0].set_result(RESULTS[0])
        self.assertIsInstance(await running, kind)

    async def start_calls(self):
        """Start an order and a read, and return their tasks."""
        calls = [make_call(request_id=b"%d" % n, is_idempotent=n > 0) for n in range(2)]
        tasks = [
            asyncio.ensure_future(self.one.links.run(self.member, call))
            for call in calls
        ]
        await self.until(lambda: len(self.two.waiters) == 2)
        return tasks

    async def test_calls_at_a_silent_node_end_before_their_deadline(self):
        order, read = await self.start_calls()
        # As of a machine without power: nothing is read and nothing is closed.
        (link,) = self.two.links.open_links()
        link._transport.pause_reading()
        self.two.links._server.close()
        async with asyncio.timeout(3 * PING_AFTER_S + PONG_TIMEOUT_S):
            self.assertIsInstance(await read, Unknown)
        self.assertFalse(order.done())
        late = await self.one.links.run(self.member, make_call())
        self.assertEqual(late, NotRun(NotRunReason.PEER_UNREACHABLE))
        link._transport.resume_reading()
        await self.until(lambda: self.two.cancelled == 1)
        self.two.waiters[0].set_result(RESULTS[0])
        self.assertEqual(await order, RESULTS[0])
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])

    async def test_silent_connection_to_a_live_node_is_replaced(self):
        order, read = await self.start_calls()
        (link,) = self.two.links.open_links()
        link._transport.pause_reading()
        await read
        await self.one.links.run(self.member, make_call())
        await self.until(lambda: self.one.opened == ["n2", "n2"])
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])
        link._transport.resume_reading()
        self.two.waiters[0].set_result(RESULTS[0])
        self.assertEqual(await order, RESULTS[0])

    async def test_nobody_waits_for_a_node_that_could_not_be_reached(self):
        with socket.socket() as listener, socket.socket() as filler:
            listener.bind(("127.0.0.1", 0))
            # The kernel drops the opening packets beyond the queue.
            listener.listen(0)
            filler.connect(listener.getsockname())
            hanging = make_member("n2", port=listener.getsockname()[1])
            for limit_s in (2 * CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S / 2):
                async with asyncio.timeout(limit_s):
                    result = await self.one.links.run(hanging, make_call())
                self.assertEqual(result, NotRun(NotRunReason.PEER_UNREACHABLE))

    async def test_suspect_that_accepts_and_says_nothing_is_not_used(self):
        port = self.member.port
        await self.two.links.close()
        await self.one.links.run(self.member, make_call())
        # As of a stopped process, whose kernel accepts connections.
        stopped = await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)
        for _ in range(2):
            result = await self.one.links.run(self.member, make_call())
            self.assertEqual(result, NotRun(NotRunReason.PEER_UNREACHABLE))
            await asyncio.sleep(1.5 * CONNECT_TIMEOUT_S)
        self.assertEqual(self.one.opened, [])
        stopped.close()

    async def test_given_up_call_may_end_another_one(self):
        fibers = []
        results = []

        async def run(number):
            call = make_call(request_id=b"%d" % number)
            results.append(await self.one.links.run(self.member, call))
            fibers[1 - number].cancel()

        fibers += [Fiber(run(number), self.fail) for number in range(2)]
        await self.until(lambda: len(self.two.waiters) == 2)
        (link,) = self.one.links.open_links()
        link._pinged_s = 0.0
        link.check_silence(PONG_TIMEOUT_S)
        self.assertEqual([type(result) for result in results], [Unknown])
        self.assertTrue(all(fiber.is_done for fiber in fibers))

    async def test_node_that_can_be_reached_again_is_used(self):
        port = self.member.port
        await self.two.links.close()
        await self.one.links.run(self.member, make_call())
        await self.two.links.listen("127.0.0.1", port)
        await self.one.links.run(self.member, make_call())
        await self.until(lambda: self.one.opened == ["n2"])
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])

    async def test_node_that_reacts_may_take_its_time(self):
        tasks = await self.start_calls()
        await asyncio.sleep(2 * (PING_AFTER_S + PONG_TIMEOUT_S))
        for waiter in self.two.waiters:
            waiter.set_result(RESULTS[0])
        self.assertEqual(await asyncio.gather(*tasks), [RESULTS[0]] * 2)

    @params((5, 1), (1, 0), (0, 0))
    async def test_newer_configuration_is_asked_for_once(self, version, asks):
        self.one.version = version
        self.two.results = [RESULTS[0]] * 3
        for _ in range(3):
            await self.one.links.run(self.member, make_call())
        await asyncio.sleep(0.02)
        self.assertEqual(self.one.asked, [StateRequestFrame(1)] * asks)
        self.assertEqual(len(self.two.told), asks)

    async def test_error_of_the_target_is_an_unknown_result(self):
        async def fail(call):
            raise KeyError("expected by the test")

        handlers = LinkHandlers(fail, lambda: 1, lambda ask: None, lambda told: None)
        self.two.links._handlers = handlers
        with self.assertLogs("damaskproxy.forwarding.link", "ERROR"):
            result = await self.one.links.run(self.member, make_call())
        self.assertIsInstance(result, Unknown)

    async def test_damaged_stream_ends_the_connection_only(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.member.port)
        writer.write(b"\xff\xff\xff\xff garbage")
        # The stream ends, with nothing in it but the first frame.
        self.assertEqual(await reader.read(), encode_frame(HelloFrame("n2", 1)))
        writer.close()
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])
