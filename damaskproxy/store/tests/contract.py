"""Contract tests of the platform's services, for any implementation.

A test class derives from a contract and from ``IsolatedAsyncioTestCase``, and opens the
clients in ``open_table`` or ``open_objects``. Each test uses new keys, so a service may
keep rows between tests.
"""

import asyncio
import itertools
import os

from nose2.tools import params

from damaskproxy.store import Committed, Conflict

_serial = itertools.count()


def new_prefix():
    return f"contract/{os.getpid()}/{next(_serial)}/"


class TableContract:
    """Guards against partial commits, stale checks and rows of other prefixes."""

    async def asyncSetUp(self):  # noqa: N802 (name of unittest)
        self.table = await self.open_table()
        self.prefix = new_prefix()

    def named(self, rows):
        return {self.prefix + key: value for key, value in rows.items()}

    async def versions(self, *keys):
        rows = await self.table.read([self.prefix + key for key in keys])
        return [getattr(rows.get(self.prefix + key), "version", 0) for key in keys]

    @params(
        ("insert of an absent row", {"new": 0}, {"new": b"1"}, True),
        ("insert of a present row", {"old": 0}, {"old": b"1"}, False),
        ("update at the current version", {"old": "now"}, {"old": b"1"}, True),
        ("update at a stale version", {"old": "stale"}, {"old": b"1"}, False),
        ("update of an absent row", {"new": 7}, {"new": b"1"}, False),
        ("put without a check", {}, {"old": b"1", "new": b"2"}, True),
        ("one of two checks fails", {"old": "now", "new": 7}, {"old": b"1"}, False),
        ("check of a row that is not put", {"old": "stale"}, {"new": b"1"}, False),
        ("check alone", {"old": "now"}, {}, True),
        ("binary and empty values", {}, {"new": bytes(range(256)), "old": b""}, True),
    )
    async def test_commit(self, _name, checks, puts, applies):
        await self.table.commit({}, self.named({"old": b"first"}))
        stale = (await self.versions("old"))[0]
        await self.table.commit({}, self.named({"old": b"second"}))
        now = (await self.versions("old"))[0]
        self.assertLess(stale, now)
        known = {"now": now, "stale": stale}
        checks = {key: known.get(value, value) for key, value in checks.items()}
        result = await self.table.commit(self.named(checks), self.named(puts))
        rows = await self.table.read(list(self.named({"old": 0, "new": 0})))
        values = {key.removeprefix(self.prefix): row.value for key, row in rows.items()}
        if applies:
            self.assertIsInstance(result, Committed)
            self.assertEqual(values, {"old": b"second"} | puts)
            expected = {key: rows[key].version for key in self.named(puts)}
            self.assertEqual(result.versions, expected)
        else:
            self.assertIsInstance(result, Conflict)
            self.assertFalse(result)
            self.assertEqual(values, {"old": b"second"})
            checked = self.named(checks)
            self.assertEqual(
                result.rows, {key: row for key, row in rows.items() if key in checked}
            )

    @params(
        ("a/", 10, ["a/1", "a/2", "a/3"]),
        ("a/", 2, ["a/1", "a/2"]),
        ("a", 10, ["a/1", "a/2", "a/3", "a0", "ab"]),
        ("", 10, ["a/1", "a/2", "a/3", "a0", "ab", "b"]),
        ("c", 10, []),
    )
    async def test_scan(self, prefix, limit, expected):
        puts = {key: key.encode() for key in ("b", "a0", "a/3", "ab", "a/1", "a/2")}
        await self.table.commit({}, self.named(puts))
        rows = await self.table.scan(self.prefix + prefix, limit)
        found = [(key.removeprefix(self.prefix), row.value) for key, row in rows]
        self.assertEqual(found, [(key, key.encode()) for key in expected])

    async def test_one_of_many_writers_wins(self):
        async def insert(number):
            puts = self.named({"row": b"%d" % number, f"row-{number}": b""})
            return await self.table.commit(self.named({"row": 0}), puts)

        results = await asyncio.gather(*map(insert, range(20)))
        self.assertEqual(sum(map(bool, results)), 1)
        self.assertEqual(len(await self.table.scan(self.prefix + "row-", 100)), 1)


class ObjectStoreContract:
    """Guards against corrupted values and against names that collide."""

    async def asyncSetUp(self):  # noqa: N802 (name of unittest)
        self.objects = await self.open_objects()
        self.prefix = new_prefix()

    @params(
        ("plain", b"x"),
        ("with/slashes/in it", bytes(range(256))),
        ("percent %2F and ümlaut ?#", b""),
        ("large", b"z" * 2_000_000),
    )
    async def test_put_and_get(self, name, value):
        name = self.prefix + name
        self.assertIsNone(await self.objects.get(name))
        await self.objects.put(name, b"first")
        await self.objects.put(name, value)
        self.assertEqual(await self.objects.get(name), value)
        self.assertIsNone(await self.objects.get(name + "x"))
