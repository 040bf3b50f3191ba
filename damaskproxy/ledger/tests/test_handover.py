"""Tests that one heir takes over a ledger, and at most one node dispatches its keys."""

import asyncio
import unittest

from nose2.tools import params

from damaskproxy.ledger import (
    Heir,
    LedgerSettings,
    OutcomeUnavailable,
    hand_over,
    receive_handover,
)
from damaskproxy.ledger.tests.test_ledger import ScriptedDispatch, describe_reply
from damaskproxy.wire import Answer
from tools.faults.ledger_node import Node, call_of
from tools.faults.virtual_time import run_virtual

SETTINGS = LedgerSettings(handover_entries_max=2, handover_attempts=2)


class Mesh:
    """One stopping node and two heirs; `faults` maps ``heir step`` to a fault."""

    def __init__(self, faults):
        self.stopping = Node("old")
        self.nodes = {Heir(name, 1): Node(name) for name in ("h1", "h2")}
        self.faults = faults
        self.delayed = []

    def choose(self, tried):
        return next((heir for heir in self.nodes if heir not in tried), None)

    async def send(self, heir, message):
        ledger = self.nodes[heir].ledger
        fault = self.faults.get(f"{heir.node_id} {message.step}")
        if fault == "lost request":
            raise OSError
        if fault == "late":
            self.delayed.append((ledger, message))
            raise OSError
        if fault == "twice":
            receive_handover(ledger, message)
        accepted = receive_handover(ledger, message)
        if fault == "lost response":
            raise OSError
        if fault == "refused":
            return False
        return accepted

    def deliver_delayed(self):
        for ledger, message in self.delayed:
            receive_handover(ledger, message)


class HandoverTests(unittest.TestCase):
    """Guards against two nodes that dispatch one key, and against lost records."""

    @params(
        ("no fault", {}, "h1", False),
        (
            "each message twice",
            {"h1 stage": "twice", "h1 activate": "twice"},
            "h1",
            False,
        ),
        ("heir crashes while staging", {"h1 stage": "lost request"}, "h2", False),
        ("heir crashes before activation", {"h1 activate": "lost request"}, "h2", True),
        ("confirmation lost", {"h1 activate": "lost response"}, "h2", True),
        ("activation late", {"h1 activate": "late"}, "h2", True),
        ("heir refuses while staging", {"h1 stage": "refused"}, "h2", False),
    )
    def test_faults_of_the_heir(self, _name, faults, heir, sealed):
        async def scenario():
            mesh, script = Mesh(faults), ScriptedDispatch()
            keys = mesh.stopping.ring.issue(6)
            for key in keys[:5]:
                await mesh.stopping.ledger.submit(call_of(key, key), script)
            choice = await hand_over(
                mesh.stopping.ledger,
                ("old", 1),
                choose_heir=mesh.choose,
                send=mesh.send,
                settings=SETTINGS,
            )
            self.assertEqual((choice.heir.node_id, choice.sealed), (heir, sealed))
            mesh.deliver_delayed()
            chosen = mesh.nodes[choice.heir].ledger
            replies = {
                describe_reply(await chosen.submit(call_of(k), script))
                for k in keys[:5]
            }
            self.assertEqual(replies, {201})
            everyone = [mesh.stopping, *mesh.nodes.values()]
            unused = [
                await node.ledger.submit(call_of(keys[5], f"new {n}"), script)
                for n, node in enumerate(everyone)
            ]
            runs = sum(isinstance(reply, Answer) for reply in unused)
            self.assertLessEqual(runs, 1)
            self.assertEqual(len(script.attempts), 5 + runs)
            for reply in unused:
                if not isinstance(reply, Answer):
                    self.assertEqual(reply.outcome, "unknown")

        run_virtual(scenario())

    @params(
        ("wrong incarnation", {"heir_incarnation": 2}),
        ("entries missing", {"entry_count": 2}),
        ("key of another issuer", {"incarnation": 7}),
        ("heir is frozen", {"frozen": True}),
    )
    def test_adoption_refused(self, _name, change):
        async def scenario():
            node, heir = Node("old"), Node("h1")
            await node.ledger.submit(call_of(node.ring.issue(1)[0]), ScriptedDispatch())
            if change.pop("frozen", False):
                heir.ledger.freeze()
            fields = {"incarnation": 1} | change
            entries = node.ledger.snapshot()
            accepted = heir.ledger.take_over(
                "old", entries=entries, sealed=False, handover_id="h", **fields
            )
            return accepted, len(heir.ledger.issuers())

        self.assertEqual(run_virtual(scenario()), (False, 1))

    def test_hand_over_waits_for_attempts_and_an_heir(self):
        """The records would be lost if the node stopped before the confirmation."""

        async def scenario():
            mesh, script = Mesh({}), ScriptedDispatch(delay_s=0.5)
            (key,) = mesh.stopping.ring.issue(1)
            order = asyncio.ensure_future(
                mesh.stopping.ledger.submit(call_of(key), script)
            )
            await asyncio.sleep(0.1)
            heirs = []
            stop = asyncio.ensure_future(
                hand_over(
                    mesh.stopping.ledger,
                    ("old", 1),
                    choose_heir=lambda tried: heirs[0] if heirs else None,
                    send=mesh.send,
                )
            )
            await asyncio.sleep(600)
            self.assertFalse(stop.done())
            heirs.append(Heir("h2", 1))
            await stop
            self.assertEqual(describe_reply(await order), 201)
            heir = mesh.nodes[heirs[0]].ledger
            return describe_reply(await heir.submit(call_of(key, "s2"), script))

        self.assertEqual(run_virtual(scenario()), 201)

    @params(
        ("recorded in the table", None, 201),
        ("table unavailable", OutcomeUnavailable, "ledger-lost/unknown"),
    )
    def test_keys_of_a_crashed_node(self, _name, error, expected):
        async def scenario():
            crashed = Node("crashed")
            (key,) = crashed.ring.issue(1)
            await crashed.ledger.submit(call_of(key), ScriptedDispatch())
            (entry,) = crashed.ledger.snapshot()

            async def read(_key):
                if error:
                    raise error
                return entry

            script = ScriptedDispatch()
            other = Node("n2", extra={"read_outcome": read})
            reply = await other.ledger.submit(call_of(key), script)
            return describe_reply(reply), len(script.attempts)

        self.assertEqual(run_virtual(scenario()), (expected, 0))
