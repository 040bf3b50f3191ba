"""Frames of the streams between nodes, and their codec."""

from damaskproxy.wire.codec import WireError, decode_frame, encode_frame
from damaskproxy.wire.messages import (
    Answer,
    Call,
    Cancel,
    Frame,
    Hello,
    Load,
    Purpose,
    Refused,
)

__all__ = [
    "Answer",
    "Call",
    "Cancel",
    "Frame",
    "Hello",
    "Load",
    "Purpose",
    "Refused",
    "WireError",
    "decode_frame",
    "encode_frame",
]
