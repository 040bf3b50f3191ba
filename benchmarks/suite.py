"""Run scenarios with several seeds and print median and worst figures.

``python -m benchmarks.suite --seeds 5`` compares the policies;
``python -m benchmarks.suite --scenario overload --without admission-level`` disables
one mechanism.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import msgspec
import typer

from benchmarks.mechanisms import MECHANISMS
from benchmarks.runner import run_scenario
from benchmarks.scenarios import SCENARIOS

__all__ = ["collect", "summarise"]

# Columns of the summary, and whether a higher value is better.
COLUMNS = {
    "goodput_ratio": True,
    "critical": True,
    "sheddable": True,
    "recovery_s": False,
    "p99_ms": False,
    "short_p99_ms": False,
    "p99_factor": False,
    "short_p99_factor": False,
    "retries_per_request_max": False,
    "run_twice": False,
    "told_not_run_but_ran": False,
    "servers_lost_per_poison_max": False,
    "goodput_variation": False,
}


def collect(jobs: list[tuple], workers: int) -> list[dict]:
    """Run `jobs` of (scenario, seed, policy, settings) and return their figures."""
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_scenario, *zip(*jobs)))


def summarise(results: list[dict]) -> dict[str, str]:
    """Return the median and the worst value of each column over the seeds."""
    summary = {}
    for column, higher_is_better in COLUMNS.items():
        values = [value_of(result, column) for result in results]
        if all(value is None for value in values):
            continue
        known = [value for value in values if value is not None]
        worst = min(known) if higher_is_better else max(known)
        text = f"{statistics.median(known):.4g} / {worst:.4g}"
        missing = len(values) - len(known)
        summary[column] = text + (f" ({missing} never)" if missing else "")
    return summary


def value_of(result: dict, column: str) -> float | None:
    """Return one figure of a run; each priority is a column."""
    by_priority = result["goodput_ratio_by_priority"]
    return by_priority[column] if column in by_priority else result.get(column)


app = typer.Typer(add_completion=False)


@app.command()
def main(
    scenario: Annotated[list[str] | None, typer.Option()] = None,
    policy: Annotated[list[str] | None, typer.Option()] = None,
    without: Annotated[list[str] | None, typer.Option()] = None,
    seeds: int = 5,
    workers: int = 5,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Print a table with median / worst over the seeds for each run."""
    variants = [(policy_name, None) for policy_name in policy or ["damask"]]
    variants += [("damask", mechanism) for mechanism in without or []]
    for name in scenario or list(SCENARIOS):
        jobs = [
            (name, seed, policy_name, MECHANISMS[mechanism] if mechanism else None)
            for policy_name, mechanism in variants
            for seed in range(1, seeds + 1)
        ]
        results = collect(jobs, workers)
        for index, (policy_name, mechanism) in enumerate(variants):
            label = f"without {mechanism}" if mechanism else policy_name
            chunk = results[index * seeds : (index + 1) * seeds]
            if as_json:
                typer.echo(msgspec.json.encode([label, chunk]).decode())
            else:
                _print(name, label, summarise(chunk))


def _print(name: str, label: str, summary: dict[str, str]) -> None:
    figures = "; ".join(f"{column} {text}" for column, text in summary.items())
    typer.echo(f"{name} | {label} | {figures}")


if __name__ == "__main__":
    app()
