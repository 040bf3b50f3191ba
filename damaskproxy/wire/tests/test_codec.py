"""Round trip of frames through the codec, and rejection of malformed frames."""

import unittest

from nose2.tools import params

from damaskproxy.common import Outcome, Priority, RefusalReason
from damaskproxy.wire import (
    Answer,
    Call,
    Cancel,
    Hello,
    Load,
    Refused,
    WireError,
    decode_frame,
    encode_frame,
)

CALL = Call(
    "a" * 32, "r", "orders", "place", "POST", "/x", [("a", "b")], b"\x00", 0, 5, 100, 50
)


class CodecTests(unittest.TestCase):
    """Guards against lost fields and frames that are not validated."""

    @params(
        Hello("node-1", 3),
        CALL,
        Answer("a", 200, [("x", "y")], b"body", 2, Load(1, 2, 3, 4, 5.0)),
        Refused("a", RefusalReason.LEAVING, Outcome.NOT_RUN),
        Cancel("a"),
    )
    def test_round_trip(self, frame):
        decoded = decode_frame(encode_frame(frame))
        self.assertEqual(type(decoded), type(frame))
        self.assertEqual(encode_frame(decoded), encode_frame(frame))

    @params(
        ("not msgpack", b"\xc1"),
        ("unknown tag", b"\x91\x63"),
        ("truncated", encode_frame(CALL)[:-3]),
        ("negative deadline", encode_frame(CALL).replace(b"\x64\x32", b"\xff\x32")),
        ("unknown reason", encode_frame(Refused("a", "nonsense", Outcome.RUN))),
    )
    def test_malformed(self, _name, data):
        with self.assertRaises(WireError):
            decode_frame(data)

    def test_priority_type(self):
        self.assertIs(decode_frame(encode_frame(CALL)).priority, Priority.CRITICAL)
