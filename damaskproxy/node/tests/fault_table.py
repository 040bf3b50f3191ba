"""Fault table of whole nodes: every fault at every step of a request and of a move."""

import asyncio
import functools
import itertools

from damaskproxy.history import EventKind, Finding, OutcomeScope, Verdict, check
from damaskproxy.node.tests.fault_cells import FAULTS, STEPS, FaultWorld
from tools.faults.cells import Cell, FaultTable

__all__ = ["FAULT_TABLE"]

ONCE = "runs at most once"
TRUE = "not-run is true"
OWN = "own complete answer"
FORWARD = "sections go forward"

PROMISES = {
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
    Cell(fault, step, PROMISES[fault])
    for fault, step in itertools.product(FAULTS, STEPS)
)


def joined(events):
    """Return the verdict on keyed requests and on those without a key."""
    keyless = {event.key for event in events if event.idempotent}
    verdict = Verdict()
    for scope in OutcomeScope:
        # A node knows earlier sends of a key, but none of a request without one.
        part = [e for e in events if (e.key in keyless) is (scope is OutcomeScope.SEND)]
        found = check(part, scope=scope)
        verdict.answers += found.answers
        for finding in Finding:
            verdict.counts[finding] += found.counts[finding]
            verdict.examples[finding] += found.examples[finding]
    return verdict


async def simulate(cells):
    """Run cells one after the other on one mesh; return the verdict on each."""
    world = FaultWorld()
    sent, wrong = [], []
    try:
        await world.start()
        for cell in cells:
            first, first_wrong = len(world.caller.events), len(world.wrong)
            await world.run(cell.fault, cell.step, cell.seed)
            events = world.caller.events[first:]
            sent.append({event.key for event in events if event.kind is EventKind.SENT})
            wrong.append(world.wrong[first_wrong:])
    finally:
        await world.mesh.close()
    recorders = world.mesh.recorders.values()
    ran = [event for recorder in recorders for event in recorder.events]
    # Runs are judged at the end, since a late one breaks a promise as well.
    verdicts = []
    for keys, texts in zip(sent, wrong):
        events = [e for e in world.caller.events + ran if e.key in keys]
        verdict = joined(events)
        if texts:
            conclusion = "; ".join(texts)
        else:
            conclusion = "answered" if verdict.answers else "not reached"
        verdicts.append((verdict, conclusion))
    return verdicts


@functools.cache
def run_cells(cells):
    """Return the verdicts on cells that share a mesh."""
    return dict(zip(cells, asyncio.run(simulate(cells))))


def run(cells, seed, without=""):
    """Return the verdict and the conclusion of one cell, or of the last of several."""
    if len(cells) == 1:
        # The cells of a fault share a mesh, because starting one takes most time.
        fault = cells[0].fault
        together = tuple(cell for cell in CELLS if cell.fault == fault)
        return run_cells(together)[cells[0]]
    return asyncio.run(simulate(cells))[-1]


FAULT_TABLE = FaultTable("Nodes (small mesh in one process, real time)", CELLS, run)
