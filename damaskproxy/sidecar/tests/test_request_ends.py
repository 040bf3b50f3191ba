"""What requests leave behind in a mesh, whatever way they end."""

import asyncio
import gc
import random
import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.mesh import MeshTestCase

KB = 1 << 10
REQUESTS = 150
LIMIT_MB = 64
"""Little, so that requests are refused and answers are given up for lack of memory."""
ENDS = ("answer", "unread", "half sent", "gives up", "pipelined")
FAULTS = ("", "", "shed", "error", "hang", "encoded", "unstamped", "cut", "endless")
KINDS = {
    "Request",
    "Response",
    "Call",
    "Answer",
    "RunFrame",
    "AnswerFrame",
    "Attempts",
    "Link",
    "LargeFrame",
    "ServerConnection",
    "ClientConnection",
    "Fiber",
    "Waiter",
    "Task",
    "BackgroundTask",
}


class RequestEndTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against memory that stays in use after requests have ended."""

    async def start_nodes(self):
        """Start the node of the clients and two with servers."""
        await self.start("n1", service="stores", memory_limit_mb=LIMIT_MB)
        await self.start("n2", memory_limit_mb=LIMIT_MB)
        await self.start("n3", memory_limit_mb=LIMIT_MB)
        await self.until_known(2)
        for member in self.members:
            backend = member.backend
            backend.requests = NoRequests()
            for path in (b"/read", b"/write"):
                for number, fault in enumerate(FAULTS):
                    backend.faults[b"%s/%d" % (path, number)] = fault
                    size = (10, 100 * KB, 3 << 20)[number % 3]
                    backend.answer_bytes[b"%s/%d" % (path, number)] = size

    def links(self):
        """Return all open links of the mesh."""
        return [k for m in self.members for k in m.sidecar.links.open_links()]

    async def play_client(self, rng):
        """Send one request and end it in some way."""
        await asyncio.sleep(rng.random())
        end = rng.choice(ENDS)
        method, path = rng.choice([(b"GET", b"/read"), (b"POST", b"/write")])
        target = b"%s/%d" % (path, rng.randrange(len(FAULTS)))
        body = b"x" * rng.choice([0, 0, 10, 100 * KB, 2 << 20])
        request_id = b"r%d" % rng.randrange(1 << 40)
        lines = [method + b" " + target + b" HTTP/1.1", b"Host: shop"]
        lines.append(b"X-Damaskproxy-Request-Id: " + request_id)
        if rng.random() < 0.3:
            lines.append(b"X-Damaskproxy-Deadline-Ms: %d" % rng.choice([1, 30, 200]))
        lines.append(b"Content-Length: %d" % len(body))
        data = b"\r\n".join(lines) + b"\r\n\r\n" + body
        node = rng.choice(self.members).sidecar
        address = to_address(node.settings.listeners.caller)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            if end == "half sent":
                data = data[: rng.randrange(len(data))]
            elif end == "pipelined":
                data *= 3
            writer.write(data)
            if end in ("answer", "pipelined"):
                async with asyncio.timeout(3 * rng.random()):
                    while part := await reader.read(64 * KB):
                        if part.startswith(b"HTTP/1.1 "):
                            self.statuses[part[9:12]] += 1
            elif end == "unread":
                await asyncio.sleep(0.5 + rng.random())
            else:
                await asyncio.sleep(0.3 * rng.random())
        except (OSError, TimeoutError):
            pass
        finally:
            writer.transport.abort()

    async def play_faults(self, rng):
        """Cut links, and let others pause."""
        while True:
            await asyncio.sleep(0.2 * rng.random())
            links = self.links()
            if not links:
                continue
            link = rng.choice(links)
            kind = rng.choice(["abort", "close", "pause", "unresponsive"])
            if kind == "abort":
                link._transport.abort()
            elif kind == "close":
                link.close()
            elif kind == "pause":
                link._transport.pause_reading()
                await asyncio.sleep(0.3)
                if link.is_open:
                    link._transport.resume_reading()
            else:
                link.is_unresponsive = True

    @params(1, 2, 3)
    async def test_requests_leave_nothing_behind(self, seed):
        rng = random.Random(seed)
        self.statuses = Counter()
        await self.start_nodes()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        gc.set_debug(gc.DEBUG_SAVEALL)
        self.addCleanup(gc.set_debug, 0)
        self.addCleanup(gc.garbage.clear)
        faults = asyncio.create_task(self.play_faults(rng))
        async with asyncio.TaskGroup() as group:
            for _ in range(REQUESTS):
                group.create_task(self.play_client(rng))
        faults.cancel()
        del faults, group
        await asyncio.sleep(1.5)
        for member in self.members:
            sidecar = member.sidecar
            held = sidecar.held_bytes()
            held.pop("budget_limit_bytes")
            self.assertEqual({k: v for k, v in held.items() if v}, {}, member.name)
            self.assertEqual(sidecar.target.in_flight, 0)
            for sizes in (sidecar.origin._answer_sizes, sidecar.target._answer_sizes):
                self.assertEqual(sizes.reserved_bytes, 0)
            load = sidecar.target.load()
            self.assertEqual((load.in_flight, load.queued), (0, 0))
            self.assertFalse(sidecar.target._crash_check.lost_calls)
            self.assertFalse(sidecar.target._parent_requests._parents)
            for link in sidecar.links._links:
                self.assertFalse(link._outgoing.in_flight or link._incoming.running)
            self.assertFalse(sidecar.servers["caller"].connections)
        gc.collect()
        found = Counter(type(o).__name__ for o in gc.garbage)
        self.assertGreater(len(self.statuses), 3, self.statuses)
        self.assertEqual({k: v for k, v in found.items() if k in KINDS}, {})


class NoRequests:
    """Keeps no requests."""

    def append(self, request):
        """Ignore a request."""
