"""Hash ring of the live members and the neighbours of each node on it."""

from bisect import bisect_left

from damaskproxy.common.hashing import RING_SIZE, ring_position

__all__ = ["LINK_COUNT", "SUCCESSOR_COUNT", "Ring"]

SUCCESSOR_COUNT = 3
LINK_COUNT = 5
# Bits of a node's ring position that vary the distance of each long-distance link.
JITTER_BITS = 8


def _link_distance(position: int, number: int, size: int) -> int:
    """Return the ring distance of a long-distance link; lower numbers reach further.

    The distances form a geometric series between two ring steps and the whole ring, so
    that flooding an update takes a logarithmic number of hops. They vary from node to
    node, since with equal distances many paths would end at the same nodes and flooding
    would take more hops.
    """
    share = size ** (-number / (LINK_COUNT + 1))
    bits = (position >> (JITTER_BITS * number)) % (1 << JITTER_BITS)
    jitter = 0.75 + 0.75 * bits / (1 << JITTER_BITS)
    return int(RING_SIZE * min(share * jitter, 0.99))


class Ring:
    """Live members, ordered by the hashes of their ids.

    Members are added to and removed from two sorted lists. Finding the neighbours takes
    a few binary searches.
    """

    def __init__(self):
        self._positions: list[int] = []
        self._ids: list[str] = []

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, node_id: str) -> bool:
        return self._index(node_id) is not None

    def _index(self, node_id: str) -> int | None:
        position = ring_position(node_id)
        index = bisect_left(self._positions, position)
        while index < len(self._ids) and self._positions[index] == position:
            if self._ids[index] == node_id:
                return index
            index += 1
        return None

    def add(self, node_id: str) -> None:
        """Insert a member that is not on the ring."""
        position = ring_position(node_id)
        index = bisect_left(self._positions, position)
        self._positions.insert(index, position)
        self._ids.insert(index, node_id)

    def remove(self, node_id: str) -> None:
        """Remove a member that is on the ring."""
        index = self._index(node_id)
        if index is None:
            raise KeyError(node_id)
        del self._positions[index]
        del self._ids[index]

    def neighbours(self, node_id: str) -> tuple[list[str], list[str]]:
        """Return the successors and the long-distance links of a node.

        Parameters
        ----------
        node_id : str
            Node on or off the ring.

        Returns
        -------
        successors : list of str
            Up to three members that follow the node on the ring.
        links : list of str
            Up to five members at increasing distances, without the successors.
        """
        position = ring_position(node_id)
        start = bisect_left(self._positions, position)
        count = len(self._ids)
        successors: list[str] = []
        for step in range(count):
            candidate = self._ids[(start + step) % count]
            if candidate != node_id:
                successors.append(candidate)
            if len(successors) == SUCCESSOR_COUNT:
                break
        return successors, self._links(node_id, position, successors)

    def _links(self, node_id: str, position: int, successors: list[str]) -> list[str]:
        count = len(self._ids)
        if count <= SUCCESSOR_COUNT + 1:
            return []
        # Rounding to a power of two keeps links stable under small changes of the size.
        size = 1 << (count - 1).bit_length()
        links: list[str] = []
        for number in range(LINK_COUNT, 0, -1):
            point = (position + _link_distance(position, number, size)) % RING_SIZE
            candidate = self._ids[bisect_left(self._positions, point) % count]
            if candidate not in (node_id, *successors, *links):
                links.append(candidate)
        return links
