"""Connections between nodes that are lost, refused, replaced or unresponsive."""

import asyncio
import contextlib
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
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.forwarding.frames import GoodbyeFrame, RunFrame, encode_frame
from damaskproxy.forwarding.large_frames import LARGE_BYTES
from damaskproxy.forwarding.links import CONNECT_TIMEOUT_S, IDLE_CLOSE_S
from damaskproxy.forwarding.outgoing_calls import PING_AFTER_S, PONG_TIMEOUT_S
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
    """One end of a link, with scripted results of calls."""

    def __init__(self, name):
        self.name = name
        self.version = 1
        self.ran = []
        self.cancelled = 0
        self.waiters = []
        self.results = []
        self.received_states = []
        self.state_requests = []
        self.connected = []
        handlers = LinkHandlers(
            self.run,
            lambda: self.version,
            self.handle_control,
        )
        self.incarnation = 1
        self.knows_goodbye = False
        self.links = Links(
            lambda: HelloFrame(name, self.incarnation, self.knows_goodbye),
            handlers,
            frozenset({b"x-stamp"}),
            self.connected.append,
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

    def handle_control(self, link, frame):
        if isinstance(frame, StateRequestFrame):
            self.state_requests.append(frame)
            link.write(StateFrame(b"configuration", [make_member()]))
        else:
            self.received_states.append(frame)


def failing_handlers(node, fail):
    """Return the handlers of a node that fail for frames about the mesh."""
    return LinkHandlers(node.run, lambda: node.version, fail)


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Guards against results that are mixed up, lost or falsely reported as not run."""

    async def asyncSetUp(self):
        self.one, self.two = Node("n1"), Node("n2")
        await self.two.links.serve(socket.create_server(("127.0.0.1", 0)))
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
                headers=headers,
                body=b"b" * number,
                is_repeat=bool(number),
                has_begun=number > 1,
                is_shared=bool(number),
                ordinal=number or None,
                earlier_refusals=number,
            )
            await self.one.links.run(self.member, call)
            found = self.two.ran[-1]
            self.assertLessEqual(found.deadline_ms, call.deadline_ms)
            found.deadline_ms = call.deadline_ms
            self.assertEqual(found, call)

    @params(0, 1, 99, 100, 101, 103, 199, 600, 999, 65_535)
    async def test_status_that_is_no_response_is_an_unknown_result(self, status):
        other = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        for body in (b"", b"body", b"x" * (LARGE_BYTES + 1)):
            headers = [(b"A", b"b"), (b"X-Stamp", b"s")]
            self.two.results = [Answer(status, headers, body, LOAD), RESULTS[0]]
            found = await self.one.links.run(self.member, make_call())
            self.assertIsInstance(found, Unknown)
            self.assertIn(f"status {status}", found.detail)
            self.assertEqual(found.load, LOAD)
            # The tables of headers are still in step.
            found = await self.one.links.run(self.member, make_call())
            self.assertEqual(found, RESULTS[0])
        self.two.waiters[0].set_result(RESULTS[1])
        self.assertEqual(await other, RESULTS[1])

    @params(200, 204, 304, 421, 503, 599)
    async def test_final_status_arrives(self, status):
        self.two.results = [Answer(status, [], b"")]
        found = await self.one.links.run(self.member, make_call())
        self.assertEqual(found, Answer(status, [], b""))

    async def test_out_of_order_results_reach_their_calls(self):
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

    async def test_idle_link_is_kept_while_a_call_on_it_is_in_flight(self):
        task = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        for link in self.one.links.open_links():
            link.last_used_s -= IDLE_CLOSE_S + 1
        self.one.links.close_idle()
        await asyncio.sleep(0.05)
        self.assertFalse(task.done())
        self.two.waiters[0].set_result(RESULTS[0])
        self.assertEqual(await task, RESULTS[0])

    async def test_link_that_was_replaced_is_closed_once_it_is_idle(self):
        task = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        (first,) = self.one.links.open_links()
        for number in range(2, 4):
            self.one.links._outgoing["n2"].is_unresponsive = True
            await self.one.links.open(self.member)
            await self.until(lambda n=number: len(self.one.links.open_links()) == n)
            # A link is open before it has replaced the other one.
            await self.until(lambda: not self.one.links._opening)
        for link in self.one.links.open_links():
            link.last_used_s -= IDLE_CLOSE_S + 1
        self.one.links.close_idle()
        await self.until(lambda: self.one.links.open_links() == [first])
        self.two.waiters[0].set_result(RESULTS[0])
        self.assertEqual(await task, RESULTS[0])
        self.one.links.close_idle()
        await self.until(lambda: not self.one.links.open_links())

    async def test_lost_connection_makes_calls_unknown_and_cancels_their_runs(self):
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

    async def test_unread_calls_to_a_node_that_stops_are_not_run(self):
        self.one.knows_goodbye = True
        answered = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        for link in self.two.links.open_links():
            link._transport.pause_reading()
        unread = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await asyncio.sleep(0.02)
        self.two.waiters[0].set_result(Answer(200, [], b"body", LOAD))
        await self.two.links.leave(1.0)
        self.assertEqual((await answered).status, 200)
        self.assertEqual(await unread, NotRun(NotRunReason.STOPPING))
        later = await self.one.links.run(self.member, make_call())
        self.assertIsInstance(later, NotRun)
        self.assertEqual(len(self.two.ran), 1)

    async def test_calls_that_run_at_the_end_of_a_node_are_unknown(self):
        self.one.knows_goodbye = True
        pending = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        await self.two.links.leave(0.1)
        await self.two.links.close()
        self.assertIsInstance(await pending, Unknown)

    async def test_call_that_the_target_cancels_itself_is_unknown(self):
        self.one.knows_goodbye = True
        pending = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        self.two.waiters[0].set_exception(asyncio.CancelledError())
        await self.two.links.leave(1.0)
        self.assertIsInstance(await pending, Unknown)

    async def test_peer_of_an_earlier_release_gets_no_goodbye(self):
        pending = asyncio.create_task(self.one.links.run(self.member, make_call()))
        await self.until(lambda: self.two.waiters)
        self.two.waiters[0].set_result(Answer(200, [], b"body", LOAD))
        await pending
        await self.two.links.leave(5.0)
        self.assertTrue(self.one.links.open_links())

    async def test_connection_in_the_accept_queue_gets_a_goodbye(self):
        with socket.create_connection(("127.0.0.1", self.two.links.port)) as sock:
            sock.sendall(encode_frame(HelloFrame("n3", 1, True)))
            await self.two.links.leave(0.3)
            received = FrameDecoder().feed(sock.recv(65536))
        self.assertIsInstance(received[-1], GoodbyeFrame)

    async def test_call_to_a_node_without_listener_is_not_run(self):
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
    async def test_late_record_of_a_restart_closes_only_older_connections(
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
        """Start a non-idempotent and an idempotent call, and return their tasks."""
        calls = [make_call(request_id=b"%d" % n, is_idempotent=n > 0) for n in range(2)]
        tasks = [
            asyncio.ensure_future(self.one.links.run(self.member, call))
            for call in calls
        ]
        await self.until(lambda: len(self.two.waiters) == 2)
        return tasks

    async def test_idempotent_calls_to_an_unresponsive_node_end_early(self):
        order, read = await self.start_calls()
        # Like a VM that has lost power: nothing is read and no connection is closed.
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

    async def test_unresponsive_connection_to_a_live_node_is_replaced(self):
        order, read = await self.start_calls()
        (link,) = self.two.links.open_links()
        link._transport.pause_reading()
        await read
        await self.one.links.run(self.member, make_call())
        await self.until(lambda: self.one.connected == ["n2", "n2"])
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])
        link._transport.resume_reading()
        self.two.waiters[0].set_result(RESULTS[0])
        self.assertEqual(await order, RESULTS[0])

    async def test_calls_do_not_wait_for_a_node_that_was_unreachable(self):
        with socket.socket() as listener, socket.socket() as filler:
            listener.bind(("127.0.0.1", 0))
            # The kernel drops connection attempts (SYN) beyond the backlog.
            listener.listen(0)
            filler.connect(listener.getsockname())
            hanging = make_member("n2", port=listener.getsockname()[1])
            for limit_s in (2 * CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S / 2):
                async with asyncio.timeout(limit_s):
                    result = await self.one.links.run(hanging, make_call())
                self.assertEqual(result, NotRun(NotRunReason.PEER_UNREACHABLE))

    async def test_suspect_that_sends_no_hello_is_not_used(self):
        port = self.member.port
        await self.two.links.close()
        await self.one.links.run(self.member, make_call())
        # Like a suspended process, for which the kernel accepts connections.
        stopped = await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)
        for _ in range(2):
            result = await self.one.links.run(self.member, make_call())
            self.assertEqual(result, NotRun(NotRunReason.PEER_UNREACHABLE))
            await asyncio.sleep(1.5 * CONNECT_TIMEOUT_S)
        self.assertEqual(self.one.connected, [])
        stopped.close()

    async def test_end_of_an_unresponsive_call_may_cancel_another(self):
        fibers = []
        results = []

        async def run(number):
            call = make_call(request_id=b"%d" % number)
            results.append(await self.one.links.run(self.member, call))
            fibers[1 - number].cancel()

        fibers += [Fiber(run(number), self.fail) for number in range(2)]
        await self.until(lambda: len(self.two.waiters) == 2)
        (link,) = self.one.links.open_links()
        link._outgoing.ping_sent_s = 0.0
        link.check_liveness(PONG_TIMEOUT_S)
        self.assertEqual([type(result) for result in results], [Unknown])
        self.assertTrue(all(fiber.is_done for fiber in fibers))

    async def test_node_that_is_reachable_again_is_used(self):
        port = self.member.port
        await self.two.links.close()
        await self.one.links.run(self.member, make_call())
        await self.two.links.serve(socket.create_server(("127.0.0.1", port)))
        await self.one.links.run(self.member, make_call())
        await self.until(lambda: self.one.connected == ["n2"])
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])

    async def test_slow_calls_to_a_responsive_node_are_not_ended(self):
        tasks = await self.start_calls()
        await asyncio.sleep(2 * (PING_AFTER_S + PONG_TIMEOUT_S))
        for waiter in self.two.waiters:
            waiter.set_result(RESULTS[0])
        self.assertEqual(await asyncio.gather(*tasks), [RESULTS[0]] * 2)

    @params((5, 1), (1, 0), (0, 0))
    async def test_newer_configuration_is_requested_once(self, version, requests):
        self.one.version = version
        self.two.results = [RESULTS[0]] * 3
        for _ in range(3):
            await self.one.links.run(self.member, make_call())
        await asyncio.sleep(0.02)
        self.assertEqual(self.one.state_requests, [StateRequestFrame(1)] * requests)
        self.assertEqual(len(self.two.received_states), requests)

    async def test_exception_at_the_target_is_an_unknown_result(self):
        async def fail(call):
            raise KeyError("expected by the test")

        handlers = LinkHandlers(
            fail, lambda: 1, lambda request: None, lambda state: None
        )
        self.two.links._handlers = handlers
        with self.assertLogs("damaskproxy.forwarding.link", "ERROR"):
            result = await self.one.links.run(self.member, make_call())
        self.assertIsInstance(result, Unknown)

    @params(
        ("127.0.0.1", 70_000),
        ("127.0.0.1", -1),
        ("127.0.0.1", 1 << 80),
        ("127.0.0.1\0", 1),
        ("a" * 70 + ".invalid", 1),
        ("\ud800", 1),
    )
    async def test_call_to_an_unusable_address_is_not_run(self, host, port):
        odd = make_member("n2", host=host, port=port)
        with self.assertLogs("damaskproxy.forwarding.links", "INFO") as logs:
            result = await self.one.links.run(odd, make_call())
        self.assertEqual(result, NotRun(NotRunReason.PEER_UNREACHABLE))
        self.assertEqual(logs.records[0].fields["peer"], "n2")
        self.assertIsNone(await self.one.links.open(odd))

    @params("handler", "service", "table")
    async def test_frame_that_cannot_be_handled_closes_only_its_connection(self, kind):
        def fail(link, frame):
            raise KeyError("expected by the test")

        frame = StateRequestFrame(1)
        if kind == "handler":
            self.two.links._handlers = failing_handlers(self.two, fail)
        else:
            name = b"\xff" if kind == "service" else 300
            frame = RunFrame(
                1,
                1,
                1,
                name,
                b"r",
                b"GET",
                b"/",
                [],
                b"",
                b"1",
                b"c",
                1,
                True,
                9,
                False,
            )
        bystander = await self.one.links.open(self.member)
        await bystander.hello_received.wait()
        loop_errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: loop_errors.append(context))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.member.port)
        with self.assertLogs("damaskproxy.forwarding.link", "INFO") as logs:
            writer.write(encode_frame(HelloFrame("n9", 1)) + encode_frame(frame))
            with contextlib.suppress(ConnectionError):
                await reader.read()
            await self.until(lambda: len(logs.records) > 1)
        writer.close()
        self.assertEqual({r.fields["peer"] for r in logs.records}, {"n9"})
        self.assertEqual(loop_errors, [])
        self.assertTrue(bystander.is_open)
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])

    async def test_malformed_stream_closes_only_its_connection(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.member.port)
        writer.write(b"\xff\xff\xff\xff garbage")
        # The node closes the connection after its hello frame.
        self.assertEqual(await reader.read(), encode_frame(HelloFrame("n2", 1)))
        writer.close()
        self.two.results = [RESULTS[0]]
        self.assertEqual(await self.one.links.run(self.member, make_call()), RESULTS[0])
