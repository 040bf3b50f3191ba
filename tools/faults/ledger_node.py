"""Calls, replies and a ledger for tests in virtual time."""

import random
from dataclasses import dataclass

from damaskproxy.common import Outcome, RefusalReason, new_attempt_id
from damaskproxy.ledger import KeyRing, Ledger, LedgerSettings
from damaskproxy.wire import Answer, Call, Purpose, Refused
from tools.faults.virtual_time import now_s

__all__ = [
    "SECRET",
    "WALL_START_S",
    "Node",
    "answer",
    "call_of",
    "not_run",
    "unknown",
]

SECRET = b"mesh secret of the tests"
WALL_START_S = 1_800_000_000


def call_of(key, submission="s1", *, body=b"order", deadline_ms=1000, tokens=2):
    """Return a submission that places an order, with idempotency key `key`."""
    return Call(
        submission,
        "request",
        "orders",
        "place",
        "POST",
        "/place",
        [],
        body,
        0,
        0,
        deadline_ms,
        deadline_ms,
        tokens,
        key,
        purpose=Purpose.SUBMIT,
        idempotent=False,
    )


def answer(call, body=b"done", status=201):
    """Return a reply to `call` with the response of the backend server."""
    return Answer(call.attempt_id, status, [("a", "b")], body, call.retry_tokens)


def not_run(call, reason=RefusalReason.LEAVING):
    """Return a refusal of `call` that guarantees that it did not run."""
    return Refused(call.attempt_id, reason, Outcome.NOT_RUN, 0, call.retry_tokens)


def unknown(call, reason=RefusalReason.PEER_LOST):
    """Return a refusal of `call` with unknown outcome: it may have run."""
    return Refused(call.attempt_id, reason, Outcome.UNKNOWN)


@dataclass
class Node:
    """A ledger with its key ring, on the clock of the running event loop."""

    name: str = "n1"
    incarnation: int = 1
    settings: LedgerSettings = LedgerSettings()
    wall_offset_s: float = 0.0
    extra: dict | None = None

    def __post_init__(self):
        rng = random.Random(f"{self.name}/{self.incarnation}")
        self.ring = KeyRing(
            self.name,
            self.incarnation,
            [SECRET],
            wall_s=self.wall_s,
            settings=self.settings,
        )
        self.ledger = Ledger(
            self.name,
            self.incarnation,
            key_ring=self.ring,
            now_s=now_s,
            wall_s=self.wall_s,
            new_attempt_id=lambda: new_attempt_id(rng),
            settings=self.settings,
            **(self.extra or {}),
        )

    def wall_s(self):
        """Return the Unix time on the clock of the node, in seconds."""
        return WALL_START_S + self.wall_offset_s + now_s()
