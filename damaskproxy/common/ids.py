"""Identifiers of attempts and the load-shedding ordinal of a request."""

import random
import zlib

__all__ = ["ORDINAL_COUNT", "new_attempt_id", "ordinal_of"]

ATTEMPT_ID_BITS = 128
ORDINAL_COUNT = 128


def new_attempt_id(rng: random.Random) -> str:
    """Return an attempt id of 128 random bits.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    return f"{rng.getrandbits(ATTEMPT_ID_BITS):032x}"


def ordinal_of(identity: str | bytes) -> int:
    """Return the ordinal of a root request, 0 (shed last) to 127 (shed first).

    Parameters
    ----------
    identity : str or bytes
        Identity of the root request, the same at each hop.

    Returns
    -------
    int
        Position of the request within its priority class, compared with the admission
        level.
    """
    if isinstance(identity, str):
        identity = identity.encode()
    return zlib.crc32(identity) % ORDINAL_COUNT
