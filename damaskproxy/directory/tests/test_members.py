"""Member records of other writers: ranges, and what is done with them later."""

import ipaddress
import time
import unittest

import msgspec
from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common.decoding import INTEGER_MAX
from damaskproxy.directory import (
    Directory,
    MemberRecord,
    RecordError,
    decode_member,
    encode_member,
)
from damaskproxy.model import MemberState
from damaskproxy.propagation.ranking import Ranking

BACKEND = {"instance_id": "i-1", "service": "orders", "slots": 4}
MEMBER = {
    "node_id": "n1",
    "incarnation": 1,
    "version": 1,
    "data_centre": "a",
    "host": "10.0.0.1",
    "port": 7620,
    "state": "serving",
    "backend": BACKEND,
    "crashes": [[1000, ["ab12"]]],
}
HUGE = int("9" * 30)
FAR_MS = int(time.time() * 1000) + 10 * 366 * 86_400_000
DEEP = msgspec.Raw(b"[" * 20_000 + b"]" * 20_000)
ODD_MEMBER_FIELDS = (
    ("node_id", ""),
    ("node_id", "n" * 70_000),
    ("node_id", "n\0"),
    ("incarnation", -1),
    ("incarnation", HUGE),
    ("incarnation", FAR_MS),
    ("incarnation", INTEGER_MAX),
    ("version", -1),
    ("version", HUGE),
    ("version", INTEGER_MAX + 1),
    ("version", None),
    ("data_centre", "a" * 70_000),
    ("data_centre", 1),
    ("host", ""),
    ("host", "backend-1.example"),
    ("host", "10.0.0.1\0"),
    ("host", "a" * 70 + ".example"),
    ("host", "10.0.0.256"),
    ("host", "ü"),
    ("port", 0),
    ("port", -1),
    ("port", 70_000),
    ("port", HUGE),
    ("state", "resting"),
    ("backend", []),
    ("crashes", [[-1, []]]),
    ("crashes", [[HUGE, []]]),
    ("crashes", [[FAR_MS, ["ab12"]]]),
    ("crashes", [[1000, ["a" * 2000]]]),
    ("crashes", [[1000, ["a"] * 2000]]),
    ("crashes", [[1000, []]] * 100),
    ("later", DEEP),
)
ODD_BACKEND_FIELDS = (
    ("instance_id", ""),
    ("instance_id", "i\r\nX-Injected: 1"),
    ("service", ""),
    ("service", "a\n"),
    ("slots", 0),
    ("slots", -1),
    ("slots", HUGE),
    ("state", "resting"),
    ("born_ms", -1),
    ("born_ms", HUGE),
    ("born_ms", FAR_MS),
    ("sequence", HUGE),
    ("warm_at_ms", HUGE),
    ("max_calls_per_s", -1),
    ("max_calls_per_s", msgspec.Raw(b"1e400")),
    ("later", DEEP),
)
EDGE_FIELDS = (
    {"version": INTEGER_MAX},
    {"port": 65_535, "host": "::1"},
    {"port": 1, "host": "0.0.0.0"},
    {"backend": {**BACKEND, "slots": INTEGER_MAX, "sequence": INTEGER_MAX}},
    {"backend": {**BACKEND, "max_calls_per_s": 1e308, "warm_at_ms": INTEGER_MAX}},
    {"backend": None, "crashes": [], "data_centre": ""},
)


def check_uses(test, record):
    """Check that a decoded record can be used for all that nodes do with it."""
    directory = Directory()
    test.assertTrue(directory.merge(record))
    for later in (record, record.successor(), directory.remove(record.node_id)):
        if later is None:
            continue
        for codec in (msgspec.json, msgspec.msgpack):
            encoded = codec.encode(later)
            test.assertEqual(codec.decode(encoded, type=MemberRecord), later)
    test.assertGreater(record.successor().order, record.order)
    ranking = Ranking(record.data_centre)
    ranking.add(record.node_id)
    test.assertIn(record.node_id, ranking)
    test.assertIsNotNone(ipaddress.ip_address(record.host))
    test.assertIn(record.port, range(1, 65_536))
    for digest in directory.bucket_digests():
        test.assertLess(digest, 1 << 64)


class RangeTests(unittest.TestCase):
    """Guards against records that are accepted and fail when they are used."""

    @params(*ODD_MEMBER_FIELDS)
    def test_odd_field_of_a_member_is_rejected(self, field, value):
        with self.assertRaises(RecordError):
            decode_member(msgspec.json.encode({**MEMBER, field: value}))

    @params(*ODD_BACKEND_FIELDS)
    def test_odd_field_of_a_backend_server_is_rejected(self, field, value):
        backend = {**BACKEND, field: value}
        with self.assertRaises(RecordError):
            decode_member(msgspec.json.encode({**MEMBER, "backend": backend}))

    @params(*EDGE_FIELDS)
    def test_values_at_the_ends_of_the_ranges_are_usable(self, fields):
        encoded = msgspec.json.encode({**MEMBER, **fields})
        check_uses(self, decode_member(encoded))

    @params("10.0.0.1", "::1", "fe80::1")
    def test_valid_record_is_unchanged(self, host):
        member = {**MEMBER, "host": host}
        found = msgspec.to_builtins(decode_member(msgspec.json.encode(member)))
        expected = {k: v for k, v in member.items() if k != "state"}
        expected["crashes"] = ((1000, ("ab12",)),)
        self.assertEqual(found, expected)

    def test_unknown_fields_are_ignored(self):
        record = decode_member(msgspec.json.encode({**MEMBER, "later": [{"a": []}]}))
        self.assertEqual(record.node_id, "n1")


class SuccessorTests(unittest.TestCase):
    """Guards against orders that can no longer be exceeded or encoded."""

    @params(
        ((5, 1), (5, 2)),
        ((5, INTEGER_MAX - 1), (5, INTEGER_MAX)),
        ((5, INTEGER_MAX), (6, 0)),
    )
    def test_order_of_a_successor(self, order, expected):
        record = MemberRecord("n1", *order, "a", "10.0.0.1", 1)
        self.assertEqual(record.successor().order, expected)
        removed = record.removed()
        self.assertEqual(
            (removed.order, removed.state), (expected, MemberState.STOPPED)
        )


ODD_VALUES = st.one_of(
    st.none(),
    st.integers(-(1 << 70), 1 << 70),
    st.sampled_from((INTEGER_MAX, INTEGER_MAX + 1, (1 << 64) - 1, 1 << 64, 65_535)),
    st.floats(allow_nan=True, allow_infinity=True),
    st.text(max_size=20),
    st.sampled_from(("10.0.0.1", "::1", "serving", "draining", "\0", "a\r\nb")),
    st.lists(st.tuples(st.integers(), st.lists(st.text(max_size=4), max_size=3))),
)


class GeneratedRecordTests(unittest.TestCase):
    """Guards against any record that raises another error or fails when it is used."""

    def check(self, encoded):
        try:
            record = decode_member(encoded)
        except RecordError:
            return
        check_uses(self, record)

    @settings(max_examples=300, deadline=None)
    @given(
        st.dictionaries(st.sampled_from(tuple(MEMBER)), ODD_VALUES, max_size=2),
        st.dictionaries(
            st.sampled_from(
                (*BACKEND, "state", "born_ms", "sequence", "warm_at_ms")
                + ("max_calls_per_s",)
            ),
            ODD_VALUES,
            max_size=2,
        ),
    )
    def test_odd_fields(self, fields, backend):
        member = {**MEMBER, "backend": {**BACKEND, **backend}, **fields}
        self.check(msgspec.json.encode(member))

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, encoded):
        self.check(encoded)

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_damaged_record(self, data):
        encoded = bytearray(msgspec.json.encode(MEMBER))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] = data.draw(st.integers(0, 255))
        self.check(bytes(encoded))

    def test_valid_record_passes_the_check(self):
        check_uses(
            self,
            decode_member(encode_member(decode_member(msgspec.json.encode(MEMBER)))),
        )
