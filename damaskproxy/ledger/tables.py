"""The part of the table service that the ledger depends on."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from damaskproxy.common import DamaskError

__all__ = ["Table", "TableErrors", "TableRow", "platform_errors", "versions_of"]


class TableRow(Protocol):
    """A row as ``damaskproxy.store.Row``."""

    value: bytes
    version: int


class Table(Protocol):
    """The methods of ``damaskproxy.store.Table`` that are used here."""

    async def read(self, keys: Sequence[str]) -> Mapping[str, TableRow]:
        """Return the rows that exist."""

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes]
    ) -> object:
        """Write all of `puts` if all of `checks` hold."""


@dataclass(frozen=True, slots=True)
class TableErrors:
    """Exceptions of the table client.

    Parameters
    ----------
    unavailable : type
        Raised when the request was not applied.
    unknown : type
        Raised when the answer was lost, so that the request may be applied.
    """

    unavailable: type[Exception]
    unknown: type[Exception]

    @property
    def all(self) -> tuple[type[Exception], ...]:
        """Every exception that an operation may raise, with timeouts."""
        return (self.unavailable, self.unknown, DamaskError, TimeoutError)

    def is_rejection(self, error: Exception) -> bool:
        """Tell whether the table understood the request and will never apply it."""
        transient = (self.unavailable, self.unknown, TimeoutError)
        return not isinstance(error, transient)


def platform_errors() -> TableErrors:
    """Return the exceptions of ``damaskproxy.store``.

    The import is late so that the ledger can be tested without the platform.
    """
    from damaskproxy.store import TableUnavailable, TableUnknown

    return TableErrors(TableUnavailable, TableUnknown)


def versions_of(result: object) -> Mapping[str, int] | None:
    """Return the versions of a ``Committed``, None for a ``Conflict``."""
    return getattr(result, "versions", None)
