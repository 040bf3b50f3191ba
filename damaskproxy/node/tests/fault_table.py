"""Fault table of complete nodes: each fault at each step of a request and of a move."""

import asyncio
import functools
import itertools

from damaskproxy.history import EventKind, Finding, OutcomeScope, Verdict, check
from damaskproxy.node.tests.fault_cells import FAULTS, STEPS, FaultHarness
from tools.faults.cells import Cell, FaultTable

__all__ = ["FAULT_TABLE"]

ONCE = "runs at most once"
TRUE = "not-run is true"
OWN = "own complete answer"
FORWARD = "sections go forward"

GUARANTEES = {
    "table down": ONCE,
    "table slow": TRUE,
    "table answer lost": ONCE,
    "object store down": FORWARD,
    "node stopped at once": TRUE,
    "node cut off": TRUE,
    "node cut one way": ONCE,
    "backend server gone": TRUE,
    "frames delayed": OWN,
    "frames duplicated": ONCE,
    "frames reordered": OWN,
    "racing edits": FORWARD,
    "overload": TRUE,
}
CELLS = tuple(
    Cell(fault, step, GUARANTEES[fault])
    for fault, step in itertools.product(FAULTS, STEPS)
)


def check_by_scope(events):
    """Return the combined verdict on requests with and without a key."""
    keyless = {event.key for event in events if event.idempotent}
    verdict = Verdict()
    for scope in OutcomeScope:
        # A node recognises resends by their key; without one, each send is separate.
        part = [e for e in events if (e.key in keyless) is (scope is OutcomeScope.SEND)]
        found = check(part, scope=scope)
        verdict.answers += found.answers
        for finding in Finding:
            verdict.counts[finding] += found.counts[finding]
            verdict.examples[finding] += found.examples[finding]
    return verdict


async def simulate(cells):
    """Run cells sequentially on one mesh; return verdict and conclusion of each."""
    harness = FaultHarness()
    sent, violations = [], []
    try:
        await harness.start()
        for cell in cells:
            first, first_violation = len(harness.caller.events), len(harness.violations)
            await harness.run(cell.fault, cell.step, cell.seed)
            events = harness.caller.events[first:]
            sent.append({event.key for event in events if event.kind is EventKind.SENT})
            violations.append(harness.violations[first_violation:])
    finally:
        await harness.mesh.close()
    recorders = harness.mesh.recorders.values()
    ran = [event for recorder in recorders for event in recorder.events]
    # Runs are checked at the end, since a late one may violate a guarantee as well.
    verdicts = []
    for keys, found_violations in zip(sent, violations):
        events = [e for e in harness.caller.events + ran if e.key in keys]
        verdict = check_by_scope(events)
        if found_violations:
            conclusion = "; ".join(found_violations)
        else:
            conclusion = "answered" if verdict.answers else "not reached"
        verdicts.append((verdict, conclusion))
    return verdicts


@functools.cache
def run_cells(cells):
    """Return verdict and conclusion of each cell; the cells share a mesh."""
    return dict(zip(cells, asyncio.run(simulate(cells))))


def run(cells, seed, without=""):
    """Return verdict and conclusion of one cell, or of the last of several."""
    if len(cells) == 1:
        # The cells of a fault share a mesh, since starting one takes most of the time.
        fault = cells[0].fault
        together = tuple(cell for cell in CELLS if cell.fault == fault)
        return run_cells(together)[cells[0]]
    return asyncio.run(simulate(cells))[-1]


FAULT_TABLE = FaultTable("Nodes (small mesh in one process, real time)", CELLS, run)
