"""Leaves of backend servers while nodes are killed and the store fails, in series."""

import asyncio
import json
import random
import unittest

from nose2.tools import params

from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.stopping import drain
from damaskproxy.sidecar.tests.mesh import MeshTestCase

DRAIN_S = 2.0
"""Time after a confirmed leave from which on no request reaches the server."""
REPORT_S = 0.4
ANSWER_S = 1.0
LEAVE_RETRY_S = 0.05
REPORT_DELAY_MAX_S = 5.0
SETTLE_S = 4.0
NODES = ("orders", "orders", "orders", "orders", "stores")


class LeaveSoakTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against requests to a server after its leave was confirmed."""

    async def start_mesh(self):
        """Start the nodes."""
        self.confirmed_s = {}
        self.late = []
        self.leaves = self.restarts = self.requests = self.served = 0
        for number, service in enumerate(NODES):
            member = await self.start(
                f"n{number}",
                service,
                "ab"[number % 2],
                bounds={"graceS": 1},
                heartbeat_interval_ms=int(REPORT_S * 1000),
            )
            member.is_busy = member.is_leaving = False
            # As if the mesh had been up for a minute.
            member.sidecar.propagation.started_s -= 60
        await self.until_known(NODES.count("orders"))

    async def exchange(self, member, listener, request):
        """Return the status of an answer of a node, None without one."""
        sidecar = member.sidecar
        if sidecar is None:
            return None
        address = to_address(getattr(sidecar.settings.listeners, listener))
        pool = ConnectionPool(address)
        try:
            async with asyncio.timeout(ANSWER_S):
                return (await pool.exchange(request)).status
        except (HttpError, TimeoutError):
            return None
        finally:
            pool.close()

    async def report_forever(self, member):
        """Report that a server is ready, until it leaves."""
        while True:
            await asyncio.sleep(REPORT_S)
            if member.sidecar is not None and not member.is_leaving:
                try:
                    async with asyncio.timeout(ANSWER_S):
                        await member.report("ready")
                except (HttpError, TimeoutError, AttributeError):
                    continue

    async def send_forever(self, member):
        """Send requests to a node, and check where they run."""
        number = 0
        while True:
            await asyncio.sleep(self.rng.uniform(0.01, 0.06))
            number += 1
            request_id = f"{member.name}-{number}".encode()
            fields = [(b"Host", b"shop"), (b"X-Damaskproxy-Request-Id", request_id)]
            request = Request(b"GET", b"/read/1", fields)
            self.requests += 1
            self.served += await self.exchange(member, "caller", request) == 200

    async def check_forever(self):
        """Record requests that ran too long after a leave."""
        loop = asyncio.get_running_loop()
        counts = {}
        while True:
            for member in self.members:
                confirmed_s = self.confirmed_s.get(member.name)
                count = len(member.backend.requests)
                is_late = (
                    confirmed_s is not None and loop.time() > confirmed_s + DRAIN_S
                )
                if is_late and count > counts.get(member.name, count):
                    self.late.append((member.name, round(loop.time() - confirmed_s, 2)))
                counts[member.name] = count
            await asyncio.sleep(0.01)

    async def leave(self):
        """Let a server leave; it asks until that is confirmed."""
        candidates = [
            m
            for m in self.members
            if not m.is_leaving and m.backend.service == "orders"
        ]
        if len(candidates) < 2:
            return
        member = self.rng.choice(candidates)
        member.is_leaving = member.backend.is_leaving = True
        late = asyncio.create_task(self.report_late(member, member.sequence + 1))
        is_delete = self.rng.random() < 0.6
        path = f"/api/instances/{member.backend.instance_id}".encode()
        body = json.dumps({"born": member.born_ms}).encode()
        delete = Request(b"DELETE", path, [(b"Host", b"c")], body)
        while True:
            if is_delete:
                status = await self.exchange(member, "control", delete)
            else:
                status = await self.report_draining(member)
            if status == 200:
                break
            await asyncio.sleep(LEAVE_RETRY_S)
        self.confirmed_s[member.name] = asyncio.get_running_loop().time()
        self.leaves += 1
        await late

    async def report_late(self, member, sequence):
        """Deliver a ready report from before the leave seconds later."""
        await asyncio.sleep(self.rng.uniform(0.0, REPORT_DELAY_MAX_S))
        while True:
            try:
                async with asyncio.timeout(ANSWER_S):
                    await member.report("ready", sequence=sequence)
                return
            except (HttpError, TimeoutError, AttributeError):
                await asyncio.sleep(LEAVE_RETRY_S)

    async def report_draining(self, member):
        """Report that a server drains; return the status of the answer."""
        try:
            async with asyncio.timeout(ANSWER_S):
                return await member.report("draining")
        except (HttpError, TimeoutError, AttributeError):
            return None

    async def kill_one(self):
        """End the process of a node and start it again."""
        idle = [m for m in self.members if not m.is_busy]
        if idle:
            await self.kill_and_restart(self.rng.choice(idle))

    async def kill_twice(self):
        """End the process of a node twice, one soon after the other."""
        idle = [m for m in self.members if not m.is_busy]
        if idle:
            member = self.rng.choice(idle)
            await self.kill_and_restart(member)
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            if not member.is_busy:
                await self.kill_and_restart(member)

    async def kill_all(self):
        """End all processes at the same moment and start them again."""
        idle = [m for m in self.members if not m.is_busy]
        await asyncio.gather(*(self.kill_and_restart(m) for m in idle))

    async def kill_and_restart(self, member):
        """End the process of a node and start it again."""
        member.is_busy = True
        await self.kill(member)
        await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        await self.restart(member, report=False)
        self.restarts += 1
        member.is_busy = False

    async def stop_one(self):
        """Stop a node as planned and start it again."""
        idle = [m for m in self.members if not m.is_busy]
        if not idle:
            return
        member = self.rng.choice(idle)
        member.is_busy = True
        await drain(member.sidecar)
        await self.kill_and_restart(member)

    async def break_store(self):
        """Let the store refuse all calls or be silent for some time."""
        if self.rows.status == 200:
            self.rows.status = self.rng.choice([0, 503])
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            self.rows.status = 200

    async def restore_store(self):
        """Let the store return from an older copy."""
        if self.rows.status == 200:
            oldest = max(self.first_version, self.rows.version - 6)
            self.rows.restore(self.rng.randint(oldest, self.rows.version))

    async def play(self, seed, duration_s):
        """Play random leaves and faults."""
        self.rng = random.Random(seed)
        await self.start_mesh()
        self.first_version = self.rows.version
        background = [
            asyncio.create_task(job(m))
            for m in self.members
            for job in (self.report_forever, self.send_forever)
        ]
        background.append(asyncio.create_task(self.check_forever()))
        faults = (
            self.kill_one,
            self.kill_twice,
            self.kill_all,
            self.stop_one,
            self.break_store,
            self.break_store,
            self.restore_store,
        )
        leave_at = sorted(self.rng.uniform(0.5, duration_s - 1) for _ in range(3))
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        tasks = []
        while (now_s := loop.time() - start_s) < duration_s:
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            while leave_at and leave_at[0] < now_s:
                leave_at.pop(0)
                tasks.append(asyncio.create_task(self.leave()))
            tasks.append(asyncio.create_task(self.rng.choice(faults)()))
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    @params((1, 6.0), (2, 6.0), (3, 6.0))
    async def test_no_request_runs_after_a_confirmed_leave(self, seed, duration_s):
        await self.play(seed, duration_s)
        self.assertEqual(self.late, [], seed)
        self.assertGreater(self.leaves, 0)
        self.assertGreater(self.served, self.requests // 10)
