"""Starts the processes of a mesh and waits until they serve requests."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path

import aiohttp

from damaskproxy.move.reading import read_section
from damaskproxy.store import PlatformSettings, open_table
from demo.layout import (
    Host,
    Layout,
    backend_arguments,
    node_settings,
    section,
)
from demo.processes import Processes

__all__ = [
    "DemoError",
    "edit_time_s",
    "fetch_status",
    "put_section",
    "start_backend",
    "start_node",
    "start_platform",
    "wait_for",
    "wait_for_url",
    "wait_until_serving",
]

POLL_S = 0.1
START_TIMEOUT_S = 30.0
HTTP_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class DemoError(Exception):
    """A process of the demo failed or did not become ready in time."""


async def wait_for(
    what: str,
    condition: Callable[[], Awaitable[bool]],
    timeout_s: float = START_TIMEOUT_S,
) -> float:
    """Poll a condition until it holds and return the time waited, in seconds.

    Raises
    ------
    DemoError
        If the condition does not hold within `timeout_s`.
    """
    started_s = time.monotonic()
    while not await condition():
        if time.monotonic() - started_s > timeout_s:
            raise DemoError(f"{what}: timed out after {timeout_s:.0f} s")
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started_s


async def wait_for_url(url: str) -> None:
    """Wait until an HTTP server responds at `url`, with any status."""

    async def server_responds() -> bool:
        try:
            async with aiohttp.request("GET", url, timeout=HTTP_TIMEOUT):
                return True
        except (aiohttp.ClientError, TimeoutError):
            return False

    await wait_for(url, server_responds)


async def fetch_status(host: Host) -> dict | None:
    """Return the status of a node, None if it does not respond."""
    url = f"http://{host.address('admin')}/status"
    try:
        async with aiohttp.request("GET", url, timeout=HTTP_TIMEOUT) as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError):
        return None


async def is_ready(host: Host) -> bool:
    """Return whether a node is ready for calls."""
    url = f"http://{host.address('admin')}/readyz"
    try:
        async with aiohttp.request("GET", url, timeout=HTTP_TIMEOUT) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def start_platform(processes: Processes, layout: Layout) -> None:
    """Start the stand-ins for the table service and the object store."""
    await processes.start(
        "table", "damaskproxy.standins.table_cli", "--port", layout.table_port
    )
    await processes.start(
        "objects", "damaskproxy.standins.objects_cli", "--port", layout.objects_port
    )
    await asyncio.gather(
        wait_for_url(layout.table_url), wait_for_url(layout.objects_url)
    )


async def put_section(
    processes: Processes,
    layout: Layout,
    folder: Path,
    service: str,
    version: int = 0,
    leaving: Sequence[str] = (),
) -> None:
    """Write the section of a service with ``damask-move edit``.

    Raises
    ------
    DemoError
        If ``damask-move edit`` exits with an error.
    """
    path = folder / f"section-{service}.json"
    path.write_bytes(section(layout, service, version, leaving))
    name = f"move-{service}"
    status = await processes.run(
        name, "damaskproxy.move.cli", "edit", "--table", layout.table_url, path
    )
    if status:
        raise DemoError(
            f"damask-move edit of {service} failed:\n{processes.log_tail(name)}"
        )


async def edit_time_s(layout: Layout, name: str) -> float:
    """Return the Unix time of the latest committed edit of a section, in seconds."""
    settings = PlatformSettings(layout.table_url, layout.objects_url)
    table = open_table(settings)
    try:
        return (await read_section(table, name)).edited_at_ms / 1000
    finally:
        await table.close()


async def start_node(
    processes: Processes, layout: Layout, host: Host, folder: Path
) -> None:
    """Start the node of a host."""
    path = folder / f"{host.node}.json"
    path.write_bytes(node_settings(layout, host))
    await processes.start(host.node, "damaskproxy.node.cli", "run", path)


async def start_backend(
    processes: Processes, host: Host, layout: Layout, *extra: object
) -> None:
    """Start the backend server of a host; later options override earlier ones."""
    arguments = backend_arguments(layout, host)
    await processes.start(
        host.backend, "damaskproxy.standins.backend_cli", *arguments, *extra
    )


async def wait_until_serving(
    processes: Processes, layout: Layout, counts: Mapping[str, int]
) -> float:
    """Wait until each node is ready and has the given numbers of serving members.

    Returns the time waited, in seconds.

    Parameters
    ----------
    processes : Processes
        Processes of the demo.
    layout : Layout
        Layout of the demo.
    counts : mapping of str to int
        Expected number of serving members of each service.

    Raises
    ------
    DemoError
        If a process exits with an error meanwhile, or the nodes are not ready in time.
    """

    async def has_all_members(host: Host) -> bool:
        status = await fetch_status(host)
        if status is None or not await is_ready(host):
            return False
        serving = [m["service"] for m in status["members"] if m["state"] == "serving"]
        counts_match = all(
            serving.count(name) == count for name, count in counts.items()
        )
        return counts_match and set(status["sections"]) >= set(layout.mesh.routes)

    async def all_ready() -> bool:
        for name in processes.exited():
            if processes.exit_status(name):
                raise DemoError(
                    f"{name} exited with an error:\n{processes.log_tail(name)}"
                )
        return all(await asyncio.gather(*map(has_all_members, layout.hosts)))

    return await wait_for("all nodes ready, with all members and sections", all_ready)
