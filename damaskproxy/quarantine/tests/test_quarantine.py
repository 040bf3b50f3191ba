"""A poison request costs at most two servers, and innocent requests get through."""

import asyncio
import unittest

import msgspec
from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common import Refusal
from damaskproxy.quarantine import (
    Quarantine,
    QuarantineRecord,
    QuarantineSettings,
    SuspectPass,
)
from tools.faults.ledger_node import call_of
from tools.faults.virtual_time import now_s, run_virtual

POISON = b"poison"
ATTEMPTS = 4


def request(body, *, idempotent=True):
    return msgspec.structs.replace(call_of("", body=body), idempotent=idempotent)


class Mesh:
    """Nodes whose backend servers die when they run a poison request."""

    def __init__(self, names, *, checked=True, disseminated=True):
        self.nodes = {
            name: Quarantine(wall_ms=lambda: int(now_s() * 1000)) for name in names
        }
        self.in_flight = {name: {} for name in names}
        self.deaths = []
        self.checked = checked
        self.disseminated = disseminated

    async def send(self, entry, call, target):
        """Dispatch with retries, as the dispatcher of a node does."""
        tried = set()
        for _ in range(ATTEMPTS):
            decision = self.nodes[entry].check(call) if self.checked else None
            if isinstance(decision, Refusal):
                return decision.reason
            avoid = tried | (decision.avoid if decision else frozenset())
            if target in avoid:
                target = next(name for name in self.nodes if name not in avoid)
            marked = msgspec.structs.replace(call, suspect=decision is not None)
            result = await self.run(target, marked)
            if result != "died":
                return result
            tried.add(target)
            if decision is not None:
                self.nodes[entry].died(decision, server=target)
            else:
                identity = self.nodes[entry].identity(call)
                self.nodes[entry].server_died([identity], server=target)
        return "attempts spent"

    async def run(self, target, call):
        node = self.nodes[target]
        turn = await node.turn(call, timeout_s=30) if self.checked else None
        if isinstance(turn, Refusal):
            return turn.reason
        ended = asyncio.get_running_loop().create_future()
        self.in_flight[target][ended] = node.identity(call)
        asyncio.get_running_loop().call_later(0.1, self.end, target, ended, call)
        result = await ended
        if turn is not None and result == "done":
            node.completed(turn)
        self.spread(node)
        return result

    def end(self, target, ended, call):
        if ended.done():
            return
        if call.body != POISON:
            self.in_flight[target].pop(ended)
            ended.set_result("done")
            return
        self.deaths.append(target)
        self.nodes[target].server_died(self.in_flight[target].values(), server=target)
        for other in self.in_flight[target]:
            other.set_result("died")
        self.in_flight[target].clear()
        self.spread(self.nodes[target])

    def spread(self, node):
        if self.disseminated:
            for other in self.nodes.values():
                other.merge(node.records())


class PoisonTests(unittest.TestCase):
    """Guards against the loss of a third server and against refused innocents."""

    @params(
        ("disseminated", True, True, 2),
        ("one entry node without dissemination", True, False, 2),
        ("mechanism off", False, True, 8),
    )
    def test_servers_lost(self, _name, checked, disseminated, deaths):
        async def scenario():
            names = [f"n{number}" for number in range(6)]
            mesh = Mesh(names, checked=checked, disseminated=disseminated)
            for number in range(2):
                entry = names[number] if disseminated else "n0"
                await mesh.send(entry, request(POISON), names[number])
            return len(mesh.deaths)

        self.assertEqual(run_virtual(scenario()), deaths)

    def test_innocents_get_through(self):
        async def scenario():
            mesh = Mesh([f"n{number}" for number in range(4)])
            sends = [mesh.send("n1", request(b"%d" % n), "n0") for n in range(20)]
            # Another copy of each is in flight, as of a popular request.
            sends += [mesh.send("n2", request(b"%d" % n), "n0") for n in range(20)]
            results = await asyncio.gather(
                mesh.send("n1", request(POISON), "n0"), *sends
            )
            left = {
                record.identity
                for record in mesh.nodes["n3"].records()
                if record.is_suspect
            }
            return results, len(mesh.deaths), left

        results, deaths, left = run_virtual(scenario())
        self.assertEqual(results[0], "quarantined")
        self.assertEqual(set(results[1:]), {"done"})
        self.assertEqual(deaths, 2)
        poison = Quarantine(wall_ms=lambda: 0).identity(request(POISON))
        self.assertEqual(left, {poison})

    @params(
        ("suspect", 0, True, SuspectPass),
        ("non-idempotent suspect", 0, False, Refusal),
        ("suspect for 10 min", 601, True, type(None)),
        ("non-idempotent after 10 min", 601, False, type(None)),
    )
    def test_check(self, _name, wait_s, idempotent, decision):
        clock_ms = [0]
        node = Quarantine(wall_ms=lambda: clock_ms[0])
        call = request(b"x", idempotent=idempotent)
        node.server_died([node.identity(call)], server="n0")
        clock_ms[0] = wait_s * 1000
        self.assertIsInstance(node.check(call), decision)

    @params(
        ("second suspect waits", "completed", SuspectPass),
        ("and is refused at its deadline", None, Refusal),
        ("released", "released", SuspectPass),
    )
    def test_one_turn_per_node(self, _name, end, expected):
        async def scenario():
            node = Quarantine(wall_ms=lambda: 0)
            calls = [request(b"a"), request(b"b")]
            node.server_died([node.identity(call) for call in calls])
            first = await node.turn(calls[0], timeout_s=1)
            second = asyncio.ensure_future(node.turn(calls[1], timeout_s=1))
            await asyncio.sleep(0.5)
            self.assertFalse(second.done())
            if end:
                getattr(node, end)(first)
            return await second

        self.assertIsInstance(run_virtual(scenario()), expected)

    def test_death_on_a_clock_behind(self):
        """A completion must clear a suspicion that a faster clock has dated."""

        async def scenario():
            fast, slow = Quarantine(wall_ms=lambda: 5000), Quarantine(wall_ms=lambda: 0)
            call = request(b"x")
            fast.server_died([fast.identity(call)])
            slow.merge(fast.records())
            slow.completed(await slow.turn(call, timeout_s=1))
            fast.merge(slow.records())
            self.assertIsNone(fast.check(call))
            slow.server_died([slow.identity(call)])
            fast.merge(slow.records())
            return fast.check(call)

        self.assertIsInstance(run_virtual(scenario()), SuspectPass)


times = st.integers(0, 1000)
records = st.builds(
    QuarantineRecord,
    st.sampled_from(["a", "b", "c"]),
    times,
    times,
    times,
    st.lists(st.sampled_from("uvwxyz"), max_size=3).map(tuple),
)


class RecordTests(unittest.TestCase):
    """Guards against nodes that disagree and against growth without bound."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
    def test_order_does_not_matter(self, batch, rng):
        nodes = [Quarantine(wall_ms=lambda: 0) for _ in range(2)]
        shuffled = batch * 2
        rng.shuffle(shuffled)
        nodes[0].merge(batch)
        for record in shuffled:
            nodes[1].merge([record])
        states = [sorted(node.records(), key=lambda r: r.identity) for node in nodes]
        self.assertEqual(states[0], states[1])

    def test_bound_keeps_the_quarantined(self):
        node = Quarantine(wall_ms=lambda: 0, settings=QuarantineSettings(records_max=3))
        node.merge([QuarantineRecord("bad", 1, 0, 500_000)])
        node.server_died([f"suspect {number}" for number in range(50)])
        kept = {record.identity for record in node.records()}
        self.assertEqual(len(kept), 3)
        self.assertIn("bad", kept)

    def test_far_future_is_limited(self):
        clock_ms = [0]
        node = Quarantine(wall_ms=lambda: clock_ms[0])
        identity = node.identity(request(b"x"))
        node.merge([QuarantineRecord(identity, 10**15, 0, 10**15)])
        self.assertEqual(node.check(request(b"x")).reason, "quarantined")
        clock_ms[0] = 1_300_000
        self.assertIsNone(node.check(request(b"x")))

    def test_only_changes_are_sent(self):
        node = Quarantine(wall_ms=lambda: 0)
        node.server_died(["a", "b"])
        version = node.version()
        node.server_died(["c"])
        changed = [record.identity for record in node.records(version)]
        self.assertEqual(changed, ["c"])
