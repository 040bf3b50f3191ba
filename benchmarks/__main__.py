"""Command line of the benchmarks."""

import asyncio
from enum import StrEnum

import msgspec
import typer

from benchmarks.nodes_runner import NODE_SCENARIOS, run_over_nodes
from benchmarks.runner import run_scenario
from benchmarks.scenarios import SCENARIOS

ScenarioName = StrEnum("ScenarioName", {name: name for name in SCENARIOS})


class Policy(StrEnum):
    """Overload policy of the mesh."""

    DAMASK = "damask"
    BASELINE = "baseline"


class Harness(StrEnum):
    """Mesh that the scenario runs on."""

    FAKES = "fakes"
    NODES = "nodes"


app = typer.Typer(add_completion=False)


@app.command()
def main(
    scenario: ScenarioName,
    seed: int = 1,
    policy: Policy = Policy.DAMASK,
    over: Harness = Harness.FAKES,
    as_json: bool = typer.Option(False, "--json", help="Print one JSON object."),
) -> None:
    """Run SCENARIO with fake servers on virtual time, or with nodes on loopback."""
    if over is Harness.NODES:
        if policy is not Policy.DAMASK or scenario not in NODE_SCENARIOS:
            names = ", ".join(NODE_SCENARIOS)
            raise typer.BadParameter(
                f"--over nodes needs --policy damask and one of: {names}"
            )
        result = asyncio.run(run_over_nodes(str(scenario), seed))
    else:
        result = run_scenario(str(scenario), seed, str(policy))
    if as_json:
        typer.echo(msgspec.json.encode(result).decode())
        return
    for name, value in result.items():
        typer.echo(f"{name:28} {value}")


if __name__ == "__main__":
    app()
