"""A simulated mesh whose backend servers crash when they run a poison request."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from damaskproxy.common import Refusal
from damaskproxy.quarantine import Quarantine
from tools.faults.ledger_node import call_of
from tools.faults.virtual_time import now_s

__all__ = ["PoisonMesh", "PoisonVerdict", "request"]

POISON = b"poison"
ATTEMPTS = 4
RUN_TIME_S = 0.1
PUSH_DELAY_S = 0.05
LATE_PUSH_DELAY_S = 1.5
EXCHANGE_INTERVAL_S = 2.0
RESEND_DELAY_S = 1.0
RESENDS = 2
CLOCK_SKEW_MS = 60_000
WALL_START_MS = 1_800_000_000_000
NODES = tuple(f"n{number}" for number in range(8))


def request(body, *, idempotent=True):
    """Return a call with the given body; equal bodies are the same request."""
    return msgspec.structs.replace(call_of("", body=body), idempotent=idempotent)


@dataclass
class PoisonVerdict:
    """Numbers of broken guarantees in a run, by finding."""

    counts: dict[str, int] = field(default_factory=dict)

    @property
    def ok(self):
        """Whether the run kept all guarantees."""
        return not any(self.counts.values())

    def lines(self):
        """Return the verdict as lines for a terminal."""
        return [f"{name}: {count}" for name, count in self.counts.items()]


class PoisonMesh:
    """One simulated run.

    Parameters
    ----------
    cells : iterable of Cell
        Faults to inject.
    seed : int
        Seed of all random choices.
    mutations : dict, optional
        Functions by name of a part of the mesh; each returns the replacement of the
        part, to switch a mechanism off.
    """

    def __init__(self, cells, seed, mutations=None):
        self.rng = random.Random(seed)
        self.mutations = mutations or {}
        self.faults = {(cell.fault, cell.step) for cell in cells}
        self.met = set()
        self.skew_ms = dict.fromkeys(NODES, 0)
        self.nodes = {name: self.node(name) for name in NODES}
        self.in_flight = {name: {} for name in NODES}
        self.deaths = []
        self.pushed_versions = {}
        self.copies = 1
        self.push_delay_s = PUSH_DELAY_S
        self.tasks = set()

    def mutate(self, part, thing):
        """Return `thing`, or its replacement if this part of the mesh is mutated."""
        return self.mutations.get(part, lambda same: same)(thing)

    def node(self, name):
        """Return the quarantine of a node, without suspects."""
        quarantine = Quarantine(
            wall_ms=lambda: WALL_START_MS + int(now_s() * 1000) + self.skew_ms[name]
        )
        return self.mutate("node", quarantine)

    def spawn(self, coroutine):
        """Run `coroutine` in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    def inject_faults(self, step):
        """Inject the faults of `step` that have not occurred yet."""
        for fault, where in sorted(self.faults):
            if where != step or (fault, where) in self.met:
                continue
            self.met.add((fault, where))
            name = self.rng.choice(NODES)
            if fault == "news late":
                self.push_delay_s = LATE_PUSH_DELAY_S
            elif fault == "node restarted":
                self.nodes[name] = self.node(name)
            elif fault == "clock ahead":
                self.skew_ms[name] = CLOCK_SKEW_MS
            elif fault == "clock behind":
                self.skew_ms[name] = -CLOCK_SKEW_MS
            elif fault == "copy at once":
                self.copies += self.nodes["n7"].check(request(POISON)) is None
                self.spawn(self.send("n7", request(POISON), "n6"))

    async def send(self, entry, call, target):
        """Dispatch with retries, as the dispatcher of a node does."""
        tried = set()
        for _ in range(ATTEMPTS):
            decision = self.nodes[entry].check(call)
            if isinstance(decision, Refusal):
                return "refused"
            if decision is not None:
                target = decision.target(NODES)
            elif target in tried:
                target = next(name for name in NODES if name not in tried)
            marked = msgspec.structs.replace(call, suspect=decision is not None)
            result = await self.run(target, self.mutate("call", marked))
            if result != "crashed":
                if decision is not None and result == "done":
                    self.nodes[entry].completed(decision)
                return result
            tried.add(target)
            if decision is not None:
                self.nodes[entry].quarantine_suspect(decision, server=target)
            else:
                identity = self.nodes[entry].identity(call)
                self.nodes[entry].add_suspects([identity], server=target)
            self.push_records(entry)
        return "attempts spent"

    async def send_with_resends(self, entry, call, target):
        """Send a call and resend it when it is refused, as callers do.

        An unrelated request that was in flight during the crash is refused until the
        records of the poison request have arrived.
        """
        for _ in range(RESENDS):
            if await self.send(entry, call, target) == "done":
                return "done"
            await asyncio.sleep(RESEND_DELAY_S)
        return await self.send(entry, call, target)

    async def run(self, target, call):
        """Run `call` on the backend server of `target` and return how it ended."""
        node = self.nodes[target]
        permit = await node.acquire_permit(call, timeout_s=30)
        if isinstance(permit, Refusal):
            return "refused"
        completion = asyncio.get_running_loop().create_future()
        self.in_flight[target][completion] = node.identity(call)
        asyncio.get_running_loop().call_later(
            RUN_TIME_S, self.finish, target, completion, call
        )
        result = await completion
        if permit is not None and result == "done":
            node.completed(permit)
            self.push_records(target)
        elif permit is not None:
            node.quarantine_suspect(permit, server=target)
        return result

    def finish(self, target, completion, call):
        """Complete a request, or crash the server with all its requests in flight."""
        if completion.done():
            return
        if call.body != POISON:
            self.in_flight[target].pop(completion)
            completion.set_result("done")
            return
        self.deaths.append(target)
        self.inject_faults("first death" if len(self.deaths) == 1 else "second death")
        lost = list(self.in_flight[target].values())
        self.nodes[target].backend_crashed(lost, server=target)
        for other in self.in_flight[target]:
            other.set_result("crashed")
        self.in_flight[target].clear()
        self.push_records(target)

    def push_records(self, name):
        """Push the records of a node that changed since its last push to all nodes."""
        node = self.nodes[name]
        records = node.records(self.pushed_versions.get(node, 0))
        self.pushed_versions[node] = node.version()
        self.spawn(self.deliver(records))

    async def deliver(self, records):
        """Deliver records to all nodes after the delay of a push."""
        await asyncio.sleep(self.push_delay_s)
        for node in self.nodes.values():
            node.merge(self.mutate("news", records))

    async def exchange_records(self):
        """Send all records of all nodes at a fixed interval."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            for node in self.nodes.values():
                self.spawn(self.deliver(node.records()))

    async def play(self):
        """Send a poison request 3 times among unrelated ones; return the verdict."""
        exchange = self.spawn(self.exchange_records())
        unrelated = [request(b"%d" % number) for number in range(24)]
        results = []
        for entry, target in (("n0", "n1"), ("n2", "n3"), ("n0", "n4")):
            self.inject_faults("send")
            sends = [
                self.send_with_resends(name, call, target)
                for call in unrelated
                for name in ("n5", "n6")
            ]
            poison = self.send(entry, request(POISON), target)
            results += (await asyncio.gather(poison, *sends))[1:]
            await asyncio.sleep(4)
        await asyncio.sleep(3)
        exchange.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        refused = sum(result != "done" for result in results)
        # A copy of the poison request that started before the first crash was known may
        # crash two more servers.
        lost = max(0, len(self.deaths) - 2 * self.copies)
        return PoisonVerdict({"server-lost": lost, "innocent-refused": refused})
