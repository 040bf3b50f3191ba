"""Connection to another node, as the propagation uses it."""

from typing import Protocol

from damaskproxy.forwarding.frames import Frame

__all__ = ["Peer"]


class Peer(Protocol):
    """Connection to another node.

    Attributes
    ----------
    is_open : bool
        Whether frames can be sent.
    is_unresponsive : bool
        Whether the next connection to the node must be a new one.
    """

    is_open: bool
    is_unresponsive: bool

    def write(self, frame: Frame) -> bool:
        """Send a frame; False if the connection is closed."""
