"""Hashes of node ids and rendezvous hashing, equal on all nodes."""

import heapq
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

__all__ = ["RING_SIZE", "digest_of", "rendezvous", "rendezvous_score", "ring_position"]

HASH_BYTES = 8
RING_SIZE = 1 << (8 * HASH_BYTES)
# Odd multiplier of SplitMix64; mixes two hashes without hashing the strings again.
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
MIX_SHIFT = 31
# Room for the members of the largest mesh and its retained dead members.
POSITION_CACHE_SIZE = 16_384


def digest_of(data: bytes) -> int:
    """Return a 64-bit hash of `data`."""
    return int.from_bytes(blake2b(data, digest_size=HASH_BYTES).digest(), "big")


@lru_cache(maxsize=POSITION_CACHE_SIZE)
def ring_position(node_id: str) -> int:
    """Return the position of a node on the hash ring, from 0 to ``RING_SIZE - 1``."""
    return digest_of(node_id.encode())


def rendezvous_score(node_id: str, key_hash: int) -> int:
    """Return the score of a node for a key; the highest score ranks first."""
    mixed = ((ring_position(node_id) ^ key_hash) * MIX_MULTIPLIER) % RING_SIZE
    mixed ^= mixed >> MIX_SHIFT
    return (mixed * MIX_MULTIPLIER) % RING_SIZE


def rendezvous(node_ids: Iterable[str], key: str, count: int) -> list[str]:
    """Return the `count` nodes with the highest score for `key`, highest first.

    Parameters
    ----------
    node_ids : iterable of str
        Candidates.
    key : str
        What is assigned to the nodes; each key ranks the candidates independently.
    count : int
        Number of nodes to return.

    Returns
    -------
    list of str
        Ids of the nodes, fewer than `count` if there are fewer candidates.
    """
    key_hash = digest_of(key.encode())
    return heapq.nlargest(
        count,
        node_ids,
        key=lambda node_id: (rendezvous_score(node_id, key_hash), node_id),
    )
