"""Fault table of the quarantine, and runs that show that each mechanism is needed.

The names of faults, steps, guarantees and mechanisms appear in docs/fault-matrix.md.
"""

import msgspec

from damaskproxy.quarantine import SuspectPermit
from tools.faults.cells import Cell, FaultTable, Proof
from tools.faults.poison_mesh import PoisonMesh
from tools.faults.virtual_time import run_virtual

__all__ = ["FAULT_TABLE"]

SERVERS_LOST = "2 servers lost at most"
INNOCENTS_SERVED = "innocents get through"
FAULTS = {
    "news late": SERVERS_LOST,
    "node restarted": SERVERS_LOST,
    "clock ahead": SERVERS_LOST,
    "clock behind": INNOCENTS_SERVED,
    "copy at once": INNOCENTS_SERVED,
}
STEPS = ("send", "first death", "second death")
CELLS = tuple(Cell(fault, step, FAULTS[fault]) for fault in FAULTS for step in STEPS)


def run(cells, seed, without=""):
    """Simulate one run and return its verdict and the number of crashed servers."""

    async def simulate():
        mesh = PoisonMesh(cells, seed, MECHANISMS[without] if without else {})
        return await mesh.play(), f"{len(mesh.deaths)} servers lost", mesh

    verdict, conclusion, mesh = run_virtual(simulate())
    return verdict, "not reached" if mesh.faults - mesh.met else conclusion


def permit_at_once(node):
    async def acquire_at_once(call, *, timeout_s):
        decision = node._decide(call)
        return decision if isinstance(decision, SuspectPermit) else None

    node.acquire_permit = acquire_at_once
    return node


def treat_all_as_related(node):
    node._is_unrelated = lambda record: False
    return node


def never_quarantine(node):
    def release_and_suspect(suspect, *, server):
        node.released(suspect)
        node.backend_crashed([suspect.identity], server=server)

    node.quarantine_suspect = release_and_suspect
    return node


MECHANISMS = {
    "suspects run one at a time": {"node": permit_at_once},
    "second death quarantines": {"node": never_quarantine},
    "bystanders are recognised": {"node": treat_all_as_related},
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
