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
from demo.scenario import Story, tell
from demo.starting import DemoError

MOVED = {"georgia": "orders", "java": "payments"}


async def run(mesh: str, config: CallerConfig, folder: Path) -> Story:
    """Run the demo; all processes have ended when it returns."""
    started_s = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - started_s:5.1f} s  {text}", flush=True)

    processes = Processes(folder)
    try:
        layout = plan(MESHES[mesh], MOVED[mesh])
        return await tell(processes, layout, folder, config, say)
    finally:
        await processes.close()


def main(
    mesh: Annotated[str, typer.Option(help="georgia or java.")] = "georgia",
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 80.0,
    seconds: Annotated[float, typer.Option(help="Time that callers send.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1,
    keep_logs: Annotated[bool, typer.Option(help="Keep logs and histories.")] = False,
) -> None:
    """Move a service from one building to the other while callers go on."""
    if mesh not in MESHES:
        raise typer.BadParameter(f"no mesh {mesh!r}; known: {', '.join(MESHES)}")
    config = CallerConfig(rate_per_s=rate, duration_s=seconds, seed=seed)
    folder = Path(tempfile.mkdtemp(prefix="damask-demo-"))
    broken: list[str] = []
    try:
        report, broken = format_report(uvloop.run(run(mesh, config, folder)))
        print(report)
    except DemoError as error:
        broken = [str(error)]
    for promise in broken:
        print(f"BROKEN: {promise}")
    if keep_logs or broken:
        print(f"logs and histories: {folder}")
    else:
        shutil.rmtree(folder)
    print("all promises kept" if not broken else "the demo failed")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
