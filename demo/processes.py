"""Child processes of the demo; no other module of it starts processes."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import BinaryIO

__all__ = ["Processes", "free_ports"]

FIRST_PORT, EPHEMERAL_PORT = 15_000, 32_768
KILL_AFTER_S = 5.0
LOG_TAIL_LINES = 12


def free_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback interface.

    The ports lie below the range from which Linux by default takes the local ports of
    outgoing connections. A port of that range could be taken between this check and the
    start of the process that listens on it.

    Raises
    ------
    OSError
        If there are too few free ports.
    """
    found: list[int] = []
    span = EPHEMERAL_PORT - FIRST_PORT
    start = random.randrange(span)
    for offset in range(span):
        port = FIRST_PORT + (start + offset) % span
        if len(found) == count:
            return found
        if _can_bind(port):
            found.append(port)
    raise OSError(f"only {len(found)} of {count} ports are free")


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class Processes:
    """Child processes by name, with a log file each.

    Parameters
    ----------
    folder : Path
        Folder of the log files.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, module: str, *arguments: object) -> None:
        """Start ``python -m module arguments`` under `name`."""
        with self.open_log(name) as log:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *map(str, arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def run(self, name: str, module: str, *arguments: object) -> int:
        """Run a command until it exits and return its exit status."""
        await self.start(name, module, *arguments)
        return await self._running[name].wait()

    def open_log(self, name: str) -> BinaryIO:
        """Open the log file of a process for appending."""
        return self.log_path(name).open("ab")

    def log_path(self, name: str) -> Path:
        """Return the path of the log file of a process."""
        return self._folder / f"{name}.log"

    def log_tail(self, name: str) -> str:
        """Return the last lines of the log file of a process."""
        text = self.log_path(name).read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-LOG_TAIL_LINES:])

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._running[name].pid

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process, None while it runs."""
        return self._running[name].returncode

    def exited(self) -> list[str]:
        """Return the names of the processes that have exited."""
        return [n for n, p in self._running.items() if p.returncode is not None]

    async def wait(self, name: str, timeout_s: float) -> int | None:
        """Return the exit status of a process, None if it does not exit in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._running[name].wait()
        except TimeoutError:
            return None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        # `send_signal` of the process could take its exit status from the event loop.
        if self._running[name].returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._running[name].pid, number)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process that still runs."""
        self.send_signal(name, signal.SIGTERM)

    async def stop(self, names: list[str], timeout_s: float) -> list[str]:
        """Send SIGTERM to processes and return those that did not exit in time."""
        for name in names:
            self.terminate(name)
        statuses = await asyncio.gather(*(self.wait(name, timeout_s) for name in names))
        return [name for name, status in zip(names, statuses) if status is None]

    async def close(self) -> None:
        """Stop all processes; kill those that do not exit after SIGTERM."""
        running = [n for n, p in self._running.items() if p.returncode is None]
        for name in await self.stop(running, KILL_AFTER_S):
            self._running[name].kill()
            await self._running[name].wait()
