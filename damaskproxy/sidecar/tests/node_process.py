"""Node as a process of its own, with a stand-in for the store."""

import asyncio
import json
import signal
import socket
import sys
import tempfile
from pathlib import Path

from damaskproxy.http1 import ConnectionPool, HttpError
from damaskproxy.platform.standins import (
    RowStoreStandIn,
    encode_configuration,
    readiness_request,
)
from damaskproxy.sidecar.settings import to_address
from demo.processes import free_ports

__all__ = ["HOST", "LISTENERS", "NodeProcess", "NodeProcessTestCase", "take_port"]

ROOT = Path(__file__).resolve().parents[3]
HOST = "127.0.0.1"
LISTENERS = ("caller", "peer", "readiness", "control", "metrics")
WAIT_S = 30.0
"""Longest wait for an event; long, since the machine may be busy."""
POLL_S = 0.02


def take_port(address: str, *, is_listening: bool) -> socket.socket:
    """Return a socket that holds the port of `address`."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.bind((host, int(port)))
    if is_listening:
        sock.listen()
    return sock


class NodeProcess:
    """Process of a node with its settings file and its log.

    Parameters
    ----------
    folder : Path
        Folder of the settings file and of the log.
    store_address : str
        Address of the store.
    name : str
        Name of the node.
    """

    def __init__(self, folder: Path, store_address: str, name: str = "one"):
        ports = free_ports(len(LISTENERS) + 1)
        self.settings = {
            "node_id": name,
            "data_centre": "a",
            "region": "r",
            "service": "orders",
            "backend_address": f"{HOST}:{ports.pop()}",
            "listeners": {n: f"{HOST}:{p}" for n, p in zip(LISTENERS, ports)},
            "store_address": store_address,
            "bounds": {"graceS": 4},
        }
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.error_path = folder / f"{name}.err"
        self.process: asyncio.subprocess.Process | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")

    async def start(self, **options) -> None:
        """Start the program as the deploy file does."""
        with self.log_path.open("ab") as log, self.error_path.open("ab") as errors:
            options = {"stdout": log, "stderr": errors, **options}
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskproxy.sidecar",
                str(self.path),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                **options,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def exit_status(self) -> int:
        """Return the exit status of the process; wait until it exits."""
        async with asyncio.timeout(WAIT_S):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def events(self, number: int) -> list[dict]:
        """Return the events with this number in the log."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        entries = [json.loads(line) for line in lines if line.startswith("{")]
        return [entry for entry in entries if entry.get("event") == number]

    def errors(self) -> str:
        """Return what the process wrote to standard error."""
        return self.error_path.read_text(encoding="utf-8")

    async def until(self, condition) -> None:
        """Wait for a condition; fail if the process exits before."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                self._check_running()
                await asyncio.sleep(POLL_S)

    async def until_event(self, number: int, count: int = 1) -> None:
        """Wait until the log has an event `count` times."""
        await self.until(lambda: len(self.events(number)) >= count)

    async def ready_status(self) -> int | None:
        """Return the answer of the health check, None without one."""
        pool = ConnectionPool(to_address(self.settings["listeners"]["readiness"]))
        try:
            async with asyncio.timeout(1.0):
                return (await pool.exchange(readiness_request())).status
        except (HttpError, TimeoutError):
            return None
        finally:
            pool.close()

    async def until_ready(self) -> None:
        """Wait until the health check succeeds."""
        async with asyncio.timeout(WAIT_S):
            while await self.ready_status() != 200:
                self._check_running()
                await asyncio.sleep(POLL_S)

    def _check_running(self) -> None:
        if self.process.returncode is not None:
            raise AssertionError(
                f"exit status {self.process.returncode}: {self.errors()}"
            )


class NodeProcessTestCase:
    """Mix-in that starts a store and kills the processes at the end."""

    async def asyncSetUp(self):
        self.rows = RowStoreStandIn()
        self.store_address = await self.rows.open()
        self.rows.put("op", "config", encode_configuration())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.nodes = []

    async def asyncTearDown(self):
        for node in self.nodes:
            await node.kill()
        await self.rows.close()

    def make_node(self, name: str = "one") -> NodeProcess:
        """Return a node that is not started yet."""
        node = NodeProcess(self.folder, self.store_address, name)
        self.nodes.append(node)
        return node
