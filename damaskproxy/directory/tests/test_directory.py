"""Configurations and members that arrive late, twice or out of order."""

import unittest

import msgspec
from nose2.tools import params

from damaskproxy.directory import (
    BackendRecord,
    Configuration,
    CurrentConfiguration,
    Directory,
    MemberRecord,
    Route,
)
from damaskproxy.http1 import ClientLimits
from damaskproxy.model import MemberState


def route(name, host, prefix):
    """Return a route of one service."""
    return Route(name, host, prefix, ((name, 1.0),), True, 2, 1000, 500, 1)


def configuration(version, *routes):
    """Return a configuration."""
    return Configuration(version, routes, {}, ClientLimits(), b"")


def member(node_id="n1", incarnation=1, version=1, **changes):
    """Return a member with a serving backend server."""
    backend = BackendRecord("i-1", "orders", 4)
    record = MemberRecord(
        node_id, incarnation, version, "a", "10.0.0.1", 1, backend=backend
    )
    return msgspec.structs.replace(record, **changes)


def backend(instance_id="i-1", state=MemberState.SERVING, born_ms=0):
    """Return a backend server."""
    return BackendRecord(instance_id, "orders", 4, state, born_ms)


class LeaveTests(unittest.TestCase):
    """Guards against requests to a backend server whose node lost its leave."""

    @params(
        (backend(state=MemberState.DRAINING), backend(), MemberState.DRAINING),
        (backend(state=MemberState.STOPPED), backend(), MemberState.STOPPED),
        (backend(state=MemberState.STARTING), backend(), MemberState.SERVING),
        (backend(state=MemberState.STOPPED), backend("i-2"), MemberState.SERVING),
        (
            backend(state=MemberState.STOPPED),
            backend(born_ms=1),
            MemberState.SERVING,
        ),
        (
            backend(state=MemberState.DRAINING),
            backend(state=MemberState.STOPPED),
            MemberState.STOPPED,
        ),
    )
    def test_incarnation_that_leaves_never_returns(self, known, received, state):
        directory = Directory()
        directory.merge(member(backend=known))
        directory.merge(member(incarnation=2, backend=received))
        self.assertIs(directory.get("n1").backend.state, state)

    @params(
        (MemberState.DRAINING, MemberState.DRAINING),
        (MemberState.STOPPED, MemberState.STOPPED),
        (MemberState.SERVING, None),
    )
    def test_leave_outlasts_a_record_without_the_server(self, known, state):
        directory = Directory()
        directory.merge(member(backend=backend(state=known)))
        directory.merge(member(incarnation=2, backend=None))
        kept = directory.get("n1").backend
        self.assertIs(kept.state if kept else None, state)
        directory.remove("n1")
        self.assertTrue(directory.get("n1").is_removed)


class ConfigurationTests(unittest.TestCase):
    """Guards against a wrong route and against a version that decreases."""

    ROUTES = (route("all", "h", "/a/"), route("deep", "h", "/a/b/"))

    @params(
        ("h", "/a/b/c", "deep"),
        ("h", "/a/bc", "all"),
        ("h", "/a/b", "all"),
        ("h", "/a", None),
        ("other", "/a/b/c", None),
    )
    def test_longest_prefix_of_the_host_is_chosen(self, host, path, name):
        found = configuration(1, *self.ROUTES).match(host, path)
        self.assertEqual(found.name if found else None, name)

    @params(([3, 2, 7, 7, 5], [3, 7]), ([1], [1]))
    def test_version_never_goes_back(self, offered, in_force):
        current = CurrentConfiguration()
        seen = []
        current.on_change(lambda new: seen.append(new.version))
        for version in offered:
            current.apply_if_newer(configuration(version))
        self.assertEqual((seen, current.version), (in_force, in_force[-1]))


class DirectoryTests(unittest.TestCase):
    """Guards against older records that replace newer ones."""

    @params(
        ("newer version", member(version=2), True),
        ("restarted node", member(incarnation=2, version=0), True),
        ("same record", member(), False),
        ("older version", member(version=0), False),
        ("earlier incarnation", member(incarnation=0, version=9), False),
    )
    def test_newest_record_wins(self, name, record, is_merged):
        directory = Directory()
        directory.merge(member())
        digest = directory.digest()
        self.assertEqual(directory.merge(record), is_merged, name)
        self.assertEqual(directory.digest() != digest, is_merged, name)

    def test_late_record_does_not_bring_a_removed_member_back(self):
        directory = Directory()
        directory.merge(member(version=5))
        directory.remove("n1")
        self.assertFalse(directory.merge(member(version=5)))
        self.assertEqual(directory.serving("orders"), [])
        self.assertTrue(directory.merge(member(incarnation=2, version=0)))

    def test_removal_of_an_earlier_record_keeps_the_newer_one(self):
        directory = Directory()
        directory.merge(member(version=5))
        directory.remove("n1", (1, 4))
        self.assertIsNotNone(directory.get("n1"))

    @params(
        ({}, "orders", True),
        ({}, "stores", False),
        ({"state": MemberState.STOPPED}, "orders", False),
        ({"backend": None}, "orders", False),
        (
            {"backend": BackendRecord("i", "orders", 4, MemberState.DRAINING)},
            "orders",
            False,
        ),
    )
    def test_only_serving_members_of_the_service_are_found(
        self, changes, service, is_found
    ):
        directory = Directory()
        directory.merge(member(version=0))
        self.assertTrue(directory.serving("orders"))
        directory.merge(member(**changes))
        self.assertEqual(bool(directory.serving(service)), is_found)
