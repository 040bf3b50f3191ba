"""Selection among members of which one rejects, fails or loses calls."""

import heapq
import itertools
import random
import unittest
from unittest import mock

from nose2.tools import params

from damaskproxy.forwarding import MemberSelector, member_selection
from damaskproxy.forwarding.calls import (
    Answer,
    LoadReport,
    NotRun,
    NotRunReason,
    Unknown,
)
from damaskproxy.forwarding.tests.builders import make_member

SLOTS = 4
WORK_S = 0.05
FAULTY = "n0"
FAIR_SHARE = 0.25
SETTLE_S = 2.0
FAULT_S = 20.0
RETURN_S = 3.0
"""Time after which a member that is no longer faulty must get its share again."""
TRIED_WITHIN_S = 8.0
RESULTS = {
    "rejected": lambda load: NotRun(NotRunReason.BACKEND_REJECTED, True, 0, load),
    "failed": lambda load: Answer(500, [], b"", load),
    "lost": lambda load: Unknown("lost", load),
}


class Service:
    """Four members with a selector on virtual time, the first of which is faulty.

    Parameters
    ----------
    kind : str
        Result of the calls that fail, a key of `RESULTS`.
    share : float
        Share of the calls of the faulty member that fail.
    work_s : float
        Time that a failing call takes.
    avoids_failing : bool
        Argument of `MemberSelector.choose`.
    """

    def __init__(self, kind, share, work_s, *, avoids_failing):
        self.now_s = 100.0
        self.share = share
        self.members = [make_member(f"n{number}", slots=SLOTS) for number in range(4)]
        self._make_failure, self._failure_s = RESULTS[kind], work_s
        self._avoids_failing = avoids_failing
        self._rng = random.Random(7)
        self._selector = MemberSelector("a", self._rng, lambda: 1)
        self._running: list[tuple] = []
        self._in_flight = dict.fromkeys((m.node_id for m in self.members), 0)
        self._calls: list[tuple[str, float]] = []

    def play(self, duration_s, calls_per_s):
        """Start calls at a rate for some time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += self._rng.expovariate(calls_per_s)
            self._finish_calls()
            self._start_call()

    def times_s(self, node_id, begin_s, end_s):
        """Return when a member got calls."""
        return [s for n, s in self._calls if n == node_id and begin_s < s <= end_s]

    def share_of(self, node_id, begin_s, end_s):
        """Return the share of all calls that a member got."""
        total = sum(begin_s < s <= end_s for _, s in self._calls)
        return len(self.times_s(node_id, begin_s, end_s)) / total

    def _start_call(self):
        member = self._selector.choose(
            self.members, set(), avoids_failing=self._avoids_failing
        )
        node_id = member.node_id
        fails = node_id == FAULTY and self._rng.random() < self.share
        self._selector.started(member)
        self._calls.append((node_id, self.now_s))
        self._in_flight[node_id] += 1
        work_s = self._failure_s if fails else WORK_S
        entry = (self.now_s + work_s, len(self._calls), member, fails, work_s)
        heapq.heappush(self._running, entry)

    def _finish_calls(self):
        while self._running and self._running[0][0] <= self.now_s:
            _, _, member, fails, work_s = heapq.heappop(self._running)
            self._in_flight[member.node_id] -= 1
            count = self._in_flight[member.node_id]
            queued = max(0, count - SLOTS)
            load = LoadReport(count - queued, queued, SLOTS, 50, 512)
            result = Answer(200, [], b"", load)
            if fails:
                result = self._make_failure(load)
            self._selector.finished(member, result, work_s)


class FaultyMemberTests(unittest.TestCase):
    """Guards against a faulty member that attracts calls because it ends them at once.

    Its health check succeeds, so that it stays a serving member.
    """

    def play(self, kind, share, load, *, work_s=0.001, avoids_failing=True):
        """Return shares and times of the calls of the member, faulty and then healthy.

        The load is a multiple of what all members can serve together.
        """
        service = Service(kind, share, work_s, avoids_failing=avoids_failing)
        calls_per_s = load * len(service.members) * SLOTS / WORK_S
        with mock.patch.object(member_selection, "boot_s", lambda: service.now_s):
            service.play(SETTLE_S, calls_per_s)
            begin_s = service.now_s
            service.play(FAULT_S, calls_per_s)
            end_s = service.now_s
            service.share = 0.0
            service.play(RETURN_S, calls_per_s)
            returned_s = service.now_s
            service.play(RETURN_S, calls_per_s)
        faulty_s = service.times_s(FAULTY, begin_s, end_s)
        gaps_s = [after - before for before, after in itertools.pairwise(faulty_s)]
        return (
            service.share_of(FAULTY, begin_s, end_s),
            max(gaps_s, default=FAULT_S),
            service.share_of(FAULTY, returned_s, service.now_s),
        )

    @params(
        # Result, share of its calls, load, largest share of all calls that it may get.
        ("rejected", 1.0, 0.3, 0.02),
        ("rejected", 1.0, 0.6, 0.02),
        ("rejected", 1.0, 0.9, 0.02),
        ("rejected", 1.0, 1.3, 0.02),
        ("failed", 1.0, 0.9, 0.02),
        ("lost", 1.0, 0.9, 0.02),
        ("rejected", 0.3, 0.6, 0.1),
        ("rejected", 0.3, 0.9, 0.1),
        ("failed", 0.3, 0.6, 0.1),
        ("failed", 0.3, 0.9, 0.1),
        ("lost", 0.3, 0.9, 0.1),
        ("lost", 0.05, 0.3, 0.1),
    )
    def test_member_gets_few_calls_and_is_tried_again(self, kind, share, load, most):
        got, gap_s, returned = self.play(kind, share, load)
        self.assertLess(got, most)
        self.assertLess(gap_s, TRIED_WITHIN_S)
        self.assertGreater(returned, 0.8 * FAIR_SHARE)

    @params(("slow failures", 0.3, 0.05), ("half", 0.5, 0.05))
    def test_member_that_fails_as_slowly_as_it_serves_gets_few_calls(
        self, name, share, work_s
    ):
        got, _, returned = self.play("failed", share, 0.6, work_s=work_s)
        self.assertLess(got, 0.1, name)
        self.assertGreater(returned, 0.8 * FAIR_SHARE, name)

    @params(
        ("rejected", 1.0, 0.3, 0.05),
        ("rejected", 1.0, 0.6, 0.15),
        ("failed", 0.3, 0.3, 0.08),
        ("failed", 0.3, 0.6, 0.18),
    )
    def test_member_gets_fewer_calls_without_organisations_while_others_have_room(
        self, kind, share, load, most
    ):
        """When the others are full, it gets more than its share in that case."""
        got, _, returned = self.play(kind, share, load, avoids_failing=False)
        self.assertLess(got, most)
        self.assertGreater(returned, 0.8 * FAIR_SHARE)
