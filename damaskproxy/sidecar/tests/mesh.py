"""Mesh of sidecars in one process, with stand-ins for store and backend servers."""

import asyncio
import json
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from damaskproxy.http1 import ConnectionPool, Request
from damaskproxy.platform.standins import (
    RowStoreStandIn,
    StampedBackend,
    encode_configuration,
    readiness_request,
    report_request,
)
from damaskproxy.sidecar.compose import compose
from damaskproxy.sidecar.lifecycle import start
from damaskproxy.sidecar.settings import load_settings, to_address
from damaskproxy.sidecar.stopping import stop
from demo.processes import free_ports

__all__ = ["MeshTestCase"]

CONNECT_TIMEOUT_S = 8.0
"""Time-out of the client of a test. With 1 s, one of 3,492 tests failed at a load of 20
on 7 cores, since a connection on the loopback interface took longer."""


class Member:
    """One sidecar and its backend server."""

    def __init__(self, name, service):
        self.name = name
        self.backend = StampedBackend(f"i-{name}", service)
        self.born_ms = 1000
        self.sequence = 0
        self.sidecar = None
        self.tasks = []

    async def call(self, target, *, method=b"GET", request_id=b"1", **headers):
        """Send one request to the caller listener, as a local client does."""
        fields = [(b"Host", b"shop"), (b"X-Damaskproxy-Request-Id", request_id)]
        fields += [(k.replace("_", "-").encode(), v) for k, v in headers.items()]
        return await self._exchange("caller", Request(method, target, fields))

    async def control(self, request):
        """Send one request to the control listener, as the backend server does."""
        return await self._exchange("control", request)

    async def report(self, state="ready", *, sequence=None, **status):
        """Send a status report and return the status code of the response.

        Its number follows the last one, unless `sequence` is given.
        """
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        request = report_request(
            self.backend.instance_id,
            self.sidecar.settings.backend_address,
            self.backend.service,
            slots=4,
            born_ms=self.born_ms,
            sequence=sequence,
            state=state,
            **status,
        )
        return (await self.control(request)).status

    async def ready_status(self):
        """Return the status code of the readiness check."""
        return (await self._exchange("readiness", readiness_request())).status

    async def _exchange(self, listener, request):
        """Send one request to a listener of the sidecar on a new connection."""
        address = getattr(self.sidecar.settings.listeners, listener)
        pool = ConnectionPool(to_address(address), CONNECT_TIMEOUT_S)
        try:
            return await pool.exchange(request)
        finally:
            pool.close()


class MeshTestCase:
    """Mix-in that starts a store and sidecars."""

    async def asyncSetUp(self):
        self.stack = AsyncExitStack()
        self.rows = RowStoreStandIn()
        self.store_address = await self.rows.open()
        self.rows.put("op", "config", encode_configuration())
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.members = []

    async def asyncTearDown(self):
        for member in self.members:
            await self.kill(member)
            await member.backend.close()
        await self.rows.close()
        await self.stack.aclose()

    async def start(
        self, name, service="orders", data_centre="a", has_metrics=False, **settings
    ):
        """Start a sidecar and a backend server that reports to it."""
        member = Member(name, service)
        address = await member.backend.open()
        listeners = ["caller", "peer", "readiness", "control"]
        if has_metrics:
            listeners.append("metrics")
        body = {
            "node_id": name,
            "data_centre": data_centre,
            "region": "r",
            "service": service,
            "backend_address": address,
            "listeners": {
                n: f"127.0.0.1:{port}"
                for n, port in zip(listeners, free_ports(len(listeners)))
            },
            "store_address": self.store_address,
            "bounds": {"graceS": 2},
            **settings,
        }
        member.path = self.folder / f"{name}.json"
        member.path.write_text(json.dumps(body), encoding="utf-8")
        self.members.append(member)
        await self.restart(member)
        return member

    async def start_order_servers(self, make_server, caller_service):
        """Start two servers of orders in two data centres, each beside a node.

        Parameters
        ----------
        make_server : callable
            Returns a server, given its instance id.
        caller_service : str
            Service of the node that receives requests; "orders" is that of the first
            server, any other one is that of a third node.

        Returns
        -------
        servers : list
            The servers.
        caller : Member
            Node that receives requests.
        """
        servers = []
        names = ("n1", "n2") if caller_service == "orders" else ("n2", "n3")
        for number, name in enumerate(names):
            server = make_server(f"i-{name}")
            address = await server.open()
            self.addAsyncCleanup(server.close)
            servers.append(server)
            data_centre = "ab"[number]
            await self.start(name, data_centre=data_centre, backend_address=address)
        if caller_service != "orders":
            await self.start("n1", caller_service)
        await self.until_known(2)
        return servers, next(m for m in self.members if m.name == "n1")

    async def restart(self, member, *, report=True):
        """Start the sidecar of a member from its settings file."""
        member.sidecar = compose(load_settings(str(member.path)))
        member.reload = asyncio.Event()
        member.tasks = await start(member.sidecar, str(member.path), member.reload)
        if report:
            await self.until(lambda: member.sidecar.is_ready)
            await member.report()

    async def restart_and_check_leave(self, member, *, callers):
        """Start a sidecar again; check that its server still gets no requests.

        Status reports that say otherwise change nothing.
        """
        await self.restart(member, report=False)
        await self.until(lambda: member.sidecar.is_ready)
        member.sequence = 0
        for number in range(5):
            await member.report("ready")
            for caller in callers:
                answer = await caller.call(b"/read/1", request_id=b"%d" % number)
                self.assertEqual(answer.status, 503)
            await asyncio.sleep(0.05)
        self.assertFalse(member.backend.runs)

    async def kill(self, member):
        """Close the sidecar of a member without a drain."""
        if member.sidecar is None:
            return
        for task in member.tasks:
            task.cancel()
        # A process that has ended does not look for other sources.
        member.sidecar.propagation._is_started = False
        await stop(member.sidecar)
        member.sidecar = None

    async def until(self, condition):
        """Wait until `condition` holds."""
        async with asyncio.timeout(8):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def until_known(self, count, service="orders"):
        """Wait until all sidecars have `count` serving members of a service."""
        await self.until(
            lambda: all(
                len(m.sidecar.directory.serving(service)) == count
                for m in self.members
                if m.sidecar is not None
            )
        )
