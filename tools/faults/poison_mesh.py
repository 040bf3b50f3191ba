"""A simulated mesh whose backend servers die when they run a poison request."""

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
RUN_S = 0.1
NEWS_S = 0.05
LATE_NEWS_S = 1.5
EXCHANGE_S = 2.0
RESEND_S = 1.0
RESENDS = 2
SKEW_MS = 60_000
WALL_START_MS = 1_800_000_000_000
NODES = tuple(f"n{number}" for number in range(8))


def request(body, *, idempotent=True):
    """Return a call with `body`."""
    return msgspec.structs.replace(call_of("", body=body), idempotent=idempotent)


@dataclass
class PoisonVerdict:
    """What a run lost."""

    counts: dict[str, int] = field(default_factory=dict)

    @property
    def ok(self):
        """Whether no promise is broken."""
        return not any(self.counts.values())

    def lines(self):
        """Return the verdict for a terminal."""
        return [f"{name}: {count}" for name, count in self.counts.items()]


class PoisonMesh:
    """One run; `mutations` maps a part to a closure that replaces it."""

    def __init__(self, cells, seed, mutations=None):
        self.rng = random.Random(seed)
        self.mutations = mutations or {}
        self.faults = {(cell.fault, cell.step) for cell in cells}
        self.met = set()
        self.skew_ms = dict.fromkeys(NODES, 0)
        self.nodes = {name: self.node(name) for name in NODES}
        self.in_flight = {name: {} for name in NODES}
        self.deaths = []
        self.told = {}
        self.copies = 1
        self.news_s = NEWS_S
        self.tasks = set()

    def mutate(self, part, thing):
        """Return `thing`, or what replaces this part of the mesh."""
        return self.mutations.get(part, lambda same: same)(thing)

    def node(self, name):
        """Return a node that knows of no suspects."""
        quarantine = Quarantine(
            wall_ms=lambda: WALL_START_MS + int(now_s() * 1000) + self.skew_ms[name]
        )
        return self.mutate("node", quarantine)

    def spawn(self, coroutine):
        """Run `coroutine` in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    def at(self, step):
        """Let the faults of `step` occur."""
        for fault, where in sorted(self.faults):
            if where != step or (fault, where) in self.met:
                continue
            self.met.add((fault, where))
            name = self.rng.choice(NODES)
            if fault == "news late":
                self.news_s = LATE_NEWS_S
            elif fault == "node restarted":
                self.nodes[name] = self.node(name)
            elif fault == "clock ahead":
                self.skew_ms[name] = SKEW_MS
            elif fault == "clock behind":
                self.skew_ms[name] = -SKEW_MS
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
            if result != "died":
                if decision is not None and result == "done":
                    self.nodes[entry].completed(decision)
                return result
            tried.add(target)
            if decision is not None:
                self.nodes[entry].quarantine_suspect(decision, server=target)
            else:
                identity = self.nodes[entry].identity(call)
                self.nodes[entry].add_suspects([identity], server=target)
            self.tell(entry)
        return "attempts spent"

    async def send_again(self, entry, call, target):
        """Send, and again when refused, as callers do.

        A bystander is refused until the news of the poison request has arrived.
        """
        for _ in range(RESENDS):
            if await self.send(entry, call, target) == "done":
                return "done"
            await asyncio.sleep(RESEND_S)
        return await self.send(entry, call, target)

    async def run(self, target, call):
        """Run `call` on the backend server of `target`."""
        node = self.nodes[target]
        turn = await node.acquire_permit(call, timeout_s=30)
        if isinstance(turn, Refusal):
            return "refused"
        ended = asyncio.get_running_loop().create_future()
        self.in_flight[target][ended] = node.identity(call)
        asyncio.get_running_loop().call_later(RUN_S, self.end, target, ended, call)
        result = await ended
        if turn is not None and result == "done":
            node.completed(turn)
            self.tell(target)
        elif turn is not None:
            node.quarantine_suspect(turn, server=target)
        return result

    def end(self, target, ended, call):
        """Answer a request, or lose the server and all that is in flight on it."""
        if ended.done():
            return
        if call.body != POISON:
            self.in_flight[target].pop(ended)
            ended.set_result("done")
            return
        self.deaths.append(target)
        self.at("first death" if len(self.deaths) == 1 else "second death")
        lost = list(self.in_flight[target].values())
        self.nodes[target].backend_crashed(lost, server=target)
        for other in self.in_flight[target]:
            other.set_result("died")
        self.in_flight[target].clear()
        self.tell(target)

    def tell(self, name):
        """Send the records of a node that changed since the last time to all."""
        node = self.nodes[name]
        records = node.records(self.told.get(node, 0))
        self.told[node] = node.version()
        self.spawn(self.deliver(records))

    async def deliver(self, records):
        """Deliver records after the delay of the news."""
        await asyncio.sleep(self.news_s)
        for node in self.nodes.values():
            node.merge(self.mutate("news", records))

    async def exchange(self):
        """Compare the records of all nodes now and then."""
        while True:
            await asyncio.sleep(EXCHANGE_S)
            for node in self.nodes.values():
                self.spawn(self.deliver(node.records()))

    async def play(self):
        """Send a poison request three times among innocent ones; return the verdict."""
        exchange = self.spawn(self.exchange())
        innocents = [request(b"%d" % number) for number in range(24)]
        results = []
        for entry, target in (("n0", "n1"), ("n2", "n3"), ("n0", "n4")):
            self.at("send")
            sends = [
                self.send_again(name, call, target)
                for call in innocents
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
        # A copy that started before the first death was known has its own limit of 2.
        lost = max(0, len(self.deaths) - 2 * self.copies)
        return PoisonVerdict({"server-lost": lost, "innocent-refused": refused})
