"""Status reports that are late, duplicated or from another incarnation."""

import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.directory import BackendRecord
from damaskproxy.forwarding import Backend, backend as backend_module
from damaskproxy.forwarding.tests.builders import make_report
from damaskproxy.model import MemberState

READY = make_report()
DRAINING = make_report(is_draining=True, sequence=5)
RESTARTED = make_report(born_ms=2000, sequence=1)


class BackendTests(unittest.TestCase):
    """Guards against calls to a backend server that drains or has stopped."""

    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(backend_module, "boot_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.changes = 0
        self.backend = Backend(1000, self.changed)

    def changed(self):
        self.changes += 1

    @params(
        ("first report", [READY], True, "i-1"),
        ("drains", [READY, DRAINING], False, "i-1"),
        ("late ready report", [DRAINING, READY], False, "i-1"),
        (
            "newer ready report of a draining server",
            [READY, DRAINING, make_report(sequence=6)],
            False,
            "i-1",
        ),
        ("restarted with the same id", [READY, DRAINING, RESTARTED], True, "i-1"),
        (
            "late report of the earlier incarnation",
            [RESTARTED, make_report(sequence=9)],
            True,
            "i-1",
        ),
        ("late drain of the earlier incarnation", [RESTARTED, DRAINING], True, "i-1"),
        (
            "another server at the address",
            [READY, make_report(instance_id="i-2", born_ms=2000)],
            True,
            "i-2",
        ),
        (
            "late report of the previous server",
            [make_report(instance_id="i-2", born_ms=2000), make_report(sequence=9)],
            True,
            "i-2",
        ),
        (
            "two ids with the same start time",
            [READY, make_report(instance_id="i-2", sequence=9)],
            True,
            "i-1",
        ),
    )
    def test_state_follows_the_newest_incarnation(
        self, name, reports, is_serving, instance_id
    ):
        for report in reports:
            self.backend.report(report)
        self.assertEqual(self.backend.is_serving, is_serving, name)
        self.assertEqual(self.backend.record.instance_id, instance_id, name)

    @params(
        ("its own id", "i-1", None, False),
        ("its own start", "i-1", 1000, False),
        ("another id", "i-2", None, True),
        ("an earlier start", "i-1", 999, True),
    )
    def test_only_the_current_incarnation_can_leave(
        self, name, instance_id, born, is_serving
    ):
        self.backend.report(READY)
        self.backend.mark_stopped(instance_id, born)
        self.assertEqual(self.backend.is_serving, is_serving, name)
        self.backend.report(make_report(sequence=9))
        self.assertEqual(self.backend.is_serving, is_serving, name)

    def test_only_changes_of_published_fields_are_announced(self):
        for sequence in range(1, 20):
            self.backend.report(make_report(sequence=sequence))
        self.assertEqual(self.changes, 1)
        self.backend.report(make_report(sequence=20, is_draining=True))
        self.assertEqual(self.changes, 2)

    def test_server_with_overdue_reports_is_out_of_service(self):
        self.backend.report(READY)
        self.now_s += 3.9
        self.backend.check_heartbeat()
        self.assertTrue(self.backend.is_serving)
        self.now_s += 0.2
        self.backend.check_heartbeat()
        self.assertFalse(self.backend.is_serving)
        self.assertIs(self.backend.published_record().state, MemberState.STARTING)
        self.backend.report(make_report(sequence=2))
        self.assertTrue(self.backend.is_serving)
        self.assertIs(self.backend.published_record().state, MemberState.SERVING)

    @params(
        ("serving", MemberState.SERVING, True),
        ("draining", MemberState.DRAINING, False),
        ("stopped", MemberState.STOPPED, False),
    )
    def test_confirmed_leave_survives_a_restart(self, name, state, is_serving):
        self.backend.restore(BackendRecord("i-1", "orders", 4, state, 1000, 7))
        self.assertEqual(self.backend.is_serving, is_serving, name)
        self.backend.report(make_report(sequence=3))
        self.backend.report(make_report(sequence=8))
        self.assertEqual(self.backend.is_serving, is_serving, name)

    def test_refused_connection_suspends_calls_until_a_report(self):
        self.backend.report(READY)
        self.backend.connection_refused()
        self.assertFalse(self.backend.is_reachable)
        self.backend.report(make_report(sequence=2))
        self.assertTrue(self.backend.is_reachable)
