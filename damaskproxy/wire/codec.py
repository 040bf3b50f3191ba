"""Msgpack codec of the frames of peer streams."""

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.wire.messages import Frame

__all__ = ["WireError", "decode_frame", "encode_frame"]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class WireError(DamaskError):
    """A frame is not valid msgpack or does not match the schema."""


def encode_frame(frame: Frame) -> bytes:
    """Encode `frame` as msgpack."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    WireError
        If `data` is not a valid frame.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise WireError(str(error)) from error
