"""Random faults in a mesh of processes, checked by the history of its requests.

``python -m benchmarks.faults --seed N`` generates a schedule from the seed, runs it
under the load of seeded callers and exits with 1 if a guarantee was violated.
"""

import asyncio
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uvloop

from benchmarks.fault_actions import Actions
from benchmarks.fault_mesh import FaultMesh, plan_layout
from benchmarks.fault_schedule import PlannedFault, draw_schedule
from damaskproxy.history import (
    EventKind,
    Finding,
    HistoryEvent,
    OutcomeScope,
    Recorder,
    check,
    read_history,
)
from damaskproxy.standins.callers import CallerConfig
from demo.processes import Processes

__all__ = ["FaultReport", "judge", "run_schedule"]

RATE_PER_S = 60.0
DURATION_S = 14.0
SENDS = 3
CHOSEN_SHARE = 0.3
# Time between the last fault and the stop of the mesh.
SETTLE_S = 3.0
STOP_TIMEOUT_S = 8.0
# The kernel resets the connections of a killed node at once; the rest of this time
# allows for scheduling delays.
KILL_CLOSE_S = 1.5
COUNTED_ONLY = frozenset((Finding.CUT, Finding.UNANSWERED))


@dataclass(slots=True)
class FaultReport:
    """Result of one schedule.

    Parameters
    ----------
    seed : int
        Seed of the schedule and of the callers.
    schedule : list of str
        Descriptions of the faults.
    outcomes : dict of str to int
        Number of requests by final outcome.
    edits : dict of str to int
        Number of edits of sections by result.
    findings : dict of str to int
        Counts of the history checker.
    backend_deaths : int
        Number of times that a backend server crashed or was killed.
    notes : list of str
        Observations that violate no guarantee.
    broken : list of str
        Violated guarantees.
    """

    seed: int
    schedule: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    edits: dict[str, int] = field(default_factory=dict)
    findings: dict[str, int] = field(default_factory=dict)
    backend_deaths: int = 0
    notes: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


def find_unexplained_closes(
    events: list[HistoryEvent], killed_s: list[float]
) -> list[str]:
    """Return the requests whose connection was closed without a killed node."""
    return [
        f"{event.key}: {event.caller} {event.detail} at {event.time_s:.3f}"
        for event in events
        if event.kind is EventKind.CUT
        and not any(0 <= event.time_s - at_s <= KILL_CLOSE_S for at_s in killed_s)
    ]


def judge(report: FaultReport, events: list[HistoryEvent], killed_s: list[float]):
    """Add the findings in the history to `report`."""
    # With a key, the reported outcome covers all sends, since nodes know the earlier
    # ones. Without a key each send is a new request, and the outcome covers only it.
    keyless = {e.key for e in events if e.kind is EventKind.SENT and e.idempotent}
    findings: Counter[str] = Counter()
    for scope in OutcomeScope:
        selected = [
            e for e in events if (e.key in keyless) is (scope is OutcomeScope.SEND)
        ]
        verdict = check(selected, scope=scope)
        findings.update({str(name): n for name, n in verdict.counts.items()})
        for name in ("undecided", "runs", "reruns"):
            findings[name] += getattr(verdict, name)
        for finding, count in verdict.counts.items():
            if count and finding not in COUNTED_ONLY:
                examples = "; ".join(verdict.examples[finding])
                report.broken.append(f"{finding}: {count} ({examples})")
    report.findings = dict(findings)
    closes = find_unexplained_closes(events, killed_s)
    if closes:
        report.broken.append(
            f"closed without a kill: {len(closes)} ({'; '.join(closes[:5])})"
        )


def read_histories(folder: Path) -> list[HistoryEvent]:
    """Return the events that the backend servers have recorded."""
    paths = sorted(folder.glob("*.history"))
    return [event for path in paths for event in read_history(path)]


async def run_faults(
    mesh: FaultMesh, actions: Actions, faults: list[PlannedFault]
) -> None:
    """Run callers and faults until all of them have finished."""
    watchers = [
        asyncio.create_task(mesh.restart_backends()),
        asyncio.create_task(mesh.watch_versions()),
    ]
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(actions.run_callers(actions.config))
            for fault in faults:
                group.create_task(actions.run(fault))
        await asyncio.sleep(SETTLE_S)
    finally:
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)


async def finish(mesh: FaultMesh, report: FaultReport) -> None:
    """Check versions and processes of the mesh, then stop its nodes gracefully."""
    for node, versions in (await mesh.read_versions()).items():
        for name, version in mesh.latest.items():
            if versions.get(name, 0) < version:
                report.notes.append(
                    f"{node} has {name} at version {versions.get(name, 0)}"
                )
    mesh.check_processes()
    nodes = [h.node for h in mesh.layout.hosts if mesh.is_running(h.node)]
    for name in await mesh.processes.stop(nodes, STOP_TIMEOUT_S):
        report.notes.append(f"{name} exceeded the stop timeout at the end")
    for name in nodes:
        if status := mesh.processes.exit_status(name):
            mesh.violations.append(f"{name} exited with {status} at the end")


async def run_schedule(seed: int, folder: Path) -> FaultReport:
    """Run the schedule of a seed; all processes have exited when it returns."""
    layout = plan_layout(seed)
    faults = draw_schedule(seed, [host.name for host in layout.hosts])
    report = FaultReport(seed, [str(fault) for fault in faults])
    processes = Processes(folder)
    mesh = FaultMesh(processes, layout, folder)
    recorder = Recorder(name="callers")
    config = CallerConfig(
        rate_per_s=RATE_PER_S,
        duration_s=DURATION_S,
        sends=SENDS,
        seed=seed,
        chosen_share=CHOSEN_SHARE,
    )
    actions = Actions(mesh, config, recorder)
    try:
        await mesh.start()
        await run_faults(mesh, actions, faults)
        await finish(mesh, report)
    finally:
        await processes.close()
        await mesh.links.close()
    report.outcomes = dict(
        Counter(
            "whole"
            if result.is_complete
            else f"{result.reason or result.fault} ({result.outcome})"
            for _request, result in actions.results
        ).most_common()
    )
    report.edits = dict(actions.edits)
    report.backend_deaths = mesh.backend_exits
    report.broken += mesh.violations
    judge(report, recorder.events + read_histories(folder), mesh.killed_s)
    if not report.outcomes.get("whole"):
        report.broken.append("no request received a complete response")
    return report


def format_report(report: FaultReport) -> str:
    """Return the report for a terminal."""
    lines = [f"schedule of seed {report.seed}:"]
    lines += [f"  {fault}" for fault in report.schedule]
    lines += [f"{count:>6}  {name}" for name, count in report.outcomes.items()]
    lines.append(f"findings: {report.findings}")
    lines.append(f"edits: {report.edits}, backend crashes: {report.backend_deaths}")
    lines += [f"note: {note}" for note in report.notes]
    lines += [f"VIOLATED: {violation}" for violation in report.broken]
    lines.append("a guarantee was violated" if report.broken else "all guarantees held")
    return "\n".join(lines)


def main(
    seed: Annotated[int, typer.Option(help="Seed of the schedule.")] = 1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
    keep_logs: Annotated[bool, typer.Option(help="Keep logs and histories.")] = False,
) -> None:
    """Run a random schedule of faults in a mesh of processes."""
    folder = Path(tempfile.mkdtemp(prefix=f"damask-faults-{seed}-"))
    report = uvloop.run(run_schedule(seed, folder))
    text = msgspec.json.encode(report).decode() if as_json else format_report(report)
    print(text, flush=True)
    if report.broken or keep_logs:
        typer.echo(f"logs and histories: {folder}", err=True)
    else:
        shutil.rmtree(folder)
    raise typer.Exit(1 if report.broken else 0)


if __name__ == "__main__":
    typer.run(main)
