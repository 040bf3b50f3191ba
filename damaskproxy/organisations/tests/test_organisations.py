"""Keys, identities and combined priorities."""

import unittest

from nose2.tools import params

from damaskproxy.organisations import (
    ANONYMOUS,
    Authentication,
    AuthenticationFailure,
    CombinedPriorities,
    Organisation,
    Organisations,
)

GUILD = Organisation("guild", (b"key-1", b"key-2"), priority=0)
COOPERATIVE = Organisation("cooperative", (b"key-3",), priority=1)
AUTHENTICATION = Authentication(Organisations([GUILD, COOPERATIVE]))


class IdentityTests(unittest.TestCase):
    """Guards against requests that run for another organisation or without a key."""

    @params(
        ("key", b"Bearer key-1", False, None, False, "guild"),
        ("second key", b"Bearer key-2", False, None, False, "guild"),
        ("scheme in lower case", b"bearer  key-3 ", False, None, False, "cooperative"),
        ("key on a public route", b"Bearer key-3", True, None, False, "cooperative"),
        ("no key on a public route", None, True, None, False, ""),
        ("unknown key on a public route", b"Bearer no", True, None, False, ""),
        ("call of a server", None, False, "guild", True, "guild"),
        ("call of a server on a public route", None, True, "guild", True, "guild"),
        ("call of an anonymous request", None, False, "", True, ""),
        ("own key of a call", b"Bearer key-3", True, "guild", True, "cooperative"),
    )
    def test_request_belongs_to(
        self, name, authorization, is_public, parent, is_call, expected
    ):
        identity = AUTHENTICATION.identify(
            authorization,
            is_public=is_public,
            parent_organisation=parent,
            is_call=is_call,
        )
        self.assertEqual(identity.name, expected, name)

    @params(
        ("no key", None, False, AuthenticationFailure.NO_KEY),
        ("unknown key", b"Bearer x", False, AuthenticationFailure.UNKNOWN_KEY),
        ("empty key", b"Bearer ", False, AuthenticationFailure.UNKNOWN_KEY),
        ("other scheme", b"Basic key-1", False, AuthenticationFailure.UNKNOWN_KEY),
        ("no scheme", b"key-1", False, AuthenticationFailure.UNKNOWN_KEY),
        ("prefix of a key", b"Bearer key-", False, AuthenticationFailure.UNKNOWN_KEY),
        ("unknown parent", None, True, AuthenticationFailure.UNKNOWN_PARENT),
    )
    def test_request_is_refused(self, name, authorization, is_call, expected):
        failure = AUTHENTICATION.identify(
            authorization, is_public=False, parent_organisation=None, is_call=is_call
        )
        self.assertEqual(failure, expected, name)

    def test_calls_are_not_counted_against_the_allowance(self):
        identity = AUTHENTICATION.identify(
            None, is_public=True, parent_organisation="guild", is_call=True
        )
        self.assertIsNone(identity.organisation)

    def test_all_keys_can_be_taken_away(self):
        authentication = Authentication(Organisations())
        options = {"parent_organisation": None, "is_call": False}
        failure = authentication.identify(b"Bearer key-1", is_public=False, **options)
        self.assertEqual(failure, AuthenticationFailure.UNKNOWN_KEY)
        public = authentication.identify(b"Bearer key-1", is_public=True, **options)
        self.assertEqual(public, ANONYMOUS)

    def test_shared_key_belongs_to_the_same_organisation_on_all_nodes(self):
        first = Organisation("a", (b"shared",))
        second = Organisation("b", (b"shared",))
        for order in ((first, second), (second, first)):
            self.assertIs(Organisations(order).find(b"Bearer shared"), first)

    def test_representation_has_no_keys(self):
        self.assertNotIn("key-1", repr(GUILD))


class CombinedPrioritiesTests(unittest.TestCase):
    """Guards against an urgent organisation that waits behind an urgent route."""

    @params(
        ("one organisation's priority", (1,), (0, 1, 2), (1, 0), 0),
        ("one organisation's priority, last", (1,), (0, 1, 2), (1, 2), 2),
        ("urgent organisation", (0, 1), (0, 1, 2), (0, 2), 0),
        ("urgent route of a later one", (0, 1), (0, 1, 2), (1, 0), 1),
        ("last route of a later one", (0, 1), (0, 1, 2), (1, 2), 3),
        ("four pairs", (3, 9), (5, 7), (3, 7), 1),
        ("no organisation", (0, 1), (0, 1, 2), (None, 1), 2),
        ("nothing configured", (), (4,), (None, 4), 0),
    )
    def test_rank(self, name, organisations, routes, pair, expected):
        ranks = CombinedPriorities(organisations, routes)
        self.assertEqual(ranks.rank(*pair), expected, name)
