"""Tests of the control transport over gRPC on loopback."""

import asyncio
import functools
import time
import unittest

import grpc
import msgspec
from nose2.tools import params

from damaskproxy.membership import (
    ControlClient,
    ControlError,
    ControlServer,
    Describe,
    DescribeReply,
    Exchange,
    Handover,
    HandoverReply,
    MembershipSettings,
    ProbeReply,
    ProbeVia,
)
from damaskproxy.membership.messages import to_record
from damaskproxy.membership.tests.network import member
from damaskproxy.model import Address, MemberState

LOOPBACK = Address("127.0.0.1", 0)
# Long enough for a busy machine; only the hanging call is meant to time out.
LONG_MS = 30_000
SETTINGS = MembershipSettings(
    probe_timeout_ms=LONG_MS, describe_timeout_ms=LONG_MS, handover_timeout_ms=LONG_MS
)
SHORT_DESCRIBE = MembershipSettings(probe_timeout_ms=LONG_MS, describe_timeout_ms=20)
EXCHANGE = Exchange(to_record(member(1)), digest=(1 << 64) - 1, buckets=bytes(2048))


async def raise_control_error(_request):
    raise ControlError("not now")


async def fail(_request):
    raise ZeroDivisionError


async def hang(_request):
    await asyncio.Event().wait()


async def echo(request):
    return request


def run_coroutine(test):
    """Run a coroutine method as a plain test method.

    ``params`` turns a coroutine method into plain functions, whose coroutines
    `unittest` would never await.
    """

    @functools.wraps(test)
    def run(self, *args):
        self._asyncioRunner.run(test(self, *args))

    return run


class TransportTests(unittest.IsolatedAsyncioTestCase):
    """Guards against lost replies and errors other than `ControlError`."""

    async def asyncSetUp(self):
        self.client = ControlClient(SETTINGS, now_s=time.monotonic)
        self.addAsyncCleanup(self.client.close)

    async def serve(self, address=LOOPBACK, **handlers):
        server = ControlServer(handlers)
        bound = await server.start(address)
        self.addAsyncCleanup(server.stop)
        return server, bound

    @params(
        ("Exchange", EXCHANGE, EXCHANGE),
        ("ProbeVia", ProbeVia("node-1", ("127.0.0.1", 1)), ProbeReply(True)),
        ("Handover", Handover("h", "n", 3, bytes(5_000_000)), HandoverReply(True)),
        ("Describe", Describe(), DescribeReply(MemberState.SERVING, 1, 2, 3.5, True)),
    )
    @run_coroutine
    async def test_methods(self, method, request, reply):
        seen = []

        async def handle(received):
            seen.append(received)
            return reply

        _server, address = await self.serve(**{method: handle})
        self.assertEqual(await self.client.call(address, method, request), reply)
        self.assertEqual(seen, [request])

    @params(
        ("refused", raise_control_error, "not now"),
        ("broken", fail, "ZeroDivisionError"),
        ("deadline", hang, "deadline_exceeded"),
        ("reply of another type", lambda r: echo(HandoverReply(True)), "Expected"),
    )
    @run_coroutine
    async def test_errors(self, name, handler, text):
        _server, address = await self.serve(Describe=handler)
        if name == "deadline":
            self.client = ControlClient(SHORT_DESCRIBE, now_s=time.monotonic)
            self.addAsyncCleanup(self.client.close)
        logs = self.assertLogs if name == "broken" else self.assertNoLogs
        with (
            logs("damaskproxy.membership", "ERROR"),
            self.assertRaises(ControlError) as caught,
        ):
            await self.client.call(address, "Describe", Describe())
        self.assertIn(text, str(caught.exception))

    async def test_unreachable_and_unimplemented(self):
        server, address = await self.serve(Exchange=echo)
        with self.assertRaisesRegex(ControlError, "unimplemented"):
            await self.client.call(address, "Handover", Handover("h", "n", 1))
        await server.stop()
        with self.assertRaisesRegex(ControlError, "unavailable"):
            await self.client.call(address, "Exchange", EXCHANGE)

    @params(b"", b"\xc1", msgspec.msgpack.encode(Describe()), bytes([0x93]) * 9)
    @run_coroutine
    async def test_malformed_requests_are_rejected(self, data):
        _server, address = await self.serve(Exchange=echo)
        async with grpc.aio.insecure_channel(str(address)) as channel:
            with self.assertRaises(grpc.aio.AioRpcError) as caught:
                await channel.unary_unary("/damask.Control/Exchange")(data)
        self.assertIs(caught.exception.code(), grpc.StatusCode.INVALID_ARGUMENT)

    async def test_restarted_node_is_reached_without_backoff(self):
        server, address = await self.serve(Exchange=echo)
        await self.client.call(address, "Exchange", EXCHANGE)
        await server.stop()
        for _ in range(3):
            with self.assertRaises(ControlError):
                await self.client.call(address, "Exchange", EXCHANGE)
        await self.serve(address, Exchange=echo)
        await self.client.call(address, "Exchange", EXCHANGE)

    async def test_failed_call_does_not_cancel_others_on_its_connection(self):
        release = asyncio.Event()

        async def wait(_request):
            await release.wait()
            return ProbeReply(True)

        self.client = ControlClient(SHORT_DESCRIBE, now_s=time.monotonic)
        self.addAsyncCleanup(self.client.close)
        _server, address = await self.serve(ProbeVia=wait, Describe=hang)
        request = ProbeVia("node-1", ("127.0.0.1", 1))
        slow = asyncio.create_task(self.client.call(address, "ProbeVia", request))
        with self.assertRaises(ControlError):
            await self.client.call(address, "Describe", Describe())
        release.set()
        self.assertEqual(await slow, ProbeReply(True))

    async def test_connections_are_bounded_and_idle_ones_closed(self):
        clock = [0.0]
        client = ControlClient(
            MembershipSettings(max_channels=8), now_s=lambda: clock[0]
        )
        self.addAsyncCleanup(client.close)
        addresses = [(await self.serve(Exchange=echo))[1] for _ in range(10)]
        for address in addresses:
            await client.call(address, "Exchange", EXCHANGE)
        self.assertEqual(list(client._connections), addresses[2:])
        clock[0] = 61.0
        await client.call(addresses[5], "Exchange", EXCHANGE)
        self.assertEqual(list(client._connections), [addresses[5]])

    async def test_port_in_use(self):
        _server, address = await self.serve(Exchange=echo)
        with self.assertRaisesRegex(ControlError, "cannot listen"):
            await ControlServer({}).start(address)
        with self.assertRaisesRegex(ValueError, "unknown control methods"):
            ControlServer({"Nonsense": echo})
