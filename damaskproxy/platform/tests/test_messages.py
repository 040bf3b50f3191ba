"""Bodies of the platform, valid and invalid."""

import unittest

import msgspec
from nose2.tools import params

from damaskproxy.directory import RecordError
from damaskproxy.platform.messages import (
    FeedBody,
    RowBody,
    decode_born_ms,
    decode_configuration,
    decode_report,
    to_rows,
)

ROUTE = {
    "host": "Shop.example",
    "prefix": "/a/",
    "kind": "unsafe",
    "timeoutMs": 1500,
    "targetLatencyMs": 2000,
    "priority": 0,
    "service": "orders",
    "maxAttempts": 2,
}
SPLIT = {
    **ROUTE,
    "kind": "safe",
    "service": "",
    "trafficSplit": [
        {"service": "orders", "weight": 90},
        {"service": "stores", "weight": 10},
    ],
}
SERVICE = {"healthPath": "/health", "maxConnections": 532, "protocol": "h1"}
CONFIGURATION = {
    "version": 7,
    "routes": {"one": ROUTE, "two": SPLIT},
    "services": {"orders": SERVICE, "stores": SERVICE},
    "limits": {"maxHeaderBytes": 1000, "idleTimeoutMs": 9000},
}
REPORT = {
    "address": "10.0.0.1:80",
    "born": 1000,
    "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 72},
    "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 250},
}


def changed(body, path, value):
    """Return a copy of `body` with one field replaced, or removed for None."""
    copy = msgspec.json.decode(msgspec.json.encode(body))
    *parents, last = path.split(".")
    inner = copy
    for name in parents:
        inner = inner[name]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return copy


class ConfigurationTests(unittest.TestCase):
    """Guards against a configuration that is misread or partly read."""

    def test_fields_are_translated(self):
        found = decode_configuration(msgspec.json.encode(CONFIGURATION))
        one, two = found.routes
        self.assertEqual((one.host, one.is_idempotent), ("shop.example", False))
        self.assertEqual((one.timeout_ms, one.objective_ms), (1500, 2000))
        self.assertEqual(one.services, (("orders", 1.0),))
        self.assertEqual(two.services, (("orders", 90.0), ("stores", 10.0)))
        self.assertTrue(two.is_idempotent)
        self.assertEqual(found.limits.idle_timeout_ms, 9000)
        self.assertEqual(found.services["stores"].max_connections, 532)

    def test_organisations_are_translated(self):
        body = changed(CONFIGURATION, "routes.one.public", True)
        body["tenants"] = {
            "guild": {"apiKeys": ["k1"], "priority": 1, "ratePerS": 4, "burst": 2},
            "cooperative": {"apiKeys": []},
        }
        found = decode_configuration(msgspec.json.encode(body))
        self.assertEqual([route.is_public for route in found.routes], [True, False])
        guild = found.organisations.find(b"Bearer k1")
        fields = (guild.name, guild.priority, guild.rate_per_s, guild.burst)
        self.assertEqual(fields, ("guild", 1, 4.0, 2.0))
        self.assertFalse(found.organisations.get("cooperative").is_limited)

    @params(("absent", None, False), ("empty", {}, True))
    def test_keys_are_needed_if_organisations_are_configured(self, name, value, needed):
        body = (
            dict(CONFIGURATION) if value is None else {**CONFIGURATION, "tenants": {}}
        )
        found = decode_configuration(msgspec.json.encode(body))
        self.assertEqual(found.authentication is not None, needed, name)

    def test_error_does_not_show_a_key(self):
        body = {**CONFIGURATION, "tenants": {"guild": {"apiKeys": ["secret", 7]}}}
        with self.assertRaises(RecordError) as raised:
            decode_configuration(msgspec.json.encode(body))
        self.assertNotIn("secret", str(raised.exception))

    def test_unknown_fields_are_ignored(self):
        body = {**CONFIGURATION, "later": {"field": 1}}
        self.assertEqual(decode_configuration(msgspec.json.encode(body)).version, 7)

    @params(
        ("version", None),
        ("version", "seven"),
        ("routes", []),
        ("routes.one.timeoutMs", -1),
        ("routes.one.maxAttempts", None),
        ("routes.two.trafficSplit", [{"service": "orders"}]),
        ("services", None),
    )
    def test_invalid_configuration_is_rejected(self, path, value):
        body = msgspec.json.encode(changed(CONFIGURATION, path, value))
        with self.assertRaises(RecordError):
            decode_configuration(body)

    @params(b"", b"{", b"\xff\xfe", b"[]", b"null")
    def test_unreadable_configuration_is_rejected(self, body):
        with self.assertRaises(RecordError):
            decode_configuration(body)


class ReportTests(unittest.TestCase):
    """Guards against invalid reports and those of other backend servers."""

    def test_fields_are_translated(self):
        encoded = msgspec.json.encode(REPORT)
        report = decode_report("i-1", encoded, "10.0.0.1:80")
        self.assertEqual((report.instance_id, report.service), ("i-1", "orders"))
        self.assertEqual((report.slots, report.is_draining), (72, False))
        self.assertEqual((report.born_ms, report.sequence), (1000, 4))
        self.assertEqual(report.cold_ms, 250)

    @params(
        ("status.state", "resting"),
        ("status.state", 1),
        ("status.sequence", "4"),
        ("status", None),
        ("info.slots", 0),
        ("info.service", ""),
        ("info", "orders"),
        ("address", None),
        ("address", "10.0.0.2:80"),
        ("born", "now"),
    )
    def test_invalid_report_is_rejected(self, path, value):
        body = msgspec.json.encode(changed(REPORT, path, value))
        with self.assertRaises(RecordError):
            decode_report("i-1", body, "10.0.0.1:80")

    @params((b'{"born":5}', 5), (b"", None), (b"{}", None), (b'{"born":"x"}', None))
    def test_start_time_of_a_leaving_server_is_optional(self, body, born_ms):
        self.assertEqual(decode_born_ms(body), born_ms)

    def test_value_that_is_not_base64_becomes_empty(self):
        body = FeedBody([RowBody("config", 1, value="%%%"), RowBody("a", 2)], 2)
        self.assertEqual([row.value for row in to_rows(body, 0).rows], [b"", b""])

    def test_rows_of_another_part_are_left_out(self):
        rows = [RowBody("a", 1, value="YQ=="), RowBody("a", 2, part="p", value="Yg==")]
        found = to_rows(FeedBody([*rows, RowBody("b", 3, deleted=True)], 3), 0).rows
        self.assertEqual([(r.key, r.value) for r in found], [("a", b"a"), ("b", None)])
