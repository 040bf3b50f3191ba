"""Command line of the benchmarks."""

from enum import StrEnum

import msgspec
import typer

from benchmarks.runner import run_scenario
from benchmarks.scenarios import SCENARIOS

ScenarioName = StrEnum("ScenarioName", {name: name for name in SCENARIOS})


class Policy(StrEnum):
    """How calls are handled."""

    DAMASK = "damask"
    BASELINE = "baseline"


app = typer.Typer(add_completion=False)


@app.command()
def main(
    scenario: ScenarioName,
    seed: int = 1,
    policy: Policy = Policy.DAMASK,
    as_json: bool = typer.Option(False, "--json", help="Print one JSON object."),
) -> None:
    """Run SCENARIO on virtual time over fake backend servers."""
    result = run_scenario(str(scenario), seed, str(policy))
    if as_json:
        typer.echo(msgspec.json.encode(result).decode())
        return
    for name, value in result.items():
        typer.echo(f"{name:28} {value}")


if __name__ == "__main__":
    app()
