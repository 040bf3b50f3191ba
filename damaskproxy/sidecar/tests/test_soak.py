"""Sidecars, clients with kept connections and random changes and faults in series."""

import asyncio
import random
import unittest
from dataclasses import dataclass

from nose2.tools import params

from damaskproxy.directory import decode_member
from damaskproxy.directory.following import MEMBER_TABLE
from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.stopping import drain
from damaskproxy.sidecar.tests.mesh import MeshTestCase

DRAIN_S = 2.0
"""Time after a confirmed leave from which on no request reaches the server."""
SETTLE_S = 10.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Sent:
    """Request of a client and its response; no status if the connection ended."""

    request_id: bytes
    is_safe: bool
    status: int | None = None


class Client:
    """Client of one sidecar that keeps its connections until the process is gone."""

    def __init__(self, member, name, rng):
        self.member = member
        self.name = name
        self.rng = rng
        self.sent = []
        self.problems = []

    async def run(self):
        """Send requests one after the other, until cancelled."""
        pool = None
        while True:
            await asyncio.sleep(self.rng.uniform(0.01, 0.08))
            sidecar = self.member.sidecar
            if sidecar is None:
                continue
            address = to_address(sidecar.settings.listeners.caller)
            pool = pool or ConnectionPool(address)
            sent = Sent(b"%s-%d" % (self.name, len(self.sent)), self.rng.random() < 0.5)
            self.sent.append(sent)
            method, path = (b"GET", b"/read/") if sent.is_safe else (b"PUT", b"/write/")
            fields = [
                (b"Host", b"shop"),
                (b"X-Damaskproxy-Request-Id", sent.request_id),
                (b"X-Damaskproxy-Deadline-Ms", b"800"),
            ]
            request = Request(method, path + sent.request_id, fields)
            try:
                async with asyncio.timeout(3):
                    response = await pool.exchange(request)
            except TimeoutError:
                self.problems.append(f"{sent.request_id}: no response")
            except HttpError:
                continue
            else:
                sent.status = response.status
                if response.status == 200 and not response.body.startswith(b"from i-"):
                    self.problems.append(f"{sent.request_id}: {response.body!r}")


class SoakTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against false responses and lost changes while faults overlap."""

    async def start_mesh(self, count):
        """Start nodes of two services in three data centres."""
        self.version = 1
        self.problems = []
        self.incarnations = 0
        for number in range(count):
            service = "stores" if number % 3 == 2 else "orders"
            data_centre = "abc"[number % 3 if number < 6 else number % 2]
            member = await self.start(
                f"n{number}", service, data_centre, bounds={"graceS": 1}
            )
            member.backend.work_s = 0.01
            member.is_busy = False

    def idle(self):
        """Return the running members without a fault in progress."""
        return [m for m in self.members if m.sidecar is not None and not m.is_busy]

    async def change(self):
        """Write a configuration."""
        self.version += 1
        self.rows.put("op", "config", encode_configuration(self.version))

    async def kill_and_restart(self):
        """End the process of a node and start it again."""
        await self.with_member(self._kill_and_restart)

    async def _kill_and_restart(self, member):
        await self.kill(member)
        await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        await self.restart(member, report=False)

    async def stop_and_restart(self):
        """Stop a node as planned and start it again."""
        await self.with_member(self._stop_and_restart)

    async def _stop_and_restart(self, member):
        await drain(member.sidecar)
        await self.kill(member)
        await self.restart(member, report=False)

    async def leave_and_replace(self):
        """Let a backend server leave and another incarnation take its place."""
        await self.with_member(self._leave_and_replace)

    async def _leave_and_replace(self, member):
        if await self._report(member, "draining") != 200:
            return
        await asyncio.sleep(DRAIN_S)
        before = member.backend.runs.total()
        await asyncio.sleep(0.3)
        if member.backend.runs.total() > before:
            self.problems.append(f"{member.name}: a request ran after the leave")
        self.incarnations += 1
        member.backend.instance_id = f"i-{member.name}-{self.incarnations}"
        member.born_ms += 1000
        member.sequence = 0

    async def restore_store(self):
        """Let the store return from an older copy, with the newest configuration."""
        self.rows.status = 503
        await asyncio.sleep(self.rng.uniform(0.05, 1.0))
        oldest = max(self.first_version, self.rows.version - 15)
        self.rows.restore(self.rng.randint(oldest, self.rows.version))
        self.rows.status = 200
        self.rows.put("op", "config", encode_configuration(self.version))
        await self.change()
        for _ in range(self.rng.choice([0, 20])):
            self.rows.put("other", "row", b"")

    async def cut_links(self):
        """Break all connections of a node to other nodes."""
        for member in self.idle()[:1]:
            for link in member.sidecar.links.open_links():
                link.close()

    async def with_member(self, fault):
        """Apply a fault to a member that has none."""
        members = self.idle()
        if len(members) < 4:
            return
        member = self.rng.choice(members)
        member.is_busy = True
        try:
            await fault(member)
        finally:
            member.is_busy = False

    async def report_status(self):
        """Report the status of all backend servers at intervals, until cancelled."""
        while True:
            await asyncio.sleep(0.3)
            for member in self.idle():
                await self._report(member, "ready")

    async def _report(self, member, state):
        try:
            async with asyncio.timeout(1):
                return await member.report(state)
        except (HttpError, TimeoutError, AttributeError):
            # The node has just ended.
            return None

    def differences(self):
        """Return what nodes or the store lack, without faults and changes."""
        found = []
        for member in self.members:
            sidecar, name = member.sidecar, member.name
            if sidecar is None:
                found.append(f"{name} does not run")
                continue
            if sidecar.configuration.version < self.version:
                found.append(f"{name} has version {sidecar.configuration.version}")
            for other in self.running():
                known = sidecar.directory.get(other.name)
                if known is None or known.order != other.sidecar.record.order:
                    found.append(f"{name} has another record of {other.name}")
            row = self.rows.get(MEMBER_TABLE, name)
            if row is None or decode_member(row).order < sidecar.record.order:
                found.append(f"the row of {name} is missing or older")
        return found

    def running(self):
        """Return the running members."""
        return [m for m in self.members if m.sidecar is not None]

    async def soak(self, seed, count, duration_s):
        """Play random changes and faults; return the problems and the requests."""
        self.rng = random.Random(seed)
        await self.start_mesh(count)
        self.first_version = self.rows.version
        clients = [
            Client(member, b"%s-%d" % (member.name.encode(), number), self.rng)
            for member in self.members
            for number in range(2)
        ]
        background = [asyncio.create_task(c.run()) for c in clients]
        background.append(asyncio.create_task(self.report_status()))
        events = (
            self.change,
            self.kill_and_restart,
            self.stop_and_restart,
            self.leave_and_replace,
            self.restore_store,
            self.cut_links,
        )
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        faults = []
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            faults.append(asyncio.create_task(self.rng.choice(events)()))
        await asyncio.gather(*faults)
        try:
            async with asyncio.timeout(SETTLE_S):
                while self.differences():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.problems += self.differences()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        for client in clients:
            self.problems += client.problems
        return [sent for client in clients for sent in client.sent]

    def check_runs(self, requests):
        """Check what ran against what the clients were told."""
        for sent in requests:
            runs = sum(m.backend.runs[sent.request_id] for m in self.members)
            if not sent.is_safe and runs > 1:
                self.problems.append(f"{sent.request_id}: ran {runs} times")
            if not sent.is_safe and sent.status in NOT_RUN_STATUSES and runs:
                self.problems.append(f"{sent.request_id}: {sent.status} and ran")
            if sent.status == 200 and not runs:
                self.problems.append(f"{sent.request_id}: 200 and did not run")

    @params((1, 6, 10.0), (2, 6, 10.0), (3, 9, 10.0))
    async def test_promises_hold_while_faults_follow_each_other(
        self, seed, count, duration_s
    ):
        requests = await self.soak(seed, count, duration_s)
        self.check_runs(requests)
        self.assertEqual(self.problems, [])
        served = sum(sent.status == 200 for sent in requests)
        self.assertGreater(served, len(requests) // 2)
