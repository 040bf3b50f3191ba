"""A simulated mesh: two entry nodes, three ledger nodes and two target nodes.

The run of a `World` sends two requests several times through both entry nodes while a
ledger node is stopped, and resends one of them after its key has expired. Replies
travel on links with faults; ledgers, pins, outcome writers and guards are real.
"""

import asyncio
import random
from functools import partial

import msgspec

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.history import Recorder
from damaskproxy.ledger import (
    Heir,
    IssuedKey,
    OutcomeUnavailable,
    OutcomeWriter,
    PinnedKeys,
    answer_of_entry,
    hand_over,
    receive_handover,
)
from damaskproxy.wire import Answer
from tools.faults.ledger_node import call_of, unknown
from tools.faults.ledger_parts import ERRORS, SETTINGS, LedgerNode, Table, Target
from tools.faults.links import FaultPlan, Links
from tools.faults.memory_table import MemoryTable
from tools.faults.virtual_time import now_s

__all__ = ["World"]

OUTAGE_S = 15
PAUSE_S = 30
STOP_S = 12
KEY_LIFETIME_S = 86_400
# Time, chosen key, body and entry node of each send; k2 is sent while L hands over.
SENDS = (
    (0, "k1", b"order", "E1"),
    (2, "k1", b"order", "E2"),
    (6, "k1", b"other order", "E1"),
    (10, "k1", b"order", "E2"),
    *((STOP_S + gap, "k2", b"order", "E1") for gap in (0, 0.01, 0.3, 2, 9)),
    (STOP_S + 0.02, "k2", b"order", "E2"),
    (20, "k1", b"order", "E1"),
    (60, "k1", b"order", "E2"),
    (60, "k2", b"order", "E2"),
    (150, "k1", b"order", "E1"),
)

# Passages of each step at which a fault may occur; a run passes the rare ones twice.
PASSAGES = {
    "submit": (0, 0, 1, 2, 4, 8, 12),
    "dispatch": (0, 0, 1),
    "answer": (0, 0, 1),
    "reply": (0, 0, 1, 2, 4, 8),
    "handover": (0, 1),
    "adopt": (0, 1),
    "pin": (0, 0, 1, 2),
    "record": (0, 1, 2),
    "read": (0, 0, 1),
}


class World:
    """One run; `mutations` maps a part to a closure that replaces it."""

    def __init__(self, cells, seed, mutations=None):
        self.rng = random.Random(seed)
        # The pauses of the writers do not shift the choices of the rest of the run.
        self.writer_rng = random.Random(seed)
        self.mutations = mutations or {}
        self.table = MemoryTable()
        self.recorder = Recorder(now_s=now_s)
        self.down_until_s = self.slow_until_s = self.wall_offset_s = 0.0
        self.loses_answer = False
        self.heir_of_leaving = None
        self.conclusions = {}
        self.sends = []
        self.ids = 0
        self.stop_task = None
        faults = [(cell.fault, cell.step) for cell in cells]
        self.plan = FaultPlan(faults, self.rng, PASSAGES, self.effects())
        self.links = Links(self.plan, self.rng)
        self.nodes = {name: LedgerNode(self, name, 1) for name in ("L", "H1", "H2")}
        self.reader = self.writer("read", self.nodes["H2"].ring)
        self.targets = [Target(self, name) for name in ("T1", "T2")]
        # Each entry node issues keys of another ledger node, so that two pins differ.
        self.pins = {
            entry: self.mutate(
                "pins",
                PinnedKeys(
                    Table(self, "pin"),
                    self.nodes[issuer].ring,
                    settings=SETTINGS,
                    errors=ERRORS,
                ),
            )
            for entry, issuer in (("E1", "L"), ("E2", "H2"))
        }

    def mutate(self, part, thing):
        """Return `thing`, or what replaces this part of the mesh."""
        return self.mutations.get(part, lambda same: same)(thing)

    def writer(self, step, ring, process=None, on_written=lambda key: None):
        """Return an outcome writer whose table passes `step`."""
        return OutcomeWriter(
            Table(self, step, process),
            ring,
            now_s=now_s,
            rng=self.writer_rng,
            settings=SETTINGS,
            on_written=on_written,
            errors=ERRORS,
        )

    def effects(self):
        """Faults of the mesh as a whole."""
        return {
            "table down": self.table_down,
            "table slow": self.table_slow,
            "table answer lost": self.table_answer_lost,
            "ledger node paused": lambda: self.nodes["L"].pause(PAUSE_S),
            "ledger node crashed": lambda: self.nodes["L"].crash(),
            "ledger node restarted": lambda: self.restart("L"),
            "heir crashed": lambda: self.nodes["H1"].crash(),
            "heir restarted": lambda: self.restart("H1"),
            "caller leaves": self.caller_leaves,
            "resend via other entry": lambda: self.start_send("k1", b"order", "E2"),
            "key expires": self.key_expires,
            "handover crossed": self.start_stop,
        }

    def table_down(self):
        """Refuse all operations of the table for a while."""
        self.down_until_s = now_s() + OUTAGE_S

    def table_slow(self):
        """Delay all operations of the table for a while."""
        self.slow_until_s = now_s() + OUTAGE_S

    def table_answer_lost(self):
        """Lose the answer to the next commit, which is applied."""
        self.loses_answer = True

    def restart(self, name):
        """Replace a node by its next incarnation."""
        node = self.nodes[name]
        node.crash()
        self.nodes[name] = LedgerNode(self, name, node.incarnation + 1)

    def caller_leaves(self):
        """Cancel the latest send."""
        if self.sends:
            self.sends[-1].cancel()

    def key_expires(self):
        """Set the clocks of the ledger nodes ahead."""
        self.wall_offset_s = KEY_LIFETIME_S
        for node in self.nodes.values():
            node.node.wall_offset_s = self.wall_offset_s
            node.ledger.sweep()

    def new_id(self):
        """Return a number for a send or a submission."""
        self.ids += 1
        return f"id-{self.ids}"

    async def exchange(
        self, step_out, step_back, handle, *, peer, timeout_s, cancel=None, late=None
    ):
        """Send a request and return its reply, which is correlated by this call."""
        reply = asyncio.get_running_loop().create_future()

        async def deliver_reply(result):
            if not reply.done():
                reply.set_result(result)
            elif late is not None:
                late(result)

        async def deliver():
            result = await handle()
            if result is not None:
                self.links.send(step_back, partial(deliver_reply, result), peer=peer)

        self.links.send(step_out, deliver, peer=peer, overtake=cancel or (lambda: None))
        return await asyncio.wait_for(reply, timeout_s)

    # The path of a call.

    def start_send(self, key, body, entry):
        """Send a request without waiting for its reply."""
        self.sends.append(self.links.spawn(self.send(key, body, entry)))

    async def send(self, key, body, entry):
        """Send a request and record what the caller is told."""
        send = self.new_id()
        self.recorder.sent(key, send=send, caller=send, request=body)
        call = msgspec.structs.replace(call_of("", body=body), request_id=key)
        try:
            reply = await self.enter(call, key, entry)
        except asyncio.CancelledError:
            self.recorder.told(key, send=send, caller=send, outcome=Outcome.UNKNOWN)
            return
        told = {"outcome": getattr(reply, "outcome", None), "answer": None}
        if isinstance(reply, Answer):
            told["answer"] = reply.body
        detail = getattr(reply, "reason", "")
        self.recorder.told(key, send=send, caller=send, detail=str(detail), **told)
        if body == b"order":
            shown = "answered" if isinstance(reply, Answer) else f"{told['outcome']}"
            self.conclusions[key] = f"{shown} ({detail})" if detail else shown

    async def enter(self, call, key, entry):
        """Resolve the key, submit to a ledger node, and fall back to the table."""
        issued = await self.pins[entry].resolve("orders", key)
        if not isinstance(issued, IssuedKey):
            return issued
        call = msgspec.structs.replace(call, key=issued.text)
        # The same submission id in both tries: the first may still be on its way, and
        # must not start when the second was told not-run.
        frame = msgspec.structs.replace(call, attempt_id=self.new_id())
        reply = None
        for _ in range(2):
            try:
                copy = self.mutate("submission", frame)
                reply = await self.submit(copy, self.holder(issued))
            except TimeoutError:
                continue
            if getattr(reply, "reason", None) not in (
                RefusalReason.LEDGER_LOST,
                RefusalReason.LEDGER_MOVING,
            ):
                return reply
        return await self.read_from_table(call) or reply or unknown(call)

    def holder(self, issued):
        """Return a node that some member list may name as the holder of the key."""
        if self.rng.random() < 0.5:
            return self.rng.choice(("L", "H1", "H2"))
        moved = issued.node_id == "L" and self.heir_of_leaving
        return moved or issued.node_id

    async def read_from_table(self, call):
        """Return the recorded reply to `call`, None without one."""
        try:
            entry = await asyncio.wait_for(self.reader.read(call.key), 1)
        except (OutcomeUnavailable, TimeoutError):
            return None
        return entry and answer_of_entry(call, entry)

    async def submit(self, frame, name):
        """Send a submission to a ledger node."""

        def cancel():
            self.nodes[name].ledger.cancel(frame.attempt_id)

        async def handle():
            node = self.nodes[name]
            if not await node.ready():
                return None
            work = node.ledger.submit(frame, partial(self.dispatch, node))
            reply = await node.spawn(work)
            return reply if await node.ready() else None

        return await self.exchange(
            "submit", "reply", handle, peer=name, timeout_s=1.2, cancel=cancel
        )

    async def dispatch(self, node, call):
        """Send an attempt from a ledger node to a target."""
        target = self.rng.choice(self.targets)
        if not await node.ready():
            return unknown(call)
        try:
            reply = await self.exchange(
                "dispatch",
                "answer",
                partial(target.run, call),
                peer=target.name,
                timeout_s=2.0,
                late=node.ledger.handle_late_reply,
                cancel=partial(target.guard.cancel, call.attempt_id),
            )
        except TimeoutError:
            reply = unknown(call)
        await node.ready()
        return self.mutate("reply of target", reply)

    # The planned stop of L.

    def start_stop(self):
        """Begin the planned stop of L, once."""
        node = self.nodes["L"]
        if self.stop_task is None and node.alive:
            self.stop_task = node.spawn(self.stop(node))

    async def stop(self, node):
        """Hand over and end."""
        choice = await hand_over(
            node.ledger,
            ("L", node.incarnation),
            choose_heir=self.choose_heir,
            send=partial(self.send_handover, node),
            settings=SETTINGS,
        )
        self.heir_of_leaving = choice.heir.node_id
        await asyncio.sleep(2)
        node.crash()

    def choose_heir(self, tried):
        """Return a live heir that was not tried; names are preferred to be new."""
        heirs = [Heir(name, self.nodes[name].incarnation) for name in ("H1", "H2")]
        return next((heir for heir in heirs if heir not in tried), None)

    async def send_handover(self, node, heir, message):
        """Deliver a message of the hand-over."""
        if not await node.ready():
            raise OSError

        async def handle():
            receiver = self.nodes[heir.node_id]
            if not await receiver.ready():
                return None
            return receive_handover(receiver.ledger, self.mutate("handover", message))

        return await self.exchange(
            "handover", "adopt", handle, peer=heir.node_id, timeout_s=1.0
        )

    # The script of a run.

    async def run(self):
        """Play the script; return events, conclusion and missed faults."""
        start_s = now_s()
        timeline = sorted(
            [*SENDS, (STOP_S + 0.015, None, None, None)], key=lambda x: x[0]
        )
        for time_s, key, body, entry in timeline:
            await asyncio.sleep(max(0, start_s + time_s - now_s()))
            for node in self.nodes.values():
                node.ledger.sweep()
            if key is None:
                self.start_stop()
            else:
                self.start_send(key, body, entry)
        await asyncio.sleep(30)
        concluded = self.conclusions["k1"]
        await self.after_expiry()
        await self.links.close()
        for node in self.nodes.values():
            node.crash()
        return self.recorder.events, concluded, self.plan.missed()

    async def after_expiry(self):
        """Resend when the records are dropped and the clock has been set back."""
        for offset_s in (KEY_LIFETIME_S + 3600, 0):
            for node in self.nodes.values():
                node.node.wall_offset_s = offset_s
                node.ledger.sweep()
            for entry in ("E1", "E2"):
                self.start_send("k1", b"order", entry)
            await asyncio.sleep(10)
