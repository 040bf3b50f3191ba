"""Base class of the exceptions of all packages."""

__all__ = ["DamaskError"]


class DamaskError(Exception):
    """Base class of the exceptions that damaskproxy raises for expected failures.

    Notes
    -----
    Each layer derives its own exceptions and translates those of the layer below.
    """
