"""Selection of the nodes that poll the table of the move document."""

from collections.abc import Iterable

from damaskproxy.common.hashing import rendezvous
from damaskproxy.model import Member, MemberState

__all__ = ["pollers"]

ELIGIBLE = (MemberState.STARTING, MemberState.SERVING)


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
