"""Limits of organisations over several nodes, from request to status code."""

import asyncio
import json
import unittest
from types import SimpleNamespace
from unittest import mock

from nose2.tools import params

from damaskproxy.allowances import AllowanceBounds, Allowances
from damaskproxy.directory import Configuration, Directory
from damaskproxy.http1 import ClientLimits
from damaskproxy.organisations import Organisation, Organisations
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar import lifecycle
from damaskproxy.sidecar.tests.mesh import MeshTestCase

SLACK = 20
KEY = {"Authorization": b"Bearer key-1"}

LIMITED = Organisation("guild", (b"key-1",), rate_per_s=5, burst=5)
UNLIMITED = Organisation("open", (b"key-2",))


def with_limits(version, **rates):
    """Return a configuration with limited organisations, with keys key-1 and so on."""
    body = json.loads(encode_configuration(version))
    body["tenants"] = {
        name: {"apiKeys": [f"key-{number}"], "ratePerS": rate, "burst": rate}
        for number, (name, rate) in enumerate(rates.items(), 1)
    }
    return json.dumps(body).encode()


class AllowanceTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against requests over a limit that run, and below it that don't."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent = 0

    async def start_nodes(self, version=2, **rates):
        self.rows.put("op", "config", with_limits(version, **rates))
        nodes = [await self.start(f"n{number}") for number in range(3)]
        await self.until_known(3)
        await asyncio.sleep(0.3)
        return nodes

    async def send(self, nodes, count):
        """Send requests to the nodes in turn; return the responses."""
        first, self.sent = self.sent, self.sent + count
        return await asyncio.gather(
            *(
                nodes[number % len(nodes)].call(
                    b"/read/1", request_id=b"%d" % number, **KEY
                )
                for number in range(first, self.sent)
            )
        )

    async def test_requests_over_the_limit_get_429_and_do_not_run(self):
        nodes = await self.start_nodes(guild=4)
        responses = await self.send(nodes, 60)
        refused = [r for r in responses if r.status == 429]
        runs = sum(sum(node.backend.runs.values()) for node in nodes)
        self.assertEqual(runs, 60 - len(refused))
        self.assertLessEqual(runs, (4 * 5 + 4) * 1.1 + SLACK)
        for response in refused:
            self.assertGreater(float(response.header(b"retry-after")), 0)
        counted = [node.sidecar.stats.organisations for node in nodes]
        self.assertEqual(sum(s.admitted["guild"] for s in counted), runs)
        over_limit = [s.refused["guild", "allowance"] for s in counted]
        self.assertEqual(sum(over_limit), len(refused))
        reasons = [node.sidecar.stats.refusals["allowance"] for node in nodes]
        self.assertEqual(sum(reasons), len(refused))

    async def test_requests_below_the_limit_are_served_by_any_node(self):
        nodes = await self.start_nodes(guild=20)
        for number in range(15):
            responses = await self.send([nodes[number // 5]], 1)
            self.assertEqual([r.status for r in responses], [200])
            await asyncio.sleep(0.05)
        self.assertFalse(any(node.sidecar.stats.refusals for node in nodes))

    async def test_owner_is_replaced_and_the_limit_remains(self):
        nodes = await self.start_nodes(guild=10)
        owner_id = nodes[0].sidecar.allowances.describe()[0].owner
        owner = next(node for node in nodes if node.name == owner_id)
        await self.kill(owner)
        others = [node for node in nodes if node is not owner]
        await asyncio.sleep(0.3)
        responses = await self.send(others, 4)
        self.assertEqual([r.status for r in responses], [200] * 4)
        responses = await self.send(others, 80)
        statuses = {r.status for r in responses}
        self.assertEqual(statuses, {200, 429})
        runs = sum(r.status == 200 for r in responses) + 4
        self.assertLessEqual(runs, (10 * 5 + 10) * 1.1 + SLACK)

    async def test_lowered_limit_is_in_force_with_the_configuration(self):
        nodes = await self.start_nodes(guild=100)
        self.rows.put("op", "config", with_limits(3, guild=2))
        await self.until(
            lambda: all(n.sidecar.configuration.version == 3 for n in nodes)
        )
        responses = await self.send(nodes, 80)
        served = sum(r.status == 200 for r in responses)
        self.assertLessEqual(served, (2 * 5 + 2) * 1.1 + SLACK)
        self.rows.put("op", "config", with_limits(4))
        await self.until(
            lambda: all(n.sidecar.configuration.version == 4 for n in nodes)
        )
        self.assertEqual(nodes[0].sidecar.allowances.describe(), [])


class FlushTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a node that wakes up for allowances which nobody has."""

    async def asyncSetUp(self):
        self.wake_ups = 0
        self.real_sleep = asyncio.sleep
        patch = mock.patch.object(lifecycle.asyncio, "sleep", self.sleep)
        patch.start()
        self.addCleanup(patch.stop)
        self.allowances = Allowances("n1", Directory(), mock.Mock(), AllowanceBounds())
        sidecar = SimpleNamespace(allowances=self.allowances)
        task = asyncio.create_task(lifecycle._flush_allowances(sidecar))
        self.addCleanup(task.cancel)

    async def sleep(self, delay_s):
        await self.real_sleep(0)
        self.wake_ups += 1

    async def count_wake_ups(self):
        """Return how often the task wakes up while the event loop runs 20 times."""
        for _ in range(2):
            # The first one lets the task end the sleep that it has begun.
            before = self.wake_ups
            for _ in range(20):
                await self.real_sleep(0)
        return self.wake_ups - before

    def apply(self, version, organisations):
        self.allowances.apply(
            Configuration(version, (), {}, ClientLimits(), b"", organisations)
        )

    @params(
        ("no organisations", None),
        ("an empty list", Organisations([])),
        ("none has a limit", Organisations([UNLIMITED])),
    )
    async def test_node_does_not_wake_up_without_a_limit(self, name, organisations):
        self.assertEqual(await self.count_wake_ups(), 0, name)
        self.apply(2, organisations)
        self.assertEqual(await self.count_wake_ups(), 0)
        self.apply(3, Organisations([LIMITED, UNLIMITED]))
        self.assertGreater(await self.count_wake_ups(), 0)
        self.apply(4, organisations)
        self.assertEqual(await self.count_wake_ups(), 0)
        self.apply(5, Organisations([LIMITED]))
        self.assertGreater(await self.count_wake_ups(), 0)
