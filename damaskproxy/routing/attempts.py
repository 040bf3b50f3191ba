"""Attempts that run on the local backend server, and their retry tokens."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from damaskproxy.retries import RetryAllowance
from damaskproxy.wire import Call

__all__ = ["AttemptRegistry", "RunningAttempt"]


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """A call that the local backend server is serving.

    Parameters
    ----------
    call : Call
        What was asked.
    deadline_s : float
        Monotonic time by which the answer is useless.
    allowance : RetryAllowance
        Retry tokens that came with the call, lent to its outbound calls.
    now_s : callable
        Monotonic clock.
    children : set of asyncio.Task
        Outbound calls in progress; cancelled with the attempt.
    outbound_s : float
        Time so far in which at least one outbound call was in progress.
    """

    call: Call
    deadline_s: float
    allowance: RetryAllowance
    now_s: Callable[[], float]
    children: set[asyncio.Task] = field(default_factory=set)
    outbound_s: float = 0.0
    _outbound_began_s: float = 0.0

    def child_began(self, task: asyncio.Task) -> None:
        """Note an outbound call."""
        if not self.children:
            self._outbound_began_s = self.now_s()
        self.children.add(task)

    def child_ended(self, task: asyncio.Task) -> None:
        """Note the end of an outbound call."""
        self.children.discard(task)
        if not self.children:
            self.outbound_s += self.now_s() - self._outbound_began_s

    def cancel_children(self) -> None:
        """Cancel the outbound calls in progress."""
        for task in tuple(self.children):
            task.cancel()


class AttemptRegistry:
    """Running attempts by attempt id, and by trace id as a fallback."""

    def __init__(self):
        self._by_attempt: dict[str, RunningAttempt] = {}
        self._by_request: dict[str, RunningAttempt] = {}

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, attempt: RunningAttempt) -> None:
        """Add a running attempt."""
        self._by_attempt[attempt.call.attempt_id] = attempt
        self._by_request[attempt.call.request_id] = attempt

    def remove(self, attempt: RunningAttempt) -> None:
        """Remove an attempt that has ended."""
        self._by_attempt.pop(attempt.call.attempt_id, None)
        if self._by_request.get(attempt.call.request_id) is attempt:
            del self._by_request[attempt.call.request_id]

    def find(self, attempt_id: str | None, trace_id: str | None):
        """Return the attempt that an outbound call belongs to, or None."""
        if attempt_id is not None:
            return self._by_attempt.get(attempt_id)
        if trace_id is not None:
            return self._by_request.get(trace_id)
        return None

    def running(self) -> list[RunningAttempt]:
        """Return the attempts in progress."""
        return list(self._by_attempt.values())
