"""Gate, ledger and owners in single cases."""

import asyncio
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.allowances import (
    Allowances,
    Gate,
    Ledger,
    Limit,
    Owners,
    allowances,
    events,
)
from damaskproxy.allowances.allowances import QUEUED_MAX
from damaskproxy.allowances.tests.virtual_nodes import BOUNDS, NAME
from damaskproxy.directory import Directory
from damaskproxy.forwarding.frames import (
    AllowanceAskFrame,
    AllowanceGrantFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
)
from damaskproxy.organisations import Organisation

MEMBERS = ("n1", "n2", "n3", "n4")
LIMIT = Limit(8.0, 8.0)
NOW_S = 100.0


def make_owners(own_id):
    """Return the owners as one of the members knows them."""
    owners = Owners(own_id)
    owners.update(MEMBERS)
    return owners


RANKING = make_owners("n1").ranking(NAME)


class GateTests(unittest.TestCase):
    """Guards against tokens that are lost, spent twice or not reported."""

    def setUp(self):
        self.sent = []
        self.results = []
        self.owners = make_owners(RANKING[-1])
        self.gate = Gate(self.owners, BOUNDS, lambda *sent: self.sent.append(sent))
        self.gate.apply({NAME: LIMIT}, NOW_S)
        self.owner, self.second = RANKING[:2]

    def answer(self, *limited):
        sequence = self.sent[-1][1].sequence
        notice = AllowanceNoticeFrame(sequence, list(limited))
        self.gate.handle_notice(self.owner, notice, NOW_S)

    def take(self, result):
        self.results.append(result)
        return True

    def grant(self, granted, wait_ms=40):
        ask = next(f for _, f in self.sent[::-1] if isinstance(f, AllowanceAskFrame))
        frame = AllowanceGrantFrame(ask.sequence, NAME, granted, wait_ms)
        self.gate.handle_grant(self.owner, frame, NOW_S)

    def spent(self):
        """Return what the gate reports next."""
        self.sent.clear()
        self.gate.tick(NOW_S + 0.5)
        return [f.spent for _, f in self.sent if isinstance(f, AllowanceReportFrame)][0]

    def test_organisation_without_a_limit_is_admitted(self):
        self.assertEqual(self.gate.check("other", NOW_S), 0.0)

    @params((1, 1), (0, 0), (2, 2))
    def test_servers_that_a_request_reached_are_reported(self, reached, expected):
        self.answer()
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        self.gate.finish(NAME, self.gate.term(NAME), reached, NOW_S)
        self.assertEqual(sum(count for _, count in self.spent()), expected)

    def lose_all(self, now_s):
        for node_id in MEMBERS:
            self.gate.lost(node_id, now_s)

    def regain(self, now_s):
        """Let all candidates answer the reports that they have missed."""
        for _ in range(2):
            # The first answer of the owner causes further reports.
            sequence = max(frame.sequence for _, frame in self.sent)
            for node_id in RANKING:
                notice = AllowanceNoticeFrame(sequence, [])
                self.gate.handle_notice(node_id, notice, now_s)
        self.assertEqual(self.gate.describe()[0].owner, self.owner)

    def count_own_share(self, now_s):
        """Return how many requests are admitted at once without an owner."""
        self.lose_all(now_s)
        return [self.gate.check(NAME, now_s) for _ in range(9)].count(0.0)

    @params((0, 1), (1, 0))
    def test_refund_of_the_own_share_returns_to_it(self, reached, left):
        self.lose_all(NOW_S)
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        self.assertGreater(self.gate.check(NAME, NOW_S), 0.0)
        term = self.gate.term(NAME)
        self.regain(NOW_S)
        self.gate.finish(NAME, term, reached, NOW_S + 0.4)
        self.assertEqual(self.spent(), [])
        self.assertEqual(self.count_own_share(NOW_S + 3), left)

    def test_refund_of_an_owner_does_not_return_to_the_next_one(self):
        self.answer()
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        self.assertEqual(self.spent(), [(NAME, 1)])
        self.answer()
        term = self.gate.term(NAME)
        self.gate.lost(self.owner, NOW_S)
        self.gate.finish(NAME, term, 0, NOW_S)
        self.gate.tick(NOW_S + 0.5)
        reports = [f for _, f in self.sent if isinstance(f, AllowanceReportFrame)]
        self.assertEqual([f.spent for f in reports if f.spent], [[(NAME, 1)]])

    def test_refund_of_an_owner_does_not_return_to_the_own_share(self):
        self.answer()
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        term = self.gate.term(NAME)
        self.lose_all(NOW_S)
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        self.gate.finish(NAME, term, 0, NOW_S)
        self.assertGreater(self.gate.check(NAME, NOW_S), 0.0)

    def test_refund_to_an_owner_that_was_out_of_touch_is_dropped(self):
        # The charge may have been reported to the next owner instead.
        self.answer()
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        term = self.gate.term(NAME)
        self.gate.lost(self.owner, NOW_S)
        self.regain(NOW_S)
        self.gate.finish(NAME, term, 0, NOW_S)
        self.assertEqual(self.spent(), [])

    def test_requests_ask_in_the_limited_state_and_wait_after_a_refusal(self):
        self.answer(NAME)
        self.assertIsNone(self.gate.check(NAME, NOW_S))
        self.gate.ask(NAME, self.take, NOW_S)
        self.gate.ask(NAME, self.take, NOW_S)
        self.grant(1)
        second = [
            frame for _, frame in self.sent if isinstance(frame, AllowanceAskFrame)
        ]
        self.assertEqual([frame.wanted for frame in second], [1, 1])
        self.grant(0)
        self.assertEqual(self.results, [0.0, 0.04])
        self.assertAlmostEqual(self.gate.check(NAME, NOW_S + 0.03), 0.01)
        self.assertIsNone(self.gate.check(NAME, NOW_S + 0.05))

    def test_wait_is_not_below_what_retry_after_can_say(self):
        self.answer(NAME)
        self.gate.ask(NAME, self.take, NOW_S)
        self.grant(0)
        waits_s = [self.gate.check(NAME, NOW_S + n / 1000) for n in range(40)]
        self.assertGreaterEqual(min(waits_s), 0.01)

    def test_token_of_a_request_that_ended_goes_to_the_next_one(self):
        self.answer(NAME)
        self.gate.ask(NAME, lambda wait_s: False, NOW_S)
        self.grant(1)
        self.assertEqual(self.gate.check(NAME, NOW_S), 0.0)
        self.assertIsNone(self.gate.check(NAME, NOW_S))

    def test_ask_that_is_not_answered_goes_to_the_next_candidate(self):
        self.answer(NAME)
        self.gate.ask(NAME, self.take, NOW_S)
        self.gate.tick(NOW_S + 0.16)
        owner, frame = self.sent[-1]
        while not isinstance(frame, AllowanceAskFrame):
            self.sent.pop()
            owner, frame = self.sent[-1]
        self.assertEqual((owner, frame.wanted), (self.second, 1))
        self.assertEqual(self.gate.describe()[0].owner, self.second)

    def test_without_an_owner_the_own_share_is_spent(self):
        for node_id in MEMBERS:
            self.gate.lost(node_id, NOW_S)
        self.assertEqual(self.gate.describe()[0].owner, "")
        admitted = [self.gate.check(NAME, NOW_S + 10) for _ in range(8)].count(0.0)
        self.assertEqual(admitted, 1)
        later = [self.gate.check(NAME, NOW_S + 10 + n / 100) for n in range(200)]
        self.assertAlmostEqual(later.count(0.0), 2 * LIMIT.rate_per_s / 4, delta=1)

    def test_organisation_that_disappears_is_forgotten(self):
        self.gate.ask(NAME, self.take, NOW_S)
        self.gate.apply({}, NOW_S)
        self.assertEqual((self.results, self.gate.describe()), ([0.0], []))
        self.sent.clear()
        self.gate.tick(NOW_S + 5)
        self.assertEqual(self.sent, [])

    def test_late_grant_of_a_former_owner_is_not_refunded_to_it_later(self):
        self.owners.update(RANKING[1:])
        self.gate.members_changed(NOW_S)
        self.gate.ask(NAME, self.take, NOW_S)
        asked, ask = self.sent[-1]
        self.owners.update(MEMBERS)
        self.gate.members_changed(NOW_S)
        grant = AllowanceGrantFrame(ask.sequence, NAME, 5, 0)
        self.gate.handle_grant(asked, grant, NOW_S)
        self.assertEqual(self.gate.describe()[0].owner, RANKING[0])
        self.sent.clear()
        for node_id in RANKING[: RANKING.index(asked)]:
            self.gate.lost(node_id, NOW_S + 20)
        self.assertEqual(self.gate.describe()[0].owner, asked)
        reports = [f for _, f in self.sent if isinstance(f, AllowanceReportFrame)]
        self.assertEqual([f.spent for f in reports if f.spent], [])

    def test_raised_limit_ends_the_wait_under_the_one_before(self):
        self.answer(NAME)
        self.gate.ask(NAME, self.take, NOW_S)
        self.grant(0, wait_ms=5000)
        self.gate.apply({NAME: LIMIT}, NOW_S)
        self.assertEqual(self.gate.check(NAME, NOW_S), 5.0)
        self.gate.apply({NAME: Limit(100.0, 100.0)}, NOW_S)
        self.assertIsNone(self.gate.check(NAME, NOW_S))


class LedgerTests(unittest.TestCase):
    """Guards against an owner that gives out more than the part of its nodes."""

    def setUp(self):
        self.owners = make_owners(RANKING[0])
        self.ledger = Ledger(self.owners, BOUNDS)
        self.ledger.apply({NAME: LIMIT}, NOW_S)

    def report(self, now_s, spent=0, nodes=MEMBERS):
        candidates = list(self.owners.candidates)
        for node_id in nodes:
            frame = AllowanceReportFrame(1, candidates, [], [(NAME, spent)])
            notice = self.ledger.handle_report(node_id, frame, now_s)
        return notice.limited

    def fill(self):
        """Let the nodes report until the bucket is full; return the time."""
        for step in range(30):
            self.report(NOW_S + step / 10)
        return NOW_S + 3.0

    def test_state_follows_the_balance(self):
        now_s = self.fill()
        self.assertEqual(self.report(now_s), [])
        self.assertEqual(self.report(now_s, spent=3), [NAME])
        self.assertEqual(self.ledger.take_newly_limited(), [NAME])
        self.assertEqual(self.report(now_s + 2), [])

    def test_grants_end_with_the_balance(self):
        now_s = self.fill()
        ask = AllowanceAskFrame(1, NAME, 100, 0, 0)
        grant = self.ledger.handle_ask("n2", ask, now_s)
        self.assertEqual(grant.granted, int(LIMIT.burst + BOUNDS.burst_extra))
        grant = self.ledger.handle_ask("n2", ask, now_s)
        self.assertEqual(grant.granted, 0)
        self.assertGreaterEqual(grant.wait_ms, 20)

    def test_shares_of_silent_nodes_are_reserved(self):
        now_s = self.fill()
        self.report(now_s, spent=4)
        before = self.ledger.balance(NAME, now_s)
        for step in range(1, 31):
            self.report(now_s + step / 10, nodes=("n1",))
            self.ledger.tick(now_s + step / 10)
        rise = self.ledger.balance(NAME, now_s + 3) - before
        self.assertLessEqual(rise, LIMIT.rate_per_s * (0.75 + 2.35 / 4))

    @params((0.0, 0), (0.9, 0), (1.1, 3), (3600.0, 3))
    def test_only_a_new_owner_ignores_what_was_spent_under_another(self, age_s, count):
        self.report(NOW_S)
        now_s = NOW_S + age_s
        self.report(now_s)
        before = self.ledger.balance(NAME, now_s)
        candidates = list(self.owners.candidates)
        report = AllowanceReportFrame(2, candidates, [], [(NAME, 3)], is_carried=True)
        self.ledger.handle_report("n2", report, now_s)
        self.assertEqual(before - self.ledger.balance(NAME, now_s), count)

    def test_lowered_limit_clips_the_balance(self):
        now_s = self.fill()
        self.ledger.apply({NAME: Limit(1.0, 1.0)}, now_s)
        self.assertLessEqual(self.ledger.balance(NAME, now_s), 1 + BOUNDS.burst_extra)

    def test_node_that_never_had_a_limit_answers_a_report(self):
        # It has not received the configuration with the first limits yet.
        self.ledger = Ledger(self.owners, BOUNDS)
        self.assertEqual(self.report(NOW_S, spent=1), [])
        self.ledger.tick(NOW_S)

    @params("report", "ask")
    def test_spending_of_an_organisation_of_another_owner_limits_nothing(self, kind):
        self.fill()
        ledger = Ledger(make_owners(RANKING[1]), BOUNDS)
        ledger.apply({NAME: LIMIT}, NOW_S)
        if kind == "ask":
            ledger.handle_ask("n1", AllowanceAskFrame(1, NAME, 1, 0, 9), NOW_S)
        candidates = list(self.owners.candidates)
        frame = AllowanceReportFrame(1, candidates, [], [(NAME, 9)])
        notice = ledger.handle_report("n1", frame, NOW_S)
        self.assertEqual((notice.limited, ledger.take_newly_limited()), ([], []))

    def test_ask_after_silence_counts_as_a_sign_of_life(self):
        now_s = self.fill() + 1.0
        self.ledger.tick(now_s)
        ask = AllowanceAskFrame(1, NAME, 1, 0, 0)
        self.assertEqual(self.ledger.handle_ask("n2", ask, now_s).granted, 1)

    def test_share_of_a_node_that_is_silent_for_long_is_given_out(self):
        now_s = self.fill()
        for step in range(320):
            self.report(now_s + step / 10, nodes=MEMBERS[:3])
            self.ledger.tick(now_s + step / 10)
        now_s += 32
        self.report(now_s, spent=8, nodes=MEMBERS[:3])
        before = self.ledger.balance(NAME, now_s)
        rise = self.ledger.balance(NAME, now_s + 0.5) - before
        self.assertAlmostEqual(rise, LIMIT.rate_per_s / 2)

    def test_nodes_that_no_longer_ask_are_forgotten(self):
        now_s = self.fill()
        for number in range(50):
            now_s += 1.0
            self.report(now_s)
            ask = AllowanceAskFrame(1, NAME, 1, 0, 0)
            self.ledger.handle_ask(f"renamed{number}", ask, now_s)
            self.ledger.members_changed()
            self.ledger.tick(now_s)
        self.assertLess(len(self.ledger._accounts[NAME].askers), 3)


class QueueTests(unittest.IsolatedAsyncioTestCase):
    """Guards against messages to an owner that are dropped without a trace."""

    async def asyncSetUp(self):
        directory = mock.Mock()
        directory.get.return_value.is_removed = False
        self.allowances = Allowances("n1", directory, self.open_link, BOUNDS)
        patch = mock.patch.object(allowances, "log_event")
        self.log_event = patch.start()
        self.addCleanup(patch.stop)

    async def open_link(self, member):
        self.link = mock.Mock(is_open=self.opens)
        return self.link

    async def send(self, count, *, opens):
        """Send messages while a connection opens, which then closes again."""
        self.opens = opens
        for number in range(count):
            ask = AllowanceAskFrame(number, NAME, 1, 0, 0)
            self.allowances._send("n2", ask)
        await asyncio.sleep(0.01)
        self.assertEqual(self.link.write.call_count, opens and min(count, QUEUED_MAX))
        self.link.is_open = False

    @params(
        ("room for all", [(QUEUED_MAX, True)], 0),
        ("one too many", [(QUEUED_MAX + 1, True)], 1),
        ("many too many", [(QUEUED_MAX + 50, True)], 1),
        ("no connection", [(QUEUED_MAX + 1, False), (QUEUED_MAX + 1, False)], 1),
        ("opened at last", [(QUEUED_MAX + 1, False), (QUEUED_MAX + 1, True)], 1),
        ("opened in between", [(QUEUED_MAX + 1, True), (QUEUED_MAX + 1, True)], 2),
    )
    async def test_dropped_messages_are_logged_once_in_a_row(self, name, sent, logged):
        for count, opens in sent:
            await self.send(count, opens=opens)
        expected = mock.call(
            allowances.logger, events.MESSAGES_DROPPED, owner="n2", queued=QUEUED_MAX
        )
        self.assertEqual(self.log_event.call_args_list, [expected] * logged, name)


class CancelledAskTests(unittest.IsolatedAsyncioTestCase):
    """Guards against the loss of a token that nobody uses."""

    async def test_token_of_a_request_cancelled_with_the_grant_is_returned(self):
        subject = Allowances("n1", Directory(), mock.Mock(), BOUNDS)
        gate = subject._gate = mock.Mock()
        gate.term.return_value = 7
        asking = asyncio.create_task(subject.ask(Organisation(NAME), 1.0))
        await asyncio.sleep(0)
        _, deliver, _ = gate.ask.call_args.args
        self.assertTrue(deliver(0.0))
        asking.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asking
        gate.finish.assert_called_once_with(NAME, 7, 0, mock.ANY)
        self.assertFalse(deliver(0.0))
