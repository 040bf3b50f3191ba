"""Routes whose requests fail, all or in part, for a while or at once."""

import random
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.forwarding import breaker as breaker_module
from damaskproxy.forwarding.breaker import RouteBreaker


class RouteBreakerTests(unittest.TestCase):
    """Guards against work for requests that fail, and against refusals of others."""

    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(breaker_module, "boot_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.rng = random.Random(1)
        self.breaker = RouteBreaker(self.rng.random)

    def play(self, served_share, requests=400, gap_s=0.01):
        """Return the share of the requests that was admitted."""
        admitted = 0
        for _ in range(requests):
            self.now_s += gap_s
            if self.breaker.admits():
                admitted += 1
                self.breaker.ended(is_served=self.rng.random() < served_share)
        return admitted / requests

    @params((1.0, 1.0), (0.7, 1.0), (0.2, 0.45), (0.0, 0.3))
    def test_admitted_share_follows_the_served_share(self, served, admitted):
        self.play(served)
        self.assertAlmostEqual(self.play(served), admitted, delta=0.15)

    @params(0.01, 0.1, 0.5)
    def test_healed_route_is_open_again_soon(self, gap_s):
        self.play(0.0, gap_s=gap_s)
        self.play(1.0, requests=int(3 / gap_s), gap_s=gap_s)
        self.assertEqual(self.play(1.0, requests=50, gap_s=gap_s), 1.0)

    def test_single_failures_close_nothing(self):
        for _ in range(8):
            self.breaker.ended(is_served=False)
        self.assertTrue(all(self.breaker.admits() for _ in range(50)))

    def test_silence_opens(self):
        self.play(0.0)
        self.now_s += 3.0
        self.assertTrue(all(self.breaker.admits() for _ in range(50)))
