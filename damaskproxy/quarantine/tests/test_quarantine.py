"""Tests that a poison request crashes at most two servers, and others get through."""

import asyncio
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common import Refusal
from damaskproxy.quarantine import (
    Quarantine,
    QuarantineRecord,
    QuarantineSettings,
    SuspectPermit,
)
from damaskproxy.quarantine.tests.matrix import FAULT_TABLE
from tools.fault_matrix import broken_pairs
from tools.faults.poison_mesh import request
from tools.faults.virtual_time import run_virtual


class PoisonTests(unittest.TestCase):
    """Guards against a third crash and against refused unrelated requests."""

    @params(*FAULT_TABLE.proofs)
    def test_proof(self, proof):
        kept, _ = FAULT_TABLE.run(proof.cells, proof.seed)
        self.assertTrue(kept.ok, kept.lines())
        broken, _ = FAULT_TABLE.run(proof.cells, proof.seed, proof.mechanism)
        self.assertGreater(broken.counts[proof.finding], 0, broken.lines())

    def test_pairs_of_faults(self):
        count, broken = broken_pairs(FAULT_TABLE, every=9)
        self.assertGreater(count, 9)
        self.assertEqual(broken, [])

    def test_copies_choose_the_same_server(self):
        """Copies of a poison request must not crash a server each."""
        suspect = SuspectPermit("identity", frozenset({"n3"}))
        names = [f"n{number}" for number in range(9)]
        self.assertEqual(suspect.target(names), suspect.target(names[::-1]))
        self.assertIsNone(suspect.target(["n3"]))
        targets = {SuspectPermit(f"i{n}").target(names) for n in range(100)}
        self.assertEqual(targets, set(names))

    @params(
        ("suspect", 0, True, SuspectPermit),
        ("non-idempotent suspect", 0, False, Refusal),
        ("suspect for 10 min", 601, True, type(None)),
        ("non-idempotent after 10 min", 601, False, type(None)),
    )
    def test_check(self, _name, wait_s, idempotent, decision):
        clock_ms = [0]
        node = Quarantine(wall_ms=lambda: clock_ms[0])
        call = request(b"x", idempotent=idempotent)
        node.backend_crashed([node.identity(call)], server="n0")
        clock_ms[0] = wait_s * 1000
        self.assertIsInstance(node.check(call), decision)

    @params(
        ("second suspect waits for the first", "completed", SuspectPermit),
        ("second suspect is refused at its deadline", None, Refusal),
        ("released", "released", SuspectPermit),
    )
    def test_one_permit_per_node(self, _name, end, expected):
        async def scenario():
            node = Quarantine(wall_ms=lambda: 0)
            calls = [request(b"a"), request(b"b")]
            node.backend_crashed([node.identity(call) for call in calls])
            first = await node.acquire_permit(calls[0], timeout_s=1)
            second = asyncio.ensure_future(node.acquire_permit(calls[1], timeout_s=1))
            await asyncio.sleep(0.5)
            self.assertFalse(second.done())
            if end:
                getattr(node, end)(first)
            return await second

        self.assertIsInstance(run_virtual(scenario()), expected)

    def test_completion_on_a_slower_clock(self):
        """A completion must clear a suspicion that was dated by a faster clock."""

        async def scenario():
            fast, slow = Quarantine(wall_ms=lambda: 5000), Quarantine(wall_ms=lambda: 0)
            call = request(b"x")
            fast.backend_crashed([fast.identity(call)])
            slow.merge(fast.records())
            slow.completed(await slow.acquire_permit(call, timeout_s=1))
            fast.merge(slow.records())
            self.assertIsNone(fast.check(call))
            slow.backend_crashed([slow.identity(call)])
            fast.merge(slow.records())
            return fast.check(call)

        self.assertIsInstance(run_virtual(scenario()), SuspectPermit)


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
    """Guards against nodes whose records diverge and against unbounded growth."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
    def test_merge_is_independent_of_order(self, batch, rng):
        nodes = [Quarantine(wall_ms=lambda: 0) for _ in range(2)]
        shuffled = batch * 2
        rng.shuffle(shuffled)
        nodes[0].merge(batch)
        for record in shuffled:
            nodes[1].merge([record])
        states = [sorted(node.records(), key=lambda r: r.identity) for node in nodes]
        self.assertEqual(states[0], states[1])

    def test_full_store_keeps_quarantined_records(self):
        node = Quarantine(wall_ms=lambda: 0, settings=QuarantineSettings(records_max=3))
        node.merge([QuarantineRecord("bad", 1, 0, 500_000)])
        node.backend_crashed([f"suspect {number}" for number in range(50)])
        kept = {record.identity for record in node.records()}
        self.assertEqual(len(kept), 3)
        self.assertIn("bad", kept)

    def test_times_far_in_the_future_are_limited(self):
        clock_ms = [0]
        node = Quarantine(wall_ms=lambda: clock_ms[0])
        identity = node.identity(request(b"x"))
        node.merge([QuarantineRecord(identity, 10**15, 0, 10**15)])
        self.assertEqual(node.check(request(b"x")).reason, "quarantined")
        clock_ms[0] = 1_300_000
        self.assertIsNone(node.check(request(b"x")))

    def test_records_newer_than_a_version(self):
        node = Quarantine(wall_ms=lambda: 0)
        node.backend_crashed(["a", "b"])
        version = node.version()
        node.backend_crashed(["c"])
        changed = [record.identity for record in node.records(version)]
        self.assertEqual(changed, ["c"])
