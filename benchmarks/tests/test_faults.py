"""Tests of the random fault schedules; the runs themselves are benchmarks."""

import asyncio
import unittest

from nose2.tools import params

from benchmarks.fault_links import Links
from benchmarks.fault_schedule import NODE_FAULTS, draw_schedule
from benchmarks.faults import FaultReport, judge
from damaskproxy.history import EventKind, HistoryEvent

HOSTS = ["a", "b", "c", "d"]


class ScheduleTest(unittest.TestCase):
    """A schedule that leaves no host alone proves nothing."""

    def test_schedules(self):
        kinds = set()
        for seed in range(200):
            faults = draw_schedule(seed, HOSTS)
            self.assertEqual(faults, draw_schedule(seed, HOSTS))
            self.assertTrue(3 <= len(faults) <= 6)
            hit = [f.targets[0] for f in faults if f.kind in NODE_FAULTS]
            self.assertEqual(len(hit), len(set(hit)))
            self.assertLessEqual(len(hit), len(HOSTS) / 2)
            kinds |= {fault.kind for fault in faults}
        self.assertEqual(len(kinds), 17)


class JudgeTest(unittest.TestCase):
    """A cut request is forgiven only when a killed node explains it."""

    @params(([], True), ([99.5], False), ([98.0], True), ([100.5], True))
    def test_cuts(self, killed_s, broken):
        report = FaultReport(seed=1)
        events = [
            HistoryEvent(EventKind.SENT, 99.0, "k", send="1", caller="c"),
            HistoryEvent(EventKind.CUT, 100.0, "k", send="1", caller="c"),
        ]
        judge(report, events, killed_s)
        self.assertEqual(bool(report.broken), broken)

    def test_promise(self):
        """A request that runs twice under its key must fail the run."""
        report = FaultReport(seed=1)
        sent = HistoryEvent(EventKind.SENT, 1.0, "k", send="1", caller="c")
        runs = [HistoryEvent(EventKind.RAN, 2.0, "k", run=str(n)) for n in range(2)]
        judge(report, [sent, *runs], [])
        self.assertIn("run-twice", report.broken[0])


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """A relay that passes bytes over a cut link hides the faults it is to show."""

    async def test_one_way_cut_holds_bytes_until_mended(self):
        arrived = asyncio.Event()

        async def echo(reader, writer):
            while data := await reader.read(100):
                if data == b"2":
                    arrived.set()
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links = Links(dict)
        await links.open("b", "127.0.0.9", port, "127.0.0.1")
        reader, writer = await asyncio.open_connection("127.0.0.9", port)
        writer.write(b"1")
        self.assertEqual(await reader.readexactly(1), b"1")
        # This process is none of the run, so its name is empty.
        await links.change("b", "", is_cut=True)
        writer.write(b"2")
        await arrived.wait()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.005):
                await reader.read(1)
        await links.change("b", "")
        self.assertEqual(await reader.readexactly(1), b"2")
        writer.close()
        await links.close()
        server.close()
