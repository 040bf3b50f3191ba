"""Tests of the in-process scenarios and of virtual time."""

import asyncio
import unittest
from dataclasses import replace

from nose2.tools import params

from benchmarks import runner
from benchmarks.results import percentile
from benchmarks.scenarios import SCENARIOS
from benchmarks.virtual import run_virtual


def shortened(name):
    """Return a short variant of a scenario, which runs in less than a second."""
    return replace(
        SCENARIOS[name],
        phases=((0.6, 0.5),),
        measured=(0.1, 0.6),
        trigger_end_s=None,
        poison=(0.2,) if name == "poison" else (),
    )


class RunnerTest(unittest.TestCase):
    @params("stragglers", "poison")
    def test_equal_seeds_give_equal_figures(self, name):
        """Figures of two settings are comparable only if a run is deterministic."""
        runs = [
            runner._run(shortened(name), 7, "damask", runner.MeshSettings())
            for _ in range(2)
        ]
        self.assertEqual(runs[0], runs[1])
        self.assertGreater(runs[0]["whole"], 0)

    @params(("damask", 0), ("baseline", 4))
    def test_baseline_loses_more_servers_to_poison(self, policy, lost_min):
        result = runner._run(shortened("poison"), 7, policy, runner.MeshSettings())
        lost = result["servers_lost_per_poison_max"]
        self.assertGreaterEqual(lost, lost_min)
        if policy == "damask":
            self.assertLessEqual(lost, 2)


class VirtualTest(unittest.TestCase):
    def test_sleep_advances_the_virtual_clock(self):
        async def main(now_s):
            await asyncio.sleep(3600)
            return now_s()

        self.assertAlmostEqual(run_virtual(main), 3600, places=6)

    @params(([], None), ([5], 5), (list(range(100)), 99))
    def test_percentile(self, values, expected):
        self.assertEqual(percentile(values, 0.99), expected)
