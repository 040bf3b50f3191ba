"""Errors of the control transport."""

from damaskproxy.common import DamaskError

__all__ = ["ControlError"]


class ControlError(DamaskError):
    """A control call that got no usable reply; it may have been carried out."""
