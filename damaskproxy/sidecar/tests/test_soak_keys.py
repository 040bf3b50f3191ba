"""The checks of the soak of processes notice what they are for."""

import random
import unittest
from collections import Counter

from nose2.tools import params

from damaskproxy.http1 import Request
from damaskproxy.sidecar.tests.soak_keys import (
    KEY_PREFIX,
    Credential,
    Key,
    KeyBook,
    Observation,
    observation_faults,
)

TENANT = b"X-Damaskproxy-Tenant"
PERMANENT = Key(f"{KEY_PREFIX}1", "guild", is_permanent=True)
ADDED = Key(f"{KEY_PREFIX}2", "harbour")
UNKNOWN = Key(f"{KEY_PREFIX}unknown-3", "")
GUILD, HARBOUR = [(TENANT, b"guild")], [(TENANT, b"harbour")]
PUBLIC, PRIVATE, LATE = (True, False), (False, False), (False, True)
PUBLIC_LATE = (True, True)
"""Whether the route is public, and whether the key was removed long ago."""


def run(headers=(), target=b"/read/1"):
    """Return a request that a server received."""
    return Request(b"GET", target, list(headers))


class ObservationTests(unittest.TestCase):
    """Guards against a soak that passes although keys or names are wrong."""

    @params(
        ("named", PERMANENT, PRIVATE, 200, [run(GUILD)], 0),
        ("named, public", PERMANENT, PUBLIC, 200, [run(GUILD)], 0),
        ("retried", PERMANENT, PRIVATE, 200, [run(GUILD), run(GUILD)], 0),
        ("no name", PERMANENT, PRIVATE, 200, [run()], 1),
        ("no name, public", PERMANENT, PUBLIC, 200, [run()], 1),
        ("other name", PERMANENT, PRIVATE, 200, [run(HARBOUR)], 1),
        ("forged name as well", PERMANENT, PRIVATE, 200, [run(GUILD + GUILD)], 1),
        ("retried, no name", PERMANENT, PRIVATE, 200, [run(GUILD), run()], 1),
        ("refused", PERMANENT, PRIVATE, 503, [], 0),
        ("permanent, 401", PERMANENT, PRIVATE, 401, [], 1),
        ("permanent, 401, public", PERMANENT, PUBLIC, 401, [], 1),
        ("added, 401", ADDED, PRIVATE, 401, [], 0),
        ("added, 401, public", ADDED, PUBLIC, 401, [], 1),
        ("added, 401 and ran", ADDED, PRIVATE, 401, [run(HARBOUR)], 1),
        ("added", ADDED, PRIVATE, 200, [run(HARBOUR)], 0),
        ("added, public", ADDED, PUBLIC, 200, [run(HARBOUR)], 0),
        ("added, public, not known yet", ADDED, PUBLIC, 200, [run()], 0),
        ("added, not named", ADDED, PRIVATE, 200, [run()], 1),
        ("removed", ADDED, LATE, 401, [], 0),
        ("removed, ran", ADDED, LATE, 200, [run(HARBOUR)], 1),
        ("removed, ran, no name", ADDED, LATE, None, [run()], 1),
        ("removed, public", ADDED, PUBLIC_LATE, 200, [run()], 0),
        ("removed, public, named", ADDED, PUBLIC_LATE, 200, [run(HARBOUR)], 1),
        ("unknown", UNKNOWN, PRIVATE, 401, [], 0),
        ("unknown, ran", UNKNOWN, PRIVATE, 200, [run()], 1),
        ("unknown, ran, cut", UNKNOWN, PRIVATE, None, [run()], 1),
        ("unknown, public", UNKNOWN, PUBLIC, 200, [run()], 0),
        ("unknown, public, forged", UNKNOWN, PUBLIC, 200, [run(GUILD)], 1),
        ("no key", None, PRIVATE, 401, [], 0),
        ("no key, ran", None, PRIVATE, 200, [run()], 1),
        ("no key, public", None, PUBLIC, 200, [run()], 0),
        ("no key, public, forged", None, PUBLIC, 200, [run(GUILD)], 1),
        (
            "key passed on",
            PERMANENT,
            PRIVATE,
            200,
            [run([*GUILD, (b"authorization", b"Bearer x")])],
            1,
        ),
        (
            "key in another field",
            PERMANENT,
            PRIVATE,
            200,
            [run([*GUILD, (b"X-Key", PERMANENT.text.encode())])],
            1,
        ),
        (
            "key in the target",
            PERMANENT,
            PRIVATE,
            200,
            [run(GUILD, b"/read/1?key=" + PERMANENT.text.encode())],
            1,
        ),
    )
    def test_faults(self, name, key, route, status, runs, count):
        is_public, is_late = route
        credential = Credential("some", key, is_public)
        faults = observation_faults(Observation(credential, is_late, status, runs))
        self.assertEqual(len(faults), count, (name, faults))


class KeyBookTests(unittest.TestCase):
    """Guards against runs in which keys do not change."""

    @params(*range(5))
    def test_permanent_keys_stay_and_others_come_and_go(self, seed):
        book = KeyBook(random.Random(seed))
        stored = []
        for _ in range(40):
            book.change(lambda: stored.append(book.tenants()))
        for key in book.permanent:
            for tenants in stored:
                self.assertIn(key.text, tenants[key.organisation]["apiKeys"])
        last = [key for body in stored[-1].values() for key in body["apiKeys"]]
        self.assertGreater(len(book.removed), 10)
        for key in book.removed:
            self.assertNotIn(key.text, last)
            self.assertFalse(book.is_late(key, key.removed_s + 2.0, 0.1))
            self.assertTrue(book.is_late(key, key.removed_s + 2.2, 0.1))

    def test_all_kinds_of_credentials_are_sent(self):
        book = KeyBook(random.Random(1))
        rng = random.Random(2)
        for _ in range(20):
            book.change(lambda: None)
        found = Counter()
        for _ in range(1000):
            credential = book.choose(rng)
            found[credential.kind, credential.is_public] += 1
            found[bool(credential.forged_name)] += 1
            has_key = credential.kind != "none"
            self.assertEqual(b"Authorization: Bearer " in credential.head, has_key)
        self.assertEqual(len(found), 12)
