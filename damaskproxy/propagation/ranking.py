"""Order in which the nodes of a data centre follow the store and each other."""

from bisect import bisect_left, insort

from damaskproxy.common.hashing import digest_of, rendezvous_score

__all__ = ["FANOUT", "Ranking", "local_candidates", "remote_candidates"]

FANOUT = 32
"""Nodes for which one node is the preferred source. A data centre of 1,056 nodes has
two levels below its first node."""
FALLBACK_COUNT = 4
"""First nodes of the order that stand in for a preferred source."""
REMOTE_COUNT = 2
"""First nodes of another data centre that may be a source."""


class Ranking:
    """Nodes of one data centre, ordered by rendezvous hash.

    Parameters
    ----------
    data_centre : str
        Its name determines the order, so that each data centre has its own.

    Notes
    -----
    A node that joins or leaves changes the rank of the nodes behind it by one, and the
    preferred source of few of them. Finding a rank takes a binary search.
    """

    def __init__(self, data_centre: str):
        self._key_hash = digest_of(f"follow/{data_centre}".encode())
        self._entries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, node_id: str) -> bool:
        rank = self.rank(node_id)
        return rank < len(self._entries) and self._entries[rank][1] == node_id

    def add(self, node_id: str) -> None:
        """Insert a node that may be present already."""
        if node_id not in self:
            insort(self._entries, self._entry(node_id))

    def remove(self, node_id: str) -> None:
        """Remove a node that may be absent already."""
        if node_id in self:
            del self._entries[self.rank(node_id)]

    def rank(self, node_id: str) -> int:
        """Return the rank of a node, or the rank that it would have."""
        return bisect_left(self._entries, self._entry(node_id))

    def at(self, rank: int) -> str:
        """Return the node with a rank."""
        return self._entries[rank][1]

    def _entry(self, node_id: str) -> tuple[int, str]:
        return (-rendezvous_score(node_id, self._key_hash), node_id)


def local_candidates(ranking: Ranking, node_id: str) -> list[str]:
    """Return the sources of a node in its own data centre, preferred ones first.

    All of them rank before the node, so that sources form no cycle. The first node of
    the order has none and follows the store.
    """
    rank = ranking.rank(node_id)
    ranks = []
    ancestor = rank
    while ancestor > 0:
        ancestor = (ancestor - 1) // FANOUT
        ranks.append(ancestor)
    ranks += range(min(rank, FALLBACK_COUNT))
    return [ranking.at(r) for r in dict.fromkeys(ranks)]


def remote_candidates(rankings: dict[str, Ranking], data_centre: str) -> list[str]:
    """Return the sources in other data centres, preferred ones first.

    The data centres form a ring, on which the first node of each one follows that of
    the next one. All data centres are candidates, since whole ones may be lost.
    """
    others = sorted(name for name, ranking in rankings.items() if len(ranking))
    start = bisect_left(others, data_centre)
    ring = [name for name in others[start:] + others[:start] if name != data_centre]
    return [
        rankings[name].at(rank)
        for name in ring
        for rank in range(min(REMOTE_COUNT, len(rankings[name])))
    ]
