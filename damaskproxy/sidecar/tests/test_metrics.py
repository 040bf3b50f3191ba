"""Metrics and status object of a sidecar, and ``damask-node top``."""

import asyncio
import json
import sys
import unittest

from nose2.tools import params
from prometheus_client.parser import text_string_to_metric_families

from damaskproxy.forwarding import LATENCY_BUCKETS_S, RequestStats
from damaskproxy.forwarding.calls import Answer, NotRun, NotRunReason, Unknown
from damaskproxy.http1 import ConnectionPool, Request
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar import format_top
from damaskproxy.sidecar.settings import to_address
from damaskproxy.sidecar.tests.mesh import MeshTestCase


class StatsTests(unittest.TestCase):
    """Guards against lost counts and an unbounded number of labels."""

    def test_latencies_are_counted_in_their_buckets(self):
        stats = RequestStats()
        for elapsed_s in (0.0, LATENCY_BUCKETS_S[0], 0.3, 100.0):
            stats.request_ended("orders", 200, elapsed_s)
        counts = stats.latencies["orders"].counts
        self.assertEqual((counts[0], counts[6], counts[-1]), (2, 1, 1))
        self.assertEqual(sum(counts), stats.requests["orders", 200])

    @params(
        (NotRun(NotRunReason.OVERLOAD), "overload"),
        (Answer(500, [], b""), "backend-error"),
        (Unknown("lost"), "unknown"),
    )
    def test_retry_is_counted_by_the_result_of_the_previous_attempt(
        self, previous, reason
    ):
        stats = RequestStats()
        stats.record_retry(previous)
        self.assertEqual(dict(stats.retries), {reason: 1})

    def test_number_of_service_labels_is_bounded(self):
        stats = RequestStats()
        for number in range(2000):
            stats.request_ended(f"s{number}", 200, 0.1)
        self.assertLessEqual(len(stats.latencies), 1001)
        self.assertEqual(sum(stats.requests.values()), 2000)


class MetricsTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against decisions of a node that its metrics do not show."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.member = await self.start("n1", has_metrics=True)
        self.address = self.member.sidecar.settings.listeners.metrics
        await self.until_known(1)

    async def fetch(self, target, method=b"GET"):
        """Return the response of the metrics listener."""
        pool = ConnectionPool(to_address(self.address))
        self.addCleanup(pool.close)
        return await pool.exchange(Request(method, target, [(b"Host", b"m")]))

    async def samples(self):
        """Return the values of all samples by name and labels."""
        text = (await self.fetch(b"/metrics")).body.decode()
        return {
            (sample.name, *sample.labels.values()): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }

    @params(
        (b"/metrics", b"GET", 200), (b"/x", b"GET", 404), (b"/status", b"POST", 404)
    )
    async def test_other_paths_and_methods_are_not_found(self, target, method, status):
        self.assertEqual((await self.fetch(target, method)).status, status)

    async def test_requests_and_refusals_are_counted(self):
        await self.member.call(b"/read/1", request_id=b"a")
        await self.member.report(state="draining")
        await self.member.call(b"/read/1", request_id=b"b")
        samples = await self.samples()
        self.assertEqual(samples["damask_requests_total", "orders", "200"], 1)
        self.assertEqual(samples["damask_requests_total", "orders", "503"], 1)
        self.assertEqual(samples["damask_refusals_total", "no-member"], 1)
        self.assertEqual(samples["damask_request_seconds_count", "orders"], 2)
        self.assertEqual(samples["damask_ready",], 1)
        self.assertEqual(samples["damask_members",], 1)

    async def test_refusals_before_handling_are_counted_by_listener_and_kind(self):
        for name in ("caller", "control"):
            address = to_address(getattr(self.member.sidecar.settings.listeners, name))
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"no HTTP\r\n\r\n")
            self.assertIn(b" 400 ", await reader.readline())
            writer.close()
        self.member.sidecar.links.closures["no-hello"] += 2
        samples = await self.samples()
        for name in ("caller", "control"):
            self.assertEqual(samples["damask_closures_total", "malformed", name], 1)
        self.assertEqual(samples["damask_closures_total", "no-hello", "peer"], 2)

    async def test_memory_that_is_held_is_shown_by_purpose(self):
        memory = self.member.sidecar.link_memory
        memory.calls.hold(1000)
        samples = await self.samples()
        self.assertEqual(samples["damask_memory_held_bytes", "call_body"], 1000)
        self.assertEqual(samples["damask_memory_held_bytes", "unread_response"], 0)
        self.assertEqual(samples["damask_memory_held_bytes", "budget"], 1000)
        self.assertEqual(samples["damask_memory_held_bytes", "budget_limit"], 150 << 20)
        status = json.loads((await self.fetch(b"/status")).body)
        self.assertEqual(status["held"]["call_body_bytes"], 1000)

    async def test_metrics_before_the_first_status_report(self):
        self.member.sidecar.target._admission = None
        self.member.sidecar.backend.record = None
        samples = await self.samples()
        self.assertEqual(samples["damask_concurrency_limit",], 0)
        status = json.loads((await self.fetch(b"/status")).body)
        self.assertIn("none has reported", format_top(status))

    async def test_top_prints_counts_and_rates(self):
        await self.member.call(b"/read/1", request_id=b"a")
        before = json.loads((await self.fetch(b"/status")).body)
        await self.member.call(b"/read/1", request_id=b"b")
        now = json.loads((await self.fetch(b"/status")).body)
        now["uptime_s"] = before["uptime_s"] + 2.0
        lines = format_top(now, before).splitlines()
        self.assertIn("requests  orders 200: 2 (0.5/s)", lines)
        self.assertIn("members   1 known; serving: orders 1", lines)
        self.assertTrue(any("orders i-n1, 4 slots, serving" in line for line in lines))

    async def test_restored_store_is_counted_and_shown(self):
        self.rows.restore(self.rows.version)
        version = self.rows.put("op", "config", encode_configuration(version=9))
        async with asyncio.timeout(5):
            while self.member.sidecar.configuration.version < 9:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.rows.version, version)
        samples = await self.samples()
        self.assertEqual(samples["damask_store_restores_total",], 1)
        self.assertEqual(samples["damask_store_era",], 1)
        self.assertEqual(samples["damask_store_feed_open",], 1)
        status = json.loads((await self.fetch(b"/status")).body)
        shown = "store     era 1, 1 times restored from an older copy"
        self.assertIn(f"{shown}, in touch 0.0 s ago by n1", format_top(status))

    @params(
        (["--count", "2", "--interval-s", "0.1"], 0, "node      n1"),
        (["--count", "1", "--json"], 0, '"node_id": "n1"'),
    )
    async def test_top_reads_a_running_node(self, options, code, text):
        done_code, output, _ = await self.run_top(self.address, *options)
        self.assertEqual(done_code, code)
        self.assertIn(text, output)

    async def test_top_without_a_node_prints_one_line_of_error(self):
        code, _, errors = await self.run_top("127.0.0.1:1")
        self.assertEqual(code, 3)
        self.assertRegex(errors, r"\Adamask-node: no status from 127.0.0.1:1: .*\n\Z")

    async def run_top(self, *arguments):
        """Run ``damask-node top``; return its exit code, output and errors."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "damaskproxy.node.cli",
            "top",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(30):
            output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()
