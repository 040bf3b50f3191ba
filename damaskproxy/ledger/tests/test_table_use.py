"""Tests of pins and outcomes with an unavailable table and with lost responses."""

import asyncio
import random
import unittest

from nose2.tools import params

from damaskproxy.common import DamaskError, Outcome
from damaskproxy.ledger import (
    IssuedKey,
    LedgerEntry,
    LedgerSettings,
    OutcomeUnavailable,
    OutcomeWriter,
    PinnedKeys,
    ScopedKeys,
    TableErrors,
)
from tools.faults.ledger_node import Node
from tools.faults.memory_table import MemoryTable, TableUnavailable, TableUnknown
from tools.faults.virtual_time import now_s, run_virtual

ERRORS = TableErrors(TableUnavailable, TableUnknown)


def entry_of(key, body=b"done"):
    return LedgerEntry(key, b"f", Outcome.RUN, 1.0, 0, 201, [], body)


def writer_of(node, table, **settings):
    return OutcomeWriter(
        table,
        node.ring,
        now_s=now_s,
        rng=random.Random(4),
        settings=LedgerSettings(**settings),
        errors=ERRORS,
    )


class PinTests(unittest.TestCase):
    """Guards against two issued keys for one chosen key, which could run it twice."""

    @params(
        ("no fault", (), True),
        ("unavailable", ("down",), False),
        ("response lost after commit", ("lost",), True),
        ("commit lost", ("dropped",), True),
        ("commit applied late", ("late",), True),
        ("response lost, then read unavailable", ("lost", "down"), False),
        ("always lost", ("dropped", None) * 3, False),
        ("slow", ("slow",), False),
    )
    def test_two_entry_nodes(self, _name, faults, first_pinned):
        async def scenario():
            table, nodes = MemoryTable(*faults), (Node("a"), Node("b"))
            pins = [PinnedKeys(table, node.ring, errors=ERRORS) for node in nodes]
            first = await pins[0].resolve("orders", "wedding-7")
            table.faults.clear()
            others = [await pin.resolve("orders", "wedding-7") for pin in pins[::-1]]
            table.apply_late()
            others.append(
                await PinnedKeys(table, nodes[0].ring, errors=ERRORS).resolve(
                    "orders", "wedding-7"
                )
            )
            return first, {issued.text for issued in others}

        first, others = run_virtual(scenario())
        self.assertEqual(len(others), 1)
        if first_pinned:
            self.assertEqual({first.text}, others)
        else:
            self.assertEqual(first.reason, "pin-unavailable")
            self.assertEqual(first.outcome, Outcome.UNKNOWN)

    def test_cached_pin_needs_no_table(self):
        async def scenario():
            table, node = MemoryTable(), Node()
            pins = PinnedKeys(table, node.ring, errors=ERRORS)
            first = await pins.resolve("orders", "k")
            table.down = True
            other = await pins.resolve("orders", "unknown")
            return first == await pins.resolve("orders", "k"), other.reason

        self.assertEqual(run_virtual(scenario()), (True, "pin-unavailable"))

    @params("", " ", "a b", "ü", "x" * 201, "a\n", "dk1.forged")
    def test_invalid_key(self, key):
        async def scenario():
            return await PinnedKeys(MemoryTable(), Node().ring, errors=ERRORS).resolve(
                "s", key
            )

        self.assertEqual(run_virtual(scenario()).reason, "key-invalid")

    def test_scoped_keys(self):
        async def scenario():
            scoped = ScopedKeys(Node().ring)
            first = scoped.resolve("attempt", "payments", "k")
            self.assertIsInstance(first, IssuedKey)
            self.assertIs(scoped.resolve("attempt", "payments", "k"), first)
            self.assertNotEqual(scoped.resolve("other", "payments", "k"), first)

        run_virtual(scenario())


class OutcomeTests(unittest.TestCase):
    """Guards against lost outcomes, and against memory growth and bursts in outages."""

    @params(
        ("no fault", (), True),
        ("read unavailable", ("down",), False),
        ("commit unavailable", (None, "down"), False),
        ("response lost", (None, "lost"), False),
        ("commit lost", (None, "dropped"), False),
        ("slow", (None, "slow"), False),
    )
    def test_fault_then_retry(self, _name, faults, at_once):
        async def scenario():
            node, table = Node(), MemoryTable(*faults)
            written = []
            writer = writer_of(node, table)
            writer._on_written = written.append
            keys = node.ring.issue(70)
            bodies = [b"x" * (20_000 if n == 3 else 5) for n in range(70)]
            for key, body in zip(keys, bodies):
                writer.add(entry_of(key, body))
            self.assertEqual(await writer.flush(), at_once)
            if not at_once:
                self.assertEqual(written, [])
            self.assertTrue(await writer.flush())
            self.assertEqual(sorted(written), sorted(keys))
            reader = writer_of(Node("n2"), table)
            found = [(await reader.read(key)).body for key in keys]
            self.assertEqual(found, bodies)
            self.assertIsNone(await reader.read(node.ring.issue(1)[0]))
            table.down = True
            with self.assertRaises(OutcomeUnavailable):
                await reader.read(Node("n9").ring.issue(1)[0])

        run_virtual(scenario())

    @params((1, 0), (2, 3))
    def test_rejected(self, rejections, dropped):
        """Entries that the table rejects must not block all others forever."""

        async def scenario():
            node, table = Node(), MemoryTable()
            writer, commit = writer_of(node, table), table.commit
            for key in node.ring.issue(3):
                writer.add(entry_of(key))

            async def reject(checks, puts):
                raise DamaskError("the row is too large")

            table.commit = reject
            for _ in range(rejections):
                self.assertFalse(await writer.flush())
            table.commit = commit
            self.assertTrue(await writer.flush())
            return writer.stats()["dropped"], writer.stats()["pending"]

        self.assertEqual(run_virtual(scenario()), (dropped, 0))

    def test_two_writers_of_one_row(self):
        """The heir and the previous holder may write one row; no entry may be lost."""

        async def scenario():
            node, table = Node(), MemoryTable()
            writers = [writer_of(node, table) for _ in range(2)]
            keys = node.ring.issue(2)
            for writer, key in zip(writers, keys):
                writer.add(entry_of(key))
            await asyncio.gather(*(writer.flush() for writer in writers))
            reader = writer_of(Node("n2"), table)
            return [bool(await reader.read(key)) for key in keys]

        self.assertEqual(run_virtual(scenario()), [True, True])

    def test_long_outage(self):
        """Memory stays bounded, and the backlog is written at the usual rate."""

        async def scenario():
            node, table = Node(), MemoryTable()
            writer = writer_of(
                node,
                table,
                pending_max=2000,
                pending_max_bytes=9000,
                flush_rows_max=4,
            )
            task = asyncio.ensure_future(writer.run())
            table.down = True
            for key in node.ring.issue(3000):
                writer.add(entry_of(key, b"0123456789"))
                await asyncio.sleep(5)
            stats = writer.stats()
            outage = len(table.operations)
            table.down = False
            end_s = now_s()
            await asyncio.sleep(1200)
            task.cancel()
            times = [t for t, name in table.operations if t > end_s]
            gaps = [b - a for a, b in zip(times, times[1:]) if b > a]
            return stats, outage, writer.stats()["pending"], min(gaps)

        stats, outage_operations, left, shortest_gap_s = run_virtual(scenario())
        self.assertEqual((stats["pending"], stats["dropped"]), (2000, 1000))
        self.assertLessEqual(stats["pending_bytes"], 9000)
        self.assertLess(outage_operations, 15_000 / 60 + 10)
        self.assertEqual(left, 0)
        self.assertGreaterEqual(shortest_gap_s, 15)

    def test_readers_share_one_request(self):
        async def scenario():
            node, table = Node(), MemoryTable()
            writer = writer_of(node, table)
            (key,) = node.ring.issue(1)
            writer.add(entry_of(key))
            await writer.flush()
            reader = writer_of(Node("n2"), table)
            before = len(table.operations)
            await asyncio.gather(*(reader.read(key) for _ in range(50)))
            return len(table.operations) - before

        self.assertEqual(run_virtual(scenario()), 1)
