"""Tasks that probe the neighbours of this node and push updates to them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from damaskproxy.common.hashing import ring_position
from damaskproxy.membership.settings import MembershipSettings

__all__ = ["MAX_PUSHED", "Neighbours"]

# Limits the size of one push; the rest follows with the next one.
MAX_PUSHED = 500
MS_PER_S = 1_000
MIN_WAIT_SHARE = 0.1


class PushQueue:
    """Queue of updates to push to one neighbour."""

    def __init__(self):
        self._pending: dict[str, None] = {}
        self._ready = asyncio.Event()

    def add(self, node_ids: Iterable[str]) -> None:
        """Queue members whose records to push; with none, only request an exchange."""
        self._pending.update(dict.fromkeys(node_ids))
        self._ready.set()

    async def wait(self) -> None:
        """Wait until there is something to send."""
        await self._ready.wait()

    def take(self) -> list[str]:
        """Remove and return the ids of the next push."""
        batch = list(self._pending)[:MAX_PUSHED]
        for node_id in batch:
            del self._pending[node_id]
        if not self._pending:
            self._ready.clear()
        return batch


class Neighbours:
    """Successors and long-distance links of this node, each with two tasks.

    One task probes and one pushes, so that a push does not wait for a probe that times
    out.

    On every node, probes start at multiples of the interval on the wall clock, so that
    a node sends its probes and answers those of others in one batch. A single call
    finds cold processor caches and costs two to three times as much as one in a batch.
    If clocks differ, only this saving is lost.

    Parameters
    ----------
    settings : MembershipSettings
        Intervals.
    select : callable
        Returns the ids of the successors and of the long-distance links.
    probe : callable
        Probes a member.
    push : callable
        Sends the records of some members to a member.
    sleep : callable
        Coroutine function that sleeps for a number of seconds.
    wall_s : callable
        Wall clock, roughly synchronized between nodes.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        *,
        select: Callable[[], tuple[list[str], list[str]]],
        probe: Callable[[str], Awaitable[None]],
        push: Callable[[str, list[str]], Awaitable[None]],
        sleep: Callable[[float], Awaitable[None]],
        wall_s: Callable[[], float],
    ):
        self._successor_interval_s = settings.probe_interval_ms / MS_PER_S
        self._link_interval_s = settings.link_interval_ms / MS_PER_S
        self._push_interval_s = settings.push_interval_ms / MS_PER_S
        self._select = select
        self._probe = probe
        self._push = push
        self._sleep = sleep
        self._wall_s = wall_s
        self._is_stale = True
        self._successors: frozenset[str] = frozenset()
        self._queues: dict[str, PushQueue] = {}
        self._tasks: dict[str, tuple[asyncio.Task, asyncio.Task]] = {}

    def invalidate(self) -> None:
        """Select the neighbours again at the next use, after a change of the ring."""
        self._is_stale = True

    def ids(self) -> list[str]:
        """Return the ids of the current neighbours."""
        if self._is_stale:
            self._is_stale = False
            self._update_queues()
        return list(self._queues)

    def _update_queues(self) -> None:
        successors, links = self._select()
        self._successors = frozenset(successors)
        previous = self._queues
        self._queues = {
            node_id: previous.get(node_id) or PushQueue()
            for node_id in [*successors, *links]
        }

    def push(self, node_ids: Iterable[str], source: str = "") -> None:
        """Queue records for every neighbour except `source`, which sent them."""
        for neighbour in self.ids():
            if neighbour != source:
                self._queues[neighbour].add(node_ids)

    def update_tasks(self, group: asyncio.TaskGroup) -> None:
        """Start the tasks of new neighbours and cancel those of former ones."""
        wanted = self.ids()
        for node_id in self._tasks.keys() - set(wanted):
            for task in self._tasks.pop(node_id):
                task.cancel()
        for node_id in wanted:
            if node_id not in self._tasks:
                self._tasks[node_id] = (
                    group.create_task(self._probe_loop(node_id)),
                    group.create_task(self._push_loop(node_id, self._queues[node_id])),
                )

    def stop(self) -> None:
        """Cancel all tasks."""
        for pair in self._tasks.values():
            for task in pair:
                task.cancel()
        self._tasks.clear()

    def _until_probe_s(self, node_id: str) -> float:
        """Return the time until the next probe of a neighbour."""
        interval_s, start_s = self._successor_interval_s, 0.0
        if node_id not in self._successors:
            # Offsets spread the probes of long-distance links evenly over the interval.
            turns = max(1, round(self._link_interval_s / interval_s))
            start_s = ring_position(node_id) % turns * interval_s
            interval_s = self._link_interval_s
        wait_s = interval_s - (self._wall_s() - start_s) % interval_s
        # A timer that fires slightly early must not cause a second probe at once.
        return wait_s if wait_s > MIN_WAIT_SHARE * interval_s else wait_s + interval_s

    async def _probe_loop(self, node_id: str) -> None:
        while True:
            await self._sleep(self._until_probe_s(node_id))
            await self._probe(node_id)

    async def _push_loop(self, node_id: str, queue: PushQueue) -> None:
        while True:
            await queue.wait()
            await self._push(node_id, queue.take())
            await self._sleep(self._push_interval_s)
