import random
import unittest

from nose2.tools import params

from damaskproxy.admission.costs import RouteCosts
from damaskproxy.admission.limit import ConcurrencyLimit
from damaskproxy.admission.settings import AdmissionSettings

SLOTS = 20
WINDOW_S = 0.1
UNSLOWED_S = 0.02


def simulate(latency_s_at, *, seconds=30.0):
    """Return the limits over time of a saturated server.

    `latency_s_at` returns its latency at a given concurrency.
    """
    limit = ConcurrencyLimit(SLOTS, AdmissionSettings())
    values = []
    responses = 0.0
    for window in range(round(seconds / WINDOW_S)):
        latency_s = latency_s_at(limit.value)
        responses += limit.value / latency_s * WINDOW_S
        while responses >= 1:
            limit.add(latency_s / UNSLOWED_S)
            responses -= 1
        limit.review(window * WINDOW_S, saturated=True)
        values.append(limit.value)
    return values


class LimitTest(unittest.TestCase):
    @params(
        # Capacity for 6 concurrent calls; any more only slow each other down.
        ("contention", lambda n: UNSLOWED_S * max(1.0, n / 6), 3, 14),
        # A noisy neighbour slows each call; less concurrency only loses throughput.
        ("noise", lambda n: UNSLOWED_S * 10, 15, 20),
        ("unslowed", lambda n: UNSLOWED_S, 20, 20),
    )
    def test_limit_finds_the_capacity(self, _name, latency_s_at, lowest, highest):
        """A limit that follows latency alone would collapse with a noisy neighbour."""
        settled_limits = sorted(simulate(latency_s_at)[-100:])
        self.assertTrue(
            lowest <= settled_limits[len(settled_limits) // 2] <= highest,
            settled_limits,
        )

    def test_limit_recovers_when_the_server_is_not_saturated(self):
        limit = ConcurrencyLimit(SLOTS, AdmissionSettings())
        limit._set(2.0)
        for window in range(SLOTS):
            limit.review(window * WINDOW_S, saturated=False)
        self.assertEqual(limit.value, SLOTS)

    def test_limit_follows_the_announced_slots(self):
        limit = ConcurrencyLimit(SLOTS, AdmissionSettings())
        limit.set_slots(5)
        self.assertEqual(limit.value, 5)


class CostsTest(unittest.TestCase):
    def setUp(self):
        self.costs = RouteCosts(AdmissionSettings())
        self.rng = random.Random(2)

    def test_stragglers_do_not_move_the_median(self):
        """A limit that mistakes a few stragglers for slowness would collapse."""
        for _ in range(2000):
            is_straggler = self.rng.random() < 0.02
            self.costs.add("r", 1.0 if is_straggler else 0.02)
        self.assertAlmostEqual(self.costs.get("r").median_s, 0.02, delta=0.004)

    @params((7, False), (20, True))
    def test_long_running_routes_are_detected(self, factor, is_long):
        for _ in range(400):
            self.costs.add("short", 0.02)
            if self.rng.random() < 0.1:
                self.costs.add("other", 0.02 * factor)
        self.assertEqual(self.costs.get("other").is_long, is_long)
        self.assertFalse(self.costs.get("short").is_long)
