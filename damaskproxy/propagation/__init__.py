"""Propagation of the configuration and of member records between nodes."""

from damaskproxy.propagation.propagation import Peer, Propagation
from damaskproxy.propagation.ranking import (
    FANOUT,
    Ranking,
    local_candidates,
    remote_candidates,
)

__all__ = [
    "FANOUT",
    "Peer",
    "Propagation",
    "Ranking",
    "local_candidates",
    "remote_candidates",
]
