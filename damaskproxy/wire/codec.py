"""Codec of the peer stream."""

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.wire.messages import Frame

__all__ = ["WireError", "decode_frame", "encode_frame"]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class WireError(DamaskError):
    """A frame that is not valid msgpack or breaks the schema."""


def encode_frame(frame: Frame) -> bytes:
    """Return `frame` as msgpack."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Return the frame in `data`.

    Raises
    ------
    WireError
        If `data` is not a valid frame.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise WireError(str(error)) from error
