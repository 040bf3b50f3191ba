"""Command line of the demo: ``python -m demo``."""

import shutil
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from damaskproxy.standins.callers import CallerConfig
from damaskproxy.standins.callers_meshes import MESHES
from demo.layout import plan
from demo.processes import Processes
from demo.report import format_report
from demo.scenario import DemoResult, run_scenario
from demo.starting import DemoError

MOVED = {"georgia": "orders", "java": "payments"}


async def run(mesh: str, config: CallerConfig, folder: Path) -> DemoResult:
    """Run the demo and return its result; all child processes have ended then."""
    started_s = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - started_s:5.1f} s  {text}", flush=True)

    processes = Processes(folder)
    try:
        layout = plan(MESHES[mesh], MOVED[mesh])
        return await run_scenario(processes, layout, folder, config, print_progress)
    finally:
        await processes.close()


def main(
    mesh: Annotated[str, typer.Option(help="georgia or java.")] = "georgia",
    rate: Annotated[float, typer.Option(help="Requests per second.")] = 80.0,
    seconds: Annotated[
        float, typer.Option(help="Seconds for which callers send.")
    ] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the random requests.")] = 1,
    keep_logs: Annotated[
        bool, typer.Option(help="Keep logs and histories of a passed run.")
    ] = False,
) -> None:
    """Move a service from one building to another while callers send requests."""
    if mesh not in MESHES:
        raise typer.BadParameter(f"no mesh {mesh!r}; known: {', '.join(MESHES)}")
    config = CallerConfig(rate_per_s=rate, duration_s=seconds, seed=seed)
    folder = Path(tempfile.mkdtemp(prefix="damask-demo-"))
    failures: list[str] = []
    try:
        report, failures = format_report(uvloop.run(run(mesh, config, folder)))
        print(report)
    except DemoError as error:
        failures = [str(error)]
    for failure in failures:
        print(f"BROKEN: {failure}")
    if keep_logs or failures:
        print(f"logs and histories: {folder}")
    else:
        shutil.rmtree(folder)
    print("all guarantees kept" if not failures else "the demo failed")
    raise typer.Exit(1 if failures else 0)


if __name__ == "__main__":
    typer.run(main)
