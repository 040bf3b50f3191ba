"""Counters of requests by organisation, with a bounded number of names."""

from collections import Counter

__all__ = ["NAMES_MAX", "OTHER_ORGANISATIONS", "OrganisationStats"]

NAMES_MAX = 200
"""Organisations with counters of their own, from the design page; it bounds the labels
of the metrics. They are the first that sent requests since the start."""
OTHER_ORGANISATIONS = "other"
"""Name under which the other organisations are counted together."""


class OrganisationStats:
    """Counters of root requests and calls since the start of the process.

    Attributes
    ----------
    admitted : Counter
        Requests of callers on this VM that were sent to a server, by organisation.
    refused : Counter
        Requests of callers on this VM that were answered as not run, by organisation
        and reason. A request that servers refused is also counted as admitted.
    calls_refused : Counter
        Calls of any node that the local backend server did not run, by organisation.
    """

    def __init__(self):
        self.admitted: Counter[str] = Counter()
        self.refused: Counter[tuple[str, str]] = Counter()
        self.calls_refused: Counter[str] = Counter()
        self._names: set[str] = set()

    @property
    def names(self) -> frozenset[str]:
        """Names of the organisations with counters of their own."""
        return frozenset(self._names)

    def request_admitted(self, name: str) -> None:
        """Count a request whose first attempt is sent to a server."""
        self.admitted[self._label(name)] += 1

    def request_refused(self, name: str, reason: str) -> None:
        """Count a request that was refused as not run."""
        self.refused[self._label(name), reason] += 1

    def call_refused(self, name: str) -> None:
        """Count a call that the local backend server did not run."""
        self.calls_refused[self._label(name)] += 1

    def _label(self, name: str) -> str:
        if name not in self._names:
            if len(self._names) >= NAMES_MAX:
                return OTHER_ORGANISATIONS
            self._names.add(name)
        return name
