"""Interface of the table service that the ledger depends on."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from damaskproxy.common import DamaskError

__all__ = ["Table", "TableErrors", "TableRow", "platform_errors", "versions_of"]


class TableRow(Protocol):
    """Interface of ``damaskproxy.store.Row``."""

    value: bytes
    version: int


class Table(Protocol):
    """The methods of ``damaskproxy.store.Table`` that the ledger uses."""

    async def read(self, keys: Sequence[str]) -> Mapping[str, TableRow]:
        """Return the rows that exist."""

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes]
    ) -> object:
        """Write all of `puts` atomically if all versions in `checks` match."""


@dataclass(frozen=True, slots=True)
class TableErrors:
    """Exceptions of the table client.

    Parameters
    ----------
    unavailable : type
        Raised if the request was not applied.
    unknown : type
        Raised if the response was lost, so that the request may have been applied.
    """

    unavailable: type[Exception]
    unknown: type[Exception]

    @property
    def all(self) -> tuple[type[Exception], ...]:
        """All exceptions that an operation may raise, including timeouts."""
        return (self.unavailable, self.unknown, DamaskError, TimeoutError)

    def is_rejection(self, error: Exception) -> bool:
        """Return whether the table rejected the request, so retries are useless."""
        transient = (self.unavailable, self.unknown, TimeoutError)
        return not isinstance(error, transient)


def platform_errors() -> TableErrors:
    """Return the exceptions of ``damaskproxy.store``.

    The import is deferred so that the ledger can be tested without the platform.
    """
    from damaskproxy.store import TableUnavailable, TableUnknown

    return TableErrors(TableUnavailable, TableUnknown)


def versions_of(result: object) -> Mapping[str, int] | None:
    """Return the versions of a ``Committed``, None for a ``Conflict``."""
    return getattr(result, "versions", None)
