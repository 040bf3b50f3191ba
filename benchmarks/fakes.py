"""Requests and fake backend servers of the in-process harness."""

import asyncio
import math
import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from damaskproxy.common import Outcome, Priority
from damaskproxy.wire import Load

__all__ = ["RESTART_S", "FakeBackend", "Reply", "Request"]

WORK_S = 0.040
WORK_SIGMA = 0.4
COLD_FACTOR = 5.0
COLD_ANSWERS = 30
STRAGGLER_FACTOR = 50
RESTART_S = 1.0
_WORK_MU = math.log(WORK_S) - WORK_SIGMA**2 / 2


@dataclass(slots=True, eq=False)
class Request:
    """A caller's request and its results.

    Parameters
    ----------
    long_hops : frozenset of int
        Hops whose task runs 50 times longer on any server.
    crashes : bool
        Whether it crashes each backend server of the first service that runs it.
    completed_after_s : float or None
        Time from the first send to a response within the deadline of its send.
    first_send_completed : bool
        Whether the first send brought this response.
    runs, crashed : int
        Tasks started, and servers crashed, in the first service.
    outcomes : list of Outcome
        Reported outcome of each send.
    """

    request_id: str
    route: str
    priority: Priority
    ordinal: int
    idempotent: bool
    deadline_s: float
    first_sent_s: float
    long_hops: frozenset[int] = frozenset()
    crashes: bool = False
    completed_after_s: float | None = None
    first_send_completed: bool = False
    sends: int = 0
    retries: int = 0
    retries_max: int = 0
    runs: int = 0
    crashed: int = 0
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(slots=True)
class Reply:
    """Response to one attempt, or its refusal."""

    ok: bool
    reason: str = ""
    outcome: Outcome = Outcome.RUN
    tokens_left: int = 0
    load: Load | None = None
    outbound_s: float = 0.0


class _Slots:
    """Semaphore whose waiters are cancelled in constant time.

    Notes
    -----
    Cancelling a waiter of `asyncio.Semaphore` takes time in proportion to the length of
    its queue, which adds up to quadratic time for the long queues of the baseline.
    """

    def __init__(self, count: int):
        self._free = count
        self._waiting: deque[asyncio.Future] = deque()

    async def acquire(self) -> None:
        if self._free:
            self._free -= 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1


class FakeBackend:
    """Simulated backend server with slots and a first-come-first-served queue.

    Parameters
    ----------
    slots : int
        Tasks that run concurrently.
    rng : random.Random
        Generator of the work times.
    now_s : callable
        Clock, in seconds.
    answered : int
        Responses sent so far; a server that has sent fewer than 30 is cold.
    """

    def __init__(
        self,
        slots: int,
        *,
        rng: random.Random,
        now_s: Callable[[], float],
        answered: int = 10**6,
    ):
        self.slots = slots
        self.slow_factor = 1.0
        self.is_up = True
        self.answered = answered
        self._rng = rng
        self._now_s = now_s
        self._free = _Slots(slots)
        # A dict keeps the order of insertion, so that runs are deterministic.
        self._running: dict[asyncio.Task, None] = {}
        self._crashes = 0
        self._reports: deque[tuple[float, Load]] = deque()

    async def run(
        self, request: Request, hop: int, outbound: Callable[[], Awaitable[Reply]]
    ) -> Reply:
        """Run one task, half before and half after its outbound call."""
        if not self.is_up:
            return Reply(False, "backend-unreachable", Outcome.NOT_RUN)
        crashes_before = self._crashes
        task = asyncio.ensure_future(self._work(request, hop, outbound))
        self._running[task] = None
        try:
            return await task
        except asyncio.CancelledError:
            if crashes_before == self._crashes:
                raise
            return Reply(False, "backend-died", Outcome.UNKNOWN)
        finally:
            del self._running[task]

    async def _work(self, request, hop, outbound) -> Reply:
        free = self._free
        await free.acquire()
        try:
            return await self._use_slot(request, hop, outbound)
        finally:
            free.release()

    async def _use_slot(self, request, hop, outbound) -> Reply:
        if hop == 0:
            request.runs += 1
        if request.crashes and hop == 0:
            request.crashed += 1
            self.crash()
            await asyncio.sleep(1)
        half_s = self._work_s(request, hop) / 2
        await asyncio.sleep(half_s)
        began_s = self._now_s()
        reply = await outbound()
        reply.outbound_s = self._now_s() - began_s
        if reply.ok:
            await asyncio.sleep(half_s)
        else:
            reply.outcome = Outcome.RUN
        self.answered += 1
        return reply

    def _work_s(self, request: Request, hop: int) -> float:
        work_s = self._rng.lognormvariate(_WORK_MU, WORK_SIGMA) * self.slow_factor
        if hop in request.long_hops:
            work_s *= STRAGGLER_FACTOR
        if self.answered < COLD_ANSWERS:
            work_s *= 1 + COLD_FACTOR * (1 - self.answered / COLD_ANSWERS)
        return work_s

    def crash(self) -> None:
        """Abort all tasks without a response; restart after one second."""
        self.is_up = False
        self._crashes += 1
        for task in list(self._running):
            task.cancel()
        asyncio.get_running_loop().call_later(RESTART_S, self.restart)

    def restart(self) -> None:
        """Start again as a cold server."""
        self.is_up = True
        self.answered = 0
        self._free = _Slots(self.slots)

    def delayed_report(self, load: Load, lag_s: float) -> Load | None:
        """Record a load report and return the one from `lag_s` ago, if any."""
        now_s = self._now_s()
        self._reports.append((now_s, load))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - lag_s:
            self._reports.popleft()
        age_s = now_s - self._reports[0][0]
        return self._reports[0][1] if age_s >= lag_s else None
