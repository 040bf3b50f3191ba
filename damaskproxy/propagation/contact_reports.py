"""What the peers of a node report of contacts with the store."""

from collections.abc import Collection
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
    store reports contact until its feed fails, and then takes that back.
    """

    def __init__(self):
        self._by_peer: dict[Peer, Contact] = {}

    def record(self, peer: Peer, contact: Contact) -> None:
        """Record a report."""
        self._by_peer[peer] = contact

    def forget(self, peer: Peer) -> None:
        """Drop the report of a peer that is no neighbour any more."""
        self._by_peer.pop(peer, None)

    def newest(self, peers: Collection[Peer] | None = None) -> Contact | None:
        """Return the newest contact that `peers`, or all, have reported, if any."""
        reports = (
            contact
            for peer, contact in self._by_peer.items()
            if peers is None or peer in peers
        )
        return max(reports, key=_last_s, default=None)


def _last_s(contact: Contact) -> float:
    return contact.last_s
