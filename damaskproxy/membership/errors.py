"""Errors of the control transport."""

from damaskproxy.common import DamaskError

__all__ = ["ControlError"]


class ControlError(DamaskError):
    """A control call without a valid reply; the peer may have executed it."""
