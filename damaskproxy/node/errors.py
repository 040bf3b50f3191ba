"""Exceptions of the node."""

from damaskproxy.common import DamaskError

__all__ = ["NodeError"]


class NodeError(DamaskError):
    """The node cannot start or continue."""
