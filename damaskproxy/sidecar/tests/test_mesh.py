"""Requests through sidecars while store, peers or backend servers fail."""

import asyncio
import json
import time
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from damaskproxy.directory import StoreError
from damaskproxy.forwarding import RecordRequestFrame
from damaskproxy.http1 import (
    ConnectFailed,
    ConnectionPool,
    ExchangeLost,
    Request,
)
from damaskproxy.model import MemberState
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar import stopping
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.stopping import drain
from damaskproxy.sidecar.tests.mesh import MeshTestCase

STAMP = b"x-damaskproxy-server-stamp"
HOST = [(b"Host", b"c")]


class PathTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are altered, mixed up or run twice."""

    async def test_request_passes_through_two_nodes_unchanged(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        answer = await one.call(
            b"/read/../x?q=%41",
            X_Own=b"kept",
            X_Damaskproxy_Caller_Service=b"forged",
            X_Damaskproxy_Target_Instance=b"forged",
            X_Damaskproxy_Deadline_Ms=b"500",
        )
        self.assertEqual((answer.status, answer.body), (200, b"from i-n2"))
        self.assertEqual(answer.header(STAMP), b"stamp-i-n2")
        self.assertEqual(answer.header(b"x-damaskproxy-request-id"), b"1")
        request = two.backend.requests[0]
        self.assertEqual(request.target, b"/read/../x?q=%41")
        headers = {n.lower(): v for n, v in request.headers}
        self.assertEqual(len(headers), len(request.headers))
        self.assertEqual(headers[b"x-own"], b"kept")
        self.assertEqual(headers[b"x-damaskproxy-caller-service"], b"stores")
        self.assertEqual(headers[b"x-damaskproxy-target-instance"], b"i-n2")
        self.assertLessEqual(int(headers[b"x-damaskproxy-deadline-ms"]), 500)

    @params((b"/none/", 404), (b"/read", 404), (b"/read/", 200))
    async def test_only_configured_paths_are_served(self, target, status):
        one = await self.start("n1")
        await self.until_known(1)
        self.assertEqual((await one.call(target)).status, status)

    async def test_node_without_a_configuration_refuses_and_is_not_ready(self):
        self.rows.drop("op", "config")
        member = await self.start_unready("n1")
        answer = await member.call(b"/read/1")
        self.assertEqual(answer.status, 503)
        self.assertIsNotNone(answer.header(b"retry-after"))
        self.assertEqual(await member.ready_status(), 503)
        self.rows.put("op", "config", encode_configuration())
        await self.until(lambda: member.sidecar.is_ready)
        self.assertEqual(await member.ready_status(), 200)

    async def start_unready(self, name, **settings):
        """Start a sidecar that does not become ready."""
        restart = self.restart
        self.restart = lambda member: restart(member, report=False)
        try:
            return await self.start(name, **settings)
        finally:
            self.restart = restart

    @params(
        ("idempotent, failing", b"/read/1", "error", 200, 2),
        ("idempotent, cut", b"/read/1", "cut", 200, 2),
        ("idempotent, rejected", b"/read/1", "shed", 200, 1),
        ("idempotent, encoded", b"/read/1", "encoded", 200, 2),
        ("idempotent, without MAC", b"/read/1", "unstamped", 200, 2),
        ("idempotent, endless head", b"/read/1", "endless", 200, 2),
        ("order, failing", b"/write/1", "error", 500, 1),
        ("order, endless head", b"/write/1", "endless", 502, 1),
        ("order, cut", b"/write/1", "cut", 502, 1),
        ("order, rejected", b"/write/1", "shed", 200, 1),
        ("order, encoded", b"/write/1", "encoded", 502, 1),
    )
    async def test_only_requests_safe_to_retry_are_retried(
        self, name, target, fault, status, runs
    ):
        one = await self.start("n1")
        two = await self.start("n2", data_centre="b")
        await self.until_known(2)
        one.backend.faults[target] = fault
        answer = await one.call(target, method=b"POST")
        self.assertEqual(answer.status, status, name)
        total_runs = one.backend.runs[b"1"] + two.backend.runs[b"1"]
        self.assertEqual(total_runs, runs, name)

    @params(
        ("all fail", "error", 500, 2),
        ("all reject", "shed", 503, 0),
        ("all cut", "cut", 502, 2),
    )
    async def test_attempts_are_limited(self, name, fault, status, runs):
        members = [await self.start(f"n{i}") for i in range(1, 4)]
        await self.until_known(3)
        for member in members:
            member.backend.faults[b"/read/1"] = fault
        answer = await members[0].call(b"/read/1")
        self.assertEqual(answer.status, status, name)
        self.assertEqual(sum(m.backend.runs[b"1"] for m in members), runs, name)
        arrivals = runs + sum(m.backend.rejected for m in members)
        self.assertLessEqual(arrivals, 2, name)

    async def test_response_is_sent_at_the_timeout_of_the_route(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.faults[b"/read/1"] = "hang"
        start_s = time.monotonic()
        answer = await one.call(b"/read/1", X_Damaskproxy_Deadline_Ms=b"9000")
        self.assertEqual(answer.status, 504)
        self.assertAlmostEqual(time.monotonic() - start_s, 0.8, delta=0.3)
        await self.until(lambda: two.backend.cancelled == 1)

    async def test_client_disconnect_cancels_the_backend_request_immediately(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.faults[b"/read/1"] = "hang"
        task = asyncio.create_task(one.call(b"/read/1"))
        await self.until(lambda: two.backend.runs[b"1"] == 1)
        task.cancel()
        start_s = time.monotonic()
        await self.until(lambda: two.backend.cancelled == 1)
        self.assertLess(time.monotonic() - start_s, 0.4)


class MembershipTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against calls to servers that have left and against stale directories."""

    async def test_no_call_starts_after_a_confirmed_drain(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        self.assertEqual(await two.report("draining"), 200)
        answer = await one.call(b"/read/1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(await two.report("ready"), 200)
        self.assertEqual((await one.call(b"/read/1")).status, 503)
        self.assertFalse(two.backend.runs)

    async def test_confirmed_drain_survives_a_restart_of_the_node(self):
        two = await self.start("n2")
        await two.report("draining")
        await self.kill(two)
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        two.sequence = 0
        await two.report("ready")
        self.assertEqual((await two.call(b"/read/1")).status, 503)
        self.assertFalse(two.backend.runs)

    async def test_deregistered_server_stays_out(self):
        two = await self.start("n2")
        path = f"/api/instances/{two.backend.instance_id}".encode()
        self.assertEqual(
            (await two.control(Request(b"DELETE", path, HOST))).status, 200
        )
        await two.report("ready")
        self.assertEqual((await two.call(b"/read/1")).status, 503)

    async def start_without_store(self):
        """Start a caller and the node of a server; then the store is unavailable."""
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        await one.call(b"/read/1")
        two.backend.runs.clear()
        self.rows.status = 503
        return one, two

    @params("report", "delete")
    async def test_leave_confirmed_without_the_store_survives_a_restart(self, kind):
        one, two = await self.start_without_store()
        path = f"/api/instances/{two.backend.instance_id}".encode()
        if kind == "report":
            self.assertEqual(await two.report("draining"), 200)
        else:
            answer = await two.control(Request(b"DELETE", path, HOST))
            self.assertEqual(answer.status, 200)
        await self.until(lambda: not one.sidecar.directory.serving("orders"))
        await self.kill(two)
        self.rows.status = 200
        await self.restart_and_check_leave(two, callers=(one, two))

    async def test_leave_is_learnt_from_a_peer_that_answers_late(self):
        """A server that an operator removed passes its health check.

        A node that did not wait for the peer served such a server again.
        """
        one, two = await self.start_without_store()
        path = f"/api/instances/{two.backend.instance_id}".encode()
        answer = await two.control(Request(b"DELETE", path, HOST))
        self.assertEqual(answer.status, 200)
        await self.kill(two)
        self.rows.status = 200
        handle = one.sidecar.propagation.handle
        loop = asyncio.get_running_loop()

        def handle_late(link, frame):
            if isinstance(frame, RecordRequestFrame):
                loop.call_later(0.3, handle, link, frame)
            else:
                handle(link, frame)

        one.sidecar.propagation.handle = handle_late
        await self.restart_and_check_leave(two, callers=(two,))

    @params((True, 200), (False, 503))
    async def test_drain_that_another_node_knows_is_confirmed_without_the_store(
        self, has_peer, status
    ):
        two = await self.start("n2")
        if has_peer:
            one = await self.start("n1", "stores")
            await self.until_known(1)
            await one.call(b"/read/1")
        self.rows.status = 0
        start_s = time.monotonic()
        self.assertEqual(await two.report("draining"), status)
        self.assertLess(time.monotonic() - start_s, 1.0)

    async def test_restarted_node_serves_before_the_next_status_report(self):
        one = await self.start("n1", "stores")
        one.sidecar.propagation.started_s -= 60
        two = await self.start("n2")
        await self.until_known(1)
        await self.kill(two)
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        self.assertEqual((await two.call(b"/read/1")).status, 200)
        await self.until_known(1)
        answer = await one.call(b"/read/2", request_id=b"2")
        self.assertEqual(answer.status, 200)

    @params("nobody", "peer started at the same time", "peer up all the time")
    async def test_restarted_node_serves_once_the_server_says_that_it_has_not_left(
        self, kind
    ):
        two = await self.start("n2")
        if kind != "nobody":
            one = await self.start("n1", "stores")
            if kind == "peer up all the time":
                one.sidecar.propagation.started_s -= 60
            await self.until_known(1)
        await asyncio.sleep(0.1)
        await self.kill(two)
        two.backend.is_leaving = True
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        self.assertEqual((await two.call(b"/read/1")).status, 503)
        row = "serving"
        async with asyncio.timeout(2):
            while row != MemberState.STARTING:
                row = json.loads(self.rows.get("damask-members", "n2"))["backend"].get(
                    "state", MemberState.SERVING
                )
                await asyncio.sleep(0.01)
        await two.report()
        self.assertEqual((await two.call(b"/read/1")).status, 503)
        two.backend.is_leaving = False
        await self.until(lambda: two.sidecar.backend.is_serving)
        self.assertEqual((await two.call(b"/read/1")).status, 200)

    async def test_node_serves_before_the_next_status_report_after_a_planned_stop(self):
        two = await self.start("n2")
        # It was started after the other node, which knows only the planned stop.
        one = await self.start("n1", "stores")
        await self.until_known(1)
        incarnation = two.sidecar.record.incarnation - 60_000
        two.sidecar.record = msgspec.structs.replace(
            two.sidecar.record, incarnation=incarnation
        )
        for member in (one, two):
            member.sidecar.directory._records.pop("n2")
        await drain(two.sidecar)
        await self.until(lambda: two.sidecar.own_row_writer._stored.is_set())
        await self.kill(two)
        one.sidecar.propagation.started_s -= 10
        await self.restart(two, report=False)
        await self.until(lambda: two.sidecar.is_ready)
        self.assertEqual((await two.call(b"/read/1")).status, 200)

    async def test_address_reused_by_another_service_gets_no_calls(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.instance_id = "i-other"
        self.assertEqual((await one.call(b"/read/1")).status, 503)
        self.assertFalse(two.backend.runs)
        two.backend.service, two.born_ms = "stores", 2000
        await two.report()
        self.assertEqual((await one.call(b"/read/2")).status, 503)
        self.assertFalse(two.backend.runs)

    @params(503, 429, 0)
    async def test_node_refused_by_the_store_gets_state_from_peers(self, status):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        await one.call(b"/read/1")
        store = one.sidecar.store

        async def refuse(*_):
            raise StoreError(f"status {status}")

        store._call = refuse
        store.close()
        await self.until(lambda: one.sidecar.store_watcher.is_store_unavailable)
        self.rows.put("op", "config", encode_configuration(5))
        await self.until(lambda: two.sidecar.configuration.version == 5)
        await self.until(lambda: one.sidecar.configuration.version == 5)
        await two.report("draining")
        await self.until(lambda: not one.sidecar.directory.serving("orders"))

    async def test_node_that_starts_without_the_store_joins_through_seeds(self):
        two = await self.start("n2")
        self.rows.status = 503
        seed = two.sidecar.settings.listeners.control
        one = await self.start("n1", "stores", seeds=["127.0.0.1:1", seed])
        self.assertEqual((await one.call(b"/read/1")).status, 200)
        self.assertEqual(await one.ready_status(), 200)

    async def test_newer_configuration_of_a_peer_is_fetched(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        one.tasks[0].cancel()
        self.rows.put("op", "config", encode_configuration(9))
        await self.until(lambda: two.sidecar.configuration.version == 9)
        await one.call(b"/read/1")
        await self.until(lambda: one.sidecar.configuration.version == 9)

    async def test_killed_peer_is_avoided_and_used_again_after_its_restart(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        three = await self.start("n3", data_centre="b")
        await self.until_known(2)
        await self.kill(two)
        for number in range(8):
            answer = await one.call(b"/read/1", request_id=b"%d" % number)
            self.assertEqual(answer.status, 200)
        self.assertEqual(sum(three.backend.runs.values()), 8)
        await self.restart(two)
        await self.until(lambda: _incarnation(one, "n2") == _incarnation(two, "n2"))
        await self.until_known(2)
        self.assertEqual((await one.call(b"/read/1")).status, 200)
        self.assertEqual(sum(two.backend.runs.values()), 1)

    @params(b"\xff\xfe", b"{}", b'{"address": 1}', b"")
    async def test_malformed_status_report_changes_nothing(self, body):
        two = await self.start("n2")
        path = f"/api/instances/{two.backend.instance_id}".encode()
        self.assertEqual(
            (await two.control(Request(b"PUT", path, HOST, body))).status, 400
        )
        self.assertEqual((await two.call(b"/read/1")).status, 200)


class CrashTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against a poison request that crashes one backend server after another."""

    async def test_poison_request_is_refused_at_every_node(self):
        members = [await self.start(f"n{i}") for i in range(1, 5)]
        await self.until_known(4)
        for member in members:
            member.backend.faults[b"/read/poison"] = "hang"
        for number in range(2):
            task = asyncio.create_task(
                members[0].call(b"/read/poison", request_id=b"p%d" % number)
            )
            await self.until(lambda: any(_running(m) for m in members))
            victim = next(m for m in members if _running(m))
            await victim.backend.close()
            await self.until(
                lambda v=victim: len(v.sidecar.poison_detector.local_crashes) == 1
            )
            task.cancel()
            # The retry of a cancelled request must not pass for the next request.
            await self.until(lambda: not any(_running(m) for m in members))
        await self.until(
            lambda: all(len(_crashes(m)) == 2 for m in members if m is not None)
        )
        runs_before = sum(sum(m.backend.runs.values()) for m in members)
        for member in members:
            answer = await member.call(b"/read/poison", request_id=b"again")
            self.assertEqual(answer.status, 503)
        self.assertEqual(
            sum(sum(m.backend.runs.values()) for m in members), runs_before
        )


class StopTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against planned stops that abort requests."""

    async def test_stop_completes_requests_and_accepts_new_ones_at_first(self):
        one = await self.start("n1", "stores", bounds={"graceS": 3})
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.work_s = 0.3
        pool = ConnectionPool(to_address(one.sidecar.settings.listeners.caller))
        fields = [(b"Host", b"shop"), (b"X-Damaskproxy-Request-Id", b"1")]
        request = Request(b"GET", b"/read/1", fields)
        pending = asyncio.create_task(pool.exchange(request))
        await self.until(lambda: two.backend.runs[b"1"] == 1)
        drain_task = asyncio.create_task(drain(one.sidecar))
        await asyncio.sleep(0.05)
        self.assertEqual(await one.ready_status(), 503)
        answer = await pending
        self.assertEqual(answer.status, 200)
        self.assertEqual((await one.call(b"/read/2", request_id=b"2")).status, 200)
        await self.until(
            lambda: two.sidecar.directory.get("n1").state is MemberState.STOPPED
        )
        await drain_task
        pool.close()

    async def test_stopping_node_refuses_requests_that_it_could_not_complete(self):
        one = await self.start("n1", bounds={"graceS": 6})
        await self.until_known(1)
        one.backend.faults[b"/read/1"] = "hang"
        pending = asyncio.create_task(one.call(b"/read/1"))
        await self.until(lambda: one.backend.runs[b"1"] == 1)
        with mock.patch.object(stopping, "STOP_ACCEPT_S", 0.2):
            drain_task = asyncio.create_task(drain(one.sidecar))
            await asyncio.sleep(0.35)
            with self.assertRaises(ConnectFailed):
                await one.call(b"/read/2")
            await drain_task
        self.assertEqual((await pending).status, 504)

    @params("half read", "pipelined")
    async def test_request_late_in_the_grace_time_is_refused_and_not_passed_on(
        self, kind
    ):
        one = await self.start("n1", "stores", bounds={"graceS": 6})
        two = await self.start("n2")
        await self.until_known(1)
        two.backend.work_s = 0.4
        head = (
            b" /write/%d HTTP/1.1\r\nHost: shop\r\nX-Damaskproxy-Request-Id: %d\r\n\r\n"
        )
        late = b"DELETE" + head % (2, 2)
        first = b"DELETE" + head % (1, 1) + late if kind == "pipelined" else late[:30]
        address = to_address(one.sidecar.settings.listeners.caller)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(first)
        with mock.patch.object(stopping, "STOP_ACCEPT_S", 0.1):
            drain_task = asyncio.create_task(drain(one.sidecar))
            await asyncio.sleep(0.2)
            if kind == "half read":
                writer.write(late[30:])
            received = await reader.read()
            await drain_task
        writer.close()
        self.assertRegex(received, rb"(?s)HTTP/1.1 503 .*\r\nConnection: close\r\n")
        self.assertEqual(received.count(b"HTTP/1.1 200"), kind == "pipelined")
        self.assertNotIn(b"2", two.backend.runs)

    async def test_stopping_node_takes_no_calls_from_peers(self):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        drain_task = asyncio.create_task(drain(two.sidecar))
        await asyncio.sleep(0.02)
        self.assertEqual((await one.call(b"/read/1")).status, 503)
        await drain_task

    async def test_node_exits_before_the_platform_kills_it(self):
        one = await self.start("n1", bounds={"graceS": 1})
        await self.until_known(1)
        one.backend.faults[b"/read/1"] = "hang"
        task = asyncio.create_task(one.call(b"/read/1"))
        await self.until(lambda: one.backend.runs[b"1"] == 1)
        start_s = time.monotonic()
        await drain(one.sidecar)
        self.assertLess(time.monotonic() - start_s, 1.0)
        await self.kill(one)
        with self.assertRaises(ExchangeLost):
            await task

    @params(
        ("valid", {"service": "catalogue"}, "catalogue"), ("not valid", None, "stores")
    )
    async def test_changed_settings_are_loaded_without_a_restart(
        self, name, changes, service
    ):
        one = await self.start("n1", "stores")
        two = await self.start("n2")
        await self.until_known(1)
        body = json.loads(one.path.read_text(encoding="utf-8"))
        text = json.dumps({**body, **changes}) if changes else "{"
        one.path.write_text(text, encoding="utf-8")
        one.reload.set()
        await asyncio.sleep(0.05)
        self.assertEqual((await one.call(b"/read/1")).status, 200, name)
        caller = two.backend.requests[-1].header(b"x-damaskproxy-caller-service")
        self.assertEqual(caller, service.encode(), name)


def _running(member):
    backend = member.backend
    return backend.server.busy_count and bool(backend.runs)


def _crashes(member):
    sidecar = member.sidecar
    return [crash for record in sidecar.directory.records() for crash in record.crashes]


def _incarnation(member, node_id):
    return member.sidecar.directory.get(node_id).incarnation
