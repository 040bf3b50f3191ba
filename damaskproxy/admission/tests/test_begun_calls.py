"""Calls of requests that servers have already worked on."""

import asyncio
import random
import unittest

from nose2.tools import params

from damaskproxy.admission import AdmissionController, Permit, Ticket
from damaskproxy.admission.queue import CallQueue, QueuedCall
from damaskproxy.common import Priority
from damaskproxy.sidecar.compose import ADMISSION_SETTINGS
from tools.faults.virtual_time import now_s, run_virtual

SLOTS, CALLS, WORK_S = 6, 4, 0.03
CAPACITY_PER_S = SLOTS / (CALLS * WORK_S)


async def play(load, *, marks_begun, seconds=5.0):
    """Return the share of finished requests, and that of calls that were wasted.

    Each request makes four calls in sequence and fails if one of them is refused.
    """
    controller = AdmissionController(SLOTS, now_s=now_s, settings=ADMISSION_SETTINGS)
    rng = random.Random(1)
    finished = wasted = started = 0

    async def run(ordinal):
        nonlocal finished, wasted
        deadline_s = now_s() + 1.0
        for number in range(CALLS):
            begun = marks_begun and number > 0
            ticket = Ticket(
                Priority.HIGH, ordinal, "price", deadline_s, has_begun=begun
            )
            permit = await controller.acquire(ticket)
            if not isinstance(permit, Permit):
                wasted += number
                return
            await asyncio.sleep(WORK_S)
            controller.release(permit, elapsed_s=WORK_S, ok=True)
        finished += 1

    tasks = []
    end_s = now_s() + seconds
    while now_s() < end_s:
        await asyncio.sleep(rng.expovariate(load * CAPACITY_PER_S))
        started += 1
        tasks.append(asyncio.create_task(run(rng.randrange(128))))
    await asyncio.gather(*tasks)
    return finished / started, wasted / started


class BegunCallTests(unittest.TestCase):
    """Guards against work in progress that is lost to new requests."""

    @params((2, 2, True), (1, 2, True), (2, 1, False))
    def test_begun_call_starts_before_new_ones_of_its_class(
        self, priority, other_priority, goes_first
    ):
        """A begun call of a lower class must not delay a new request."""
        queue = CallQueue()
        begun = Ticket(Priority(priority), 100, "r", 9.0, has_begun=True)
        new = Ticket(Priority(other_priority), 0, "r", 9.0)
        for ticket in (new, begun):
            queue.push(QueuedCall(ticket, None, 0.0, False))
        first = queue.first(newest_first=False, short_only=False)
        self.assertIs(first.ticket, begun if goes_first else new)

    @params(1.3, 2.0, 3.0)
    def test_begun_requests_are_finished_under_overload(self, load):
        before, wasted_before = run_virtual(play(load, marks_begun=False))
        finished, wasted = run_virtual(play(load, marks_begun=True))
        self.assertGreater(finished, before)
        self.assertLess(wasted, wasted_before / 2)
