"""Errors of the move document."""

from damaskproxy.common import DamaskError

__all__ = ["DocumentDamaged", "DocumentUnavailable", "MoveError"]


class MoveError(DamaskError):
    """An operation on the move document failed."""


class DocumentUnavailable(MoveError):
    """The table is unavailable; nothing was changed."""


class DocumentDamaged(MoveError):
    """A row or snapshot of the document cannot be decoded."""
