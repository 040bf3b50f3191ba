"""Sections in force never revert, and calls match the most specific route."""

import itertools
import json
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from damaskproxy.common import RefusalReason
from damaskproxy.move import (
    SectionStore,
    decode_section,
    encode_section,
    parse_document,
    section_of,
)
from damaskproxy.move.tests.samples import ROUTE, make_section

ROUTES = (
    ("browse", "GET", "/"),
    ("place", "POST", "/orders"),
    ("read", "GET", "/orders"),
    ("any", "*", "/orders/archive"),
    ("lines", "GET", "/orders/archive/lines"),
)


def routed_section():
    routes = [
        ROUTE | {"name": name, "method": method, "path": path}
        for name, method, path in ROUTES
    ]
    placement = {"tb1": "leaving", "tb2": "serving"}
    service = {"name": "orders", "routes": routes, "placement": placement}
    text = json.dumps({"name": "horns", "team": "w", "services": [service]})
    return section_of(parse_document(text.encode()), version=1, edit_id="e")


class RouteTests(unittest.TestCase):
    """Guards against calls with the deadline and priority of another route."""

    def setUp(self):
        self.store = SectionStore()
        self.store.apply(routed_section())

    @params(
        ("orders", "GET", "/", "browse"),
        ("orders", "GET", "/jars", "browse"),
        ("orders", "GET", "/orders", "read"),
        ("orders", "GET", "/orders/", "read"),
        ("orders", "GET", "/orders/7?page=/orders/archive", "read"),
        ("orders", "POST", "/orders/7", "place"),
        ("orders", "GET", "/ordersheet", "browse"),
        ("orders", "GET", "/orders/archive", "any"),
        ("orders", "DELETE", "/orders/archive/7", "any"),
        ("orders", "GET", "/orders/archive/lines/1", "lines"),
        ("orders", "POST", "/orders/archive/lines", "any"),
        ("orders", "POST", "/", RefusalReason.UNKNOWN_ROUTE),
        ("orders", "POST", "/ordersheet", RefusalReason.UNKNOWN_ROUTE),
        ("carving", "GET", "/", RefusalReason.UNKNOWN_SERVICE),
    )
    def test_route(self, service, method, path, expected):
        found = self.store.route(service, method, path)
        if isinstance(expected, RefusalReason):
            self.assertFalse(found)
            self.assertIs(found.reason, expected)
        else:
            self.assertEqual((found[0].name, found[1].name), ("orders", expected))

    @params(
        ("orders", "tb1", "leaving"),
        ("orders", "tb2", "serving"),
        ("orders", "tb9", "serving"),
        ("carving", "tb1", "serving"),
    )
    def test_placement(self, service, data_centre, expected):
        self.assertEqual(self.store.placement(service, data_centre), expected)


class VersionTests(unittest.TestCase):
    """Guards against sections that revert when older versions arrive later."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 9)), max_size=20))
    def test_any_order_of_arrival(self, arrivals):
        store, highest, seen = SectionStore(), {}, []
        store.on_change(lambda section: seen.append((section.name, section.version)))
        for name, version in arrivals:
            applied = store.apply(make_section(version, name, service=name))
            self.assertEqual(applied, version > highest.get(name, 0))
            highest[name] = max(version, highest.get(name, 0))
            self.assertEqual(store.versions(), highest)
        self.assertEqual(len(seen), len(set(seen)))
        self.assertEqual(store.newer_than(highest), [])
        self.assertCountEqual(store.newer_than({}), store.all())

    @params(*itertools.permutations(range(3)))
    def test_service_that_moves_between_sections(self, *order):
        """In every order of arrival, the service ends in its new section."""
        versions = [
            make_section(1, "old"),
            make_section(2, "old", service=None),
            make_section(1, "new", deadline_ms=5),
        ]
        store = SectionStore()
        for index in order:
            store.apply(versions[index])
        self.assertEqual(store.service("orders").routes[0].deadline_ms, 5)

    def test_service_that_returns(self):
        """A service returns to its old section before its removal from the new one."""
        store = SectionStore()
        store.apply(make_section(1, "old"))
        store.apply(make_section(1, "new"))
        store.apply(make_section(3, "old", deadline_ms=5))
        self.assertEqual(store.service("orders").routes[0].deadline_ms, 5)
        store.apply(make_section(4, "old", service=None))
        self.assertEqual(store.service("orders").routes[0].deadline_ms, 2000)
        store.apply(make_section(2, "new", service=None))
        self.assertFalse(store.route("orders", "POST", "/orders"))

    def test_encoding_round_trip(self):
        section = routed_section()
        self.assertEqual(decode_section(encode_section(section)), section)
