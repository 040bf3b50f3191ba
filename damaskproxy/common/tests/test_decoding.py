"""Values of another process that cannot be decoded."""

import unittest

import msgspec
from nose2.tools import params

from damaskproxy.common import DamaskError
from damaskproxy.common.decoding import Count, Name, Rate, decode_or_raise

DEEP = b"[" * 20_000 + b"]" * 20_000


class DecodingTests(unittest.TestCase):
    """Guards against invalid values that raise an error which nobody handles."""

    @params(
        (Count, b"9" * 30),
        (Count, b"9" * 5000),
        (Count, b"-1"),
        (Rate, b"1e400"),
        (Name, b'""'),
        (Name, rb'"a\r\nb"'),
        (Name, b'"\xff"'),
        (Name, rb'"\ud800"'),
        (list, DEEP),
        (int, b""),
    )
    def test_every_failure_is_the_error_of_the_caller(self, kind, encoded):
        decoder = msgspec.json.Decoder(kind)
        with self.assertRaises(DamaskError):
            decode_or_raise(decoder.decode, encoded, DamaskError)

    @params(float("inf"), float("-inf"), float("nan"))
    def test_rate_is_finite(self, value):
        decoder = msgspec.msgpack.Decoder(Rate)
        with self.assertRaises(DamaskError):
            decode_or_raise(decoder.decode, msgspec.msgpack.encode(value), DamaskError)
