"""Changes of the configuration beside one fault each, on virtual time."""

import asyncio
from unittest import mock

from nose2.tools import params

from damaskproxy.directory.following import OPERATOR_TABLE
from damaskproxy.propagation.propagation import HEARTBEAT_S
from damaskproxy.propagation.sources import QUIET_S
from damaskproxy.propagation.tests import virtual_mesh
from damaskproxy.propagation.tests.test_schedules import QuietLogs
from damaskproxy.propagation.tests.virtual_mesh import STORE_S, VirtualMesh, VirtualNode
from tools.faults.virtual_time import run_virtual

START_S = 10.0
IN_FORCE_S = 2.5
"""Bound on the time from the last change until all nodes have it in force."""
SETTLE_S = 6.0
CHANGE_S = 0.33
BURST = 12
"""Changes in quick succession, for 4 s."""
INVALID = b"invalid"
SLOW_S = 5.5
SLOW_CHANGES = 3
"""One change in 1.8 s."""
DRAIN_STEP_S = 0.05


def cut_power(node):
    """End a node without closing its connections; frames on the way are lost."""
    node.is_running = False
    node.is_isolated = True
    for task in node.tasks:
        task.cancel()
    node.tasks = []
    for link in node.links:
        link.is_silent = link.other.is_silent = True
    node.links = []


def restore_power(node):
    """Start a node that `cut_power` has ended."""
    node.is_isolated = False
    node.start()


async def slow_down(ends, delay_s):
    """Let frames wait at some connections, and then let what waits be sent."""
    usual_s = [end.latency_s for end in ends]

    def set_delay(wait_s):
        for end, latency_s in zip(ends, usual_s):
            end.latency_s = end.other.latency_s = latency_s + wait_s

    set_delay(delay_s)
    await asyncio.sleep(SLOW_S)
    while delay_s > 0:
        # Frames do not overtake each other.
        delay_s -= DRAIN_STEP_S
        set_delay(max(delay_s, 0.0))
        await asyncio.sleep(DRAIN_STEP_S)


def versions_of(node):
    """Return the versions that were in force at a node, in all its processes."""
    return [configuration.version for _, configuration in node.versions]


class PowerFailureTests(QuietLogs):
    """Guards against a confirmed configuration that is lost with the node that read it.

    The node loses power as soon as it has the version in force, before or after the
    other nodes have received it from there. Or only its process is killed, so that the
    others reconnect at once and offer the version before.
    """

    @params(
        *[
            (count, data_centres, is_first, delay_s, end, off_s)
            for count, data_centres in ((6, 1), (6, 3), (60, 6))
            for is_first in (True, False)
            for delay_s in (0.0, 0.0005, 0.05)
            for end, off_s in (
                (cut_power, 0.1),
                (cut_power, 0.8),
                (cut_power, 4.0),
                (VirtualNode.kill, 0.01),
            )
        ]
    )
    def test_all_nodes_apply_the_version_and_none_goes_back(
        self, count, data_centres, is_first, delay_s, end, off_s
    ):
        async def main():
            mesh = VirtualMesh(count, data_centres)
            await mesh.start()
            await asyncio.sleep(START_S)
            node = self.choose(mesh, is_first=is_first)
            loop = asyncio.get_running_loop()

            def fail(_):
                if delay_s:
                    loop.call_later(delay_s, end, node)
                else:
                    end(node)
                loop.call_later(delay_s + off_s, restore_power, node)

            node.configuration.on_change(fail)
            version = mesh.configure()
            await asyncio.sleep(IN_FORCE_S)
            behind = [n.node_id for n in mesh.behind(version)]
            await asyncio.sleep(SETTLE_S)
            late = [n.node_id for n in mesh.behind(version)]
            running = len(mesh.running())
            versions = versions_of(node)
            mesh.close()
            return behind, late, running, versions, mesh.errors

        behind, late, running, versions, errors = run_virtual(main())
        self.assertEqual((behind, late, running, errors), ([], [], count, []))
        # Once in each of the two processes.
        self.assertEqual(versions, [1, 2, 2])

    @params(
        *[
            (data_centres, store_s, off_s)
            for data_centres, store_s in ((1, STORE_S), (3, STORE_S), (1, 0.6))
            for off_s in (0.01, 0.1, 0.8, 4.0)
        ]
    )
    def test_restarted_node_does_not_take_the_version_before_from_its_peers(
        self, data_centres, store_s, off_s
    ):
        """No other node reaches the store, so that all others still have version 1."""

        async def main():
            mesh = VirtualMesh(6, data_centres)
            await mesh.start()
            await asyncio.sleep(START_S)
            node = mesh.first_nodes()[0]
            mesh.store.cut |= mesh.nodes.keys() - {node.node_id}
            node.configuration.on_change(lambda _: cut_power(node))
            version = mesh.configure()
            await asyncio.sleep(store_s + off_s)
            behind = len(mesh.behind(version))
            restore_power(node)
            await asyncio.sleep(IN_FORCE_S)
            versions = versions_of(node)
            mesh.close()
            return behind, versions, mesh.errors

        with mock.patch.object(virtual_mesh, "STORE_S", store_s):
            self.assertEqual(run_virtual(main()), (5, [1, 2, 2], []))

    @staticmethod
    def choose(mesh, *, is_first):
        """Return a node that follows the store, or one that follows another node."""
        first = mesh.first_nodes()
        return (
            first[0] if is_first else next(n for n in mesh.running() if n not in first)
        )


class BurstTests(QuietLogs):
    """Guards against a node that keeps an older version after many quick changes.

    Invalid rows replace valid ones before all nodes have read these.
    """

    @params(
        *[
            (data_centres, kind, restarted)
            for data_centres in (1, 3, 6)
            for kind in ("third", "second", "all but one", "last", "older", "none")
            for restarted in (None, "first", "other")
        ]
    )
    def test_newest_valid_version_is_in_force(self, data_centres, kind, restarted):
        async def main():
            mesh = VirtualMesh(18, data_centres)
            await mesh.start()
            await asyncio.sleep(START_S)
            for number in range(BURST):
                self.put(mesh, number, kind)
                if number == BURST // 2 and restarted is not None:
                    self.restart(mesh, restarted)
                await asyncio.sleep(CHANGE_S)
            await asyncio.sleep(IN_FORCE_S - CHANGE_S)
            found = {n.configuration.version for n in mesh.running()}
            running = len(mesh.running())
            histories = [versions_of(n) for n in mesh.nodes.values()]
            mesh.close()
            return found - {mesh.version}, running, histories, mesh.errors

        found, running, histories, errors = run_virtual(main())
        self.assertEqual((found, running, errors), (set(), 18, []))
        for history in histories:
            self.assertEqual(history, sorted(history))

    @staticmethod
    def put(mesh, number, kind):
        """Write the next configuration of a burst."""
        is_odd = {
            "third": number % 3 == 2,
            "second": number % 2 == 1,
            "all but one": number > 0,
            "last": number == BURST - 1,
            "older": number % 2 == 1,
            "none": False,
        }[kind]
        if not is_odd:
            mesh.configure()
            return
        row = b"%d" % (mesh.version - 1) if kind == "older" else INVALID
        mesh.store.put_row(OPERATOR_TABLE, "config", row)

    @staticmethod
    def restart(mesh, kind):
        """Restart a node that follows the store, or one that follows another node."""
        first = mesh.first_nodes()
        others = [n for n in mesh.running() if n not in first]
        node = first[0] if kind == "first" else others[0]
        node.kill()
        mesh.restart_later(node)


class SlowLinkTests(QuietLogs):
    """Guards against changes and heartbeats that are held up by one slow link.

    Frames wait behind large ones for some seconds at the open connections between a
    node and the one that it follows.
    """

    @params(
        *[
            (count, data_centres, delay_s)
            for count, data_centres in ((6, 1), (6, 3), (60, 6))
            for delay_s in (0.2, 0.6, 0.9, 1.5, 3.0)
        ]
    )
    def test_changes_are_in_force_and_the_source_is_kept_if_it_is_heard(
        self, count, data_centres, delay_s
    ):
        async def main():
            mesh = VirtualMesh(count, data_centres)
            await mesh.start()
            await asyncio.sleep(START_S)
            first = mesh.first_nodes()
            node = next(n for n in mesh.running() if n not in first)
            (source,) = node.propagation.sources.ids()
            ends = [end for end in node.links if end.other.node.node_id == source]
            before = [n.propagation.sources.ids() for n in mesh.running()]
            slowing = asyncio.create_task(slow_down(ends, delay_s))
            late = []
            for _ in range(SLOW_CHANGES):
                late += await self.late_nodes(mesh)
            after = [n.propagation.sources.ids() for n in mesh.running()]
            await slowing
            late += await self.late_nodes(mesh)
            await asyncio.sleep(SETTLE_S)
            restored = [n.propagation.sources.ids() for n in mesh.running()]
            members = {n.directory.running_count for n in mesh.running()}
            mesh.close()
            return late, before == after, before == restored, members, mesh.errors

        late, is_kept, is_restored, members, errors = run_virtual(main())
        self.assertEqual((late, members, errors), ([], {count}, []))
        self.assertTrue(is_restored)
        if delay_s + HEARTBEAT_S < QUIET_S:
            self.assertTrue(is_kept)

    @staticmethod
    async def late_nodes(mesh):
        """Change the configuration; return the nodes that do not have it in time."""
        version = mesh.configure()
        await asyncio.sleep(SLOW_S / SLOW_CHANGES)
        return [n.node_id for n in mesh.behind(version)]
