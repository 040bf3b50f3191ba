"""Health checks of the local backend server."""

import asyncio
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.directory import (
    BackendRecord,
    Configuration,
    CurrentConfiguration,
    ServiceEntry,
)
from damaskproxy.forwarding import Backend, ServerCheck, backend, server_check
from damaskproxy.forwarding.tests.builders import NAMES, make_report
from damaskproxy.http1 import ClientLimits, ConnectionPool, HttpServer, Response
from damaskproxy.model import Address, MemberState

FROM_MS = 5000
"""Start of the earliest incarnation that cannot have left before the process."""


def health(status=200, instance_id=b"i-1", *headers):
    """Return a response to a health check."""
    return Response(status, [(b"X-Instance", instance_id), *headers])


def make_configuration(service="orders"):
    """Return a configuration with one service."""
    services = {service: ServiceEntry(service, "/up", 10)}
    return Configuration(1, (), services, ClientLimits(), b"")


class ServerCheckTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a backend server and its check."""

    async def asyncSetUp(self):
        self.targets = []
        self.responses = []
        self.changes = 0
        self.server = HttpServer("server", self.handle)
        await self.server.open("127.0.0.1", 0)
        self.pool = ConnectionPool(Address("127.0.0.1", self.server.port))
        self.configuration = CurrentConfiguration()
        self.backend = Backend(1000, self.changed)
        self.check = ServerCheck(self.backend, self.pool, NAMES, self.configuration)
        self.backend.require_verification(FROM_MS)
        self.task = asyncio.create_task(self.check.run())
        for name, value in (("FIRST_PAUSE_S", 0.01), ("TIMEOUT_S", 0.1)):
            patch = mock.patch.object(server_check, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def asyncTearDown(self):
        self.task.cancel()
        self.pool.close()
        await self.server.close()

    def changed(self):
        """Pass on a change, as the composition root does."""
        self.changes += 1
        self.check.backend_changed()

    async def handle(self, request):
        """Answer with the next response; the last one is repeated."""
        self.targets.append(request.target)
        response = self.responses[0]
        if len(self.responses) > 1:
            self.responses.pop(0)
        if response is None:
            await asyncio.sleep(3600)
        return response

    async def until_settled(self):
        """Wait until no check is needed."""
        async with asyncio.timeout(5):
            await self.check.wait_until_settled()


class AnswerTests(ServerCheckTestCase):
    """Guards against a server that is served although its answer does not permit it."""

    @params(
        ("serving", health(), True),
        ("leaving or full", health(503), False),
        ("no such path", health(404), False),
        ("another incarnation", health(200, b"i-2"), False),
        ("no id", Response(200), False),
        ("closes", health(200, b"i-1", (b"Connection", b"close")), False),
        ("late answer to a request", health(200, b"i-1", (b"X-Id", b"id-1")), False),
        ("no answer", None, False),
        ("status 600", health(600), False),
        ("status 199", health(199), False),
        ("status 101", health(101), False),
    )
    async def test_server_is_served_after(self, name, response, is_served):
        self.responses = [response]
        self.configuration.apply_if_newer(make_configuration())
        self.backend.report(make_report(born_ms=1000))
        self.assertFalse(self.backend.is_serving)
        if is_served:
            await self.until_settled()
        else:
            await asyncio.sleep(0.3)
        self.assertIs(self.backend.is_serving, is_served, name)
        state = MemberState.SERVING if is_served else MemberState.STARTING
        self.assertIs(self.backend.published_record().state, state)
        self.assertEqual(set(self.targets), {b"/up"})

    @params(600, 999, 199, 104, 101)
    async def test_status_that_is_no_response_is_noticed_at_once(self, status):
        self.responses = [health(status)]
        self.configuration.apply_if_newer(make_configuration())
        reason = await self.check._failure(BackendRecord("i-1", "orders", 4))
        self.assertIn(f"status {status} is no response", reason)

    async def test_check_is_repeated_until_it_succeeds(self):
        self.responses = [
            health(503),
            None,
            health(200, b"i-1", (b"Connection", b"close")),
            health(),
        ]
        self.configuration.apply_if_newer(make_configuration())
        self.backend.report(make_report(born_ms=1000))
        await self.until_settled()
        self.assertTrue(self.backend.is_serving)
        self.assertEqual(len(self.targets), 4)
        self.backend.report(make_report(born_ms=1000, sequence=9))
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.targets), 4)

    @params("no configuration", "another service")
    async def test_check_waits_for_the_path(self, kind):
        self.responses = [health()]
        if kind != "no configuration":
            self.configuration.apply_if_newer(make_configuration("stores"))
        self.backend.report(make_report(born_ms=1000))
        await asyncio.sleep(0.05)
        self.assertFalse(self.targets)
        configuration = make_configuration()
        object.__setattr__(configuration, "version", 2)
        self.configuration.apply_if_newer(configuration)
        await self.until_settled()
        self.assertTrue(self.backend.is_serving)


class NeedTests(ServerCheckTestCase):
    """Guards against checks that are missing, or that servers need not answer."""

    async def test_server_that_leaves_meanwhile_is_not_served(self):
        self.responses = [health(503), health()]
        self.configuration.apply_if_newer(make_configuration())
        self.backend.report(make_report(born_ms=1000))
        self.backend.mark_stopped("i-1", 1000)
        await self.until_settled()
        self.assertFalse(self.backend.is_serving)
        self.assertIs(self.backend.published_record().state, MemberState.STOPPED)

    async def test_server_that_started_later_is_served_without_a_check(self):
        self.backend.report(make_report(born_ms=FROM_MS))
        self.assertTrue(self.backend.is_serving)
        self.assertFalse(self.targets)

    async def test_next_incarnation_is_checked_as_well(self):
        self.responses = [health(), health(200, b"i-2")]
        self.configuration.apply_if_newer(make_configuration())
        self.backend.report(make_report(born_ms=1000))
        await self.until_settled()
        self.backend.report(make_report(instance_id="i-2", born_ms=2000))
        self.assertFalse(self.backend.is_serving)
        await self.until_settled()
        self.assertTrue(self.backend.is_serving)
        self.assertEqual(len(self.targets), 2)

    @params((9.0, False, False), (11.0, False, True), (11.0, True, False))
    async def test_report_proves_that_a_server_has_not_left_once_none_is_late(
        self, up_s, is_draining, is_served
    ):
        self.responses = [health(404)]
        self.configuration.apply_if_newer(make_configuration())
        self.backend.report(make_report(born_ms=1000))
        changes = self.changes
        start_s = self.backend._started_s
        with mock.patch.object(backend, "boot_s", lambda: start_s + up_s):
            self.backend.report(
                make_report(born_ms=1000, sequence=2, is_draining=is_draining)
            )
            self.assertIs(self.backend.is_serving, is_served)
        self.assertEqual(self.changes > changes, is_served or is_draining)

    async def test_server_with_overdue_reports_is_not_checked(self):
        self.responses = [health(503)]
        self.configuration.apply_if_newer(make_configuration())
        self.backend.report(make_report(born_ms=1000))
        start_s = self.backend._started_s
        with mock.patch.object(backend, "boot_s", lambda: start_s + 60):
            self.backend.check_heartbeat()
        await self.until_settled()
        count = len(self.targets)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.targets), count)
