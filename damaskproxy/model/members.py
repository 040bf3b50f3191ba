"""Members of the mesh: each is a node next to its local backend server."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Address", "Member", "MemberState"]


class MemberState(StrEnum):
    """Life-cycle state of a member."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Member:
    """Membership record of a node, replicated to all nodes.

    Parameters
    ----------
    node_id : str
        Name of the node, unique in the mesh.
    incarnation : int
        Increases with each start of the node.
    version : int
        Increases with each change within an incarnation; ``(incarnation, version)``
        orders the records of a node.
    region, data_centre : str
        Location from the node's settings.
    peer, control, call : Address
        Listeners for node-to-node calls, control messages and callers.
    state : MemberState
        Life-cycle state.
    service : str
        Service of the backend server, empty while none has announced itself.
    slots : int
        Requests that the backend server runs concurrently.
    heir : str
        Node that has taken over the ledger after a planned stop.
    sealed : bool
        Whether the heir may only answer from recorded outcomes, never dispatch.
    """

    node_id: str
    incarnation: int
    version: int
    region: str
    data_centre: str
    peer: Address
    control: Address
    call: Address
    state: MemberState = MemberState.STARTING
    service: str = ""
    slots: int = 0
    heir: str = ""
    sealed: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key for the records of one node; the newest has the highest."""
        return (self.incarnation, self.version)
