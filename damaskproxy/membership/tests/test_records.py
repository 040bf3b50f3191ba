"""Unit tests of member list, ring, hashes and stall guard."""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common.hashing import rendezvous
from damaskproxy.membership import Mark, Status, pollers
from damaskproxy.membership.guard import StallGuard
from damaskproxy.membership.messages import to_record
from damaskproxy.membership.records import MemberList
from damaskproxy.membership.ring import Ring
from damaskproxy.membership.tests.network import member
from damaskproxy.model import MemberState

ALIVE, SUSPECT, DEAD = Status
DAY_S = 86_400


def member_list(clock=lambda: 0.0):
    return MemberList(now_s=clock, retention_s=DAY_S)


def record(incarnation, version, status=ALIVE, age_ms=0, number=1, **fields):
    changed = replace(
        member(number), incarnation=incarnation, version=version, **fields
    )
    return to_record(changed, status, age_ms)


claims = st.builds(
    record,
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(Status),
    number=st.integers(0, 3),
)


class MergeTests(unittest.TestCase):
    """Guards against older claims that replace newer ones."""

    @params(
        ("higher version", (1, 1, ALIVE), (1, 2, ALIVE), True, ALIVE),
        ("lower version", (1, 2, ALIVE), (1, 1, DEAD), False, ALIVE),
        ("refutation", (1, 1, SUSPECT), (1, 2, ALIVE), True, ALIVE),
        (
            "suspicion of the same version",
            (1, 1, ALIVE),
            (1, 1, SUSPECT),
            True,
            SUSPECT,
        ),
        ("no refutation", (1, 1, SUSPECT), (1, 1, ALIVE), False, SUSPECT),
        ("dead claim about a live member", (1, 1, ALIVE), (1, 1, DEAD), True, SUSPECT),
        ("dead claim about a suspect", (1, 1, SUSPECT), (1, 1, DEAD), True, SUSPECT),
        (
            "dead claim about a later incarnation",
            (1, 1, ALIVE),
            (2, 0, DEAD),
            True,
            SUSPECT,
        ),
        ("rejoin", (1, 9, DEAD), (2, 0, ALIVE), True, ALIVE),
        ("earlier incarnation", (2, 0, DEAD), (1, 9, ALIVE), False, DEAD),
    )
    def test_order(self, _name, held, claim, is_newer, status):
        members = member_list()
        members.merge(record(*held))
        self.assertEqual(members.merge(record(*claim)), is_newer)
        self.assertIs(members.get("node-1").status, status)

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
    def test_merge_order_does_not_matter(self, records, rng):
        shuffled = records[:]
        rng.shuffle(shuffled)
        first, second = member_list(), member_list()
        for one, other in zip(records, shuffled, strict=True):
            first.merge(one)
            second.merge(other)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(first.bucket_digests(), second.bucket_digests())
        # After the suspicion timers the statuses are equal too, not only the claims.
        for members in (first, second):
            members.declare_dead(0.0)
        for number in range(4):
            entries = [m.get(f"node-{number}") for m in (first, second)]
            self.assertEqual(*[e and (e.key, e.member) for e in entries])

    @settings(derandomize=True, max_examples=100)
    @given(st.lists(claims, max_size=12), st.lists(claims, max_size=12))
    def test_bucket_comparison_synchronizes_lists(self, left, right):
        lists = member_list(), member_list()
        for members, records in zip(lists, (left, right), strict=True):
            for one in records:
                members.merge(one)
        buckets = lists[0].differing_buckets(lists[1].bucket_digests())
        newer, older = lists[1].compare(buckets, lists[0].marks(buckets))
        records = [lists[1].record(node_id) for node_id in newer]
        returned = [lists[0].record(node_id) for node_id in older]
        for one in records:
            lists[0].merge(one)
        for one in returned:
            lists[1].merge(one)
        self.assertEqual(lists[0].digest, lists[1].digest)

    def test_age_of_a_dead_claim_does_not_shorten_a_suspicion(self):
        members = member_list(lambda: 100.0)
        members.merge(record(1, 0))
        members.merge(record(1, 0, DEAD, age_ms=50_000))
        self.assertEqual(members.declare_dead(99.0), [])
        self.assertEqual(len(members.declare_dead(100.0)), 1)

    @params((Mark("node-1", 1, 2, SUSPECT),), (Mark("node-9", 1, 0, SUSPECT),))
    def test_marks_of_unknown_versions_are_ignored(self, mark):
        members = member_list()
        members.merge(record(1, 1))
        self.assertFalse(members.merge_mark(mark))
        self.assertIs(members.get("node-1").status, ALIVE)

    @params((DEAD, MemberState.SERVING), (ALIVE, MemberState.STOPPED))
    def test_expired_member_is_not_restored_by_another_node(self, status, state):
        """A removed member must not come back from a node that still retains it."""
        clock = [0.0]
        members = member_list(lambda: clock[0])
        members.merge(record(1, 0, status, 1_000, state=state))
        self.assertFalse(members.get("node-1").is_live)
        sent = members.record("node-1")
        self.assertEqual(sent.age_ms, 1_000)
        clock[0] = DAY_S - 0.5
        late_record = members.record("node-1")
        members.remove_expired()
        self.assertIsNone(members.get("node-1"))
        self.assertEqual(members.digest, 0)
        self.assertFalse(members.merge(late_record))

    def test_serving_index(self):
        members = member_list()
        serving = lambda: [m.order for m in members.serving("service-1")]  # noqa: E731
        steps = [
            (record(1, 0), [(1, 0)]),
            (record(1, 1, SUSPECT), [(1, 1)]),
            (record(1, 2, state=MemberState.DRAINING), []),
            (record(1, 3), [(1, 3)]),
            (record(1, 4, service="service-2"), []),
            (record(2, 0), [(2, 0)]),
        ]
        for one, expected in steps:
            members.merge(one)
            self.assertEqual(serving(), expected)
        members.merge(record(2, 0, SUSPECT))
        members.declare_dead(0.0)
        self.assertEqual(serving(), [])


class RingTests(unittest.TestCase):
    """Guards against neighbours that depend on the order of changes to the ring."""

    def test_incremental_changes(self):
        rng, ring, present = random.Random(3), Ring(), set()
        for _ in range(2_000):
            node_id = f"node-{rng.randrange(300)}"
            (ring.remove if node_id in present else ring.add)(node_id)
            present ^= {node_id}
        fresh = Ring()
        for node_id in sorted(present):
            fresh.add(node_id)
        for node_id in present:
            successors, links = ring.neighbours(node_id)
            self.assertEqual((successors, links), fresh.neighbours(node_id))
            self.assertEqual(
                len({*successors, *links, node_id}), len(successors + links) + 1
            )
            self.assertEqual(len(successors), 3)

    @params((1, 0), (2, 1), (3, 2), (4, 3), (200, 8), (5_000, 8))
    def test_flooding_reaches_all_in_few_hops(self, size, degree):
        """A hop takes a push interval of 50 ms; a change must arrive within 3 s."""
        ring = Ring()
        for number in range(size):
            ring.add(f"node-{number}")
        graph = {}
        for number in range(size):
            successors, links = ring.neighbours(f"node-{number}")
            graph[f"node-{number}"] = successors + links
            self.assertLessEqual(len(successors + links), degree)
        reached, frontier, hops = {"node-0"}, {"node-0"}, 0
        while frontier:
            frontier = {
                peer for node_id in frontier for peer in graph[node_id]
            } - reached
            reached |= frontier
            hops += bool(frontier)
        self.assertEqual(len(reached), size)
        self.assertLessEqual(hops, 12)


class RendezvousTests(unittest.TestCase):
    """Guards against assignments that differ between nodes or change needlessly."""

    def test_removal_reassigns_only_keys_of_the_removed_node(self):
        ids = [f"node-{number}" for number in range(50)]
        before = {key: rendezvous(ids, str(key), 2) for key in range(100)}
        after = {key: rendezvous(reversed(ids[1:]), str(key), 2) for key in range(100)}
        for key, chosen in before.items():
            kept = [node_id for node_id in chosen if node_id != "node-0"]
            self.assertEqual(after[key][: len(kept)], kept)
        self.assertGreater(len({chosen[0] for chosen in before.values()}), 25)

    def test_pollers_are_serving_nodes_of_the_data_centre(self):
        members = [member(number) for number in range(30)]
        first = pollers(members, "dc-2")
        draining = [
            replace(m, state=MemberState.DRAINING) if m.node_id in first else m
            for m in members
        ]
        second = pollers(draining, "dc-2")
        self.assertEqual((len(first), len(second)), (2, 2))
        self.assertFalse(set(first) & set(second))
        self.assertEqual(pollers(members, "dc-9"), [])


class GuardTests(unittest.TestCase):
    """Guards against acting on timeouts right after a pause."""

    @params((0.5, True), (0.9, True), (1.2, False), (3_600, False), (-5.0, False))
    def test_gap(self, gap_s, trusted):
        clock, stalls = [100.0], []
        guard = StallGuard(
            now_s=lambda: clock[0], stall_s=0.5, recovery_s=2.0, on_stall=stalls.append
        )
        clock[0] += gap_s
        self.assertEqual(guard.trusted(), trusted)
        self.assertEqual(bool(stalls), not trusted)
        for _ in range(5):
            clock[0] += 0.5
            guard.tick()
        self.assertTrue(guard.trusted())
