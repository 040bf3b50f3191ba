"""Scenario of the demo: a service leaves a building under continuous load."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from damaskproxy.history import HistoryEvent, Recorder, read_history
from damaskproxy.standins.callers import CallerConfig, Callers, PlannedRequest
from damaskproxy.standins.callers_history import HistoryObserver
from damaskproxy.standins.callers_results import SendResult
from demo.layout import OLD, Host, Layout
from demo.processes import Processes
from demo.starting import (
    edit_time_s,
    fetch_status,
    put_section,
    start_backend,
    start_node,
    start_platform,
    wait_for,
    wait_until_serving,
)

__all__ = ["DemoResult", "run_scenario"]

EDIT_DELAY_S = 3.0
STOP_TIMEOUT_S = 10.0


@dataclass(slots=True)
class DemoResult:
    """Results of a run of the demo, for the report.

    Parameters
    ----------
    results : list
        Each request of the callers with its final response.
    latencies_s : dict
        Latencies of complete responses by kind of request.
    events : list of HistoryEvent
        Events recorded by callers and backend servers.
    in_force_s : float
        Time from the edit until the section was in force on all nodes, in seconds.
    stopped_after_s : dict of str to float
        Time from the edit until the backend server of each leaving host had stopped,
        in seconds, by host.
    faults : list of str
        Failures that are not findings in the history.
    """

    results: list[tuple[PlannedRequest, SendResult]] = field(default_factory=list)
    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    events: list[HistoryEvent] = field(default_factory=list)
    in_force_s: float = 0.0
    stopped_after_s: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


async def start_mesh(processes: Processes, layout: Layout, folder: Path) -> None:
    """Start all processes and wait until each node has all members in its view."""
    await start_platform(processes, layout)
    await asyncio.gather(
        *(put_section(processes, layout, folder, name) for name in layout.mesh.routes)
    )
    for host in layout.hosts:
        await start_node(processes, layout, host, folder)
        history = folder / f"{host.name}.history"
        await start_backend(processes, host, layout, "--history", history)
    counts: dict[str, int] = {}
    for host in layout.hosts:
        counts[host.service] = counts.get(host.service, 0) + 1
    await wait_until_serving(processes, layout, counts)


async def wait_until_in_force(layout: Layout, version: int) -> None:
    """Wait until all nodes use this or a later version of the moved section."""

    async def in_force() -> bool:
        statuses = await asyncio.gather(*map(fetch_status, layout.hosts))
        return all(
            status and status["sections"].get(layout.moved, 0) >= version
            for status in statuses
        )

    await wait_for("section in force on all nodes", in_force, 10.0)


async def await_leave(
    processes: Processes,
    host: Host,
    edited_s: float,
    timeout_s: float,
    result: DemoResult,
) -> None:
    """Wait until a leaving backend server has stopped, then stop its node."""
    status = await processes.wait(host.backend, timeout_s)
    if status != 0:
        process_state = "still runs" if status is None else f"exited with {status}"
        node_status = await fetch_status(host) or {}
        result.faults.append(
            f"{host.backend} {process_state}; hold: {node_status.get('hold')}"
        )
        return
    result.stopped_after_s[host.name] = time.monotonic() - edited_s
    await stop_nodes(processes, [host], result)


async def stop_nodes(
    processes: Processes, hosts: list[Host], result: DemoResult
) -> None:
    """Stop nodes in a planned way; record those that do not exit with 0."""
    names = [host.node for host in hosts]
    for name in await processes.stop(names, STOP_TIMEOUT_S):
        result.faults.append(f"{name} did not stop within {STOP_TIMEOUT_S:.0f} s")
    for name in names:
        status = processes.exit_status(name)
        if status:
            result.faults.append(f"{name} exited with {status}")


async def move_service(
    processes: Processes,
    layout: Layout,
    folder: Path,
    timeout_s: float,
    result: DemoResult,
    print_progress: Callable[[str], None],
) -> None:
    """Edit the section of the moved service and wait until its servers have stopped."""
    await asyncio.sleep(EDIT_DELAY_S)
    before = await fetch_status(layout.hosts[0])
    version = before["sections"][layout.moved]
    print_progress(f"damask-move edit: {layout.moved} leaves {OLD}")
    edited_s = time.monotonic()
    await put_section(processes, layout, folder, layout.moved, version, (OLD,))
    await wait_until_in_force(layout, version + 1)
    in_force_at_s = time.time()
    result.in_force_s = in_force_at_s - await edit_time_s(layout, layout.moved)
    count = len(layout.hosts)
    print_progress(
        f"in force on {count} nodes {result.in_force_s:.1f} s after the edit"
    )
    await asyncio.gather(
        *(
            await_leave(processes, host, edited_s, timeout_s, result)
            for host in layout.leaving()
        )
    )
    for name, after_s in result.stopped_after_s.items():
        print_progress(f"{name} stopped {after_s:.1f} s after the edit")


def read_histories(folder: Path) -> list[HistoryEvent]:
    """Return the events that the backend servers recorded."""
    paths = sorted(folder.glob("*.history"))
    return [event for path in paths for event in read_history(path)]


def check_processes(processes: Processes, layout: Layout, result: DemoResult) -> None:
    """Record processes that exited although the demo did not stop them."""
    expected = {name for h in layout.leaving() for name in (h.node, h.backend)}
    for name in processes.exited():
        if name not in expected and not name.startswith("move-"):
            status = processes.exit_status(name)
            tail = processes.log_tail(name)
            result.faults.append(f"{name} exited with {status}:\n{tail}")


async def run_scenario(
    processes: Processes,
    layout: Layout,
    folder: Path,
    config: CallerConfig,
    print_progress: Callable[[str], None],
) -> DemoResult:
    """Run the scenario and return its results."""
    result = DemoResult()
    print_progress(f"starting {len(layout.hosts)} nodes and backend servers")
    await start_mesh(processes, layout, folder)
    recorder = Recorder(name="callers")
    entries = [host.address("call") for host in layout.hosts]
    callers = Callers(layout.mesh, config, entries, HistoryObserver(recorder))
    print_progress(
        f"{config.callers} {layout.mesh.caller}s send {config.rate_per_s:.0f} "
        f"requests/s for {config.duration_s:.0f} s"
    )
    result.results, _ = await asyncio.gather(
        callers.run(),
        move_service(
            processes, layout, folder, config.duration_s, result, print_progress
        ),
    )
    result.latencies_s = callers.latencies_s
    check_processes(processes, layout, result)
    stopped_hosts = {host.name for host in layout.leaving()}
    print_progress("stopping the remaining nodes")
    remaining_hosts = [host for host in layout.hosts if host.name not in stopped_hosts]
    await stop_nodes(processes, remaining_hosts, result)
    await processes.close()
    result.events = recorder.events + read_histories(folder)
    return result
