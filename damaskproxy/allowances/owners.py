"""Choice of the nodes that keep the allowances of organisations."""

from collections.abc import Iterable

from damaskproxy.common.hashing import digest_of, rendezvous

__all__ = ["CANDIDATES_MAX", "OWNERS_MAX", "OwnerView", "Owners"]

OWNERS_MAX = 2
"""Nodes that own all organisations in the usual case. Each node sends two reports per
second and more to each of them, so fewer owners keep the messages few; with one, all
organisations would change their owner at once."""
CANDIDATES_MAX = 4
"""Owners and the nodes that replace them while they are out of touch, which get no
messages before. With four, 98 % of random cuts of 35 % of the nodes leave a candidate
among the other nodes, and 82 % one among those that are cut off."""
KEY = "allowances"
RANKINGS_MAX = 20_000
"""Rankings that are kept; twice the largest planned number of organisations."""

OwnerView = tuple[tuple[str, ...], frozenset[str]]
"""Candidates that a node knows, and those of them that are out of touch with it."""


class Owners:
    """Candidates for each organisation, equal on nodes with equal members.

    Parameters
    ----------
    own_id : str
        Id of this node, which is no member while it stops.

    Attributes
    ----------
    members : list of str
        Sorted ids of the members whose process runs.
    candidates : tuple of str
        Members that may own organisations, the most preferred first.
    """

    def __init__(self, own_id: str):
        self.own_id = own_id
        self.members: list[str] = []
        self.candidates: tuple[str, ...] = ()
        self._own_index: int | None = None
        self._rankings: dict[tuple[tuple[str, ...], str], tuple[str, ...]] = {}
        self.update(())

    def update(self, running: Iterable[str]) -> bool:
        """Set the running members; return whether they have changed."""
        members = sorted(running) or [self.own_id]
        if members == self.members:
            return False
        self.members = members
        self.candidates = tuple(rendezvous(members, KEY, CANDIDATES_MAX))
        is_member = self.own_id in members
        self._own_index = members.index(self.own_id) if is_member else None
        return True

    def ranking(
        self, organisation: str, candidates: tuple[str, ...] | None = None
    ) -> tuple[str, ...]:
        """Return the candidates in the order in which they own an organisation.

        Parameters
        ----------
        organisation : str
            Name of the organisation.
        candidates : tuple of str, optional
            Candidates that another node knows; those of this node by default.
        """
        if candidates is None:
            candidates = self.candidates
        ranking = self._rankings.get((candidates, organisation))
        if ranking is None:
            if len(self._rankings) >= RANKINGS_MAX:
                self._rankings.clear()
            first = rendezvous(candidates[:OWNERS_MAX], organisation, OWNERS_MAX)
            ranking = (*first, *candidates[OWNERS_MAX:])
            self._rankings[candidates, organisation] = ranking
        return ranking

    def owner_in(self, view: OwnerView, organisation: str) -> str | None:
        """Return the owner of an organisation for a node with a view, None if none."""
        candidates, lost = view
        for node_id in self.ranking(organisation, candidates):
            if node_id not in lost:
                return node_id
        return None

    def whole_part(self, tokens: int, organisation: str) -> int:
        """Return the part of this node in whole tokens that all members divide.

        The members that get one more differ between organisations.
        """
        if self._own_index is None:
            return 0
        count = len(self.members)
        position = (self._own_index + digest_of(organisation.encode())) % count
        return tokens // count + (position < tokens % count)
