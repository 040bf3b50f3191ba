"""Member selection, traffic splitting, poison requests and the frame codec."""

import random
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from damaskproxy.admission.rate import MIN_PER_S
from damaskproxy.forwarding import (
    MemberSelector,
    PoisonRequestDetector,
    member_selection,
)
from damaskproxy.forwarding.calls import (
    Answer,
    LoadReport,
    NotRun,
    NotRunReason,
    Unknown,
)
from damaskproxy.forwarding.delay_meter import DelayMeter
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.forwarding.large_frames import FrameError
from damaskproxy.forwarding.poison_requests import digest_of
from damaskproxy.forwarding.string_table import StringTable
from damaskproxy.forwarding.tests.builders import make_call, make_member, make_route
from damaskproxy.forwarding.traffic_split import TrafficSplitter

NEAR = make_member("near", "a")
FAR = make_member("far", "b")


def ok(in_flight=0, queued=0):
    """Return a successful response with a load report."""
    return Answer(200, [], b"", LoadReport(in_flight, queued, 4, 10, 512))


class MemberSelectorTests(unittest.TestCase):
    """Guards against calls to overloaded, failing or unreachable members."""

    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(member_selection, "boot_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.node_count = 1
        self.member_selector = MemberSelector(
            "a", random.Random(1), lambda: self.node_count
        )

    def choose(self, excluded=()):
        found = self.member_selector.choose([FAR, NEAR], set(excluded))
        return found.node_id if found else None

    def finish(self, member, result, times=1):
        for _ in range(times):
            self.member_selector.started(member)
            self.member_selector.finished(member, result, 0.01)

    @params(
        ("idle", ok(), 1, "near"),
        ("half busy", ok(2), 1, "far"),
        ("full", ok(4, 3), 1, "far"),
        ("failing", Answer(500, [], b""), 3, "far"),
        ("losing responses", Unknown("x"), 3, "far"),
        (
            "rejected by the server",
            NotRun(NotRunReason.BACKEND_REJECTED, True),
            3,
            "far",
        ),
        ("refused by the node", NotRun(NotRunReason.OVERLOAD), 3, "near"),
    )
    def test_local_member_is_preferred_while_healthy_and_idle(
        self, name, result, times, chosen
    ):
        self.finish(NEAR, result, times)
        self.assertEqual(self.choose(), chosen, name)

    @params((True, "far"), (False, "near"))
    def test_member_whose_calls_time_out_is_avoided(self, is_timed_out, chosen):
        for _ in range(3):
            self.member_selector.started(NEAR)
            self.member_selector.finished(NEAR, None, 0.01, is_timed_out=is_timed_out)
        self.assertEqual(self.choose(), chosen)

    def test_calls_in_flight_count_as_load(self):
        for _ in range(3):
            self.member_selector.started(NEAR)
        self.assertEqual(self.choose(), "far")

    def test_tried_members_are_avoided(self):
        self.assertEqual(self.choose({"near"}), "far")
        self.assertIsNone(self.choose({"near", "far"}))

    def test_opened_connection_ends_the_back_off(self):
        self.member_selector.back_off(NEAR)
        self.assertEqual(self.choose(), "far")
        self.member_selector.clear_backoff("near")
        self.assertEqual(self.choose(), "near")

    def test_back_off_grows_exponentially(self):
        pauses = []
        for _ in range(4):
            self.member_selector.back_off(NEAR)
            started_s = self.now_s
            while self.choose() == "far":
                self.now_s += 0.05
            pauses.append(round(self.now_s - started_s, 2))
        self.assertEqual(pauses, sorted(pauses))
        self.assertGreater(pauses[-1], 3 * pauses[0])
        self.member_selector.reset("near")
        self.member_selector.back_off(NEAR)
        self.member_selector.reset("near")
        self.assertEqual(self.choose(), "near")

    def test_failures_decay_with_time(self):
        self.finish(NEAR, Unknown("x"), 5)
        self.assertEqual(self.choose(), "far")
        self.now_s += 20
        self.assertEqual(self.choose(), "near")


class PacingTests(unittest.TestCase):
    """Guards against nodes that exceed the limit of a server together."""

    @params((1, 10.0), (16, 10.0), (200, 10.0), (50, 0.0))
    def test_nodes_share_the_limit(self, nodes, limit_per_s):
        now_s, duration_s = 100.0, 60
        limited = make_member("limited", slots=100)
        backend = msgspec.structs.replace(limited.backend, max_calls_per_s=limit_per_s)
        members = [
            msgspec.structs.replace(limited, backend=backend),
            make_member("open", slots=100),
        ]
        done = Answer(200, [], b"", LoadReport(20, 0, 100, 10, 512))
        calls = 0
        with mock.patch.object(member_selection, "boot_s", lambda: now_s):
            selectors = [
                MemberSelector("a", random.Random(n), lambda: nodes)
                for n in range(nodes)
            ]
            for selector in selectors:
                selector.apply_limit(members[0])
            for _ in range(10 * duration_s):
                now_s += 0.1
                for selector in selectors:
                    chosen = selector.choose(members, set())
                    calls += chosen.node_id == "limited"
                    selector.started(chosen)
                    selector.finished(chosen, done, 0.01)
        allowed_per_s = max(limit_per_s, MIN_PER_S)
        self.assertLessEqual(calls, (duration_s + 0.1) * allowed_per_s + nodes)
        self.assertGreaterEqual(calls, 0.5 * duration_s * limit_per_s)


class SplitterTests(unittest.TestCase):
    """Guards against traffic shares that deviate from the weights."""

    @params(((90, 10),), ((1, 1, 1),), ((5, 0, 15),), ((0.3, 0.7),))
    def test_any_sequence_of_requests_has_the_weighted_shares(self, weights):
        services = tuple((f"s{i}", float(w)) for i, w in enumerate(weights))
        route, splitter = make_route(services=services), TrafficSplitter()
        chosen = [splitter.next_service(route) for _ in range(200)]
        for begin in (0, 37, 100):
            window = chosen[begin : begin + 100]
            for service, weight in services:
                share = window.count(service) / len(window)
                self.assertAlmostEqual(share, weight / sum(weights), delta=0.02)


class PoisonRequestDetectorTests(unittest.TestCase):
    """Guards against a poison request that crashes one backend server after another."""

    POISON = make_call(target=b"/poison")

    def setUp(self):
        self.now_s = 1000.0
        self.announced = 0
        self.detector = PoisonRequestDetector("n1", self.announce, lambda: self.now_s)

    def announce(self):
        self.announced += 1

    def crash(self, *calls):
        digests = [digest_of(call) for call in calls]
        self.detector.record_crash(digests)

    @params((0, True), (60_000, True), (200_000, False), (1 << 62, False))
    def test_crash_dated_in_the_future_does_not_quarantine(self, ahead_ms, counts):
        at_ms = int(self.now_s * 1000) + ahead_ms
        digest = digest_of(self.POISON)
        for node_id in ("n2", "n3"):
            member = make_member(node_id, crashes=((at_ms, (digest,)),))
            self.detector.merge_crashes(member)
        self.assertEqual(self.detector.is_quarantined(self.POISON), counts)

    def test_request_in_flight_at_two_crashes_is_quarantined(self):
        self.crash(self.POISON, make_call())
        self.assertFalse(self.detector.is_quarantined(self.POISON))
        self.crash(self.POISON, make_call(target=b"/other"))
        self.assertTrue(self.detector.is_quarantined(self.POISON))
        self.assertFalse(self.detector.is_quarantined(make_call()))
        self.assertEqual(self.announced, 2)

    @params(
        ({"request_id": b"again"}, True),
        ({"deadline_ms": 5}, True),
        ({"headers": []}, True),
        ({"caller": "tracking"}, False),
        ({"body": b"x"}, False),
        ({"target": b"/poison?x"}, False),
    )
    def test_requests_are_identified_by_caller_target_and_body(self, changes, is_same):
        self.crash(self.POISON)
        self.crash(self.POISON)
        call = msgspec.structs.replace(self.POISON, **changes)
        self.assertEqual(self.detector.is_quarantined(call), is_same)

    def test_own_crash_counts_once_when_the_own_record_is_merged(self):
        self.crash(self.POISON, make_call())
        own = make_member("n1", crashes=self.detector.local_crashes)
        self.detector.merge_crashes(own)
        self.assertFalse(self.detector.is_quarantined(self.POISON))
        self.assertFalse(self.detector.is_quarantined(make_call()))

    def test_crashes_of_other_nodes_count(self):
        self.crash(self.POISON)
        crash = (int(self.now_s * 1000), (digest_of(self.POISON),))
        self.detector.merge_crashes(make_member("n2", crashes=(crash,)))
        self.assertTrue(self.detector.is_quarantined(self.POISON))

    def test_quarantine_ends(self):
        self.crash(self.POISON)
        self.crash(self.POISON)
        self.now_s += 121
        self.assertFalse(self.detector.is_quarantined(self.POISON))


class StringTableTests(unittest.TestCase):
    """Guards against strings and headers that are altered between nodes."""

    HEADERS = [
        (b"Host", b"h"),
        (b"X-Id", b"1"),
        (b"Empty", b""),
        (b"Zero", b"a\0b"),
        (b"Long", b"x" * 100),
    ]

    def test_headers_are_unchanged_and_sent_as_indices_when_repeated(self):
        sender, receiver = (StringTable(frozenset({b"x-id"})) for _ in range(2))
        for _ in range(3):
            packed = sender.pack_headers(self.HEADERS)
            self.assertEqual(receiver.unpack_headers(packed), self.HEADERS)
        self.assertEqual(packed[0], 0)
        self.assertEqual(packed[1][1], b"1")

    def test_new_strings_are_sent_in_full_when_the_table_is_full(self):
        sender, receiver = StringTable(frozenset()), StringTable(frozenset())
        for number in range(1500):
            text = b"text-%d" % (number % 700)
            self.assertEqual(receiver.unpack(sender.pack(text)), text)

    def test_unknown_index_is_an_error(self):
        with self.assertRaises(FrameError):
            StringTable(frozenset()).unpack(7)

    @params(b"\xff\xff\xff\xff", b"\0\0\0\1\xc1", b"\0\0\0\2\x91\x63")
    def test_malformed_stream_is_an_error(self, data):
        with self.assertRaises(FrameError):
            FrameDecoder().feed(data)


class DelayMeterTests(unittest.TestCase):
    """Guards against deadlines that ignore the network delay."""

    @params(
        ("steady", [5, 5, 5], [0, 0, 0]),
        ("delayed", [5, 805, 5], [0, 800, 0]),
        ("lower minimum found", [9, 5, 9], [0, 0, 4]),
    )
    def test_delay_beyond_the_minimum_is_measured(self, name, network_ms, delays_ms):
        meter = DelayMeter()
        found = []
        for number, network_delay_ms in enumerate(network_ms):
            sent_ms = 1_000_000 + number * 100
            arrived_s = (sent_ms + 4_000_000 + network_delay_ms) / 1000
            with mock.patch(
                "damaskproxy.forwarding.delay_meter.boot_s", lambda s=arrived_s: s
            ):
                found.append(meter.delay_ms(sent_ms))
        self.assertEqual(found, delays_ms, name)
