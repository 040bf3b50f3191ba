"""Status reports that are late, duplicated or from another incarnation."""

import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.directory import BackendRecord
from damaskproxy.forwarding import Backend, backend as backend_module
from damaskproxy.forwarding.backend import LIMIT_HELD_S
from damaskproxy.forwarding.tests.builders import make_report
from damaskproxy.model import MemberState

READY = make_report()
DRAINING = make_report(is_draining=True, sequence=5)
RESTARTED = make_report(born_ms=2000, sequence=1)


class BackendTestCase(unittest.TestCase):
    """Test case with a backend server, its clock, and a count of its changes."""

    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(backend_module, "boot_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.changes = 0
        self.backend = Backend(1000, self.changed)

    def changed(self):
        self.changes += 1


class BackendTests(BackendTestCase):
    """Guards against calls to a backend server that drains or has stopped."""

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

    def test_leave_is_still_published_when_reports_are_overdue(self):
        self.backend.report(READY)
        self.backend.report(DRAINING)
        self.now_s += 10
        self.backend.check_heartbeat()
        self.assertIs(self.backend.published_record().state, MemberState.DRAINING)

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


class NamedLimitTests(BackendTestCase):
    """Guards against a limit that is lost, outlives its incarnation or never ends."""

    def setUp(self):
        super().setUp()
        self.backend.report(READY)
        self.key = self.backend.record.incarnation_key
        self.changes = 0

    def name(self, per_s, *, sent_s=None, key=None):
        """Record an answer, by default to a call that was sent just now."""
        sent_s = self.now_s if sent_s is None else sent_s
        self.backend.limit_named(key or self.key, per_s, sent_s)
        return self.backend.record.max_calls_per_s

    def test_limit_is_announced_once(self):
        self.assertEqual([self.name(10.0) for _ in range(3)], [10.0] * 3)
        self.assertEqual(self.changes, 1)

    @params((10.9, 10.0), (11.1, 11.1), (5.0, 5.0), (0.0, 0.0))
    def test_small_changes_are_not_announced(self, per_s, expected):
        self.name(10.0)
        self.assertEqual(self.name(per_s), expected)

    @params(
        ("sent before the limit was named", -0.1, 10.0),
        ("sent just after", 0.5, 10.0),
        ("sent later", LIMIT_HELD_S + 0.1, None),
    )
    def test_answer_without_a_limit(self, name, sent_after_s, expected):
        self.name(10.0)
        named_s, self.now_s = self.now_s, self.now_s + 5
        limit = self.name(None, sent_s=named_s + sent_after_s)
        self.assertEqual(limit, expected, name)

    def test_limit_outlives_reports_but_not_the_incarnation(self):
        self.name(10.0)
        self.backend.report(make_report(sequence=2))
        self.assertEqual(self.backend.record.max_calls_per_s, 10.0)
        self.backend.report(RESTARTED)
        self.assertIsNone(self.backend.record.max_calls_per_s)
        self.assertIsNone(self.name(10.0, key=self.key))

    def test_limit_is_restored_after_a_restart_of_the_node(self):
        self.name(10.0)
        restarted = Backend(1000, self.changed)
        restarted.restore(self.backend.record)
        restarted.report(make_report(sequence=2))
        self.assertEqual(restarted.record.max_calls_per_s, 10.0)

    @params(("same", READY, 10.0), ("next", RESTARTED, None))
    def test_limit_that_only_peers_know_is_restored(self, name, report, expected):
        self.name(10.0)
        restarted = Backend(1000, self.changed)
        restarted.restore_named(self.backend.record)
        restarted.report(report)
        self.assertEqual(restarted.record.max_calls_per_s, expected, name)

    def test_limit_that_peers_send_after_a_report_is_restored(self):
        self.name(10.0)
        restarted = Backend(1000, self.changed)
        restarted.report(READY)
        restarted.restore_named(self.backend.record)
        self.assertEqual(restarted.record.max_calls_per_s, 10.0)

    def test_limit_that_only_peers_know_is_restored_beside_a_stored_record(self):
        stored = self.backend.record
        self.name(10.0)
        restarted = Backend(1000, self.changed)
        restarted.restore_named(self.backend.record)
        restarted.restore(stored)
        self.assertEqual(restarted.record.max_calls_per_s, 10.0)

    def test_limit_of_a_row_that_is_read_after_a_report_is_restored(self):
        self.name(10.0)
        restarted = Backend(1000, self.changed)
        restarted.report(make_report(sequence=2))
        restarted.restore(self.backend.record)
        self.assertEqual(restarted.record.max_calls_per_s, 10.0)
        self.assertEqual(restarted.record.sequence, 2)

    def test_record_of_peers_does_not_bring_back_a_limit_that_ended(self):
        self.name(10.0)
        stale = self.backend.record
        self.now_s += 5
        self.name(None)
        self.backend.restore_named(stale)
        self.assertIsNone(self.backend.record.max_calls_per_s)


class NamedLeaveTests(unittest.TestCase):
    """Guards against calls to a server that said in an answer that it leaves."""

    @params(
        ("current incarnation", [READY], ("i-1", 1000), True),
        ("earlier incarnation", [READY, RESTARTED], ("i-1", 1000), False),
        ("no report yet", [], ("i-1", 1000), False),
        ("drains already", [READY, DRAINING], ("i-1", 1000), False),
    )
    def test_only_the_current_incarnation_can_leave(self, name, reports, key, is_news):
        backend = Backend(1000, lambda: None)
        for report in reports:
            backend.report(report)
        was_serving = backend.is_serving
        self.assertEqual(backend.leave_named(key), is_news, name)
        self.assertEqual(backend.is_serving, was_serving and not is_news, name)

    def test_later_report_does_not_bring_the_server_back(self):
        backend = Backend(1000, lambda: None)
        backend.report(READY)
        backend.leave_named(backend.record.incarnation_key)
        backend.report(make_report(sequence=2))
        self.assertFalse(backend.is_serving)
