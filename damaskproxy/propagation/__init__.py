"""Propagation of the configuration and of member records between nodes."""

from damaskproxy.propagation.peer import Peer
from damaskproxy.propagation.propagation import Propagation
from damaskproxy.propagation.ranking import (
    FANOUT,
    Ranking,
    local_candidates,
    remote_candidates,
)
from damaskproxy.propagation.sources import Sources
from damaskproxy.propagation.store_contact import StoreContact

__all__ = [
    "FANOUT",
    "Peer",
    "Propagation",
    "Ranking",
    "Sources",
    "StoreContact",
    "local_candidates",
    "remote_candidates",
]
