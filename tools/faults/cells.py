"""Fault tables: their cells, their collection from test packages and their page."""

import importlib
import itertools
import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["Cell", "FaultTable", "Proof", "collect", "pairs", "render"]

ROOT = Path(__file__).resolve().parent.parent.parent
TABLE_FILES = "damaskproxy/*/tests/matrix.py"
PAGE_HEAD = """# Fault matrix

Written by `python -m tools.fault_matrix`; do not edit. Each cell injects one fault at
one step of a simulated run with virtual time. The checker of `damaskproxy.history`
judges each run. *Conclusion* is what the caller was told by its last send while the key
was valid.
"""


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step.

    Parameters
    ----------
    fault, step : str
        Fault to inject, and the step of request processing at which it occurs.
    promise : str
        The guarantee that this fault is most likely to break. Each run checks all
        guarantees.
    """

    fault: str
    step: str
    promise: str = ""

    @property
    def seed(self) -> int:
        """Seed of the run, stable over processes and collections."""
        return zlib.crc32(f"{self.fault}@{self.step}".encode()) % 100_000

    def __str__(self) -> str:
        return f"{self.fault} @ {self.step}"


@dataclass(frozen=True, slots=True)
class Proof:
    """Evidence that a guarantee depends on a mechanism: it breaks without it.

    Parameters
    ----------
    mechanism : str
        Name of the mechanism, as the table's `run` takes it.
    cells : tuple of Cell
        Faults to inject, in the runs with and without the mechanism.
    seed : int
        Seed of that run.
    finding : str
        What the checker reports without the mechanism.
    """

    mechanism: str
    cells: tuple[Cell, ...]
    seed: int
    finding: str


@dataclass(frozen=True, slots=True)
class FaultTable:
    """Fault table of one package.

    Parameters
    ----------
    title : str
        Heading of the page.
    cells : tuple of Cell
        Cells, each run on its own.
    run : callable
        ``run(cells, seed, without="")`` returns ``(verdict, conclusion)`` of one run;
        `without` names a mechanism that is switched off.
    proofs : tuple of Proof
        Runs that break a guarantee when a mechanism is switched off.
    """

    title: str
    cells: tuple[Cell, ...]
    run: Callable
    proofs: tuple[Proof, ...] = field(default=())


def collect(root: Path = ROOT) -> list[FaultTable]:
    """Return ``FAULT_TABLE`` of each ``damaskproxy/<package>/tests/matrix.py``."""
    names = [
        ".".join(path.relative_to(root).with_suffix("").parts)
        for path in sorted(root.glob(TABLE_FILES))
    ]
    return [importlib.import_module(name).FAULT_TABLE for name in names]


def pairs(cells: Sequence[Cell], every: int = 1) -> list[tuple[Cell, Cell]]:
    """Return the pairs of different cells, or every n-th of them."""
    return list(itertools.combinations(cells, 2))[::every]


def render(tables: Iterable[FaultTable]) -> str:
    """Run each cell and return the page; proofs are listed without a run."""
    lines = [PAGE_HEAD]
    for table in tables:
        lines += [f"## {table.title}", "", *_cell_lines(table), ""]
        if table.proofs:
            lines += ["### Proofs", "", *_proof_lines(table), ""]
    return "\n".join(lines).rstrip() + "\n"


def _cell_lines(table: FaultTable) -> Iterable[str]:
    yield "| fault | step | promise | seed | verdict | conclusion |"
    yield "| --- | --- | --- | --- | --- | --- |"
    for cell in table.cells:
        verdict, conclusion = table.run((cell,), cell.seed)
        result = "kept" if verdict.ok else "BROKEN"
        yield (
            f"| {cell.fault} | {cell.step} | {cell.promise} | {cell.seed} | {result} "
            f"| {conclusion} |"
        )


def _proof_lines(table: FaultTable) -> Iterable[str]:
    yield "Each run keeps all promises with the mechanism and breaks one without it."
    yield ""
    yield "| mechanism switched off | faults | seed | finding |"
    yield "| --- | --- | --- | --- |"
    for proof in table.proofs:
        faults = " + ".join(map(str, proof.cells)) or "none"
        yield f"| {proof.mechanism} | {faults} | {proof.seed} | {proof.finding} |"
