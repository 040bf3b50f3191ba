"""Bounded memory of recent attempt ids."""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["RecentIds"]

T = TypeVar("T")


class RecentIds(Generic[T]):
    """Remembers a value per id for at least `memory_s`, at most twice as long.

    Parameters
    ----------
    memory_s : float
        Time that an id is remembered at least.
    ids_max : int
        Ids remembered at once.
    now_s : callable
        Monotonic clock.

    Notes
    -----
    Ids live in two generations; when the newer one is `memory_s` old, the older one is
    dropped as a whole.
    """

    def __init__(self, memory_s: float, ids_max: int, *, now_s: Callable[[], float]):
        self._memory_s = memory_s
        self._ids_max = ids_max
        self._now_s = now_s
        self._new: dict[str, T] = {}
        self._old: dict[str, T] = {}
        self._rotated_s = now_s()

    def __len__(self) -> int:
        return len(self._new) + len(self._old)

    def get(self, attempt_id: str) -> T | None:
        """Return the value of `attempt_id`, None when it is not remembered."""
        self._rotate()
        value = self._new.get(attempt_id)
        return value if value is not None else self._old.get(attempt_id)

    def put(self, attempt_id: str, value: T, *, evict: bool = False) -> bool:
        """Remember `value`, and tell whether there was room.

        Parameters
        ----------
        evict : bool
            Whether the oldest id makes room when the bound is reached.
        """
        self._rotate()
        known = attempt_id in self._new
        replaced = self._old.pop(attempt_id, None) is not None
        if not known and not replaced and len(self) >= self._ids_max:
            if not evict:
                return False
            generation = self._old or self._new
            del generation[next(iter(generation))]
        self._new[attempt_id] = value
        return True

    def _rotate(self) -> None:
        age_s = self._now_s() - self._rotated_s
        if age_s < self._memory_s:
            return
        self._old = self._new if age_s < 2 * self._memory_s else {}
        self._new = {}
        self._rotated_s = self._now_s()
