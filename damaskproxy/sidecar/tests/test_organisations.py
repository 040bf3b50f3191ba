"""Organisations in the status object, in ``damask-node top`` and in the metrics."""

import asyncio
import json
import unittest

from nose2.tools import params
from prometheus_client.parser import text_string_to_metric_families

from damaskproxy.forwarding import RequestStats
from damaskproxy.forwarding.organisation_stats import NAMES_MAX, OrganisationStats
from damaskproxy.platform.standins import encode_configuration
from damaskproxy.sidecar.metrics import describe, render_metrics
from damaskproxy.sidecar.tests.mesh import MeshTestCase
from damaskproxy.sidecar.top import format_top

GUILD = {"apiKeys": ["key-1"], "ratePerS": 4, "burst": 4}
COOPERATIVE = {"apiKeys": ["key-2"], "priority": 1}


def with_organisations(version, organisations):
    """Return a configuration with organisations."""
    body = json.loads(encode_configuration(version))
    return json.dumps({**body, "tenants": organisations}).encode()


class OrganisationStatsTests(unittest.TestCase):
    """Guards against an unbounded number of labels and against lost counts."""

    @params(
        ("admitted", lambda stats, name: stats.request_admitted(name), "other"),
        (
            "refused",
            lambda stats, name: stats.request_refused(name, "allowance"),
            ("other", "allowance"),
        ),
        ("calls_refused", lambda stats, name: stats.call_refused(name), "other"),
    )
    def test_number_of_names_is_bounded(self, attribute, count, other):
        stats = OrganisationStats()
        for number in range(10 * NAMES_MAX):
            count(stats, f"o{number}")
        counter = getattr(stats, attribute)
        self.assertEqual(len(counter), NAMES_MAX + 1)
        self.assertEqual(counter.total(), 10 * NAMES_MAX)
        self.assertEqual(counter[other], 9 * NAMES_MAX)

    def test_counters_share_their_names(self):
        stats = OrganisationStats()
        for number in range(NAMES_MAX + 50):
            if number % 2:
                stats.request_refused(f"o{number}", "allowance")
            else:
                stats.request_admitted(f"o{number}")
        refused = {name for name, _ in stats.refused}
        self.assertEqual(len({*stats.admitted, *refused}), NAMES_MAX + 1)
        counts = stats.admitted["other"], stats.refused["other", "allowance"]
        self.assertEqual(counts, (25, 25))

    def test_requests_without_an_organisation_have_no_label(self):
        stats = RequestStats()
        stats.request_refused("no-key")
        stats.call_refused("overload")
        self.assertFalse(stats.organisations.names)


class OrganisationsTests(MeshTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against refusals of an organisation that no operator can see."""

    async def start_with(self, organisations):
        """Start a node with organisations; return its sidecar."""
        body = with_organisations(2, organisations)
        self.rows.put("op", "config", body)
        self.member = await self.start("n1")
        await self.until_known(1)
        sidecar = self.member.sidecar
        await self.until(lambda: sidecar.configuration.version == 2)
        return sidecar

    async def send(self, key, count):
        """Send requests with a key at once; return the status of each."""
        value = b"Bearer " + key
        responses = await asyncio.gather(
            *(
                self.member.call(
                    b"/read/1", request_id=key + b"-%d" % n, Authorization=value
                )
                for n in range(count)
            )
        )
        return [response.status for response in responses]

    def samples(self, sidecar):
        """Return the values of the samples of organisations by name and labels."""
        families = text_string_to_metric_families(render_metrics(sidecar).decode())
        return {
            (sample.name, *sample.labels.values()): sample.value
            for family in families
            for sample in family.samples
            if "organisation" in family.name
        }

    async def test_nothing_is_shown_without_organisations(self):
        sidecar = (await self.start("n1")).sidecar
        await self.until_known(1)
        await self.member_call_without_key()
        self.assertNotIn("organisation", json.dumps(describe(sidecar)))
        self.assertNotIn("organisation", format_top(describe(sidecar)))
        self.assertNotIn(b"organisation", render_metrics(sidecar))

    async def member_call_without_key(self):
        (member,) = self.members
        return await member.call(b"/read/1", request_id=b"a")

    async def test_counts_of_organisations(self):
        sidecar = await self.start_with({"guild": GUILD, "cooperative": COOPERATIVE})
        statuses = await self.send(b"key-1", 60)
        admitted, refused = statuses.count(200), statuses.count(429)
        self.assertGreater(refused, 0)
        self.assertEqual(await self.send(b"key-2", 3), [200] * 3)
        status = json.loads(json.dumps(describe(sidecar)))
        self.assertEqual(status["organisation_count"], 2)
        first, second = status["organisations"]
        self.assertEqual(first["name"], "guild")
        self.assertEqual((first["rate_per_s"], first["burst"]), (4, 4))
        self.assertEqual(first["spent"], admitted)
        self.assertEqual((first["admitted"], first["refused_429"]), (admitted, refused))
        self.assertEqual((first["is_limited"], first["owner"]), (True, "n1"))
        self.assertEqual((second["name"], second["admitted"]), ("cooperative", 3))
        self.assertEqual((second["spent"], second["is_limited"]), (0, False))
        samples = self.samples(sidecar)
        prefix = "damask_organisation"
        self.assertEqual(samples[f"{prefix}_admitted_total", "guild"], admitted)
        self.assertEqual(
            samples[f"{prefix}_refused_total", "guild", "allowance"], refused
        )
        self.assertEqual(samples[f"{prefix}_limited", "guild"], 1)
        self.assertEqual(samples[f"{prefix}_admitted_total", "cooperative"], 3)
        self.assertNotIn((f"{prefix}_limited", "cooperative"), samples)

    async def test_requests_without_a_known_key_are_counted_by_reason(self):
        sidecar = await self.start_with({"guild": GUILD})
        self.assertEqual((await self.member_call_without_key()).status, 401)
        self.assertEqual(await self.send(b"key-9", 2), [401] * 2)
        refusals = {str(k): v for k, v in sidecar.stats.refusals.items()}
        self.assertEqual(refusals, {"no-key": 1, "unknown-key": 2})
        text = render_metrics(sidecar).decode()
        self.assertIn('damask_refusals_total{reason="unknown-key"} 2.0', text)
        self.assertNotIn("key-9", text + json.dumps(describe(sidecar)))

    async def test_output_is_bounded_with_many_organisations(self):
        count = NAMES_MAX + 100
        organisations = {
            f"o{number:03}": {"apiKeys": [f"key-{number}"], "ratePerS": 1, "burst": 1}
            for number in range(count)
        }
        sidecar = await self.start_with(organisations)
        for name in organisations:
            sidecar.stats.organisations.request_admitted(name)
            sidecar.stats.request_refused("allowance", name)
        samples = self.samples(sidecar)
        for name in {name for name, *_ in samples}:
            labels = {key[1] for key in samples if key[0] == name}
            self.assertLessEqual(len(labels), NAMES_MAX + 1, name)
        self.assertEqual(samples["damask_organisation_admitted_total", "other"], 100)
        status = describe(sidecar)
        self.assertEqual(len(status["organisations"]), NAMES_MAX)
        lines = format_top(status).splitlines()
        self.assertEqual(lines[-1], f"and {count - 10} more")
        self.assertLess(len(lines), 30)


class TopTests(unittest.TestCase):
    """Guards against a line that names the wrong state or owner."""

    @params(
        ("open", {}, "4/s", "open, owner n2"),
        ("limited", {"is_limited": True}, "4/s", "limited by n2"),
        ("no owner", {"owner": "", "is_limited": True}, "4/s", "own share, no owner"),
        ("no limit", {"rate_per_s": 0.0, "owner": ""}, "none", "-"),
        ("not counted", {"admitted": None}, "4/s", "open, owner n2"),
    )
    def test_line_of_an_organisation(self, name, changes, limit, state):
        organisation = {
            "name": "guild",
            "priority": 0,
            "rate_per_s": 4.0,
            "burst": 5.0,
            "spent": 7,
            "is_limited": False,
            "owner": "n2",
            "admitted": 8,
            "refused_429": 3,
            "refused": {"allowance": 3, "overload": 2},
            "calls_refused": 6,
            **changes,
        }
        shown = format_top(
            {**EMPTY_STATUS, "organisation_count": 1, "organisations": [organisation]}
        ).splitlines()[-1]
        burst = "-" if limit == "none" else "5"
        counts = ["-"] * 4 if organisation["admitted"] is None else ["8", "3", "2", "6"]
        expected = ["guild", limit, burst, "7", *state.split(), *counts]
        self.assertEqual(shown.split(), expected, name)


EMPTY_STATUS = {
    "node_id": "n1",
    "data_centre": "a",
    "uptime_s": 1.0,
    "is_ready": True,
    "is_stopping": False,
    "is_store_dark": False,
    "store_era": 0,
    "store_restores": 0,
    "store_age_s": 0.0,
    "configuration_version": 1,
    "backend": None,
    "load": None,
    "held_bytes": 0,
    "connections": 0,
    "links": 0,
    "members": [],
    "requests": {},
    "refusals": {},
    "repeats": {},
    "calls_refused": {},
}
"""Status object of a node without a backend server."""
