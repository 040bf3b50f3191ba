"""Queue of waiting calls, ordered by priority."""

import asyncio
import heapq
from collections import deque
from dataclasses import dataclass

from damaskproxy.admission.tickets import Ticket
from damaskproxy.common import Priority

__all__ = ["WaitQueue", "Waiter"]

COMPACT_MIN = 64


@dataclass(slots=True, eq=False)
class Waiter:
    """One waiting call and the future that it awaits."""

    ticket: Ticket
    future: asyncio.Future
    since_s: float
    is_long: bool
    sequence: int = 0
    is_queued: bool = False


class _Lane:
    """Waiting calls of one priority and kind, in both orders, removed lazily."""

    __slots__ = ("_by_age", "_by_ordinal", "live")

    def __init__(self):
        self._by_ordinal: list[tuple[int, int, Waiter]] = []
        self._by_age: deque[Waiter] = deque()
        self.live = 0

    def push(self, waiter: Waiter) -> None:
        key = (waiter.ticket.ordinal, waiter.sequence, waiter)
        heapq.heappush(self._by_ordinal, key)
        self._by_age.append(waiter)
        self.live += 1
        if len(self._by_age) + len(self._by_ordinal) > COMPACT_MIN + 4 * self.live:
            self._compact()

    def _compact(self) -> None:
        self._by_ordinal = [entry for entry in self._by_ordinal if entry[2].is_queued]
        heapq.heapify(self._by_ordinal)
        self._by_age = deque(waiter for waiter in self._by_age if waiter.is_queued)

    def first(self, newest_first: bool) -> Waiter | None:
        if not self.live:
            return None
        if newest_first:
            while not self._by_age[-1].is_queued:
                self._by_age.pop()
            return self._by_age[-1]
        while not self._by_ordinal[0][2].is_queued:
            heapq.heappop(self._by_ordinal)
        return self._by_ordinal[0][2]

    def last(self, newest_first: bool) -> Waiter | None:
        if not self.live:
            return None
        if newest_first:
            while not self._by_age[0].is_queued:
                self._by_age.popleft()
            return self._by_age[0]
        live = (entry for entry in self._by_ordinal if entry[2].is_queued)
        return max(live, key=lambda entry: entry[:2])[2]

    def waiters(self) -> list[Waiter]:
        return [waiter for waiter in self._by_age if waiter.is_queued]


class WaitQueue:
    """Waiting calls by priority, then by ordinal or newest first."""

    def __init__(self):
        self._lanes = [(_Lane(), _Lane()) for _ in Priority]
        self._sequence = 0
        self._short_count = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def short_count(self) -> int:
        """Number of waiting calls that are not long work."""
        return self._short_count

    def push(self, waiter: Waiter) -> None:
        """Add `waiter`."""
        self._sequence += 1
        waiter.sequence = self._sequence
        waiter.is_queued = True
        self._lanes[waiter.ticket.priority][waiter.is_long].push(waiter)
        self._count += 1
        self._short_count += not waiter.is_long

    def remove(self, waiter: Waiter) -> None:
        """Take `waiter` out; nothing happens when it is not queued."""
        if not waiter.is_queued:
            return
        waiter.is_queued = False
        self._lanes[waiter.ticket.priority][waiter.is_long].live -= 1
        self._count -= 1
        self._short_count -= not waiter.is_long

    def first(self, *, newest_first: bool, short_only: bool) -> Waiter | None:
        """Return the waiter that runs next, without taking it out."""
        for short, long in self._lanes:
            candidate = short.first(newest_first)
            other = None if short_only else long.first(newest_first)
            if candidate is None or other is None:
                if candidate or other:
                    return candidate or other
                continue
            return min(candidate, other, key=lambda w: _rank(w, newest_first))
        return None

    def last(self, *, newest_first: bool) -> Waiter | None:
        """Return the waiter that is dropped when the queue is full."""
        for lanes in reversed(self._lanes):
            found = [w for lane in lanes if (w := lane.last(newest_first))]
            if found:
                return max(found, key=lambda w: _rank(w, newest_first))
        return None

    def ahead_of(self, ticket: Ticket, *, newest_first: bool) -> int:
        """Return how many waiting calls would run before `ticket`.

        Notes
        -----
        Within the ticket's own priority the share is estimated from the ordinal, so
        that the cost does not grow with the queue.
        """
        count = 0
        for short, long in self._lanes[: ticket.priority]:
            count += short.live + long.live
        if newest_first:
            return count
        short, long = self._lanes[ticket.priority]
        return count + (short.live + long.live) * (ticket.ordinal + 1) // 128

    def waiters(self) -> list[Waiter]:
        """Return all waiting calls."""
        return [w for lanes in self._lanes for lane in lanes for w in lane.waiters()]


def _rank(waiter: Waiter, newest_first: bool) -> tuple[int, int]:
    if newest_first:
        return (0, -waiter.sequence)
    return (waiter.ticket.ordinal, waiter.sequence)
