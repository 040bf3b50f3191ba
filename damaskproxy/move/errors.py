"""Errors of the move document."""

from damaskproxy.common import DamaskError

__all__ = ["DocumentDamaged", "DocumentUnavailable", "MoveError"]


class MoveError(DamaskError):
    """Failure of an operation on the move document."""


class DocumentUnavailable(MoveError):
    """The table did not answer, and nothing was changed."""


class DocumentDamaged(MoveError):
    """A row or snapshot of the document cannot be decoded."""
