"""Fault table of the ledger: every fault at every step, and proofs by removal."""

import itertools
from functools import partial

import msgspec

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.history import check
from damaskproxy.ledger.recent import RecentIds
from damaskproxy.wire import Refused
from tools.faults.cells import Cell, FaultTable, Proof
from tools.faults.ledger_mesh import World
from tools.faults.memory_table import TableUnknown
from tools.faults.virtual_time import run_virtual

__all__ = ["FAULT_TABLE"]

ONCE = "runs at most once"
TRUE = "not-run is true"
OWN = "own complete answer"

COPIES = itertools.count()
TABLE_STEPS = ("pin", "record", "read")
MESSAGE_STEPS = ("submit", "dispatch", "answer", "reply", "handover", "adopt")
STEPS = (*MESSAGE_STEPS, *TABLE_STEPS)
MESHES = {
    "table down": ONCE,
    "table slow": TRUE,
    "table answer lost": ONCE,
    "ledger node paused": ONCE,
    "ledger node crashed": TRUE,
    "ledger node restarted": ONCE,
    "heir crashed": TRUE,
    "heir restarted": ONCE,
    "caller leaves": ONCE,
    "resend via other entry": ONCE,
    "key expires": TRUE,
    "handover crossed": ONCE,
}
MESSAGES = {
    "lost": TRUE,
    "duplicated": ONCE,
    "reordered": OWN,
    "late": TRUE,
    "cut": TRUE,
}

CELLS = (
    *(Cell(fault, step, MESHES[fault]) for fault in MESHES for step in STEPS),
    *(Cell(fault, step, MESSAGES[fault]) for fault in MESSAGES for step in STEPS),
    Cell("cancel first", "submit", TRUE),
    Cell("cancel first", "dispatch", TRUE),
)


def run(cells, seed, without=""):
    """Simulate one run and return the verdict and the caller's conclusion."""
    mutations = MECHANISMS[without] if without else {}

    async def simulate():
        return await World(cells, seed, mutations).run()

    events, concluded, missed = run_virtual(simulate())
    return check(events), "not reached" if missed else concluded


class Forgetful(RecentIds):
    """Remembers nothing."""

    def __init__(self):
        super().__init__(1.0, 1, now_s=lambda: 0.0)

    def put(self, attempt_id, value, *, evict=False):
        return True


def dispatch_each_submission(ledger):
    async def submit(call, dispatch):
        reply = await dispatch(msgspec.structs.replace(call, attempt_id=new_id()))
        return msgspec.structs.replace(reply, attempt_id=call.attempt_id)

    new_id = ledger._runner._new_attempt_id
    ledger.submit = submit
    return ledger


def forget_submissions(ledger):
    ledger._submissions = Forgetful()
    return ledger


def forget_attempts(guard):
    guard._tickets = Forgetful()
    return guard


def never_freeze(ledger):
    ledger.freeze = lambda: None
    return ledger


def open_any_book(ledger):
    ledger._books.get = partial(ledger._books.open, sealed=False)
    return ledger


def never_expire(ledger):
    ledger._books.is_expired = lambda issued: False
    return ledger


def trust_the_wall_clock(ledger):
    books = ledger._books
    books.is_expired = lambda issued: issued.expiry_s <= books._wall_s()
    return ledger


def unknown_is_not_run(reply):
    if isinstance(reply, Refused):
        tokens = max(reply.tokens_left, 1)
        return Refused(
            reply.attempt_id, RefusalReason.LEAVING, Outcome.NOT_RUN, 0, tokens
        )
    return reply


def deadline_is_not_run(ledger):
    async def wait(call, attempt, deadline_s, *, starter):
        reply = await waiting(call, attempt, deadline_s, starter=starter)
        if getattr(reply, "reason", None) is RefusalReason.DEADLINE_PASSED:
            return msgspec.structs.replace(reply, outcome=Outcome.NOT_RUN)
        return reply

    waiting = ledger._wait
    ledger._wait = wait
    return ledger


def ignore_fingerprints(ledger):
    async def submit(call, dispatch):
        return await submitting(
            msgspec.structs.replace(call, path="/", body=b""), dispatch
        )

    submitting = ledger.submit
    ledger.submit = submit
    return ledger


def believe_lost_inserts(pins):
    async def insert(row_key, offered):
        try:
            result = await pins._table.commit({row_key: 0}, {row_key: offered.encode()})
        except TableUnknown:
            return offered
        return (
            result.rows[row_key].value.decode() if hasattr(result, "rows") else offered
        )

    pins._insert = insert
    return pins


def renumber(frame):
    return msgspec.structs.replace(frame, attempt_id=f"copy-{next(COPIES)}")


def unseal(message):
    return msgspec.structs.replace(message, sealed=False)


def any_incarnation(message):
    return msgspec.structs.replace(message, heir_incarnation=None)


# Each mechanism is switched off by replacing the named parts of the world.
MECHANISMS = {
    "one dispatch per key": {"ledger": dispatch_each_submission},
    "retry only after not-started": {"reply of target": unknown_is_not_run},
    "deadline of a caller is unknown": {"ledger": deadline_is_not_run},
    "memory of submissions": {"ledger": forget_submissions},
    "one id for repeated submissions": {"submission": renumber},
    "attempt guard": {"guard": forget_attempts},
    "fingerprint of the request": {"ledger": ignore_fingerprints},
    "conditional insert of pins": {"checks": lambda checks: {}},
    "read-back of pins": {"pins": believe_lost_inserts},
    "lost ledger is unknown": {"ledger": open_any_book},
    "freeze before hand-over": {"ledger": never_freeze},
    "sealed second heir": {"handover": unseal},
    "incarnation of the heir": {"handover": any_incarnation},
    "expiry of keys": {"ledger": never_expire},
    "expiry survives a clock set back": {"ledger": trust_the_wall_clock},
}


def proof(mechanism, finding, seed, *faults):
    return Proof(mechanism, tuple(Cell(*fault) for fault in faults), seed, finding)


# `python -m tools.fault_matrix --seek` finds seeds again when the simulation changes.
TWICE = "run-twice"
FALSE = "told-not-run-but-ran"
PROOFS = (
    proof("one dispatch per key", TWICE, 0),
    proof("retry only after not-started", TWICE, 7, ("lost", "answer")),
    proof("deadline of a caller is unknown", FALSE, 0, ("late", "answer")),
    proof("memory of submissions", FALSE, 39, ("duplicated", "submit")),
    proof("one id for repeated submissions", FALSE, 178, ("late", "submit")),
    proof("attempt guard", TWICE, 0, ("duplicated", "dispatch")),
    proof("fingerprint of the request", "wrong-answer", 0),
    proof("conditional insert of pins", TWICE, 0, ("resend via other entry", "pin")),
    proof("read-back of pins", TWICE, 0, ("late", "pin")),
    proof("lost ledger is unknown", TWICE, 0, ("ledger node restarted", "reply")),
    proof("freeze before hand-over", TWICE, 20, ("handover crossed", "answer")),
    proof("sealed second heir", TWICE, 75, ("cut", "adopt")),
    proof(
        "incarnation of the heir",
        TWICE,
        3,
        ("duplicated", "handover"),
        ("heir restarted", "record"),
    ),
    proof("expiry of keys", TWICE, 0),
    proof("expiry survives a clock set back", TWICE, 0),
)
FAULT_TABLE = FaultTable("Ledger", CELLS, run, PROOFS)
