"""Priority queue of calls that wait for admission."""

import asyncio
import heapq
from collections import deque
from dataclasses import dataclass

from damaskproxy.admission.tickets import Ticket
from damaskproxy.common import Priority

__all__ = ["CallQueue", "QueuedCall"]

COMPACT_MIN = 64


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A queued call and the future that it awaits."""

    ticket: Ticket
    future: asyncio.Future
    queued_at_s: float
    is_long: bool
    sequence: int = 0
    is_queued: bool = False


class _Lane:
    """Queued calls of one priority that are all short or all long-running.

    They are kept in two orders, by ordinal and by age, and removed lazily from both.
    """

    __slots__ = ("_by_age", "_by_ordinal", "count")

    def __init__(self):
        self._by_ordinal: list[tuple[int, int, QueuedCall]] = []
        self._by_age: deque[QueuedCall] = deque()
        self.count = 0

    def push(self, call: QueuedCall) -> None:
        key = (call.ticket.ordinal, call.sequence, call)
        heapq.heappush(self._by_ordinal, key)
        self._by_age.append(call)
        self.count += 1
        if len(self._by_age) + len(self._by_ordinal) > COMPACT_MIN + 4 * self.count:
            self._compact()

    def _compact(self) -> None:
        self._by_ordinal = [entry for entry in self._by_ordinal if entry[2].is_queued]
        heapq.heapify(self._by_ordinal)
        self._by_age = deque(call for call in self._by_age if call.is_queued)

    def first(self, newest_first: bool) -> QueuedCall | None:
        if not self.count:
            return None
        if newest_first:
            while not self._by_age[-1].is_queued:
                self._by_age.pop()
            return self._by_age[-1]
        while not self._by_ordinal[0][2].is_queued:
            heapq.heappop(self._by_ordinal)
        return self._by_ordinal[0][2]

    def last(self, newest_first: bool) -> QueuedCall | None:
        if not self.count:
            return None
        if newest_first:
            while not self._by_age[0].is_queued:
                self._by_age.popleft()
            return self._by_age[0]
        queued = (entry for entry in self._by_ordinal if entry[2].is_queued)
        return max(queued, key=lambda entry: entry[:2])[2]

    def calls(self) -> list[QueuedCall]:
        return [call for call in self._by_age if call.is_queued]


class CallQueue:
    """Queued calls by priority, and within one by ordinal or newest first.

    Calls of requests that servers have already worked on go before new requests of the
    same priority. A full queue refuses the last call in this order.
    """

    def __init__(self):
        self._lanes = [(_Lane(), _Lane()) for _ in range(2 * len(Priority))]
        self._sequence = 0
        self._short_count = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def short_count(self) -> int:
        """Number of queued calls that are not long-running."""
        return self._short_count

    def push(self, call: QueuedCall) -> None:
        """Add `call` to the queue."""
        self._sequence += 1
        call.sequence = self._sequence
        call.is_queued = True
        self._lanes[_rank(call.ticket)][call.is_long].push(call)
        self._count += 1
        self._short_count += not call.is_long

    def remove(self, call: QueuedCall) -> None:
        """Remove `call`; no effect if it is not queued."""
        if not call.is_queued:
            return
        call.is_queued = False
        self._lanes[_rank(call.ticket)][call.is_long].count -= 1
        self._count -= 1
        self._short_count -= not call.is_long

    def first(self, *, newest_first: bool, short_only: bool) -> QueuedCall | None:
        """Return the call that runs next, without removing it."""
        for short, long in self._lanes:
            short_candidate = short.first(newest_first)
            long_candidate = None if short_only else long.first(newest_first)
            if short_candidate is None or long_candidate is None:
                if short_candidate or long_candidate:
                    return short_candidate or long_candidate
                continue
            return min(
                short_candidate,
                long_candidate,
                key=lambda call: _sort_key(call, newest_first),
            )
        return None

    def last(self, *, newest_first: bool) -> QueuedCall | None:
        """Return the call that is refused when the queue is full."""
        for lanes in reversed(self._lanes):
            candidates = [call for lane in lanes if (call := lane.last(newest_first))]
            if candidates:
                return max(candidates, key=lambda call: _sort_key(call, newest_first))
        return None

    def ahead_of(self, ticket: Ticket, *, newest_first: bool) -> int:
        """Return how many queued calls would run before `ticket`.

        Notes
        -----
        Among calls of its own rank the number is estimated from the ordinal, so that
        the cost does not grow with the length of the queue.
        """
        count = 0
        rank = _rank(ticket)
        for short, long in self._lanes[:rank]:
            count += short.count + long.count
        if newest_first:
            return count
        short, long = self._lanes[rank]
        return count + (short.count + long.count) * (ticket.ordinal + 1) // 128

    def calls(self) -> list[QueuedCall]:
        """Return all queued calls."""
        return [
            call for lanes in self._lanes for lane in lanes for call in lane.calls()
        ]


def _rank(ticket: Ticket) -> int:
    """Return the index of the lanes of a call, which are served in this order."""
    return 2 * ticket.priority + (not ticket.has_begun)


def _sort_key(call: QueuedCall, newest_first: bool) -> tuple[int, int]:
    if newest_first:
        return (0, -call.sequence)
    return (call.ticket.ordinal, call.sequence)
