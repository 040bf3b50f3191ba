"""What the peers of a node report of contacts with the store."""

from collections.abc import Callable
from dataclasses import dataclass

from damaskproxy.propagation.peer import Peer

__all__ = ["Contact", "ContactReports"]


@dataclass(frozen=True, slots=True)
class Contact:
    """Contact of a node with the store.

    Parameters
    ----------
    node_id : str or None
        Id of the node that was in touch, None if it is not known.
    last_s : float
        Time at which it was in touch last, on the clock of this node.
    """

    node_id: str | None
    last_s: float


class ContactReports:
    """Newest report of each peer.

    Each report replaces the one before it from the same peer: a node that follows the
    store reports contact until its feed fails, and then takes that back. A contact of
    this node that comes back from a peer is no report.

    Parameters
    ----------
    node_id : str
        Id of this node.
    rank_of : callable
        Returns the rank of a running node in the data centre of this node, None for
        other nodes. The first node has rank 0.
    """

    def __init__(self, node_id: str, rank_of: Callable[[str], int | None]):
        self._node_id = node_id
        self._rank_of = rank_of
        self._by_peer: dict[Peer, Contact] = {}

    def record(self, peer: Peer, contact: Contact) -> None:
        """Record a report."""
        if contact.node_id == self._node_id:
            self._by_peer.pop(peer, None)
        else:
            self._by_peer[peer] = contact

    def forget(self, peer: Peer) -> None:
        """Drop the report of a peer that is no neighbour any more."""
        self._by_peer.pop(peer, None)

    def newest(self) -> Contact | None:
        """Return the newest contact, if any."""
        return max(self._by_peer.values(), key=lambda c: c.last_s, default=None)

    def local(self, since_s: float) -> Contact | None:
        """Return the contact of the foremost node of the own data centre, if any.

        Parameters
        ----------
        since_s : float
            Time before which a contact does not count.
        """
        ranked = (
            (rank, contact)
            for contact in self._by_peer.values()
            if contact.last_s >= since_s
            and (rank := self._rank(contact.node_id)) is not None
        )
        _, contact = min(ranked, key=lambda r: (r[0], -r[1].last_s), default=(0, None))
        return contact

    def has_foremost(self, contact: Contact) -> bool:
        """Tell whether the node of a local contact comes before this one."""
        own_rank = self._rank(self._node_id)
        return own_rank is None or self._rank(contact.node_id) < own_rank

    def _rank(self, node_id: str | None) -> int | None:
        return None if node_id is None else self._rank_of(node_id)
