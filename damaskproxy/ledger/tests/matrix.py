"""Fault table of the ledger, and runs that show that each mechanism is needed.

The names of faults, steps, guarantees and mechanisms appear in docs/fault-matrix.md.
"""

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

RUNS_ONCE = "runs at most once"
TRUTHFUL_NOT_RUN = "not-run is true"
OWN_ANSWER = "own complete answer"

COPIES = itertools.count()
TABLE_STEPS = ("pin", "record", "read")
MESSAGE_STEPS = ("submit", "dispatch", "answer", "reply", "handover", "adopt")
STEPS = (*MESSAGE_STEPS, *TABLE_STEPS)
MESH_FAULTS = {
    "table down": RUNS_ONCE,
    "table slow": TRUTHFUL_NOT_RUN,
    "table answer lost": RUNS_ONCE,
    "ledger node paused": RUNS_ONCE,
    "ledger node crashed": TRUTHFUL_NOT_RUN,
    "ledger node restarted": RUNS_ONCE,
    "heir crashed": TRUTHFUL_NOT_RUN,
    "heir restarted": RUNS_ONCE,
    "caller leaves": RUNS_ONCE,
    "resend via other entry": RUNS_ONCE,
    "key expires": TRUTHFUL_NOT_RUN,
    "handover crossed": RUNS_ONCE,
}
MESSAGE_FAULTS = {
    "lost": TRUTHFUL_NOT_RUN,
    "duplicated": RUNS_ONCE,
    "reordered": OWN_ANSWER,
    "late": TRUTHFUL_NOT_RUN,
    "cut": TRUTHFUL_NOT_RUN,
}

CELLS = (
    *(Cell(fault, step, MESH_FAULTS[fault]) for fault in MESH_FAULTS for step in STEPS),
    *(
        Cell(fault, step, MESSAGE_FAULTS[fault])
        for fault in MESSAGE_FAULTS
        for step in STEPS
    ),
    Cell("cancel first", "submit", TRUTHFUL_NOT_RUN),
    Cell("cancel first", "dispatch", TRUTHFUL_NOT_RUN),
)


def run(cells, seed, without=""):
    """Simulate one run and return its verdict and the outcome for the caller."""
    mutations = MECHANISMS[without] if without else {}

    async def simulate():
        return await World(cells, seed, mutations).run()

    events, concluded, missed = run_virtual(simulate())
    return check(events), "not reached" if missed else concluded


class RetainsNothing(RecentIds):
    """Map that drops every id at once."""

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


def retain_no_submissions(ledger):
    ledger._submissions = RetainsNothing()
    return ledger


def retain_no_attempts(guard):
    guard._tickets = RetainsNothing()
    return guard


def never_freeze(ledger):
    ledger.freeze = lambda: None
    return ledger


def open_any_shard(ledger):
    ledger._shards.get = partial(ledger._shards.open, sealed=False)
    return ledger


def never_expire(ledger):
    ledger._shards.is_expired = lambda issued: False
    return ledger


def use_current_clock_only(ledger):
    shards = ledger._shards
    shards.is_expired = lambda issued: issued.expiry_s <= shards._wall_s()
    return ledger


def report_unknown_as_not_run(reply):
    if isinstance(reply, Refused):
        tokens = max(reply.tokens_left, 1)
        return Refused(
            reply.attempt_id, RefusalReason.LEAVING, Outcome.NOT_RUN, 0, tokens
        )
    return reply


def report_deadline_as_not_run(ledger):
    async def wait(call, attempt, deadline_s, *, starter):
        reply = await original_wait(call, attempt, deadline_s, starter=starter)
        if getattr(reply, "reason", None) is RefusalReason.DEADLINE_PASSED:
            return msgspec.structs.replace(reply, outcome=Outcome.NOT_RUN)
        return reply

    original_wait = ledger._wait_for_attempt
    ledger._wait_for_attempt = wait
    return ledger


def ignore_fingerprints(ledger):
    async def submit(call, dispatch):
        return await original_submit(
            msgspec.structs.replace(call, path="/", body=b""), dispatch
        )

    original_submit = ledger.submit
    ledger.submit = submit
    return ledger


def assume_insert_applied(pins):
    async def insert(row_key, candidate):
        try:
            result = await pins._table.commit(
                {row_key: 0}, {row_key: candidate.encode()}
            )
        except TableUnknown:
            return candidate
        return (
            result.rows[row_key].value.decode()
            if hasattr(result, "rows")
            else candidate
        )

    pins._insert = insert
    return pins


def renumber(frame):
    return msgspec.structs.replace(frame, attempt_id=f"copy-{next(COPIES)}")


def unseal(message):
    return msgspec.structs.replace(message, sealed=False)


def any_incarnation(message):
    return msgspec.structs.replace(message, heir_incarnation=None)


# Each mechanism is disabled by replacing the named parts of the simulated mesh.
MECHANISMS = {
    "one dispatch per key": {"ledger": dispatch_each_submission},
    "retry only after not-started": {"reply of target": report_unknown_as_not_run},
    "deadline of a caller is unknown": {"ledger": report_deadline_as_not_run},
    "memory of submissions": {"ledger": retain_no_submissions},
    "one id for repeated submissions": {"submission": renumber},
    "attempt guard": {"guard": retain_no_attempts},
    "fingerprint of the request": {"ledger": ignore_fingerprints},
    "conditional insert of pins": {"checks": lambda checks: {}},
    "read-back of pins": {"pins": assume_insert_applied},
    "lost ledger is unknown": {"ledger": open_any_shard},
    "freeze before hand-over": {"ledger": never_freeze},
    "sealed second heir": {"handover": unseal},
    "incarnation of the heir": {"handover": any_incarnation},
    "expiry of keys": {"ledger": never_expire},
    "expiry survives a clock set back": {"ledger": use_current_clock_only},
}


def proof(mechanism, finding, seed, *faults):
    return Proof(mechanism, tuple(Cell(*fault) for fault in faults), seed, finding)


# `python -m tools.fault_matrix --seek` finds new seeds when the simulation changes.
RAN_TWICE = "run-twice"
FALSE_NOT_RUN = "told-not-run-but-ran"
PROOFS = (
    proof("one dispatch per key", RAN_TWICE, 0),
    proof("retry only after not-started", RAN_TWICE, 7, ("lost", "answer")),
    proof("deadline of a caller is unknown", FALSE_NOT_RUN, 0, ("late", "answer")),
    proof("memory of submissions", FALSE_NOT_RUN, 39, ("duplicated", "submit")),
    proof("one id for repeated submissions", FALSE_NOT_RUN, 178, ("late", "submit")),
    proof("attempt guard", RAN_TWICE, 0, ("duplicated", "dispatch")),
    proof("fingerprint of the request", "wrong-answer", 0),
    proof(
        "conditional insert of pins", RAN_TWICE, 0, ("resend via other entry", "pin")
    ),
    proof("read-back of pins", RAN_TWICE, 0, ("late", "pin")),
    proof("lost ledger is unknown", RAN_TWICE, 0, ("ledger node restarted", "reply")),
    proof("freeze before hand-over", RAN_TWICE, 20, ("handover crossed", "answer")),
    proof("sealed second heir", RAN_TWICE, 75, ("cut", "adopt")),
    proof(
        "incarnation of the heir",
        RAN_TWICE,
        3,
        ("duplicated", "handover"),
        ("heir restarted", "record"),
    ),
    proof("expiry of keys", RAN_TWICE, 0),
    proof("expiry survives a clock set back", RAN_TWICE, 0),
)
FAULT_TABLE = FaultTable("Ledger", CELLS, run, PROOFS)
