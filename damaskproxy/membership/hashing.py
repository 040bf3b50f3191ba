"""Hashes of node ids and records, and rendezvous hashing."""

import heapq
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from damaskproxy.model import Member, MemberState

__all__ = ["RING_SIZE", "digest_of", "pollers", "rendezvous", "ring_position"]

HASH_BYTES = 8
RING_SIZE = 1 << (8 * HASH_BYTES)
# Odd multiplier of SplitMix64; mixes two hashes without hashing the strings again.
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
MIX_SHIFT = 31
# Room for the members of the largest mesh and its retained dead members.
POSITION_CACHE_SIZE = 16_384
ELIGIBLE = (MemberState.STARTING, MemberState.SERVING)


def digest_of(data: bytes) -> int:
    """Return a 64-bit hash of `data`."""
    return int.from_bytes(blake2b(data, digest_size=HASH_BYTES).digest(), "big")


@lru_cache(maxsize=POSITION_CACHE_SIZE)
def ring_position(node_id: str) -> int:
    """Return the position of a node on the hash ring, from 0 to ``RING_SIZE - 1``."""
    return digest_of(node_id.encode())


def _score(node_id: str, key_hash: int) -> int:
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
        count, node_ids, key=lambda node_id: (_score(node_id, key_hash), node_id)
    )


def pollers(members: Iterable[Member], data_centre: str, count: int = 2) -> list[str]:
    """Return the ids of the nodes that poll the table for a data centre.

    Parameters
    ----------
    members : iterable of Member
        Live members; only those that are starting or serving are eligible.
    data_centre : str
        Data centre whose nodes are candidates.
    count : int
        Number of pollers.

    Returns
    -------
    list of str
        Node ids, equal on all nodes with equal member lists.
    """
    candidates = [
        member.node_id
        for member in members
        if member.data_centre == data_centre and member.state in ELIGIBLE
    ]
    return rendezvous(candidates, f"poll/{data_centre}", count)
