"""Tables, ledger nodes and target nodes of the simulated ledger mesh."""

import asyncio
from functools import partial

from damaskproxy.common import RefusalReason
from damaskproxy.ledger import (
    AttemptGuard,
    AttemptTicket,
    DuplicateAttempt,
    LedgerSettings,
    TableErrors,
)
from tools.faults.ledger_node import Node, answer, not_run
from tools.faults.links import Process
from tools.faults.memory_table import TableUnavailable, TableUnknown
from tools.faults.virtual_time import now_s

__all__ = ["ERRORS", "SETTINGS", "LedgerNode", "Table", "Target"]

ERRORS = TableErrors(TableUnavailable, TableUnknown)
SETTINGS = LedgerSettings(
    flush_interval_ms=2000,
    pin_timeout_ms=1000,
    handover_attempts=2,
    body_retention_ms=5000,
)


class Table:
    """The table as one component uses it, with the faults planned for `step`."""

    def __init__(self, world, step, process=None):
        self.world, self.step, self.process = world, step, process

    async def read(self, keys):
        """Return the rows that exist."""
        faults = await self._apply_mesh_faults()
        if faults & {"lost", "late", "cut"}:
            raise TableUnknown
        return await self.world.table.read(keys)

    async def commit(self, checks, puts):
        """Write `puts` if the versions in `checks` hold."""
        faults = await self._apply_mesh_faults()
        checks = self.world.mutate("checks", checks)
        if "cut" in faults:
            raise TableUnknown
        if "late" in faults:
            apply = partial(self.world.table.apply, checks, puts)
            asyncio.get_running_loop().call_later(3, apply)
            raise TableUnknown
        result = self.world.table.apply(checks, puts)
        if "duplicated" in faults:
            result = self.world.table.apply(checks, puts)
        if "lost" in faults or self.world.loses_next_answer:
            self.world.loses_next_answer = False
            raise TableUnknown
        return result

    async def _apply_mesh_faults(self):
        faults = self.world.plan.count_message(self.step)
        if self.process and not await self.process.ready():
            raise TableUnavailable
        if now_s() < self.world.unavailable_until_s:
            raise TableUnavailable
        if now_s() < self.world.slow_until_s:
            await asyncio.sleep(5)
        if "reordered" in faults:
            await asyncio.sleep(0.3)
        return faults


class LedgerNode(Process):
    """One incarnation of a ledger node, with its outcome writer and reader."""

    def __init__(self, world, name, incarnation):
        super().__init__()
        self.incarnation = incarnation
        extra = {
            "read_outcome": lambda key: self.reader.read(key),
            "on_outcome": lambda entry: self.writer.add(entry),
        }
        self.node = Node(name, incarnation, SETTINGS, world.wall_offset_s, extra)
        self.ring = self.node.ring
        self.ledger = world.mutate("ledger", self.node.ledger)
        self.writer = world.writer("record", self.ring, self, self.ledger.mark_written)
        self.reader = world.writer("read", self.ring, self)
        self.spawn(self.writer.run())

    def crash(self):
        """End at once and cancel the attempts that the ledger runs."""
        super().crash()
        for task in list(self.ledger._running):
            task.cancel()


class Target:
    """A target node; its backend server takes 0.1 s, in some runs 0.8 or 1.5 s."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.guard = world.mutate("guard", AttemptGuard(now_s=now_s))

    async def run(self, call):
        """Run one attempt and return its reply, None for a duplicate without one."""
        arrived = self.guard.arrived(call)
        if not isinstance(arrived, AttemptTicket):
            return None if isinstance(arrived, DuplicateAttempt) else arrived
        if self.world.rng.random() < 0.3:
            reason = self.world.rng.choice(
                (RefusalReason.LEAVING, RefusalReason.QUARANTINED)
            )
            return self.guard.refuse(arrived, not_run(call, reason))
        await asyncio.sleep(self.world.rng.choice((0.0, 0.02)))
        refused = self.guard.start(arrived)
        if refused is not None:
            return refused
        run = self.world.recorder.ran(
            call.request_id, attempt=call.attempt_id, request=call.body
        )
        await asyncio.sleep(self.world.rng.choice((0.1, 0.1, 0.8, 1.5)))
        reply = answer(call, body=b"receipt for " + call.body)
        self.world.recorder.finished(call.request_id, run, answer=reply.body)
        self.guard.finished(arrived, reply)
        return reply
