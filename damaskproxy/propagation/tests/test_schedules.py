"""Configuration and leaves reach all nodes in time, whatever fails on the way."""

import asyncio
import logging
import random
import unittest

from nose2.tools import params

from damaskproxy.directory import BackendRecord, decode_member
from damaskproxy.directory.following import MEMBER_TABLE, OPERATOR_TABLE
from damaskproxy.propagation.tests.virtual_mesh import (
    RESTART_S,
    STORE_S,
    VirtualMesh,
    now_s,
)
from tools.faults.virtual_time import run_virtual

STABLE_S = 3.0
"""Time without a disturbance after which the limits hold for a node."""
CONFIGURATION_S = 2.0
"""Bound on the time from the store's confirmation until a configuration is in force."""
LEAVE_S = 2.0
"""Bound on the time until a confirmed leave is known, the shortest drain time."""
JOIN_S = CONFIGURATION_S + 2.0
SETTLE_S = 8.0


FAILED_BEFORE = [
    # A feed whose answer was lost, while all other first nodes were cut off.
    (6, 3, 5),
    (6, 3, 9),
    # All first nodes cut off at once: each relied on what the others reported.
    (14, 3, 67),
    (6, 3, 140),
    (6, 3, 208),
    (14, 3, 140),
    # All first nodes cut off, and a configuration within the next 0.6 s.
    (14, 3, 165),
    # A starting node read the rows before a leave was stored.
    (14, 3, 69),
    # All first nodes frozen at once while the store was down.
    (60, 6, 3),
    (60, 6, 8),
    # Half of all nodes frozen while the store was down.
    (60, 6, 18),
]


class Schedule:
    """Random faults for a mesh, and the checks that hold during them.

    Attributes
    ----------
    problems : list of str
        Broken limits.
    """

    def __init__(
        self,
        mesh,
        seed,
        *,
        is_store_silent_at_times=False,
        is_store_restored_at_times=False,
        is_store_silent_to_some_at_times=False,
    ):
        self.mesh = mesh
        self.actions = [
            self._kill,
            self._freeze,
            self._isolate,
            self._cut_from_store,
            self._silence,
            self._delay_frames,
            self._store_down,
            self._store_refuses,
            self._store_loses_answers,
            self._store_loses_history,
        ]
        if is_store_silent_at_times:
            self.actions += [self._store_silent] * 5
        if is_store_restored_at_times:
            self.actions += [self._store_restored] * 4
        if is_store_silent_to_some_at_times:
            self.actions += [self._store_silent_to] * 5
        self.rng = random.Random(seed)
        self.problems = []
        self.store_troubled_s = float("-inf")
        self.changes = self.unchecked_restores = 0
        self.starts = len(mesh.nodes)
        self._checks = []

    async def run(self, duration_s):
        """Play faults, changes and leaves, then wait and check the end state."""
        end_s = now_s() + duration_s
        faults = asyncio.create_task(self._repeat(self._fault, 1.5, end_s))
        changes = asyncio.create_task(self._repeat(self._change, 2.0, end_s))
        leaves = asyncio.create_task(self._repeat(self._leave, 4.0, end_s))
        await asyncio.gather(faults, changes, leaves)
        await asyncio.gather(*self._checks)
        await asyncio.sleep(SETTLE_S)
        self._check_end()

    async def _repeat(self, action, mean_s, end_s):
        while now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.3, 2 * mean_s))
            action()

    def _victims(self):
        """Return some running nodes, often those that others follow."""
        running = self.mesh.running()
        kind = self.rng.randrange(5)
        if kind == 0 and self.mesh.first_nodes():
            return self.mesh.first_nodes()
        if kind == 1:
            data_centre = self.rng.choice(running).data_centre if running else ""
            return [n for n in running if n.data_centre == data_centre]
        if kind == 2:
            return running[: len(running) // 2]
        return self.rng.sample(running, min(len(running), self.rng.randint(1, 3)))

    def _fault(self):
        action = self.rng.choice(self.actions)
        task = asyncio.create_task(action(self._victims(), self.rng.uniform(0.5, 5)))
        self._checks.append(task)

    async def _kill(self, victims, _):
        for node in victims:
            if node.is_running:
                node.kill()
                self.starts += 1
                self.mesh.restart_later(node, RESTART_S * self.rng.uniform(0.5, 3))

    async def _freeze(self, victims, duration_s):
        for node in victims:
            node.is_frozen = node.is_running
        await asyncio.sleep(duration_s)
        for node in victims:
            if node.is_frozen:
                node.thaw()

    async def _isolate(self, victims, duration_s):
        self.mesh.store.cut |= {n.node_id for n in victims}
        for node in victims:
            node.is_isolated = True
        await asyncio.sleep(duration_s)
        for node in victims:
            node.is_isolated = False
            self._reconnect(node)

    async def _cut_from_store(self, victims, duration_s):
        self.mesh.store.cut |= {n.node_id for n in victims}
        await asyncio.sleep(duration_s)
        for node in victims:
            self._reconnect(node)

    def _reconnect(self, node):
        self.mesh.store.cut.discard(node.node_id)
        node.troubled_s = now_s()

    async def _silence(self, *_):
        self.mesh.silence_links()
        for node in self.mesh.nodes.values():
            node.troubled_s = now_s()

    async def _delay_frames(self, _, duration_s):
        self.mesh.delayed_share = 0.1
        await asyncio.sleep(duration_s)
        self.mesh.delayed_share = 0.0

    async def _store_down(self, _, duration_s):
        self.mesh.store.is_down = True
        await asyncio.sleep(duration_s)
        self.mesh.store.is_down = False
        self.store_troubled_s = now_s()

    async def _store_silent(self, _, duration_s):
        # Silences shorter than the wait of a feed leave all feeds open.
        self.mesh.store.is_silent = True
        await asyncio.sleep(duration_s / self.rng.choice([1, 5]))
        self.mesh.store.is_silent = False
        self.store_troubled_s = now_s()

    async def _store_silent_to(self, victims, duration_s):
        # The other nodes are in touch all the time.
        names = {n.node_id for n in victims}
        self.mesh.store.silent_to |= names
        await asyncio.sleep(duration_s * self.rng.choice([1, 2]))
        self.mesh.store.silent_to -= names
        for node in victims:
            node.troubled_s = now_s()

    async def _store_restored(self, victims, duration_s):
        # Some nodes reach the store later, when its versions may have passed theirs.
        store = self.mesh.store
        cut = {n.node_id for n in victims} if self.rng.random() < 0.5 else set()
        store.cut |= cut
        store.is_down = True
        await asyncio.sleep(duration_s / self.rng.choice([1, 2, 10]))
        store.restore(self.rng.choice([0.0, 0.5, 2.0, 5.0, 10.0]))
        store.is_down = False
        store.put_row(OPERATOR_TABLE, "config", b"%d" % self.mesh.version)
        version = self.mesh.configure()
        for _ in range(self.rng.choice([0, 1, 20])):
            store.put_row("other", "row", b"")
        self.store_troubled_s = now_s()
        await asyncio.sleep(self.rng.choice([0.0, 1.0, 3.0]))
        for node in victims:
            if node.node_id in cut:
                self._reconnect(node)
        await asyncio.sleep(STORE_S)
        since_s = now_s()
        # A further change would make up for one that was missed.
        self.unchecked_restores += 1
        await asyncio.sleep(STABLE_S)
        self.unchecked_restores -= 1
        self._check_version(version, since_s)

    async def _store_refuses(self, victims, duration_s):
        names = {n.node_id for n in victims}
        self.mesh.store.refused |= names
        await asyncio.sleep(duration_s)
        self.mesh.store.refused -= names
        self.store_troubled_s = now_s()

    async def _store_loses_answers(self, _, duration_s):
        self.mesh.store.lost_share = 0.4
        await asyncio.sleep(duration_s)
        self.mesh.store.lost_share = 0.0
        self.store_troubled_s = now_s()

    async def _store_loses_history(self, *_):
        self.mesh.store.oldest_version = self.mesh.store.version
        self.store_troubled_s = now_s()

    def _is_store_stable(self, since_s):
        store = self.mesh.store
        if store.is_down or store.is_silent or store.refused or store.lost_share:
            return False
        return self.store_troubled_s < since_s

    def _in_touch(self, since_s):
        """Return the nodes without a disturbance since a moment."""
        return [
            node
            for node in self.mesh.running()
            if not (node.is_frozen or node.is_isolated)
            and node.node_id not in self.mesh.store.cut | self.mesh.store.silent_to
            and max(node.started_s, node.troubled_s) < since_s
        ]

    def _change(self):
        store = self.mesh.store
        if store.is_down or store.is_silent or self.unchecked_restores:
            return
        self.changes += 1
        version = self.mesh.configure()
        self._checks.append(asyncio.create_task(self._check_in_force(version)))

    async def _check_in_force(self, version):
        since_s = now_s() - STABLE_S
        await asyncio.sleep(CONFIGURATION_S)
        self._check_version(version, since_s)

    def _check_version(self, version, since_s):
        """Check the nodes that have been in touch since a moment."""
        if not self._is_store_stable(since_s):
            return
        for node in self._in_touch(since_s):
            if node.configuration.version < version:
                self.problems.append(
                    f"{now_s():.2f}: {node.node_id} lacks version {version}"
                )

    def _leave(self):
        candidates = self._in_touch(now_s() - STABLE_S)
        if candidates:
            node = self.rng.choice(candidates)
            node.drain()
            self._checks.append(asyncio.create_task(self._check_leave(node)))

    async def _check_leave(self, node):
        incarnation, since_s = node.incarnation, now_s() - STABLE_S
        await asyncio.sleep(LEAVE_S)
        in_touch = self._in_touch(since_s)
        if node in in_touch and node.incarnation == incarnation:
            for other in in_touch:
                known = other.directory.get(node.node_id)
                if known is not None and known.serves("orders"):
                    self.problems.append(
                        f"{now_s():.2f}: {other.node_id} still uses {node.node_id}"
                    )

    def _check_end(self):
        mesh = self.mesh
        self.problems += mesh.errors
        for node in mesh.behind(mesh.version):
            self.problems.append(f"end: {node.node_id} lacks the configuration")
        expected = {n.node_id: n.record.order for n in mesh.running()}
        for name, order in expected.items():
            row = mesh.store.rows.get((MEMBER_TABLE, name))
            if row is None or decode_member(row.value).order < order:
                self.problems.append(f"end: the row of {name} is missing or older")
        for node in mesh.running():
            found = {r.node_id: r.order for r in node.directory.records()}
            if any(found.get(name) != order for name, order in expected.items()):
                self.problems.append(f"end: {node.node_id} has other records")
            versions = [c.version for _, c in node.versions]
            if versions != sorted(versions) and node.incarnation == 1:
                self.problems.append(f"{node.node_id} went back: {versions}")


def play(count, data_centres, seed, duration_s=25.0, **options):
    """Play one random schedule and return the broken limits and the calls."""

    async def main():
        mesh = VirtualMesh(count, data_centres, seed, CONFIGURATION_S)
        await mesh.start()
        await asyncio.sleep(8)
        schedule = Schedule(mesh, seed, **options)
        await schedule.run(duration_s)
        mesh.close()
        return schedule

    return run_virtual(main())


class QuietLogs(unittest.TestCase):
    """Test case without the log lines of many nodes."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class ScheduleTests(QuietLogs):
    """Guards against a late configuration and a forgotten leave under failures."""

    @params(
        *[(6, 3, seed) for seed in range(24)],
        *[(60, 6, seed) for seed in range(5)],
        *FAILED_BEFORE,
    )
    def test_limits_hold(self, count, data_centres, seed):
        schedule = play(count, data_centres, seed)
        self.assertEqual(schedule.problems, [])

    @params(*[(6, 1 + seed % 3, seed) for seed in range(12)], (60, 6, 1))
    def test_limits_hold_with_a_store_that_answers_nobody(
        self, count, data_centres, seed
    ):
        schedule = play(count, data_centres, seed, is_store_silent_at_times=True)
        self.assertEqual(schedule.problems, [])

    @params(*[(12, 3, seed) for seed in range(8)], *[(16, 4, s) for s in range(8)])
    def test_limits_hold_with_a_store_that_answers_some_nodes_nothing(
        self, count, data_centres, seed
    ):
        schedule = play(
            count, data_centres, seed, is_store_silent_to_some_at_times=True
        )
        self.assertEqual(schedule.problems, [])

    def test_limits_hold_with_hundreds_of_nodes(self):
        self.assertEqual(play(300, 6, 1, 10.0).problems, [])

    @params(
        *[(6, 1 + seed % 3, seed, 25.0) for seed in range(24)],
        *[(60, 6, seed, 25.0) for seed in range(3)],
        (300, 6, 1, 10.0),
    )
    def test_limits_hold_with_a_store_that_returns_from_older_copies(
        self, count, data_centres, seed, duration_s
    ):
        schedule = play(
            count, data_centres, seed, duration_s, is_store_restored_at_times=True
        )
        self.assertEqual(schedule.problems, [])


class CutOffTests(QuietLogs):
    """Guards against reliance on first nodes that were cut off from the store."""

    @params(
        *[
            (data_centres, delay_s)
            for data_centres in (1, 3, 6)
            for delay_s in (0.01, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5)
        ]
    )
    def test_configuration_is_in_force_when_all_first_nodes_are_cut_off(
        self, data_centres, delay_s
    ):
        async def main():
            mesh = VirtualMesh(18, data_centres)
            await mesh.start()
            await asyncio.sleep(10)
            cut = {node.node_id for node in mesh.first_nodes()}
            mesh.store.cut |= cut
            await asyncio.sleep(delay_s)
            version = mesh.configure()
            await asyncio.sleep(CONFIGURATION_S)
            behind = {node.node_id for node in mesh.behind(version)}
            mesh.close()
            return behind - cut

        self.assertEqual(run_virtual(main()), set())


class SilentStoreTests(QuietLogs):
    """Guards against a feed that was opened while the store answered nobody."""

    @params(
        *[
            (data_centres, silent_s)
            for silent_s in (0.1, 0.5, 1.0, 1.5, 2.5, 3.5, 5.5, 9.0)
            for data_centres in (1, 3, 6)
        ]
    )
    def test_configuration_is_in_force_after_a_silent_store(
        self, data_centres, silent_s
    ):
        async def main():
            mesh = VirtualMesh(12, data_centres)
            await mesh.start()
            await asyncio.sleep(10)
            mesh.configure()
            # The feeds have delivered the change and are opened again after this.
            await asyncio.sleep(0.75 * STORE_S)
            mesh.store.is_silent = True
            await asyncio.sleep(silent_s)
            mesh.store.is_silent = False
            await asyncio.sleep(STABLE_S - CONFIGURATION_S)
            version = mesh.configure()
            await asyncio.sleep(CONFIGURATION_S)
            behind = [node.node_id for node in mesh.behind(version)]
            mesh.close()
            return behind

        self.assertEqual(run_virtual(main()), [])


class QuietDayTests(QuietLogs):
    """Guards against calls to the store that grow with nodes times changes."""

    @params((30, 6, 150), (195, 6, 900), (300, 6, 1200))
    def test_calls_of_a_quiet_day_are_bounded(self, count, data_centres, limit):
        async def main():
            mesh = VirtualMesh(count, data_centres)
            await mesh.start()
            await asyncio.sleep(14)
            self.assertEqual(mesh.behind(1), [])
            self.assertEqual(len(mesh.first_nodes()), data_centres)
            for _ in range(2):
                await asyncio.sleep(24)
                version = mesh.configure()
                await asyncio.sleep(0.5)
                self.assertEqual(mesh.behind(version), [])
            sizes = {len(node.directory) for node in mesh.running()}
            self.assertEqual(sizes, {count})
            mesh.close()
            self.assertEqual(mesh.errors, [])
            return len(mesh.store.calls)

        self.assertLessEqual(run_virtual(main()), limit)

    def test_a_change_costs_calls_by_data_centre_and_not_by_node(self):
        async def calls_of_changes(count):
            mesh = VirtualMesh(count, 3)
            await mesh.start()
            await asyncio.sleep(30)
            before = len(mesh.store.calls)
            node = mesh.nodes["n0"]
            for _ in range(10):
                mesh.configure()
                node.update(BackendRecord("i-n0", "orders", 4))
                await asyncio.sleep(1)
            mesh.close()
            return len(mesh.store.calls) - before

        small, large = (run_virtual(calls_of_changes(n)) for n in (9, 90))
        self.assertLessEqual(large, small + 5)


class StartTests(QuietLogs):
    """Guards against nodes that do not serve in time after all were killed at once."""

    @params((6, 3), (195, 6))
    def test_herd_serves_again_within_a_second_of_its_start(self, count, data_centres):
        async def main():
            mesh = VirtualMesh(count, data_centres)
            await mesh.start()
            await asyncio.sleep(10)
            before = len(mesh.store.calls)
            for node in mesh.running():
                node.kill()
                mesh.restart_later(node, RESTART_S * mesh.rng.uniform(0.7, 1.3))
            await asyncio.sleep(1.3 * RESTART_S + 1.0)
            self.assertEqual(len(mesh.running()), count)
            self.assertEqual(mesh.behind(1), [])
            sizes = {len(node.directory) for node in mesh.running()}
            self.assertEqual(sizes, {count})
            mesh.close()
            self.assertEqual(mesh.errors, [])
            return len(mesh.store.calls) - before

        self.assertLessEqual(run_virtual(main()), 3.5 * count + 20)
