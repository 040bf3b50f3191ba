"""Requests that are under way while a new configuration comes into force."""

import unittest

from nose2.tools import params

from damaskproxy.directory import Configuration
from damaskproxy.forwarding.tests.builders import make_route
from damaskproxy.forwarding.tests.test_origin import DONE, LOST, OriginFixture
from damaskproxy.http1 import ClientLimits, Request
from damaskproxy.organisations import Organisation, Organisations

SAME = make_route()
GUILD = Organisation("guild", (b"key-1",))


def make_configuration(version, routes, organisations=None):
    """Return a configuration with some routes."""
    return Configuration(version, routes, {}, ClientLimits(), b"", organisations)


class ChangeTests(OriginFixture, unittest.IsolatedAsyncioTestCase):
    """Guards against a request that is handled under two versions.

    It would be repeated although its version does not allow that, or end with a status
    that neither of the versions gives.
    """

    async def run_call(self, call):
        if not self.sent:
            self.configuration.apply_if_newer(self.next)
        return await super().run_call(call)

    async def send(self, request_id=b"1"):
        """Send a request without a key; return its status."""
        fields = [(b"Host", b"h"), (b"X-Id", request_id)]
        return (await self.origin.handle(Request(b"GET", b"/a/1", fields))).status

    @params(
        # Old and new routes, statuses of a request during and after the change,
        # attempts of each, organisations of the new version.
        ("attempts", SAME, (make_route(max_attempts=1),), (200, 502), (2, 1)),
        ("more attempts", make_route(max_attempts=1), (SAME,), (502, 200), (1, 2)),
        ("repeatable", SAME, (make_route(is_idempotent=False),), (200, 502), (2, 1)),
        ("not", make_route(is_idempotent=False), (SAME,), (502, 200), (1, 2)),
        ("no route", SAME, (), (200, 404), (2, 0)),
        ("other path", SAME, (make_route(prefix="/b/"),), (200, 404), (2, 0)),
        ("less time", SAME, (make_route(timeout_ms=0),), (200, 503), (2, 0)),
        ("key needed", SAME, (SAME,), (200, 401), (2, 0), Organisations([GUILD])),
    )
    async def test_request_ends_under_the_version_it_began_with(
        self, name, old, new, statuses, attempts, organisations=None
    ):
        self.configuration.apply_if_newer(make_configuration(2, (old,)))
        self.next = make_configuration(3, new, organisations)
        for number in range(2):
            self.sent.clear()
            self.results = [LOST, DONE]
            status = await self.send(b"%d" % number)
            found = (status, len(self.sent))
            self.assertEqual(found, (statuses[number], attempts[number]), name)
        self.assertEqual(self.configuration.version, 3)

    async def test_attempts_of_a_request_are_the_same_call(self):
        old = make_route(priority=2)
        new = make_route(
            name="new", services=(("stores", 1.0),), timeout_ms=9000, priority=0
        )
        self.configuration.apply_if_newer(make_configuration(2, (old,)))
        self.next = make_configuration(3, (new,))
        self.results = [LOST, DONE]
        self.assertEqual(await self.send(), 200)
        for call in self.sent:
            found = (call.service, call.route, call.priority, call.is_idempotent)
            self.assertEqual(found, ("orders", "r", 2, True))
            self.assertLessEqual(call.deadline_ms, old.timeout_ms)
        self.assertEqual(len(self.sent), 2)

    async def test_log_names_the_version_that_the_request_began_with(self):
        self.next = make_configuration(2, (SAME,))
        self.results = [LOST, LOST]
        with self.assertLogs("damaskproxy.forwarding", "INFO") as logs:
            self.assertEqual(await self.send(), 502)
        (entry,) = logs.records
        self.assertEqual(entry.fields["configuration_version"], 1)
        self.assertEqual(self.configuration.version, 2)
