"""Node processes under clients that are not controlled.

Each row opens many connections of one form to one listener. The checks are those of
`docs/shared-capacity.md`, section 4: the process lives, its resident memory and its
open descriptors stay below those of its machine, and one ordinary request is answered
while the connections stay open and after they have closed. The settings make the
machine small, so that a small crowd suffices. The time-outs of clients are long, so
that no row depends on them.
"""

import asyncio
import json
import os
import resource
import unittest
from pathlib import Path

from nose2.tools import params

from damaskproxy.http1 import ConnectionPool, HttpError, Request
from damaskproxy.platform.standins import (
    StampedBackend,
    encode_configuration,
    readiness_request,
    report_request,
)
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.crowds import FORMS, Crowd
from damaskproxy.sidecar.tests.node_process import NodeProcessTestCase

KB_PER_MB = 1 << 10
MACHINE_MB = 100
"""Memory of the machine, half of that of the smallest one. A node alone has 30 MB."""
MACHINE_DESCRIPTORS = 512
"""Limit on the descriptors of the process, an eighth of the smallest machine's."""
DESCRIPTORS_MAX = MACHINE_DESCRIPTORS * (4100 - 200) // 4100
"""The smallest machine has 4,100 descriptors, of which 200 are reserved for files."""
MANY = 400
"""Connections of a crowd that leaves free descriptors."""
FEW = 60
"""Connections of a crowd whose clients send megabytes each."""
TOO_MANY = 700
"""Connections of a crowd with more connections than descriptors."""
ANSWER_BYTES = 60 << 10
"""Below the high-water mark of a transport, so that an unread answer may be missed."""
LARGE_ANSWER_BYTES = 1 << 20
EXCHANGE_MAX_S = 20.0
"""Longest wait for the answer to an ordinary request; long, since the machine may be
busy."""
RETRY_S = 0.3
RUNNING_FORMS = frozenset(
    {
        "answers read slowly",
        "fields of queued requests",
        "pipelined requests",
        "unread answers",
    }
)
"""Forms with complete requests. On a path with a route they use the backend server, so
that admission control may refuse the ordinary request with 503 until it is free."""
LIMITS = {
    "maxBodyBytes": 8 << 20,
    "headerTimeoutMs": 600_000,
    "idleTimeoutMs": 600_000,
}
ROUTE, LARGE, NO_ROUTE = b"/read/answer", b"/read/large", b"/none"
WRITE_ROUTE, READINESS, STATUS = b"/write/1", b"/api/readiness", b"/status"
SERVED = (ROUTE, LARGE, WRITE_ROUTE)
STATE = b"/damask/state"
REPORT = b"/api/instances/i-crowd"

CALLER_ROWS = [
    *(
        ("caller", path, count, form)
        for path in (WRITE_ROUTE, NO_ROUTE)
        for count, form in (
            (MANY, "body in one piece"),
            (MANY, "body in small pieces"),
            (MANY, "body in chunks of one byte"),
            (FEW, "body too long, with a length"),
            (FEW, "body too long, without a length"),
            (MANY, "fields of an incomplete head"),
            (MANY, "fields of a trailer"),
            (MANY, "pipelined requests"),
        )
    ),
    ("caller", ROUTE, MANY, "pipelined requests"),
    ("caller", ROUTE, MANY, "unread answers"),
    ("caller", LARGE, FEW, "unread answers"),
    ("caller", ROUTE, MANY, "answers read slowly"),
    ("caller", ROUTE, MANY, "fields of queued requests"),
    ("caller", NO_ROUTE, MANY, "long value without an end"),
    ("caller", NO_ROUTE, FEW, "long value in a trailer"),
    ("caller", WRITE_ROUTE, MANY, "one byte per second"),
    ("caller", WRITE_ROUTE, TOO_MANY, "half a request"),
    ("caller", WRITE_ROUTE, TOO_MANY, "nothing"),
    ("caller", WRITE_ROUTE, TOO_MANY, "one byte per second"),
    ("caller", READINESS, MANY, "body in one piece"),
    ("caller", READINESS, MANY, "pipelined requests"),
]
OTHER_ROWS = [
    *(
        (listener, path, count, form)
        for listener, path in (
            ("readiness", READINESS),
            ("control", REPORT),
            ("metrics", STATUS),
        )
        for count, form in (
            (MANY, "body in one piece"),
            (MANY, "body in chunks of one byte"),
            (FEW, "body too long, without a length"),
            (MANY, "fields of an incomplete head"),
            (FEW, "long value in a trailer"),
            (MANY, "pipelined requests"),
            (TOO_MANY, "half a request"),
        )
    ),
    ("control", STATE, MANY, "unread answers"),
]
PEER_ROWS = [
    ("peer", b"/", count, form)
    for count, form in (
        (FEW, "state one byte short"),
        (MANY, "small frame one byte short"),
        (MANY, "call one byte short"),
        (MANY, "answer one byte short"),
        (FEW, "state before hello"),
        (MANY, "pings"),
        (MANY, "HTTP"),
        (TOO_MANY, "silent peer"),
        (TOO_MANY, "nothing"),
    )
]
MIXED_ROWS = [
    (
        ("caller", ROUTE, MANY // 2, "unread answers"),
        ("caller", WRITE_ROUTE, MANY // 2, "body in one piece"),
    ),
    (
        ("caller", NO_ROUTE, MANY // 2, "fields of an incomplete head"),
        ("peer", b"/", FEW, "state one byte short"),
    ),
    (
        ("caller", WRITE_ROUTE, TOO_MANY, "half a request"),
        ("peer", b"/", TOO_MANY, "silent peer"),
    ),
    (
        ("caller", NO_ROUTE, MANY // 2, "pipelined requests"),
        ("readiness", READINESS, MANY // 2, "pipelined requests"),
    ),
]


def peak_mb(pid):
    """Return the largest resident size that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / KB_PER_MB


class CrowdTests(NodeProcessTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against clients that end, block or exhaust a node."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.crowds = []
        configuration = json.loads(encode_configuration(version=2))
        configuration["limits"] = LIMITS
        self.rows.put("op", "config", json.dumps(configuration).encode())
        self.backend = StampedBackend("i-crowd", "orders")
        self.backend.answer_bytes = {ROUTE: ANSWER_BYTES, LARGE: LARGE_ANSWER_BYTES}
        self.node = self.make_node()
        self.node.settings["backend_address"] = await self.backend.open()
        self.node.settings["memory_limit_mb"] = MACHINE_MB
        # The server reports once, and its node has to serve it during the whole row.
        self.node.settings["heartbeat_interval_ms"] = 600_000
        self.node.write_settings()
        limits = (MACHINE_DESCRIPTORS, MACHINE_DESCRIPTORS)
        await self.node.start(
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        )
        await self.node.until_ready()
        report = report_request(
            "i-crowd",
            self.node.settings["backend_address"],
            "orders",
            slots=8,
            born_ms=1000,
            sequence=1,
        )
        self.assertEqual(await self.exchange("control", report), 200)
        async with asyncio.timeout(EXCHANGE_MAX_S):
            while await self.ordinary_status() != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def asyncTearDown(self):
        for crowd in self.crowds:
            await crowd.close()
        await self.backend.close()
        await super().asyncTearDown()

    async def exchange(self, listener, request):
        """Return the status of one request on a new connection, None without one."""
        pool = ConnectionPool(to_address(self.node.settings["listeners"][listener]))
        try:
            async with asyncio.timeout(EXCHANGE_MAX_S):
                return (await pool.exchange(request)).status
        except (HttpError, TimeoutError):
            return None
        finally:
            pool.close()

    async def ordinary_status(self):
        """Return the status of one request of an ordinary client."""
        fields = [(b"Host", b"shop"), (b"X-Damaskproxy-Request-Id", b"ordinary")]
        request = Request(b"POST", WRITE_ROUTE, fields, b"x" * 1000)
        return await self.exchange("caller", request)

    async def status_after_refusals(self):
        """Return the status of an ordinary request that is sent again after a 503."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + EXCHANGE_MAX_S
        status = await self.ordinary_status()
        while status == 503 and loop.time() < end_s:
            await asyncio.sleep(RETRY_S)
            status = await self.ordinary_status()
        return status

    async def check_node(self, *, is_server_in_use=False):
        """Check what a node owes to its clients and to its machine."""
        process = f"/proc/{self.node.process.pid}"
        self.assertLessEqual(len(os.listdir(f"{process}/fd")), DESCRIPTORS_MAX)
        if is_server_in_use:
            self.assertEqual(await self.status_after_refusals(), 200)
        else:
            self.assertEqual(await self.ordinary_status(), 200)
        self.assertEqual(await self.exchange("readiness", readiness_request()), 200)
        self.assertIsNone(self.node.process.returncode)
        self.assertLess(peak_mb(self.node.process.pid), MACHINE_MB)

    async def check_crowds(self, *rows):
        """Check the node while crowds are connected, and after they have left."""
        for listener, path, count, form in rows:
            address = self.node.settings["listeners"][listener]
            crowd = Crowd(address, count, FORMS[form], listener, path)
            self.crowds.append(crowd)
        await asyncio.gather(*(crowd.open() for crowd in self.crowds))
        is_server_in_use = any(
            path in SERVED and form in RUNNING_FORMS for _, path, _, form in rows
        )
        await self.check_node(is_server_in_use=is_server_in_use)
        for crowd in self.crowds:
            await crowd.close()
        await self.check_node(is_server_in_use=is_server_in_use)

    @params(*CALLER_ROWS)
    async def test_node_survives_clients_of_the_caller_listener(self, *row):
        await self.check_crowds(row)

    @params(*OTHER_ROWS)
    async def test_node_survives_clients_of_other_listeners(self, *row):
        await self.check_crowds(row)

    @params(*PEER_ROWS)
    async def test_node_survives_strangers_at_the_peer_listener(self, *row):
        await self.check_crowds(row)

    @params(*MIXED_ROWS)
    async def test_node_survives_two_crowds_at_once(self, *rows):
        await self.check_crowds(*rows)
