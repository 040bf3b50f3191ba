"""Links and processes of a simulated mesh."""

import asyncio
import random
from collections.abc import Callable, Coroutine

__all__ = ["FaultPlan", "Links", "Process"]

OVERTAKEN_S = 0.3
CUT_S = 5.0
DUPLICATING_S = 3.0
LATE_S = (1.5, 8.0)
COPY_LATER_S = (0.0, 0.2, 5.0)


class FaultPlan:
    """Decides at which passage of a step a fault occurs.

    Parameters
    ----------
    faults : iterable of tuple
        Pairs of fault and step; each occurs once.
    rng : random.Random
        Chooses the passage, mostly an early one.
    passages : dict
        Passages to choose from for each step.
    effects : dict
        Faults that act on the mesh as a whole; the others are returned by `at`.
    """

    def __init__(
        self,
        faults,
        rng: random.Random,
        passages: dict[str, tuple[int, ...]],
        effects: dict[str, Callable],
    ):
        self._due = [
            [fault, step, rng.choice(passages[step])] for fault, step in faults
        ]
        self._effects = effects

    def missed(self) -> list[tuple[str, str]]:
        """Return the faults whose step was not passed often enough."""
        return [(fault, step) for fault, step, _ in self._due]

    def at(self, step: str, **context: object) -> set[str]:
        """Note a passage of `step` and return the faults of this message."""
        here = set()
        for entry in [entry for entry in self._due if entry[1] == step]:
            if entry[2]:
                entry[2] -= 1
                continue
            self._due.remove(entry)
            effect = self._effects.get(entry[0])
            if effect is None:
                here.add(entry[0])
            else:
                effect(**context)
        return here


class Links:
    """Delivers messages with delays and faults.

    Parameters
    ----------
    plan : FaultPlan
        Faults of the run.
    rng : random.Random
        Source of delays.
    """

    def __init__(self, plan: FaultPlan, rng: random.Random):
        self._plan = plan
        self._rng = rng
        self._until_s: dict[tuple[str, str, str], float] = {}
        self._copy_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self,
        step: str,
        deliver: Callable[[], Coroutine],
        *,
        peer: str = "",
        overtake: Callable[[], None] = lambda: None,
    ) -> None:
        """Deliver a message.

        Parameters
        ----------
        step : str
            Kind of the message and its direction.
        deliver : callable
            What the receiver does.
        peer : str
            The other end; a cut link is cut in one direction and to one peer.
        overtake : callable
            What a cancellation that overtakes the message does.
        """
        faults = self._plan.at(step) | self._lasting(step, peer)
        if "cut" in faults:
            self._last("cut", step, peer, CUT_S)
            return
        if "duplicated" in faults:
            self._last("duplicated", step, peer, DUPLICATING_S)
        if "cancel first" in faults:
            overtake()
        if "lost" in faults:
            return
        delay_s = self._rng.uniform(0.001, 0.005)
        if "reordered" in faults:
            delay_s += OVERTAKEN_S
        if "late" in faults:
            delay_s += self._rng.choice(LATE_S)
        self.spawn(self._after(delay_s, deliver))
        if "duplicated" in faults:
            copy_s = self._copy_s.setdefault(step, self._rng.choice(COPY_LATER_S))
            self.spawn(self._after(delay_s + copy_s, deliver))

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run `coroutine` until the end of the simulation."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel what still runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _last(self, fault: str, step: str, peer: str, seconds: float) -> None:
        until_s = asyncio.get_running_loop().time() + seconds
        self._until_s.setdefault((fault, step, peer), until_s)

    def _lasting(self, step: str, peer: str) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        return {
            fault
            for (fault, *where), until_s in self._until_s.items()
            if where == [step, peer] and now_s < until_s
        }

    async def _after(self, delay_s: float, deliver: Callable[[], Coroutine]) -> None:
        await asyncio.sleep(delay_s)
        await deliver()


class Process:
    """A process that can pause and crash; its work runs in its tasks."""

    def __init__(self):
        self.alive = True
        self._runs = asyncio.Event()
        self._runs.set()
        self._tasks: set[asyncio.Task] = set()

    async def ready(self) -> bool:
        """Wait while the process is paused, and tell whether it lives."""
        await self._runs.wait()
        return self.alive

    def pause(self, seconds: float) -> None:
        """Stop for `seconds`; timers that fall due meanwhile fire afterwards."""
        self._runs.clear()
        asyncio.get_running_loop().call_later(seconds, self._runs.set)

    def crash(self) -> None:
        """End at once; what the process had sent goes on elsewhere."""
        self.alive = False
        self._runs.set()
        for task in list(self._tasks):
            task.cancel()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run `coroutine` as part of the process."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
