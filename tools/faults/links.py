"""Links and processes of a simulated mesh, with fault injection."""

import asyncio
import random
from collections.abc import Callable, Coroutine

__all__ = ["FaultPlan", "Links", "Process"]

REORDERED_DELAY_S = 0.3
CUT_S = 5.0
DUPLICATION_S = 3.0
LATE_DELAYS_S = (1.5, 8.0)
COPY_DELAYS_S = (0.0, 0.2, 5.0)


class FaultPlan:
    """Decides at which message of a step each fault occurs.

    Parameters
    ----------
    faults : iterable of tuple
        Pairs of fault and step; each occurs once.
    rng : random.Random
        Chooses one entry of `passages` per fault.
    passages : dict
        For each step, the numbers of messages that may pass before a fault occurs.
    effects : dict
        Action of each fault that affects the whole mesh. `count_message`
        returns the other faults, which affect one message.
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
        """Return the faults that did not occur: too few messages at their step."""
        return [(fault, step) for fault, step, _ in self._due]

    def count_message(self, step: str, **context: object) -> set[str]:
        """Count a message at `step` and return the faults that affect it."""
        message_faults = set()
        for entry in [entry for entry in self._due if entry[1] == step]:
            if entry[2]:
                entry[2] -= 1
                continue
            self._due.remove(entry)
            effect = self._effects.get(entry[0])
            if effect is None:
                message_faults.add(entry[0])
            else:
                effect(**context)
        return message_faults


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
        self._copy_delay_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self,
        step: str,
        deliver: Callable[[], Coroutine],
        *,
        peer: str = "",
        cancel_first: Callable[[], None] = lambda: None,
    ) -> None:
        """Deliver a message.

        Parameters
        ----------
        step : str
            Kind and direction of the message.
        deliver : callable
            Handles the message at the receiver.
        peer : str
            The node at the other end. The fault ``cut`` affects one direction of the
        connection to one peer.
        cancel_first : callable
            Applies a cancellation that arrives before the message.
        """
        faults = self._plan.count_message(step) | self._active_lasting(step, peer)
        if "cut" in faults:
            self._start_lasting("cut", step, peer, CUT_S)
            return
        if "duplicated" in faults:
            self._start_lasting("duplicated", step, peer, DUPLICATION_S)
        if "cancel first" in faults:
            cancel_first()
        if "lost" in faults:
            return
        delay_s = self._rng.uniform(0.001, 0.005)
        if "reordered" in faults:
            delay_s += REORDERED_DELAY_S
        if "late" in faults:
            delay_s += self._rng.choice(LATE_DELAYS_S)
        self.spawn(self._deliver_after(delay_s, deliver))
        if "duplicated" in faults:
            copy_delay_s = self._copy_delay_s.setdefault(
                step, self._rng.choice(COPY_DELAYS_S)
            )
            self.spawn(self._deliver_after(delay_s + copy_delay_s, deliver))

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run `coroutine` as a task that `close` cancels."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all deliveries and tasks that still run."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_lasting(self, fault: str, step: str, peer: str, seconds: float) -> None:
        until_s = asyncio.get_running_loop().time() + seconds
        self._until_s.setdefault((fault, step, peer), until_s)

    def _active_lasting(self, step: str, peer: str) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        return {
            fault
            for (fault, *where), until_s in self._until_s.items()
            if where == [step, peer] and now_s < until_s
        }

    async def _deliver_after(
        self, delay_s: float, deliver: Callable[[], Coroutine]
    ) -> None:
        await asyncio.sleep(delay_s)
        await deliver()


class Process:
    """A simulated process that can pause and crash, with the tasks that it runs."""

    def __init__(self):
        self.running = True
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._tasks: set[asyncio.Task] = set()

    async def ready(self) -> bool:
        """Wait while the process is paused; return False if it has crashed."""
        await self._not_paused.wait()
        return self.running

    def pause(self, seconds: float) -> None:
        """Pause for `seconds`; work whose timers expire meanwhile runs afterwards."""
        self._not_paused.clear()
        asyncio.get_running_loop().call_later(seconds, self._not_paused.set)

    def crash(self) -> None:
        """End at once; messages that the process had sent are still delivered."""
        self.running = False
        self._not_paused.set()
        for task in list(self._tasks):
            task.cancel()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run `coroutine` as a task that a crash cancels."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
