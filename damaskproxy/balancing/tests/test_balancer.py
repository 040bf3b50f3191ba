import random
import unittest

from damaskproxy.balancing import Balancer
from damaskproxy.common import RefusalReason
from damaskproxy.wire import Load
from damaskproxy.world import Address, Member

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

    def test_nothing_to_choose_from(self):
        refusal = self.balancer.choose("s", [])
        self.assertIs(refusal.reason, RefusalReason.NO_BACKEND)

    def test_ejection_stays_within_a_third(self):
        """Ejecting most of a service would overload the rest of it."""
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

    def test_early_refusal_ends_when_the_report_is_stale(self):
        """A level that is never reported again must not close a server for good."""
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
