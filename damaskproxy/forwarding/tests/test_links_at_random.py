"""Links with calls of all sizes that end in all ways, until one node stops."""

import asyncio
import random
import socket
import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.common.memory import MemoryAccount, MemoryBudget
from damaskproxy.forwarding import HelloFrame, LinkHandlers, LinkMemory, Links
from damaskproxy.forwarding.calls import (
    DISCARDED_BODY,
    Answer,
    NotRun,
    NotRunReason,
)
from damaskproxy.forwarding.tests.builders import make_call, make_member

KB = 1 << 10
SIZES = (0, 10, 3 * KB, 60 * KB, 70 * KB, 300 * KB, 2000 * KB)
HEADER_COUNT = 700
"""More than the tables of a link hold."""
ACCOUNT_BYTES = 6000 * KB
CALLS = 400


class RandomNode:
    """Node whose server takes some time, and answers with what it was sent."""

    def __init__(self, name, rng):
        self.rng = rng
        self.ran = Counter()
        self.is_stopping = False
        budget = MemoryBudget(4 * ACCOUNT_BYTES)
        accounts = [MemoryAccount(ACCOUNT_BYTES, budget) for _ in range(3)]
        self.memory = LinkMemory(*accounts)
        handlers = LinkHandlers(self.run, lambda: 0, lambda link, frame: None)
        self.links = Links(
            lambda: HelloFrame(name, 1, True),
            handlers,
            frozenset({b"x-stamp"}),
            memory=self.memory,
        )

    async def run(self, call):
        if call.body is DISCARDED_BODY:
            return NotRun(NotRunReason.MEMORY)
        if self.is_stopping:
            return NotRun(NotRunReason.STOPPING)
        if self.rng.random() < 0.1:
            return NotRun(NotRunReason.OVERLOAD)
        self.ran[call.request_id] += 1
        size = len(call.body)
        if size and call.body != body_of(call.request_id, size):
            raise AssertionError(f"{call.request_id} has another body")
        await asyncio.sleep(0.1 * self.rng.random())
        if self.rng.random() < 0.05:
            raise asyncio.CancelledError
        answer_size = self.rng.choice(SIZES)
        return Answer(200, call.headers, body_of(b"a" + call.request_id, answer_size))


def body_of(request_id, size):
    """Return the body of this size that belongs to a request."""
    return (request_id * (size // len(request_id) + 1))[:size]


class RandomLinkTests(unittest.IsolatedAsyncioTestCase):
    """Guards against mixed up headers, false outcomes and memory that stays counted."""

    async def asyncTearDown(self):
        await self.one.links.close()
        await self.two.links.close()

    def headers(self, rng):
        """Return headers, some of which were sent before."""
        number = rng.randrange(HEADER_COUNT)
        return [
            (b"Host", b"shop"),
            (b"X-Stamp", b"%d" % rng.randrange(1 << 30)),
            (b"X-Name", b"%d" % number),
            (b"X-%d" % rng.randrange(HEADER_COUNT), b"v" * rng.choice([1, 90])),
        ]

    async def call(self, node, member, number, rng):
        """Send one call, and check its outcome."""
        await asyncio.sleep(rng.random())
        headers = self.headers(rng)
        request_id = b"r%d" % number
        call = make_call(
            request_id=request_id,
            headers=headers,
            body=body_of(request_id, rng.choice(SIZES)),
            is_idempotent=rng.random() < 0.5,
        )
        running = asyncio.create_task(node.links.run(member, call))
        if rng.random() < 0.3:
            await asyncio.wait([running], timeout=0.1 * rng.random())
            running.cancel()
        try:
            result = await running
        except asyncio.CancelledError:
            self.outcomes["cancelled"] += 1
            return
        other = self.two if node is self.one else self.one
        if isinstance(result, Answer):
            self.outcomes["answer"] += 1
            self.assertEqual(result.headers, headers)
            body = body_of(b"a" + request_id, len(result.body))
            self.assertEqual(result.body, body)
        elif isinstance(result, NotRun):
            self.outcomes[f"not run, {result.reason}"] += 1
            self.not_run.add((other, request_id))
        else:
            self.outcomes["unknown"] += 1

    async def slow_down(self, rng, has_losses):
        """Let nodes stop reading for a while, and cut connections."""
        while True:
            await asyncio.sleep(0.05 * rng.random())
            links = self.one.links.open_links() + self.two.links.open_links()
            if not links:
                continue
            link = rng.choice(links)
            if has_losses and rng.random() < 0.2:
                link._transport.abort()
                continue
            link._transport.pause_reading()
            await asyncio.sleep(0.1 * rng.random())
            if link.is_open:
                link._transport.resume_reading()

    async def stop(self, node):
        """Stop a node as a planned stop does."""
        await asyncio.sleep(0.8)
        node.is_stopping = True
        async with asyncio.timeout(5):
            while node.links.unfinished_count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await node.links.leave(0.15)
        await node.links.close()

    @params(*((seed, losses) for seed in range(1, 5) for losses in (False, True)))
    async def test_outcomes_are_true_and_no_memory_stays_counted(self, seed, losses):
        rng = random.Random(seed)
        self.outcomes, self.not_run = Counter(), set()
        self.one, self.two = RandomNode("n1", rng), RandomNode("n2", rng)
        members = []
        for name, node in (("n1", self.one), ("n2", self.two)):
            await node.links.serve(socket.create_server(("127.0.0.1", 0)))
            members.append(make_member(name, port=node.links.port))
        slow = asyncio.create_task(self.slow_down(rng, losses))
        stopping = asyncio.create_task(self.stop(self.two))
        async with asyncio.TaskGroup() as group:
            for number in range(CALLS):
                is_first = rng.random() < 0.7
                node, member = (
                    (self.one, members[1])
                    if is_first
                    else (
                        self.two,
                        members[0],
                    )
                )
                group.create_task(self.call(node, member, number, rng))
        slow.cancel()
        await stopping
        async with asyncio.timeout(5):
            while self.one.links.open_links() or self.two.links.open_links():
                for node in (self.one, self.two):
                    await node.links.close()
                await asyncio.sleep(0.01)
        for node in (self.one, self.two):
            accounts = (node.memory.calls, node.memory.results, node.memory.unsent)
            self.assertEqual([a.held_bytes for a in accounts], [0, 0, 0])
            self.assertEqual(node.memory.calls.budget.held_bytes, 0)
        ran = {(n, i) for n in (self.one, self.two) for i in n.ran}
        self.assertFalse(self.not_run & ran)
        self.assertGreater(self.outcomes["answer"], CALLS // 20, self.outcomes)
