"""A simulated mesh: two entry nodes, three ledger nodes and two target nodes.

The run of a `World` sends two requests several times through both entry nodes while a
ledger node stops, and resends one of them after its key has expired. Messages pass
through simulated links and tables that inject faults. Ledgers, pinned keys, outcome
writers and attempt guards are the production classes.
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
# Time in s, caller-chosen key, body and entry node of each send. k2 is sent while the
# node L hands its ledger over.
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

# How many messages of a step pass before its fault occurs; one entry is chosen. Zeros
# stand twice to favour early faults. A run has two messages of the rarest steps.
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
        # A separate generator, so that the random pauses of the outcome writers do not
        # change the other random choices of the run.
        self.writer_rng = random.Random(seed)
        self.mutations = mutations or {}
        self.table = MemoryTable()
        self.recorder = Recorder(now_s=now_s)
        self.unavailable_until_s = self.slow_until_s = self.wall_offset_s = 0.0
        self.loses_next_answer = False
        self.heir_of_stopped = None
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
        # The entry nodes issue keys for different ledger nodes, so that two pins of the
        # same caller-chosen key differ.
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
        """Return `thing`, or its replacement if this part of the mesh is mutated."""
        return self.mutations.get(part, lambda same: same)(thing)

    def writer(self, step, ring, process=None, on_written=lambda key: None):
        """Return an outcome writer whose table injects the faults of `step`."""
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
        """Return the faults that affect the whole mesh, with their actions."""
        return {
            "table down": self.make_table_unavailable,
            "table slow": self.make_table_slow,
            "table answer lost": self.lose_next_table_answer,
            "ledger node paused": lambda: self.nodes["L"].pause(PAUSE_S),
            "ledger node crashed": lambda: self.nodes["L"].crash(),
            "ledger node restarted": lambda: self.restart("L"),
            "heir crashed": lambda: self.nodes["H1"].crash(),
            "heir restarted": lambda: self.restart("H1"),
            "caller leaves": self.cancel_latest_send,
            "resend via other entry": lambda: self.start_send("k1", b"order", "E2"),
            "key expires": self.expire_keys,
            "handover crossed": self.start_stop,
        }

    def make_table_unavailable(self):
        """Make all operations of the table fail for 15 s."""
        self.unavailable_until_s = now_s() + OUTAGE_S

    def make_table_slow(self):
        """Delay the operations of the table that start within 15 s."""
        self.slow_until_s = now_s() + OUTAGE_S

    def lose_next_table_answer(self):
        """Apply the next commit but lose its response."""
        self.loses_next_answer = True

    def restart(self, name):
        """Crash a node and start its next incarnation."""
        node = self.nodes[name]
        node.crash()
        self.nodes[name] = LedgerNode(self, name, node.incarnation + 1)

    def cancel_latest_send(self):
        """Cancel the latest send, as a caller that closes its connection does."""
        if self.sends:
            self.sends[-1].cancel()

    def expire_keys(self):
        """Set the clocks of the ledger nodes ahead by the lifetime of a key."""
        self.wall_offset_s = KEY_LIFETIME_S
        for node in self.nodes.values():
            node.node.wall_offset_s = self.wall_offset_s
            node.ledger.sweep()

    def new_id(self):
        """Return a new id for a send or a submission."""
        self.ids += 1
        return f"id-{self.ids}"

    async def request_reply(
        self, step_out, step_back, handle, *, peer, timeout_s, cancel=None, late=None
    ):
        """Send a message to `peer` and return the reply; pass later ones to `late`."""
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

        self.links.send(
            step_out, deliver, peer=peer, cancel_first=cancel or (lambda: None)
        )
        return await asyncio.wait_for(reply, timeout_s)

    # The path of a call: entry node, ledger node, target node.

    def start_send(self, key, body, entry):
        """Send a request in the background."""
        self.sends.append(self.links.spawn(self.send(key, body, entry)))

    async def send(self, key, body, entry):
        """Send a request and record the reply that the caller receives."""
        send = self.new_id()
        self.recorder.sent(key, send=send, caller=send, request=body)
        call = msgspec.structs.replace(call_of("", body=body), request_id=key)
        try:
            reply = await self.enter(call, key, entry)
        except asyncio.CancelledError:
            self.recorder.told(key, send=send, caller=send, outcome=Outcome.UNKNOWN)
            return
        reported = {"outcome": getattr(reply, "outcome", None), "answer": None}
        if isinstance(reply, Answer):
            reported["answer"] = reply.body
        detail = getattr(reply, "reason", "")
        self.recorder.told(key, send=send, caller=send, detail=str(detail), **reported)
        if body == b"order":
            shown = (
                "answered" if isinstance(reply, Answer) else f"{reported['outcome']}"
            )
            self.conclusions[key] = f"{shown} ({detail})" if detail else shown

    async def enter(self, call, key, entry):
        """Resolve the key, submit to a ledger node, and fall back on the table."""
        issued = await self.pins[entry].resolve("orders", key)
        if not isinstance(issued, IssuedKey):
            return issued
        call = msgspec.structs.replace(call, key=issued.text)
        # Both attempts to submit have the same id. The first message may still arrive
        # late, and must not start a run after the second got the outcome not-run.
        frame = msgspec.structs.replace(call, attempt_id=self.new_id())
        reply = None
        for _ in range(2):
            try:
                submission = self.mutate("submission", frame)
                reply = await self.submit(submission, self.holder(issued))
            except TimeoutError:
                continue
            if getattr(reply, "reason", None) not in (
                RefusalReason.LEDGER_LOST,
                RefusalReason.LEDGER_MOVING,
            ):
                return reply
        return await self.read_from_table(call) or reply or unknown(call)

    def holder(self, issued):
        """Return a node that an entry node may take for the holder of the key.

        Half of the choices are random, as with an outdated view of the membership.
        """
        if self.rng.random() < 0.5:
            return self.rng.choice(("L", "H1", "H2"))
        moved = issued.node_id == "L" and self.heir_of_stopped
        return moved or issued.node_id

    async def read_from_table(self, call):
        """Return the reply recorded in the table, None without one."""
        try:
            entry = await asyncio.wait_for(self.reader.read(call.key), 1)
        except (OutcomeUnavailable, TimeoutError):
            return None
        return entry and answer_of_entry(call, entry)

    async def submit(self, frame, name):
        """Send a submission to a ledger node and return its reply."""

        def cancel():
            self.nodes[name].ledger.cancel(frame.attempt_id)

        async def handle():
            node = self.nodes[name]
            if not await node.ready():
                return None
            work = node.ledger.submit(frame, partial(self.dispatch, node))
            reply = await node.spawn(work)
            return reply if await node.ready() else None

        return await self.request_reply(
            "submit", "reply", handle, peer=name, timeout_s=1.2, cancel=cancel
        )

    async def dispatch(self, node, call):
        """Send an attempt from a ledger node to a target node and return its reply."""
        target = self.rng.choice(self.targets)
        if not await node.ready():
            return unknown(call)
        try:
            reply = await self.request_reply(
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

    # Planned stop of the node L.

    def start_stop(self):
        """Start the planned stop of L, unless it has started or L has crashed."""
        node = self.nodes["L"]
        if self.stop_task is None and node.running:
            self.stop_task = node.spawn(self.stop(node))

    async def stop(self, node):
        """Hand the ledger over to an heir, then stop."""
        handover = await hand_over(
            node.ledger,
            ("L", node.incarnation),
            choose_heir=self.choose_heir,
            send=partial(self.send_handover, node),
            settings=SETTINGS,
        )
        self.heir_of_stopped = handover.heir.node_id
        await asyncio.sleep(2)
        node.crash()

    def choose_heir(self, tried):
        """Return a node incarnation that was not tried as heir, None without one."""
        heirs = [Heir(name, self.nodes[name].incarnation) for name in ("H1", "H2")]
        return next((heir for heir in heirs if heir not in tried), None)

    async def send_handover(self, node, heir, message):
        """Send a message of the hand-over to the heir and return its reply."""
        if not await node.ready():
            raise OSError

        async def handle():
            receiver = self.nodes[heir.node_id]
            if not await receiver.ready():
                return None
            return receive_handover(receiver.ledger, self.mutate("handover", message))

        return await self.request_reply(
            "handover", "adopt", handle, peer=heir.node_id, timeout_s=1.0
        )

    # Schedule of a run.

    async def run(self):
        """Run the schedule; return events, conclusion and faults that did not occur."""
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
        conclusion = self.conclusions["k1"]
        await self.resend_after_expiry()
        await self.links.close()
        for node in self.nodes.values():
            node.crash()
        return self.recorder.events, conclusion, self.plan.missed()

    async def resend_after_expiry(self):
        """Resend after the records have expired, then with the clocks set back."""
        for offset_s in (KEY_LIFETIME_S + 3600, 0):
            for node in self.nodes.values():
                node.node.wall_offset_s = offset_s
                node.ledger.sweep()
            for entry in ("E1", "E2"):
                self.start_send("k1", b"order", entry)
            await asyncio.sleep(10)
