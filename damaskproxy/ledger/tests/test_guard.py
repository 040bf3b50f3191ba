"""Tests that the target node reports not-run only for attempts that never run."""

import unittest

import msgspec
from nose2.tools import params

from damaskproxy.ledger import AttemptGuard, DuplicateAttempt, LedgerSettings
from damaskproxy.wire import Refused
from tools.faults.ledger_node import answer, call_of, not_run

FULL = "overload-queue-full/unknown"


def describe_reply(result):
    if isinstance(result, Refused):
        return f"{result.reason}/{result.outcome}"
    return {DuplicateAttempt: "duplicate", type(None): "started"}.get(
        type(result), "waiting"
    )


class Target:
    """Target node that performs named steps and returns the result of each."""

    def __init__(self, idempotent, attempts_max):
        self.clock_s = 0.0
        settings = LedgerSettings(attempts_max=attempts_max)
        self.guard = AttemptGuard(now_s=lambda: self.clock_s, settings=settings)
        call = call_of("key", "a")
        self.call = msgspec.structs.replace(call, idempotent=idempotent)
        self.ticket = None

    def step(self, name):
        if name == "arrive" or name == "arrive b":
            attempt_id = "b" if name == "arrive b" else "a"
            result = self.guard.arrived(
                msgspec.structs.replace(self.call, attempt_id=attempt_id)
            )
            if describe_reply(result) == "waiting":
                self.ticket = result
            return describe_reply(result)
        if name == "start":
            return describe_reply(self.guard.start(self.ticket))
        if name == "cancel":
            return str(self.guard.cancel("a"))
        if name == "refuse":
            return describe_reply(self.guard.refuse(self.ticket, not_run(self.call)))
        if name == "answer":
            return str(self.guard.finished(self.ticket, answer(self.call)))
        if name == "not started":
            return str(self.guard.finished(self.ticket, not_run(self.call)))
        self.clock_s += float(name)
        return "waited"


class GuardTests(unittest.TestCase):
    """Guards against running an attempt twice, or after it was reported as not-run."""

    @params(
        ("normal", "arrive start answer", "waiting started None"),
        ("duplicate while waiting", "arrive arrive", "waiting duplicate"),
        ("duplicate while running", "arrive start arrive", "waiting started duplicate"),
        (
            "duplicate after the response",
            "arrive start answer arrive",
            "- - - duplicate",
        ),
        ("duplicate after a refusal", "arrive refuse arrive", "- - leaving/not-run"),
        (
            "duplicate after not-started",
            "arrive start not_started arrive",
            "- - - leaving/not-run",
        ),
        ("late", "arrive 1.0 start", "- - start-by-passed/not-run"),
        (
            "duplicate of a late attempt",
            "arrive 1 start arrive",
            "- - - start-by-passed/not-run",
        ),
        (
            "cancel before arrival",
            "cancel arrive arrive",
            "None cancelled/not-run cancelled/not-run",
        ),
        (
            "cancel while waiting",
            "arrive cancel start",
            "- cancelled cancelled/not-run",
        ),
        ("cancel after start", "arrive start cancel answer", "- - started None"),
        ("cancel after refusal", "arrive refuse cancel", "- - ended"),
        ("kept for 10 min", "arrive start answer 599 arrive", "- - - - duplicate"),
        ("no room for another id", "arrive arrive_b arrive", f"- {FULL} duplicate"),
        ("cancel is kept although full", "arrive_b cancel arrive", f"- - {FULL}"),
        ("idempotent duplicate", "arrive arrive", "waiting waiting", True),
        ("idempotent cancelled", "cancel arrive", "None cancelled/not-run", True),
    )
    def test_steps(self, _name, steps, results, idempotent=False):
        target = Target(idempotent, attempts_max=1)
        for step, expected in zip(steps.split(), results.split(), strict=True):
            seen = target.step(step.replace("_", " "))
            if expected != "-":
                self.assertEqual(seen, expected, step)

    def test_starts_once(self):
        target = Target(idempotent=False, attempts_max=9)
        target.step("arrive")
        target.step("start")
        with self.assertRaises(ValueError):
            target.step("start")
