"""Validation of requests, and the limits that outbound calls take from a request."""

import random
import unittest

from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from nose2.tools import params

from damaskproxy.common import Outcome, Priority, Refusal, RefusalReason
from damaskproxy.model import Route, Service
from damaskproxy.retries import RetryAllowance
from damaskproxy.routing import RequestReader, RoutingSettings, RunningAttempt
from damaskproxy.routing.headers import end_to_end, parse_trace_id
from damaskproxy.routing.problems import problem_response, status_of
from damaskproxy.routing.tests.builders import make_call

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
PLACE = Route("place", "POST", "/place", Priority.CRITICAL, False, 3000, 2)
BROWSE = Route("browse", "GET", "/", Priority.SHEDDABLE, True, 1000, 2)


def lookup(service, method, path):
    """Return a route of ``orders``, the only service."""
    if service != "orders":
        return Refusal(RefusalReason.UNKNOWN_SERVICE, Outcome.NOT_RUN)
    for route in (PLACE, BROWSE):
        if route.method == method and path.startswith(route.path):
            return Service("orders", (PLACE, BROWSE)), route
    return Refusal(RefusalReason.UNKNOWN_ROUTE, Outcome.NOT_RUN)


def make_reader(**settings):
    """Return a reader for the service ``orders``."""
    return RequestReader(lookup, RoutingSettings(**settings), random.Random(1))


def make_request(method, path, headers=None, body=b""):
    """Return a request whose body has been received completely."""
    request = make_mocked_request(method, path, headers or {})

    async def read():
        if len(body) > 2048:
            raise web.HTTPRequestEntityTooLarge(2048, len(body))
        return body

    request.read = read
    return request


class ReaderTests(unittest.IsolatedAsyncioTestCase):
    """Guards against invalid requests that reach a backend server."""

    @params(
        ("GET", "/nothing/x", {}, b"", RefusalReason.UNKNOWN_SERVICE),
        ("DELETE", "/orders/x", {}, b"", RefusalReason.UNKNOWN_ROUTE),
        ("GET", "/", {}, b"", RefusalReason.UNKNOWN_SERVICE),
        ("POST", "/orders/place", {}, b"", RefusalReason.KEY_REQUIRED),
        ("GET", "/orders/x", {"a": "x" * 2048}, b"", RefusalReason.HEADER_TOO_LARGE),
        ("POST", "/orders/place", {}, b"x" * 4096, RefusalReason.BODY_TOO_LARGE),
        (
            "POST",
            "/orders/place",
            {"Idempotency-Key": "k" * 300},
            b"",
            RefusalReason.KEY_INVALID,
        ),
        (
            "GET",
            "/orders/x",
            {"Damask-Deadline-Ms": "soon"},
            b"",
            RefusalReason.BAD_REQUEST,
        ),
        (
            "GET",
            "/orders/x",
            {"Damask-Deadline-Ms": "0"},
            b"",
            RefusalReason.BAD_REQUEST,
        ),
        (
            "GET",
            "/orders/x",
            {"Damask-Priority": "vip"},
            b"",
            RefusalReason.BAD_REQUEST,
        ),
        (
            "GET",
            "/orders/x",
            {"Damask-Priority": "critical"},
            b"",
            RefusalReason.PRIORITY_NOT_ALLOWED,
        ),
    )
    async def test_invalid_request(self, method, path, headers, body, reason):
        reader = make_reader(max_header_bytes=1024)
        request = make_request(method, path, headers, body)
        result = await reader.read(request, None, 0.0)
        self.assertIsInstance(result, Refusal)
        self.assertEqual((result.reason, result.outcome), (reason, Outcome.NOT_RUN))

    @params(
        ({}, 1000),
        ({"Damask-Deadline-Ms": "300"}, 300),
        ({"Damask-Deadline-Ms": "9999"}, 1000),
    )
    async def test_deadline_is_only_shortened(self, headers, deadline_ms):
        request = make_request("GET", "/orders/x", headers)
        call = await make_reader().read(request, None, 0.0)
        self.assertEqual(call.deadline_ms, deadline_ms)

    async def test_outbound_call_inherits_limits(self):
        """Outbound calls must not exceed the limits of the call that makes them."""
        parent_call = make_call(ordinal=77, depth=3, request_id=TRACE_ID)
        parent = RunningAttempt(parent_call, 10.25, RetryAllowance(2), lambda: 10.0)
        request = make_request("GET", "/orders/x?q=1")
        call = await make_reader().read(request, parent, 10.0)
        self.assertEqual(call.deadline_ms, 250)
        self.assertEqual(call.priority, Priority.CRITICAL)
        self.assertEqual((call.ordinal, call.depth), (77, 4))
        self.assertEqual((call.request_id, call.retry_tokens), (TRACE_ID, 0))
        self.assertEqual(call.path, "/x?q=1")

    async def test_outbound_call_after_the_deadline(self):
        """Work for a request after its deadline would be wasted."""
        parent = RunningAttempt(make_call(), 5.0, RetryAllowance(0), lambda: 0.0)
        request = make_request("GET", "/orders/x")
        result = await make_reader().read(request, parent, 6.0)
        self.assertEqual(result.reason, RefusalReason.DEADLINE_PASSED)

    async def test_depth_is_bounded(self):
        """Calls in a cyclic call graph would never end."""
        parent = RunningAttempt(
            make_call(depth=4), 99.0, RetryAllowance(0), lambda: 0.0
        )
        request = make_request("GET", "/orders/x")
        result = await make_reader(max_depth=4).read(request, parent, 0.0)
        self.assertEqual(result.reason, RefusalReason.TOO_DEEP)

    async def test_ordinal_is_derived_from_the_key(self):
        """A resend with a new ordinal could be admitted where the first was shed."""
        headers = {"Idempotency-Key": "k1"}
        ordinals = set()
        for _ in range(5):
            request = make_request("POST", "/orders/place", headers)
            ordinals.add((await make_reader().read(request, None, 0.0)).ordinal)
        self.assertEqual(len(ordinals), 1)


class HeaderTests(unittest.TestCase):
    """Guards against forwarding hop-by-hop headers and malformed trace ids."""

    def test_end_to_end(self):
        forwarded = end_to_end(
            [("Connection", "x"), ("Damask-Attempt", "y"), ("Accept", "z")]
        )
        self.assertEqual(forwarded, [("Accept", "z")])

    def test_names_can_be_encoded(self):
        """The codec rejects the subclass of str that aiohttp uses for header names."""
        request = make_mocked_request("GET", "/", {"Accept": "z"})
        ((name, _),) = end_to_end(request.headers.items())
        self.assertIs(type(name), str)

    @params(
        (f"00-{TRACE_ID}-00f067aa0ba902b7-01", TRACE_ID),
        (f"00-{'0' * 32}-00f067aa0ba902b7-01", None),
        ("00-xyz-00f067aa0ba902b7-01", None),
        (f"00-{'g' * 32}-00f067aa0ba902b7-01", None),
        (TRACE_ID, None),
        (None, None),
    )
    def test_trace_id(self, traceparent, expected):
        self.assertEqual(parse_trace_id(traceparent), expected)


class ProblemTests(unittest.TestCase):
    """Guards against refusals without a status, a reason or an outcome."""

    @params(*RefusalReason)
    def test_every_reason(self, reason):
        response = problem_response(Refusal(reason, Outcome.UNKNOWN), "r1")
        self.assertEqual(response.content_type, "application/problem+json")
        self.assertEqual(response.status, status_of(reason))
        self.assertIn(f'"reason":"{reason}"'.encode(), response.body)
        self.assertIn(b'"outcome":"unknown"', response.body)
        self.assertEqual(response.status == 503, "Retry-After" in response.headers)
