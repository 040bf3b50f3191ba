"""Bounded map of recent attempt ids."""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["RecentIds"]

T = TypeVar("T")


class RecentIds(Generic[T]):
    """Keeps a value per id for at least `retention_s` and at most twice as long.

    Parameters
    ----------
    retention_s : float
        Minimum time for which an id is kept.
    ids_max : int
        Maximum number of ids.
    now_s : callable
        Monotonic clock in seconds.

    Notes
    -----
    Ids are kept in two generations; when the newer one is `retention_s` old, the older
    one is dropped.
    """

    def __init__(self, retention_s: float, ids_max: int, *, now_s: Callable[[], float]):
        self._retention_s = retention_s
        self._ids_max = ids_max
        self._now_s = now_s
        self._new: dict[str, T] = {}
        self._old: dict[str, T] = {}
        self._rotated_s = now_s()

    def __len__(self) -> int:
        return len(self._new) + len(self._old)

    def get(self, attempt_id: str) -> T | None:
        """Return the value of `attempt_id`, or None if it is not kept."""
        self._rotate()
        value = self._new.get(attempt_id)
        return value if value is not None else self._old.get(attempt_id)

    def put(self, attempt_id: str, value: T, *, evict: bool = False) -> bool:
        """Store `value`, and return whether there was room.

        Parameters
        ----------
        evict : bool
            Whether the oldest id is evicted when the map is full.
        """
        self._rotate()
        existing = attempt_id in self._new
        replaced = self._old.pop(attempt_id, None) is not None
        if not existing and not replaced and len(self) >= self._ids_max:
            if not evict:
                return False
            generation = self._old or self._new
            del generation[next(iter(generation))]
        self._new[attempt_id] = value
        return True

    def _rotate(self) -> None:
        age_s = self._now_s() - self._rotated_s
        if age_s < self._retention_s:
            return
        self._old = self._new if age_s < 2 * self._retention_s else {}
        self._new = {}
        self._rotated_s = self._now_s()
