"""Nodes drain in order, few at once, and only if the others can take their load."""

import asyncio
import dataclasses
import json
import unittest

from nose2.tools import params

from damaskproxy.model import Address, Member, MemberState
from damaskproxy.move import (
    DrainPlanner,
    NodeReport,
    SectionStore,
    parse_document,
    section_of,
)
from damaskproxy.move.tests.samples import ROUTE

ANY = Address("127.0.0.1", 1)
DRAINING, STOPPED = MemberState.DRAINING, MemberState.STOPPED
OLD = ("old-0", "old-1", "old-2")
NEW = ("new-0", "new-1", "new-2")


def make_reports(in_flight, limit=10, warm=True, names=OLD + NEW):
    return dict.fromkeys(names, NodeReport(in_flight, limit, warm))


def member(node_id, **changes):
    fields = {"state": MemberState.SERVING, "service": "orders", "slots": 10} | changes
    return Member(node_id, 1, 1, "r", node_id.split("-")[0], ANY, ANY, ANY, **fields)


class Mesh:
    """The nodes of one service, with the view that they all share."""

    def __init__(self, placement=None, **pace):
        self.members = {name: member(name) for name in OLD + NEW}
        self.reports = make_reports(2)
        self.store = SectionStore()
        self.version = 0
        self.place(placement or {"old": "leaving", "new": "serving"}, **pace)

    def place(self, placement, **pace):
        service = {"name": "orders", "routes": [ROUTE], "placement": placement}
        service["pace"] = pace
        text = json.dumps({"name": "horns", "team": "w", "services": [service]})
        self.version += 1
        document = parse_document(text.encode())
        self.store.apply(section_of(document, version=self.version, edit_id="e"))

    def set_state(self, node_id, state):
        self.members[node_id] = dataclasses.replace(self.members[node_id], state=state)

    async def describe(self, asked):
        report = self.reports[asked.node_id]
        if isinstance(report, Exception):
            raise report
        return report

    def planner(self, node_id):
        return DrainPlanner(
            self.store,
            self_member=lambda: self.members[node_id],
            members=lambda _service: list(self.members.values()),
            describe=self.describe,
            start_drain=lambda: self.set_state(node_id, DRAINING),
        )


async def run_rounds(planner, count=4):
    """Run up to `count` rounds; return whether the drain has started."""
    for _ in range(count):
        if await planner.decide():
            return True
    return False


class CapacityTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a drain that leaves too few warm nodes for the load."""

    @params(
        ("enough", {}, {}, ""),
        (
            "work",
            make_reports(7),
            {},
            "42 calls in flight; the other warm nodes carry 40",
        ),
        ("work at the limit", make_reports(11, names=NEW), {}, ""),
        ("low limit", make_reports(5, limit=1, names=NEW), {}, "21 calls"),
        (
            "cold",
            make_reports(0, warm=False, names=NEW),
            {},
            "2 of 5 other nodes are warm",
        ),
        ("all cold", make_reports(0, warm=False), {"min_warm_share": 0.0}, "0 of 5"),
        ("one cold", make_reports(0, warm=False, names=NEW[:1]), {}, ""),
        ("all must be warm", {"new-0": None}, {"min_warm_share": 1.0}, "4 of 5"),
        ("never reported", make_reports(6) | {"new-2": None}, {}, "40 calls"),
        ("no reports", dict.fromkeys(OLD[1:] + NEW, OSError("lost")), {}, "0 of 5"),
    )
    async def test_reports(self, _name, reports, pace, hold):
        mesh = Mesh(**pace)
        mesh.reports |= reports
        planner = mesh.planner("old-0")
        self.assertEqual(await run_rounds(planner), not hold)
        self.assertIn(hold, planner.hold())

    async def test_no_node_outside_the_leaving_data_centre(self):
        mesh = Mesh()
        mesh.members = {name: mesh.members[name] for name in OLD}
        planner = mesh.planner("old-0")
        self.assertFalse(await run_rounds(planner))
        self.assertIn(
            "no serving node in a data centre that stays",
            planner.hold(),
        )

    async def test_one_round_of_low_load_does_not_start_a_drain(self):
        mesh = Mesh()
        busy = make_reports(8)
        quiet = dict(mesh.reports)
        planner = mesh.planner("old-0")
        mesh.reports = busy
        self.assertFalse(await run_rounds(planner))
        mesh.reports = quiet
        self.assertFalse(await planner.decide())
        self.assertTrue(await run_rounds(planner, 5))

    async def test_failed_node_counts_with_its_last_report(self):
        mesh = Mesh()
        mesh.reports["new-2"] = NodeReport(40, 40, True)
        planner = mesh.planner("old-0")
        await planner.decide()
        mesh.reports["new-2"] = OSError("lost")
        self.assertFalse(await run_rounds(planner, 9))
        self.assertIn("50 calls", planner.hold())


class OrderTests(unittest.IsolatedAsyncioTestCase):
    """Guards against more nodes draining at once than allowed."""

    @params(
        ("first in order", "old-0", {}, 1, ""),
        (
            "second",
            "old-1",
            {},
            1,
            "1 leave first, up to old-0; 1 at once",
        ),
        ("second of two at once", "old-1", {}, 2, ""),
        (
            "third of two at once",
            "old-2",
            {},
            2,
            "2 leave first, up to old-1; 2 at once",
        ),
        ("first still drains", "old-1", {"old-0": DRAINING}, 1, "up to old-0"),
        ("first has stopped", "old-1", {"old-0": STOPPED}, 1, ""),
        ("a later one drains", "old-0", {"old-2": DRAINING}, 1, "up to old-2"),
        ("one drains elsewhere", "old-0", {"new-0": DRAINING}, 1, "up to new-0"),
    )
    async def test_drain_order(self, _name, node_id, states, max_draining, hold):
        mesh = Mesh(max_draining=max_draining)
        for name, state in states.items():
            mesh.set_state(name, state)
        planner = mesh.planner(node_id)
        self.assertEqual(await run_rounds(planner), not hold)
        self.assertIn(hold, planner.hold())

    async def test_concurrent_drains_exclude_each_other_from_the_capacity(self):
        """Neither of two draining nodes counts the other as remaining capacity."""
        mesh = Mesh(max_draining=2)
        # 36 calls are within 0.8 of the 10 slots of five nodes, but not of four.
        mesh.reports = make_reports(6)
        planners = [mesh.planner(name) for name in OLD]
        results = await asyncio.gather(*map(run_rounds, planners))
        self.assertEqual(results, [True, False, False])

    @params(1, 2, 3)
    async def test_complete_move(self, max_draining):
        """Only nodes of the old data centre drain, at most `max_draining` at once."""
        mesh = Mesh(max_draining=max_draining)
        planners = {name: mesh.planner(name) for name in OLD + NEW}
        order = []
        for _ in range(40):
            before = [name for name in OLD if mesh.members[name].state is DRAINING]
            started = await asyncio.gather(
                *(planners[name].decide() for name in OLD + NEW)
            )
            order += [name for name, start in zip(OLD + NEW, started) if start]
            states = [record.state for record in mesh.members.values()]
            self.assertLessEqual(states.count(DRAINING), max_draining)
            for name in before:
                mesh.set_state(name, STOPPED)
        self.assertEqual(order, list(OLD))

    @params({"old": "serving", "new": "leaving"}, {})
    async def test_withdrawn_move(self, placement):
        mesh = Mesh(max_draining=1)
        planner = mesh.planner("old-1")
        self.assertFalse(await run_rounds(planner))
        mesh.place(placement)
        self.assertFalse(await run_rounds(planner))
        self.assertEqual(planner.hold(), "")
