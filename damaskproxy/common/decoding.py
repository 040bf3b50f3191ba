"""Decoding of values that another process has written."""

import sys
from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

from damaskproxy.common.errors import DamaskError

__all__ = [
    "INTEGER_MAX",
    "Count",
    "Name",
    "PositiveCount",
    "Rate",
    "decode_or_raise",
]

Value = TypeVar("Value")

INTEGER_MAX = (1 << 63) - 1
"""Largest integer that JSON and msgpack both carry exactly."""

Count = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=INTEGER_MAX)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
"""A finite number; msgpack also carries infinity and NaN."""
Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=65_536, pattern=r"^[^\x00-\x1f\x7f]+\Z")
]
"""Text without control characters, which can be sent as the value of a header."""


def decode_or_raise(
    decode: Callable[[bytes], Value], encoded: bytes, error_type: type[DamaskError]
) -> Value:
    """Return ``decode(encoded)``, and report every failure as one type of error.

    Parameters
    ----------
    decode : callable
        Decodes a value.
    encoded : bytes
        Encoded value of another process.
    error_type : type
        Error that the caller handles.

    Raises
    ------
    DamaskError
        An error of `error_type`. Deeply nested values raise `RecursionError` in
        msgspec, also within fields that are not decoded.
    """
    try:
        return decode(encoded)
    except (ValueError, ArithmeticError, RecursionError) as error:
        raise error_type(str(error)) from error
