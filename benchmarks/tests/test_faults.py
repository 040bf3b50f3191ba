"""Tests of the schedules, links and checks of the fault benchmark."""

import asyncio
import unittest

from nose2.tools import params

from benchmarks.fault_links import Links
from benchmarks.fault_schedule import NODE_FAULTS, draw_schedule
from benchmarks.faults import FaultReport, judge
from damaskproxy.history import EventKind, HistoryEvent

HOSTS = ["a", "b", "c", "d"]


class ScheduleTest(unittest.TestCase):
    """Guards against schedules that leave too few hosts unaffected to test a mesh."""

    def test_schedules(self):
        kinds = set()
        for seed in range(200):
            faults = draw_schedule(seed, HOSTS)
            self.assertEqual(faults, draw_schedule(seed, HOSTS))
            self.assertTrue(3 <= len(faults) <= 6)
            affected = [f.targets[0] for f in faults if f.kind in NODE_FAULTS]
            self.assertEqual(len(affected), len(set(affected)))
            self.assertLessEqual(len(affected), len(HOSTS) / 2)
            kinds |= {fault.kind for fault in faults}
        self.assertEqual(len(kinds), 17)


class JudgeTest(unittest.TestCase):
    """Guards against reports that omit a violation or excuse a closed connection."""

    @params(([], True), ([99.5], False), ([98.0], True), ([100.5], True))
    def test_closed_connection_needs_a_killed_node(self, killed_s, broken):
        report = FaultReport(seed=1)
        events = [
            HistoryEvent(EventKind.SENT, 99.0, "k", send="1", caller="c"),
            HistoryEvent(EventKind.CUT, 100.0, "k", send="1", caller="c"),
        ]
        judge(report, events, killed_s)
        self.assertEqual(bool(report.broken), broken)

    def test_request_that_runs_twice_under_its_key_is_a_violation(self):
        report = FaultReport(seed=1)
        sent = HistoryEvent(EventKind.SENT, 1.0, "k", send="1", caller="c")
        runs = [HistoryEvent(EventKind.RAN, 2.0, "k", run=str(n)) for n in range(2)]
        judge(report, [sent, *runs], [])
        self.assertIn("run-twice", report.broken[0])


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a relay that forwards bytes over a cut link."""

    async def test_one_way_cut_delays_bytes_until_restored(self):
        received = asyncio.Event()

        async def echo(reader, writer):
            while data := await reader.read(100):
                if data == b"2":
                    received.set()
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links = Links(dict)
        await links.open("b", "127.0.0.9", port, "127.0.0.1")
        reader, writer = await asyncio.open_connection("127.0.0.9", port)
        writer.write(b"1")
        self.assertEqual(await reader.readexactly(1), b"1")
        # This process is not among those of the relay, so its name is empty.
        await links.change("b", "", is_cut=True)
        writer.write(b"2")
        await received.wait()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.005):
                await reader.read(1)
        await links.change("b", "")
        self.assertEqual(await reader.readexactly(1), b"2")
        writer.close()
        await links.close()
        server.close()
