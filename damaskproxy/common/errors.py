"""Base class of the exceptions of all layers."""

__all__ = ["DamaskError"]


class DamaskError(Exception):
    """Base of every exception that damaskproxy raises on purpose.

    Notes
    -----
    Each layer derives its own error and converts the errors of the layer below.
    """
