"""The story of the demo: a service leaves a building while callers go on."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from damaskproxy.history import HistoryEvent, Recorder, read_history
from damaskproxy.standins.callers import CallerConfig, Callers, PlannedRequest
from damaskproxy.standins.callers_history import HistoryObserver
from damaskproxy.standins.callers_told import Told
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

__all__ = ["Story", "tell"]

CALM_S = 3.0
STOP_TIMEOUT_S = 10.0


@dataclass(slots=True)
class Story:
    """What happened, for the report.

    Parameters
    ----------
    results : list
        What each request of the callers brought in the end.
    latencies_s : dict
        Times of whole answers by kind of request.
    events : list of HistoryEvent
        History of callers and backend servers.
    in_force_s : float
        Time from the edit until the section was in force on all nodes.
    left : dict of str to float
        Time until each leaving backend server had stopped, since the edit.
    faults : list of str
        Broken promises other than those of the history.
    """

    results: list[tuple[PlannedRequest, Told]] = field(default_factory=list)
    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    events: list[HistoryEvent] = field(default_factory=list)
    in_force_s: float = 0.0
    left: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


async def start_mesh(processes: Processes, layout: Layout, folder: Path) -> None:
    """Start all processes and wait until each node knows all backend servers."""
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
    """Wait until all nodes have the version of the moved section."""

    async def in_force() -> bool:
        statuses = await asyncio.gather(*map(fetch_status, layout.hosts))
        return all(
            status and status["sections"].get(layout.moved, 0) >= version
            for status in statuses
        )

    await wait_for("section in force on all nodes", in_force, 10.0)


async def leave(
    processes: Processes, host: Host, edited_s: float, timeout_s: float, story: Story
) -> None:
    """Wait until a leaving backend server has stopped, then stop its node."""
    status = await processes.wait(host.backend, timeout_s)
    if status != 0:
        seen = "still runs" if status is None else f"exited with {status}"
        known = await fetch_status(host) or {}
        story.faults.append(f"{host.backend} {seen}; hold: {known.get('hold')}")
        return
    story.left[host.name] = time.monotonic() - edited_s
    await stop_nodes(processes, [host], story)


async def stop_nodes(processes: Processes, hosts: list[Host], story: Story) -> None:
    """Stop nodes as planned; one that does not exit with 0 is a fault."""
    names = [host.node for host in hosts]
    for name in await processes.stop(names, STOP_TIMEOUT_S):
        story.faults.append(f"{name} did not stop within {STOP_TIMEOUT_S:.0f} s")
    for name in names:
        status = processes.exit_status(name)
        if status:
            story.faults.append(f"{name} exited with {status}")


async def move(
    processes: Processes,
    layout: Layout,
    folder: Path,
    timeout_s: float,
    story: Story,
    say: Callable[[str], None],
) -> None:
    """Edit the section of the moved service and wait until its servers have left."""
    await asyncio.sleep(CALM_S)
    before = await fetch_status(layout.hosts[0])
    version = before["sections"][layout.moved]
    say(f"damask-move edit: {layout.moved} leaves {OLD}")
    edited_s = time.monotonic()
    await put_section(processes, layout, folder, layout.moved, version, (OLD,))
    await wait_until_in_force(layout, version + 1)
    seen_s = time.time()
    story.in_force_s = seen_s - await edit_time_s(layout, layout.moved)
    count = len(layout.hosts)
    say(f"in force on {count} nodes {story.in_force_s:.1f} s after the edit")
    await asyncio.gather(
        *(
            leave(processes, host, edited_s, timeout_s, story)
            for host in layout.leaving()
        )
    )
    for name, after_s in story.left.items():
        say(f"{name} left after {after_s:.1f} s")


def read_histories(folder: Path) -> list[HistoryEvent]:
    """Return the events that the backend servers recorded."""
    paths = sorted(folder.glob("*.history"))
    return [event for path in paths for event in read_history(path)]


def check_processes(processes: Processes, layout: Layout, story: Story) -> None:
    """Note processes that ended though nobody asked them to."""
    expected = {name for h in layout.leaving() for name in (h.node, h.backend)}
    for name in processes.exited():
        if name not in expected and not name.startswith("move-"):
            status = processes.exit_status(name)
            tail = processes.log_tail(name)
            story.faults.append(f"{name} ended with {status}:\n{tail}")


async def tell(
    processes: Processes,
    layout: Layout,
    folder: Path,
    config: CallerConfig,
    say: Callable[[str], None],
) -> Story:
    """Run the demo and return what happened."""
    story = Story()
    say(f"starting {len(layout.hosts)} nodes and backend servers")
    await start_mesh(processes, layout, folder)
    recorder = Recorder(name="callers")
    entries = [host.address("call") for host in layout.hosts]
    callers = Callers(layout.mesh, config, entries, HistoryObserver(recorder))
    say(
        f"{config.callers} {layout.mesh.caller}s send {config.rate_per_s:.0f} "
        f"requests/s for {config.duration_s:.0f} s"
    )
    story.results, _ = await asyncio.gather(
        callers.run(),
        move(processes, layout, folder, config.duration_s, story, say),
    )
    story.latencies_s = callers.latencies_s
    check_processes(processes, layout, story)
    gone = {host.name for host in layout.leaving()}
    say("stopping")
    staying = [host for host in layout.hosts if host.name not in gone]
    await stop_nodes(processes, staying, story)
    await processes.close()
    story.events = recorder.events + read_histories(folder)
    return story
