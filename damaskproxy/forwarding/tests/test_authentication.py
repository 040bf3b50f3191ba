"""Keys of organisations at the origin, from the request to the call."""

import unittest

from nose2.tools import params

from damaskproxy.directory import Configuration
from damaskproxy.forwarding.tests.builders import make_call, make_route
from damaskproxy.forwarding.tests.test_origin import OriginFixture
from damaskproxy.http1 import ClientLimits, Request
from damaskproxy.organisations import Organisation, Organisations

ROUTES = (make_route(), make_route(name="open", prefix="/open/", is_public=True))
GUILD = Organisation("guild", (b"key-1", b"key-2"), priority=0)
COOPERATIVE = Organisation("cooperative", (b"key-3",), priority=1)
KEY = (b"Authorization", b"Bearer key-3")
FORGED = (b"x-organisation", b"guild")


class AuthenticationTests(OriginFixture, unittest.IsolatedAsyncioTestCase):
    """Guards against requests for the wrong organisation and against leaked keys."""

    def setUp(self):
        super().setUp()
        self.apply(2, GUILD, COOPERATIVE)

    def apply(self, version, *organisations):
        configuration = Configuration(
            version, ROUTES, {}, ClientLimits(), b"", Organisations(organisations)
        )
        self.configuration.apply_if_newer(configuration)

    async def send(self, *headers, target=b"/a/1", request_id=b"1"):
        fields = [(b"Host", b"h"), (b"X-Id", request_id), *headers]
        return await self.origin.handle(Request(b"GET", target, fields))

    @params(
        ("key", b"/a/1", (KEY,), "cooperative", 2),
        ("forged name", b"/a/1", (KEY, FORGED), "cooperative", 2),
        ("two keys", b"/a/1", (KEY, (b"Authorization", b"Bearer key-1")), None, 2),
        ("public route", b"/open/1", (), "", 2),
        ("public route, forged name", b"/open/1", (FORGED,), "", 2),
        ("public route, key", b"/open/1", (KEY,), "cooperative", 2),
        ("public route, unknown key", b"/open/1", ((KEY[0], b"Bearer x"),), "", 2),
    )
    async def test_call_has_the_organisation_and_no_key(
        self, name, target, headers, organisation, rank
    ):
        response = await self.send(*headers, target=target)
        self.assertEqual(response.status, 200, name)
        call = self.sent[0]
        if organisation is not None:
            self.assertEqual(call.organisation, organisation, name)
        names = [field.lower() for field, _ in call.headers]
        self.assertNotIn(b"authorization", names, name)
        self.assertNotIn(b"x-organisation", names, name)
        self.assertNotIn("key-", repr(call), name)

    @params(("no key", ()), ("unknown key", ((KEY[0], b"Bearer x"),)))
    async def test_request_without_a_known_key_is_not_run(self, name, headers):
        with self.assertLogs("damaskproxy.forwarding.origin", "INFO") as logs:
            response = await self.send(*headers)
        self.assertEqual((response.status, self.sent), (401, []), name)
        self.assertNotIn("Bearer", "".join(logs.output))

    async def test_key_that_was_removed_is_refused(self):
        self.assertEqual((await self.send(KEY)).status, 200)
        self.apply(3, GUILD)
        self.assertEqual((await self.send(KEY)).status, 401)

    async def test_older_configuration_does_not_bring_a_key_back(self):
        self.apply(3, GUILD)
        self.apply(2, GUILD, COOPERATIVE)
        self.assertEqual((await self.send(KEY)).status, 401)

    async def test_call_of_a_server_inherits_organisation_and_priority(self):
        parent = make_call(request_id=b"p", priority=0, organisation="guild")
        self.parent_requests.call_started(parent)
        await self.send(request_id=b"p.1", target=b"/open/1")
        await self.send(request_id=b"p.2")
        found = [(call.organisation, call.priority) for call in self.sent]
        self.assertEqual(found, [("guild", 0), ("guild", 0)])

    async def test_call_whose_parent_is_not_known_is_refused_as_not_run(self):
        response = await self.send(request_id=b"lost.1")
        self.assertEqual((response.status, self.sent), (503, []))

    async def test_without_organisations_headers_are_forwarded(self):
        self.configuration.apply_if_newer(
            Configuration(3, ROUTES, {}, ClientLimits(), b"")
        )
        self.assertEqual((await self.send(KEY, FORGED)).status, 200)
        self.assertIn(KEY, self.sent[0].headers)
        self.assertIn(FORGED, self.sent[0].headers)
