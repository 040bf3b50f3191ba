"""Write ``docs/fault-matrix.md`` from the fault tables of the test packages.

A package adds a table with a module ``tests/matrix.py`` that defines ``FAULT_TABLE``.
With ``--pairs N`` every N-th pair of cells is run as well, and the pairs that break a
guarantee are printed.
"""

import argparse
import logging
import sys

from tools.faults.cells import ROOT, collect, pairs, render

__all__ = ["PAGE", "broken_pairs", "main", "seek_seed"]

PAGE = ROOT / "docs" / "fault-matrix.md"


def broken_pairs(table, every):
    """Run every n-th pair of cells; return their number and those that failed."""
    runs = pairs(table.cells, every)
    broken = []
    for first, second in runs:
        seed = first.seed ^ second.seed
        verdict, _ = table.run((first, second), seed)
        if not verdict.ok:
            broken.append((f"{first} + {second}, seed {seed}", verdict))
    return len(runs), broken


def seek_seed(table, proof, seeds=2000):
    """Return the first seed whose run fails only without the mechanism of `proof`.

    Returns None if none of the seeds gives the finding of `proof`.
    """
    for seed in range(seeds):
        broken, _ = table.run(proof.cells, seed, proof.mechanism)
        if broken.counts[proof.finding] and table.run(proof.cells, seed)[0].ok:
            return seed
    return None


def main():
    """Write or check the page, run pairs of cells, or search seeds of proofs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare, do not write")
    parser.add_argument("--pairs", type=int, default=0, metavar="N")
    parser.add_argument("--seek", action="store_true", help="find seeds of proofs")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    tables = collect()
    if options.seek:
        for table in tables:
            for proof in table.proofs:
                print(f"{proof.mechanism}: {seek_seed(table, proof)}")
        return
    page = render(tables)
    failed = "BROKEN" in page
    if options.check:
        failed |= page != PAGE.read_text(encoding="utf-8")
    else:
        PAGE.write_text(page, encoding="utf-8")
    for table in tables if options.pairs else ():
        count, broken = broken_pairs(table, options.pairs)
        print(f"{table.title}: {count} pairs run, {len(broken)} broken")
        for name, verdict in broken:
            print(name, *verdict.lines(), sep="\n  ")
        failed |= bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
