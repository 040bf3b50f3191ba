"""Seeded schedules in virtual time: the bound of a window, and what it may not cost."""

import unittest

from nose2.tools import params

from damaskproxy.allowances import Limit
from damaskproxy.allowances.tests.virtual_nodes import (
    BOUNDS,
    FLOOD,
    USUAL,
    largest_sum,
    make_nodes,
)

SIZES = ((6, 550), (6, 3), (68, 3), (68, 30), (68, 550))
"""Nodes and rates."""
LARGE = (300, 30)
"""Takes longest, so only some schedules have it."""
CHANCE_ASKS = 5
"""Asks because a small organisation comes near its limit by chance."""
FLOOD_AT_S, FLOOD_S, END_S = 4.0, 6.5, 12.0


def calm(nodes):
    """Run without a failure."""
    nodes.run(END_S)


def at_one_node(nodes):
    """Run with all clients at one node."""
    nodes.choose = lambda: nodes.ids[-1]
    nodes.run(END_S)


def moving(nodes):
    """Run with all clients at one node, and at another one every 0.4 s."""
    nodes.choose = lambda: nodes.ids[int(nodes.now_s / 0.4) % len(nodes.ids)]
    nodes.run(END_S)


def owner_killed(nodes):
    """Kill the owner, which comes back."""
    nodes.run(FLOOD_AT_S + nodes.rng.uniform(0, 4))
    nodes.kill(nodes.owner_id(), nodes.rng.uniform(1, 2))
    nodes.run(END_S)


def all_killed(nodes):
    """Kill all nodes, which come back."""
    nodes.run(FLOOD_AT_S + nodes.rng.uniform(0, 4))
    for node_id in nodes.ids:
        nodes.kill(node_id, nodes.rng.uniform(1, 1.5))
    nodes.run(END_S)


def rolling_restart(nodes):
    """Kill one node after the other, which come back."""
    for number, node_id in enumerate(nodes.ids):
        at_s = 2 + 8 * number / len(nodes.ids)
        nodes.after(at_s, lambda node_id=node_id: nodes.kill(node_id, 1.0))
    nodes.run(END_S)


def cut(nodes, is_alone=False):
    """Cut 35 % of the nodes off from the others."""
    nodes.run(FLOOD_AT_S + nodes.rng.uniform(-1, 3))
    lost = nodes.rng.sample(nodes.ids, int(0.35 * len(nodes.ids)))
    nodes.islands = {node_id: node_id if is_alone else "cut" for node_id in lost}
    nodes.run(12.0)
    nodes.islands = {}
    nodes.run(3.0)


def cut_alone(nodes):
    """Cut 35 % of the nodes off, also from each other."""
    cut(nodes, is_alone=True)


def owner_joins(nodes):
    """Add a new owner, which nodes learn of at different times within a second."""
    nodes.run(0.0)
    owner_id = nodes.owner_id()
    others = [node_id for node_id in nodes.ids if node_id != owner_id]
    for node_id in nodes.ids:
        nodes.update_members(node_id, others)
    nodes.run(FLOOD_AT_S + nodes.rng.uniform(0, 3))
    for node_id in nodes.ids:
        nodes.after(
            nodes.rng.uniform(0, 1),
            lambda node_id=node_id: nodes.update_members(node_id, nodes.ids),
        )
    nodes.run(END_S)


def rows(*schedules):
    """Return each schedule with each size."""
    return [(each, *size) for each in schedules for size in SIZES]


class ScheduleTests(unittest.TestCase):
    """Guards against sums over a limit, and against refusals below it."""

    @params(
        *rows(calm, at_one_node, owner_killed, all_killed, rolling_restart),
        *rows(cut, cut_alone, owner_joins),
        *((each, *LARGE) for each in (owner_killed, all_killed, cut, owner_joins)),
    )
    def test_flood_stays_within_the_bound(self, schedule, count, rate_per_s):
        nodes = make_nodes(count, rate_per_s)
        nodes.demand(rate_per_s * USUAL, 0.0, FLOOD_AT_S)
        nodes.demand(rate_per_s * FLOOD, FLOOD_AT_S, FLOOD_S)
        nodes.demand(rate_per_s * USUAL, FLOOD_AT_S + FLOOD_S, 8.0)
        schedule(nodes)
        bound = BOUNDS.largest_sum(nodes.limit)
        self.assertLessEqual(largest_sum(nodes.admitted_s), bound)

    @params(
        *rows(calm, at_one_node, moving, owner_killed, owner_joins),
        (at_one_node, *LARGE),
        (owner_killed, *LARGE),
    )
    def test_usual_demand_is_not_refused(self, schedule, count, rate_per_s):
        nodes = make_nodes(count, rate_per_s)
        nodes.demand(rate_per_s * USUAL, 0.0, END_S)
        schedule(nodes)
        self.assertGreater(len(nodes.admitted_s), 0)
        self.assertLessEqual(len(nodes.refused_s), 0.001 * nodes.sent_count)

    @params(*SIZES)
    def test_usual_demand_needs_few_asks(self, count, rate_per_s):
        nodes = make_nodes(count, rate_per_s)
        nodes.demand(rate_per_s * USUAL, 0.0, 20.0)
        nodes.run(4.0)
        asks, sent = nodes.ask_count, nodes.sent_count
        nodes.run(16.0)
        expected = 0.05 * (nodes.sent_count - sent) + CHANCE_ASKS
        self.assertLessEqual(nodes.ask_count - asks, expected)

    @params(*SIZES)
    def test_lowered_limit_is_kept_5_s_after_it_is_in_force(self, count, rate_per_s):
        nodes = make_nodes(count, 4 * rate_per_s)
        nodes.demand(rate_per_s * FLOOD, 0.0, END_S)
        nodes.run(FLOOD_AT_S)
        lowered = Limit(rate_per_s, rate_per_s)
        for node_id in nodes.ids:
            nodes.after(
                nodes.rng.uniform(0, 1),
                lambda node_id=node_id: nodes.apply(node_id, lowered),
            )
        nodes.run(1.0)
        nodes.admitted_s.clear()
        nodes.run(7.0)
        self.assertLessEqual(largest_sum(nodes.admitted_s), BOUNDS.largest_sum(lowered))
