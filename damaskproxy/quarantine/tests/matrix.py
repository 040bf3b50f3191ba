"""Fault table of the quarantine, and proofs by removal."""

import msgspec

from damaskproxy.quarantine import SuspectPermit
from tools.faults.cells import Cell, FaultTable, Proof
from tools.faults.poison_mesh import PoisonMesh
from tools.faults.virtual_time import run_virtual

__all__ = ["FAULT_TABLE"]

SERVERS = "2 servers lost at most"
INNOCENT = "innocents get through"
FAULTS = {
    "news late": SERVERS,
    "node restarted": SERVERS,
    "clock ahead": SERVERS,
    "clock behind": INNOCENT,
    "copy at once": INNOCENT,
}
STEPS = ("send", "first death", "second death")
CELLS = tuple(Cell(fault, step, FAULTS[fault]) for fault in FAULTS for step in STEPS)


def run(cells, seed, without=""):
    """Simulate one run and return the verdict and the number of servers lost."""

    async def simulate():
        mesh = PoisonMesh(cells, seed, MECHANISMS[without] if without else {})
        return await mesh.play(), f"{len(mesh.deaths)} servers lost", mesh

    verdict, conclusion, mesh = run_virtual(simulate())
    return verdict, "not reached" if mesh.faults - mesh.met else conclusion


def take_no_turns(node):
    async def turn(call, *, timeout_s):
        decision = node._decide(call)
        return decision if isinstance(decision, SuspectPermit) else None

    node.acquire_permit = turn
    return node


def explain_nothing(node):
    node._is_explained = lambda record: False
    return node


def never_quarantine(node):
    def died(suspect, *, server):
        node.released(suspect)
        node.backend_crashed([suspect.identity], server=server)

    node.quarantine_suspect = died
    return node


MECHANISMS = {
    "suspects run one at a time": {"node": take_no_turns},
    "second death quarantines": {"node": never_quarantine},
    "bystanders are recognised": {"node": explain_nothing},
    "news of suspects": {"news": lambda records: []},
    "mark of suspects in the call": {
        "call": lambda call: msgspec.structs.replace(call, suspect=False)
    },
}
PROOFS = (
    Proof("suspects run one at a time", (), 0, "innocent-refused"),
    Proof("second death quarantines", (), 0, "server-lost"),
    Proof(
        "bystanders are recognised",
        (Cell("copy at once", "first death"),),
        0,
        "innocent-refused",
    ),
    Proof("news of suspects", (), 0, "server-lost"),
    Proof(
        "mark of suspects in the call",
        (Cell("news late", "send"),),
        0,
        "innocent-refused",
    ),
)
FAULT_TABLE = FaultTable("Quarantine", CELLS, run, PROOFS)
