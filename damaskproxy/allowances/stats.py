"""Counters of requests by organisation."""

from collections import Counter

__all__ = ["AllowanceStats"]

NAMES_MAX = 200
"""Organisations with counters of their own, twice as many as in the largest mesh; the
others are counted together, which bounds the labels of the metrics."""
OTHER_ORGANISATIONS = "other"


class AllowanceStats:
    """Counters since the start of the process.

    Attributes
    ----------
    admitted, refused : Counter
        Requests of organisations with a limit, by organisation.
    """

    def __init__(self):
        self.admitted: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self._names: set[str] = set()

    def count(self, name: str, wait_s: float) -> None:
        """Count a request that was admitted, or refused if `wait_s` is above 0."""
        if name not in self._names:
            if len(self._names) < NAMES_MAX:
                self._names.add(name)
            else:
                name = OTHER_ORGANISATIONS
        (self.refused if wait_s > 0 else self.admitted)[name] += 1
