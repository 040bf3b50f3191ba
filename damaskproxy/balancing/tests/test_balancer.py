import random
import unittest

from nose2.tools import params

from damaskproxy.balancing import Balancer
from damaskproxy.common import RefusalReason
from damaskproxy.model import Address, Member
from damaskproxy.wire import Load

ADDRESS = Address("127.0.0.1", 1)


def members(count, data_centres=("a",)):
    return [
        Member(
            node_id=f"n{index}",
            incarnation=1,
            version=1,
            region="r",
            data_centre=data_centres[index % len(data_centres)],
            peer=ADDRESS,
            control=ADDRESS,
            call=ADDRESS,
            service="s",
            slots=10,
        )
        for index in range(count)
    ]


class BalancerTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.balancer = Balancer(
            "a", now_s=lambda: self.now_s, rng=random.Random(3), settings=None
        )

    def test_service_without_members_is_refused(self):
        refusal = self.balancer.choose("s", [])
        self.assertIs(refusal.reason, RefusalReason.NO_BACKEND)

    def test_at_most_a_third_of_a_service_is_ejected(self):
        """Ejecting most members of a service would overload the others."""
        group = members(6)
        self.balancer.choose("s", group)
        for member in group:
            for _ in range(20):
                self.balancer.started(member)
                self.balancer.finished(
                    member, elapsed_s=0.1, result="failed", load=None
                )
        chosen = {self.balancer.choose("s", group).node_id for _ in range(200)}
        self.assertEqual(chosen, {"n2", "n3", "n4", "n5"})

    def test_early_refusal_ends_when_the_load_report_is_stale(self):
        """A level without further reports must not exclude a server permanently."""
        member = members(1)[0]
        self.balancer.started(member)
        self.balancer.finished(
            member, elapsed_s=0.1, result="refused", load=Load(level=200)
        )
        refusal = self.balancer.early_refusal(member, 2, 0)
        self.assertIs(refusal.reason, RefusalReason.OVERLOAD_EARLY)
        self.assertIsNone(self.balancer.early_refusal(member, 1, 0))
        self.now_s = 0.5
        self.assertIsNone(self.balancer.early_refusal(member, 2, 0))

    def serve(self, member, elapsed_s, result="ok", count=1):
        for _ in range(count):
            self.balancer.started(member)
            self.balancer.finished(
                member, elapsed_s=elapsed_s, result=result, load=None, route="r"
            )

    def share_of(self, group, *node_ids, calls=400):
        chosen = [self.balancer.choose("s", group).node_id for _ in range(calls)]
        return sum(node_id in node_ids for node_id in chosen) / calls

    def test_local_members_are_preferred_until_they_are_worse(self):
        group = tuple(members(4, ("a", "b")))
        self.balancer.choose("s", group)
        for member in group:
            self.serve(member, 0.02, count=20)
        self.assertEqual(self.share_of(group, "n0", "n2"), 1.0)
        for member in group[::2]:
            self.serve(member, 0.5, count=20)
        self.assertEqual(self.share_of(group, "n0", "n2"), 0.0)

    @params("ok", "cancelled", "failed")
    def test_a_slow_or_failed_member_is_tried_again(self, result):
        """A latency that decays only with responses would exclude a member forever."""
        group = tuple(members(3))
        self.balancer.choose("s", group)
        for member in group:
            self.serve(member, 0.02, count=20)
        self.serve(group[0], 1.0, result, count=4)
        self.assertLess(self.share_of(group, "n0"), 0.05)
        self.now_s += 20.0
        for member in group[1:]:
            self.serve(member, 0.02, count=200)
        self.assertGreater(self.share_of(group, "n0"), 0.0)

    def test_a_call_in_flight_raises_the_expected_latency(self):
        group = tuple(members(2))
        self.balancer.choose("s", group)
        for member in group:
            self.serve(member, 0.02, count=20)
        self.balancer.started(group[0])
        self.assertFalse(self.balancer.is_slow(group[0]))
        self.now_s += 0.2
        self.assertTrue(self.balancer.is_slow(group[0]))
        self.assertEqual(self.share_of(group, "n0"), 0.0)

    def test_a_new_member_has_a_slow_start_and_does_not_starve(self):
        group = tuple(members(4))
        self.balancer.choose("s", group[:3])
        self.assertTrue(0 < self.share_of(group, "n3") < 0.15)
        self.serve(group[3], 0.02, count=50)
        self.assertGreater(self.share_of(group, "n3"), 0.2)

    @params((19, None), (40, 0.02), (400, 0.02))
    def test_hedge_delay_is_known_after_enough_responses(self, count, expected):
        member = members(1)[0]
        for index in range(count):
            self.serve(member, 0.5 if index % 10 == 0 else 0.01)
        delay_s = self.balancer.hedge_delay_s("s", "r")
        if expected is None:
            self.assertIsNone(delay_s)
        else:
            self.assertAlmostEqual(delay_s, expected, delta=0.003)
