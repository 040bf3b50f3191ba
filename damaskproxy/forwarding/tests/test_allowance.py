"""Allowances of organisations at the origin."""

import unittest

from nose2.tools import params

from damaskproxy.directory import Configuration
from damaskproxy.forwarding.calls import NotRun, NotRunReason
from damaskproxy.forwarding.request_allowance import Decision
from damaskproxy.forwarding.tests.builders import make_call, make_route
from damaskproxy.forwarding.tests.test_origin import (
    DONE,
    FAILED,
    LOST,
    OVERLOAD,
    REJECTED,
    OriginFixture,
)
from damaskproxy.http1 import ClientLimits, Request
from damaskproxy.organisations import Organisation, Organisations

GUILD = Organisation("guild", (b"key-1",), rate_per_s=5, burst=5)
OPEN = Organisation("open", (b"key-2",))
ROUTES = (make_route(), make_route(name="public", prefix="/open/", is_public=True))


def decide(wait_s):
    """Return a decision; an admitted request is charged in term 7."""
    return Decision(wait_s, None if wait_s else 7)


class PreparedAllowances:
    """Allowances with prepared results."""

    def __init__(self, wait_s, asked_wait_s=0.0):
        self.decision = None if wait_s is None else decide(wait_s)
        self.asked = decide(asked_wait_s)
        self.checked = 0
        self.finished = []

    def check(self, organisation):
        self.checked += 1
        return self.decision

    async def ask(self, organisation, timeout_s):
        return self.asked

    def finish(self, organisation, term, reached_count):
        self.finished.append((term, reached_count))


class AllowanceTests(OriginFixture, unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are counted wrongly, or refused for no reason."""

    def setUp(self):
        super().setUp()
        organisations = Organisations([GUILD, OPEN])
        self.configuration.apply_if_newer(
            Configuration(2, ROUTES, {}, ClientLimits(), b"", organisations)
        )

    async def send(self, allowances, key=b"key-1", request_id=b"1", target=b"/a/1"):
        self.origin._allowances = self.allowances = allowances
        fields = [(b"Host", b"h"), (b"X-Id", request_id)]
        if key:
            fields.append((b"Authorization", b"Bearer " + key))
        return await self.origin.handle(Request(b"GET", target, fields))

    @params(
        ("served", [DONE], 200, 1),
        ("second attempt", [FAILED, DONE], 200, 2),
        ("may have run", [LOST, DONE], 200, 2),
        ("rejected by a server", [REJECTED, DONE], 200, 2),
        ("refused by a node", [OVERLOAD, DONE], 200, 1),
        ("no server got it", [NotRun(NotRunReason.DRAINING)] * 9, 503, 0),
    )
    async def test_servers_that_got_the_request_are_counted(
        self, name, results, status, reached
    ):
        self.results = list(results)
        response = await self.send(PreparedAllowances(0.0))
        self.assertEqual(response.status, status, name)
        self.assertEqual(self.allowances.finished, [(7, reached)], name)

    async def test_request_that_asked_is_counted_in_the_term_of_the_grant(self):
        await self.send(PreparedAllowances(None))
        self.assertEqual(self.allowances.finished, [(7, 1)])

    async def test_request_that_was_not_charged_is_not_counted(self):
        # The limit was removed while the request was being read.
        allowances = PreparedAllowances(0.0)
        allowances.decision = Decision(0.0)
        response = await self.send(allowances)
        self.assertEqual((response.status, allowances.finished), (200, []))

    @params(("at once", 0.25, 0.0), ("after an ask", None, 0.25))
    async def test_request_over_the_allowance_is_not_run(self, name, wait_s, asked):
        response = await self.send(PreparedAllowances(wait_s, asked))
        self.assertEqual((response.status, self.sent), (429, []), name)
        self.assertEqual(response.header(b"retry-after"), b"0.25")
        self.assertEqual(self.stats.refusals[NotRunReason.ALLOWANCE], 1)
        self.assertEqual(self.allowances.finished, [], name)

    @params(
        ("no limit", b"key-2", b"1", b"/a/1"),
        ("no organisation", None, b"1", b"/open/1"),
        ("call of a server", None, b"p.1", b"/open/1"),
    )
    async def test_other_requests_are_not_counted(self, name, key, request_id, target):
        self.parent_requests.call_started(
            make_call(request_id=b"p", organisation="guild")
        )
        response = await self.send(PreparedAllowances(9.0), key, request_id, target)
        self.assertEqual((response.status, self.allowances.checked), (200, 0), name)

    async def test_request_that_is_refused_anyway_is_not_counted(self):
        for record in list(self.origin._directory.records()):
            self.origin._directory.remove(record.node_id)
        response = await self.send(PreparedAllowances(0.0))
        self.assertEqual((response.status, self.allowances.checked), (503, 0))
