"""Attempts in progress on the local backend server, with their retry tokens."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from damaskproxy.retries import RetryAllowance
from damaskproxy.wire import Call

__all__ = ["AttemptRegistry", "RunningAttempt"]


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """Attempt that the local backend server is running.

    Parameters
    ----------
    call : Call
        Call of this attempt.
    deadline_s : float
        Monotonic time after which the response is of no use to the caller.
    allowance : RetryAllowance
        Retry tokens received with the call, which its outbound calls share.
    now_s : callable
        Monotonic clock.
    children : set of asyncio.Task
        Outbound calls in progress; cancelled when the attempt ends.
    outbound_s : float
        Total time with at least one outbound call in progress, in seconds.
    """

    call: Call
    deadline_s: float
    allowance: RetryAllowance
    now_s: Callable[[], float]
    children: set[asyncio.Task] = field(default_factory=set)
    outbound_s: float = 0.0
    _outbound_started_s: float = 0.0

    def add_child(self, task: asyncio.Task) -> None:
        """Add an outbound call that has started."""
        if not self.children:
            self._outbound_started_s = self.now_s()
        self.children.add(task)

    def remove_child(self, task: asyncio.Task) -> None:
        """Remove an outbound call that has ended."""
        self.children.discard(task)
        if not self.children:
            self.outbound_s += self.now_s() - self._outbound_started_s

    def cancel_children(self) -> None:
        """Cancel the outbound calls in progress."""
        for task in tuple(self.children):
            task.cancel()


class AttemptRegistry:
    """Attempts in progress by attempt id, with the trace id as a fallback."""

    def __init__(self):
        self._by_attempt: dict[str, RunningAttempt] = {}
        self._by_request: dict[str, RunningAttempt] = {}

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, attempt: RunningAttempt) -> None:
        """Add an attempt that has started."""
        self._by_attempt[attempt.call.attempt_id] = attempt
        self._by_request[attempt.call.request_id] = attempt

    def remove(self, attempt: RunningAttempt) -> None:
        """Remove an attempt that has ended."""
        self._by_attempt.pop(attempt.call.attempt_id, None)
        if self._by_request.get(attempt.call.request_id) is attempt:
            del self._by_request[attempt.call.request_id]

    def find(self, attempt_id: str | None, trace_id: str | None):
        """Return the attempt that made an outbound call, or None."""
        if attempt_id is not None:
            return self._by_attempt.get(attempt_id)
        if trace_id is not None:
            return self._by_request.get(trace_id)
        return None

    def running(self) -> list[RunningAttempt]:
        """Return the attempts in progress."""
        return list(self._by_attempt.values())
