"""Frames of other nodes that are odd, invalid or damaged."""

import unittest

import msgspec
from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common.decoding import INTEGER_MAX
from damaskproxy.directory import MemberRecord
from damaskproxy.forwarding.frame_decoder import FrameDecoder, decode_state
from damaskproxy.forwarding.frames import (
    AnswerFrame,
    Frame,
    HeartbeatFrame,
    StateFrame,
    SubscribeFrame,
    encode_frame,
)
from damaskproxy.forwarding.large_frames import FrameError
from damaskproxy.forwarding.tests.builders import make_member

HUGE = (1 << 64) - 1
"""Largest integer of msgpack."""
LOGGER = "damaskproxy.forwarding.frame_decoder"
ODD_RECORDS = (
    {"version": HUGE},
    {"incarnation": HUGE},
    {"port": 70_000},
    {"port": -1},
    {"host": "a" * 70},
    {"host": "10.0.0.1\0"},
    {"node_id": ""},
    {"node_id": "n" * 70_000},
    {"data_centre": "\1" * 20_000},
    {"version": "1"},
    {"backend": {"instance_id": "a\r\nb", "service": "orders", "slots": 4}},
    {"backend": {"instance_id": "a", "service": "orders", "slots": HUGE}},
    {"state": "resting"},
    {"crashes": [[HUGE, []]]},
)
HEARTBEAT = [12, 1, 2, 3, 4, 5, 6, 7]
ODD_FRAMES = (
    *(
        HEARTBEAT[:position] + [value] + HEARTBEAT[position + 1 :]
        for position in (1, 3, 4, 5, 6, 7)
        for value in (-2, HUGE, "1", None)
    ),
    [7, "text", []],
    [7, b""],
    [2, 1, 1, 99_999, [], b"", None],
    [2, 1, 1, -200, [], b"", None],
    [2, 1, 1, 200, [], b"", [1, 1, 1, HUGE, 1]],
    [2, 1, 1, 200, [], b"", [1, 1, 1, 1, -HUGE // 2]],
    [16, 1, [""], [], []],
    [16, 1, [], [], [["guild", HUGE]]],
    [17, -1, []],
    [18, 1, "guild", -1, 0, 0],
    [18, 1, "guild", 1, 0, -HUGE // 2],
    [19, 1, "guild", 1, HUGE],
    [99],
    [],
    {},
)


def to_wire(body):
    """Return a frame with any content."""
    encoded = msgspec.msgpack.encode(body)
    return len(encoded).to_bytes(4) + encoded


def odd_record(fields):
    """Return the fields of a record of which some are odd."""
    return {**msgspec.to_builtins(make_member("n9")), **fields}


def valid_record(node_id):
    """Return a record as another node sends it."""
    return msgspec.to_builtins(make_member(node_id))


class RecordTests(unittest.TestCase):
    """Guards against one odd record that costs a connection and the other records."""

    @params(*ODD_RECORDS)
    def test_odd_record_is_left_out_of_a_state(self, fields):
        body = [valid_record("n1"), odd_record(fields), valid_record("n2")]
        decoder = FrameDecoder()
        with self.assertLogs(LOGGER, "WARNING"):
            (frame,) = decoder.feed(to_wire([7, b"c", body]))
        expected = StateFrame(b"c", [make_member("n1"), make_member("n2")])
        self.assertEqual(frame, expected)
        self.assertEqual(decoder.feed(encode_frame(frame)), [frame])

    @params(*ODD_RECORDS)
    def test_odd_record_is_left_out_of_a_subscription(self, fields):
        with self.assertLogs(LOGGER, "WARNING"):
            (frame,) = FrameDecoder().feed(to_wire([10, "a", 3, odd_record(fields)]))
        self.assertEqual(frame, SubscribeFrame("a", 3, None))

    @params(*ODD_RECORDS)
    def test_odd_record_is_left_out_of_the_state_of_a_seed(self, fields):
        body = [7, b"c", [odd_record(fields), valid_record("n2")]]
        with self.assertLogs(LOGGER, "WARNING"):
            state = decode_state(msgspec.msgpack.encode(body))
        self.assertEqual(state, StateFrame(b"c", [make_member("n2")]))

    def test_odd_record_is_logged_once(self):
        decoder = FrameDecoder()
        with self.assertLogs(LOGGER, "WARNING") as logs:
            for port in (70_000, 70_000, 70_001, 70_000):
                decoder.feed(to_wire([7, b"", [odd_record({"port": port})]]))
        self.assertEqual(len(logs.records), 2)

    def test_valid_frames_arrive_unchanged(self):
        for frame in (
            StateFrame(b"c", [make_member("n1")]),
            SubscribeFrame("a", 3, make_member("n1")),
            HeartbeatFrame(INTEGER_MAX, HUGE, 0, 1, 2, -1, 0),
            AnswerFrame(1, 1, 42, [], b"", None),
            AnswerFrame(1, 1, 999, [], b"", None),
        ):
            self.assertEqual(FrameDecoder().feed(encode_frame(frame)), [frame])


class RangeTests(unittest.TestCase):
    """Guards against frames that are accepted and fail when they are used."""

    @params(*ODD_FRAMES)
    def test_odd_frame_is_an_error(self, body):
        with self.assertRaises(FrameError):
            FrameDecoder().feed(to_wire(body))

    @params(b"\x91" * 20_000 + b"\x90", b"\x92\x07" + b"\x91" * 20_000 + b"\x90")
    def test_deeply_nested_frame_is_an_error(self, encoded):
        with self.assertRaises(FrameError):
            FrameDecoder().feed(len(encoded).to_bytes(4) + encoded)
        with self.assertRaises(FrameError):
            decode_state(encoded)


VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(1 << 63), HUGE),
        st.floats(),
        st.text(max_size=5),
        st.binary(max_size=5),
    ),
    lambda inner: (
        st.lists(inner, max_size=8)
        | st.dictionaries(
            st.sampled_from(MemberRecord.__struct_fields__), inner, max_size=3
        )
    ),
    max_leaves=20,
)


class GeneratedFrameTests(unittest.TestCase):
    """Guards against any frame that raises another error or cannot be passed on."""

    def check(self, wire):
        try:
            frames = FrameDecoder().feed(wire)
        except FrameError:
            return
        for frame in frames:
            self.assertIsInstance(frame, Frame)
            if isinstance(frame, SubscribeFrame) and frame.record is None:
                continue
            decoded = FrameDecoder().feed(encode_frame(frame))
            self.assertEqual(encode_frame(decoded[0]), encode_frame(frame))

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 15), st.lists(VALUES, max_size=16))
    def test_odd_values(self, tag, fields):
        self.check(to_wire([tag, *fields]))

    @settings(max_examples=200, deadline=None)
    @given(st.lists(VALUES, min_size=7, max_size=7), st.integers(0, 7))
    def test_odd_heartbeat(self, values, position):
        body = [*HEARTBEAT]
        body[position] = values[0]
        self.check(to_wire(body))

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=60))
    def test_any_bytes(self, encoded):
        self.check(encoded)
        self.check(len(encoded).to_bytes(4) + encoded)
        try:
            state = decode_state(encoded)
        except FrameError:
            return
        encode_frame(state)

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_damaged_state(self, data):
        frame = StateFrame(b"c", [make_member("n1"), make_member("n2")])
        wire = bytearray(encode_frame(frame))
        position = data.draw(st.integers(4, len(wire) - 1))
        wire[position] = data.draw(st.integers(0, 255))
        self.check(bytes(wire))
