"""Circuit breaker of routes of which all or some requests fail."""

import random
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.forwarding import breaker as breaker_module
from damaskproxy.forwarding.breaker import RouteBreaker


class RouteBreakerTests(unittest.TestCase):
    """Guards against work for routes that fail, and against needless refusals."""

    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(breaker_module, "boot_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.rng = random.Random(1)
        self.breaker = RouteBreaker(self.rng.random)

    def run_requests(self, served_share, requests=400, gap_s=0.01):
        """Run requests and return the share of them that was admitted."""
        admitted = 0
        for _ in range(requests):
            self.now_s += gap_s
            if self.breaker.admits():
                admitted += 1
                self.breaker.record_outcome(is_served=self.rng.random() < served_share)
        return admitted / requests

    @params((1.0, 1.0), (0.7, 1.0), (0.2, 0.45), (0.0, 0.3))
    def test_admitted_share_follows_the_served_share(self, served, admitted):
        self.run_requests(served)
        self.assertAlmostEqual(self.run_requests(served), admitted, delta=0.15)

    @params(0.01, 0.1, 0.5)
    def test_recovered_route_is_fully_open_within_seconds(self, gap_s):
        self.run_requests(0.0, gap_s=gap_s)
        self.run_requests(1.0, requests=int(3 / gap_s), gap_s=gap_s)
        self.assertEqual(self.run_requests(1.0, requests=50, gap_s=gap_s), 1.0)

    def test_few_failures_do_not_refuse_requests(self):
        for _ in range(8):
            self.breaker.record_outcome(is_served=False)
        self.assertTrue(all(self.breaker.admits() for _ in range(50)))

    def test_failures_decay_without_traffic(self):
        self.run_requests(0.0)
        self.now_s += 3.0
        self.assertTrue(all(self.breaker.admits() for _ in range(50)))
