"""Bodies of other writers with odd values, and what is done with them later."""

import asyncio
import base64
import time
import unittest

import msgspec
from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common.decoding import INTEGER_MAX
from damaskproxy.directory import RecordError, decode_member, encode_member
from damaskproxy.forwarding import Backend, HelloFrame
from damaskproxy.forwarding.calls import to_priority
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.forwarding.frames import HeartbeatFrame, encode_frame
from damaskproxy.forwarding.link import Link, LinkHandlers
from damaskproxy.forwarding.tests.builders import make_call, make_member
from damaskproxy.forwarding.traffic_split import TrafficSplitter
from damaskproxy.platform.messages import (
    decode_born_ms,
    decode_configuration,
    decode_feed,
    decode_report,
    encode_writes,
    to_rows,
)
from damaskproxy.platform.tests.test_messages import (
    CONFIGURATION,
    REPORT,
    changed,
)

HUGE = int("9" * 30)
DEEP = b"[" * 20_000 + b"]" * 20_000
FAR_MS = int(time.time() * 1000) + 10 * 366 * 86_400_000
ADDRESS = REPORT["address"]


def run_frame(route):
    """Return the frame of a call of a route."""
    handlers = LinkHandlers(None, lambda: 1, None)
    link = Link(handlers, frozenset(), HelloFrame("n1", 1), None, None)
    call = make_call(
        route=route.name, priority=route.priority, deadline_ms=route.timeout_ms
    )
    return link._call_frames.run_frame(1, call)


def check_configuration(test, configuration):
    """Check that a configuration can be used for all that nodes do with it."""
    heartbeat = HeartbeatFrame(configuration.version, 1, 1, 1, 1)
    test.assertEqual(FrameDecoder().feed(encode_frame(heartbeat)), [heartbeat])
    loop = asyncio.new_event_loop()
    test.addCleanup(loop.close)
    for route in configuration.routes:
        frame = run_frame(route)
        test.assertEqual(FrameDecoder().feed(encode_frame(frame)), [frame])
        loop.call_later(route.timeout_ms / 1000, print).cancel()
        to_priority(route.priority)
        test.assertIsNotNone(configuration.match(route.host, route.prefix))
        splitter = TrafficSplitter()
        chosen = [splitter.next_service(route) for _ in range(200)]
        weights = {}
        for service, weight in route.services:
            weights[service] = weights.get(service, 0.0) + weight
        total = sum(weights.values())
        for service, weight in weights.items():
            if total > 0 and len(route.services) > 1:
                share = chosen.count(service) / len(chosen)
                test.assertAlmostEqual(share, weight / total, delta=0.05)
    for service in configuration.services.values():
        test.assertEqual(min(4, service.max_connections), 4)
    limits = configuration.limits
    for limit in (limits.idle_timeout_ms, limits.header_timeout_ms):
        test.assertGreater(limit, -1.0)


def split_of(*weights):
    """Return a configuration whose second route has parts with some weights."""
    parts = [
        {"service": f"s{number}", "weight": weight}
        for number, weight in enumerate(weights)
    ]
    return changed(CONFIGURATION, "routes.two.trafficSplit", parts)


class ConfigurationTests(unittest.TestCase):
    """Guards against configurations that are accepted and fail when they are used."""

    @params(
        ("routes.one.timeoutMs", HUGE),
        ("routes.one.timeoutMs", int("9" * 400)),
        ("routes.one.targetLatencyMs", HUGE),
        ("routes.one.maxAttempts", HUGE),
        ("routes.one.priority", HUGE),
        ("services.orders.maxConnections", HUGE),
        ("limits.idleTimeoutMs", HUGE),
        ("limits.headerTimeoutMs", HUGE),
        ("limits.maxHeaderBytes", HUGE),
        ("limits.maxBodyBytes", HUGE),
        ("routes.one.kind", "other"),
        ("routes.one.host", "\0"),
        ("routes.one.prefix", ""),
        ("version", INTEGER_MAX),
    )
    def test_large_values_of_the_operator_are_usable(self, path, value):
        body = msgspec.json.encode(_with_huge(CONFIGURATION, path, value))
        check_configuration(self, decode_configuration(body))

    @params(
        (90, 10),
        (1e308, 1e308),
        (1e308, 1e308, 1e308),
        (1.7e308, 1),
        (5e-324, 5e-324),
        (0, 1),
        (1, 0, 0),
    )
    def test_weights_keep_their_proportions(self, *weights):
        body = msgspec.json.encode(split_of(*weights))
        check_configuration(self, decode_configuration(body))

    def test_split_without_any_weight_sends_no_request(self):
        body = msgspec.json.encode(split_of(0, 0))
        _, two = decode_configuration(body).routes
        self.assertEqual(TrafficSplitter().next_service(two), "")

    @params(
        (b"1", str(HUGE).encode()),
        (b"1", str(INTEGER_MAX + 1).encode()),
        (b"1", b'1,"later":' + DEEP),
    )
    def test_unusable_configuration_is_rejected(self, old, new):
        body = b'{"version":1,"routes":{},"services":{}}'
        with self.assertRaises(RecordError):
            decode_configuration(body.replace(b":" + old, b":" + new))


def _with_huge(body, path, value):
    """Return a copy of `body` with one value, which may be larger than 64 bits."""
    *parents, last = path.split(".")
    copy = changed(body, path, 0)
    inner = copy
    for name in parents:
        inner = inner[name]
    is_long = isinstance(value, int) and value.bit_length() > 64
    inner[last] = msgspec.Raw(str(value).encode()) if is_long else value
    return copy


class ReportTests(unittest.TestCase):
    """Guards against reports that are accepted and fail when they are used."""

    @params(
        ("i-1\r\nX-Injected: 1", None),
        ("i-1\n", None),
        ("i\0", None),
        ("i\x7f", None),
        ("", None),
        ("i" * 70_000, None),
        ("i-1", ("info.service", "orders\r\n")),
        ("i-1", ("info.slots", HUGE)),
        ("i-1", ("status.sequence", HUGE)),
        ("i-1", ("status.sequence", -1)),
        ("i-1", ("born", HUGE)),
        ("i-1", ("born", FAR_MS)),
        ("i-1", ("status.coldRemainingMs", -1)),
        ("i-1", ("later", msgspec.Raw(DEEP))),
    )
    def test_odd_report_is_rejected(self, instance_id, change):
        body = _with_huge(REPORT, *change) if change else REPORT
        if change and change[0] == "later":
            body = {**REPORT, "later": change[1]}
        with self.assertRaises(RecordError):
            decode_report(instance_id, msgspec.json.encode(body), ADDRESS)

    @params(
        ("status.coldRemainingMs", 1e300),
        ("status.coldRemainingMs", HUGE),
        ("status.sequence", INTEGER_MAX),
        ("info.slots", INTEGER_MAX),
    )
    def test_large_values_of_a_report_are_usable(self, path, value):
        body = msgspec.json.encode(_with_huge(REPORT, path, value))
        check_report(self, decode_report("i-1", body, ADDRESS))

    @params(b'{"born":' + b"9" * 30 + b"}", b'{"a":' + DEEP + b"}", DEEP, b"\xff")
    def test_start_time_of_an_odd_leave_is_unknown(self, body):
        self.assertIsNone(decode_born_ms(body))


def check_report(test, report):
    """Check that the record of a report can be published."""
    backend = Backend(1000, lambda: None)
    test.assertTrue(backend.report(report))
    record = make_member("n1", backend=backend.published_record())
    test.assertEqual(decode_member(encode_member(record)), record)


class FeedTests(unittest.TestCase):
    """Guards against one odd row that hides the other rows of a response."""

    @params(
        {"value": 1},
        {"value": None},
        {"part": 1},
        {"deleted": "no"},
        {"table": []},
    )
    def test_odd_row_leaves_the_others(self, fields):
        value = base64.b64encode(b"v").decode()
        rows = [
            {"key": "a", "ver": 1, "value": value},
            {"key": "b", "ver": 2, **fields},
            {"key": "c", "ver": 3, "value": value},
        ]
        body = decode_feed(msgspec.json.encode({"rows": rows, "ver": 3}))
        found = {row.key: row.value for row in to_rows(body, 0).rows}
        self.assertEqual(found, {"a": b"v", "b": b"", "c": b"v"})

    @params(
        {"ver": HUGE},
        {"ver": -1},
        {"ver": INTEGER_MAX + 1},
        {"rows": [{"ver": 1}]},
        {"rows": [{"key": "a", "ver": -1}]},
        {"rows": [{"key": "a", "ver": HUGE}]},
        {"rows": {}},
        {"truncated": 1},
        {"later": msgspec.Raw(DEEP)},
    )
    def test_unusable_response_is_an_error(self, fields):
        body = {
            name: msgspec.Raw(str(value).encode()) if value == HUGE else value
            for name, value in fields.items()
        }
        if body.get("rows") == [{"key": "a", "ver": HUGE}]:
            body["rows"][0] = {"key": "a", "ver": msgspec.Raw(str(HUGE).encode())}
        with self.assertRaises(RecordError):
            decode_feed(msgspec.json.encode(body))


VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(1 << 63), (1 << 64) - 1),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=5),
    ),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def paths_of(body, prefix=""):
    """Return the paths of all fields of a body."""
    paths = []
    for name, value in body.items():
        paths.append(prefix + name)
        if isinstance(value, dict):
            paths += paths_of(value, f"{prefix}{name}.")
    return paths


class GeneratedBodyTests(unittest.TestCase):
    """Guards against any body that raises another error or fails when it is used."""

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from(paths_of(CONFIGURATION)), VALUES)
    def test_odd_configuration(self, path, value):
        body = msgspec.json.encode(_with_value(CONFIGURATION, path, value))
        try:
            configuration = decode_configuration(body)
        except RecordError:
            return
        check_configuration(self, configuration)

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.floats(0, allow_infinity=False), min_size=1, max_size=4))
    def test_any_weights(self, weights):
        body = msgspec.json.encode(split_of(*weights))
        check_configuration(self, decode_configuration(body))

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from(paths_of(REPORT)), VALUES, st.text(max_size=5))
    def test_odd_report(self, path, value, instance_id):
        body = msgspec.json.encode(_with_value(REPORT, path, value))
        try:
            report = decode_report(instance_id, body, ADDRESS)
        except RecordError:
            return
        check_report(self, report)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.dictionaries(
                st.sampled_from(("key", "ver", "value", "part", "deleted")), VALUES
            ),
            max_size=3,
        ),
        VALUES,
    )
    def test_odd_feed(self, rows, version):
        body = msgspec.json.encode({"rows": rows, "ver": version})
        try:
            feed = decode_feed(body)
        except RecordError:
            return
        found = to_rows(feed, 0)
        position = HeartbeatFrame(1, 1, 1, found.position.version, 1)
        self.assertEqual(FrameDecoder().feed(encode_frame(position)), [position])
        encode_writes("t", found.rows)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=100))
    def test_any_bytes(self, encoded):
        decode_born_ms(encoded)
        for decode in (
            decode_configuration,
            decode_feed,
            lambda body: decode_report("i-1", body, ADDRESS),
        ):
            try:
                decode(encoded)
            except RecordError:
                continue


def _with_value(body, path, value):
    """Return a copy of `body` with one value, which may be None."""
    *parents, last = path.split(".")
    copy = msgspec.json.decode(msgspec.json.encode(body))
    inner = copy
    for name in parents:
        inner = inner[name]
    inner[last] = value
    return copy
