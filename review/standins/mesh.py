"""A small deployment: nodes as processes, the store, instances and the platform."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from standins.client import send
from standins.instance import Instance
from standins.messages import Closed, encode, read_message
from standins.record import Record
from standins.store import Store

__all__ = ["BOUNDS", "Machine", "Mesh", "free_port", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 32_000
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 47,
    "recoveryS": 15,
}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
READY_WITHIN_S = 20.0
_given_ports: set[int] = set()


def _free_listeners() -> dict[str, str]:
    names = ("caller", "peer", "readiness", "control", "metrics")
    return {name: f"{HOST}:{free_port()}" for name in names}


def free_port() -> int:
    """Return a new port that nobody listens on, below those of outgoing connections."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            _given_ports.add(port)
            return port


@dataclass(slots=True)
class Machine:
    """A node, its settings and the instance beside it."""

    name: str
    zone: str
    instance: Instance
    settings: dict
    path: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def caller(self) -> str:
        """Address for the clients of this machine."""
        return self.settings["listeners"]["caller"]

    @property
    def control(self) -> str:
        """Address for the instance of this machine."""
        return self.settings["listeners"]["control"]


class Mesh:
    """Deployment with the commands of the deploy file, on the loopback interface.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    record : Record
        Record of the case.
    memory_mb : int
        Memory of each machine.
    """

    def __init__(self, folder: Path, record: Record, *, memory_mb: int = 300):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []
        self._memory_mb = memory_mb
        self._clients: set[asyncio.Task] = set()

    async def add(self, name: str, zone: str, service: str, **instance) -> Machine:
        """Add a machine with an instance; its node is not started yet."""
        if not self.store.address:
            await self.store.open(HOST)
        server = Instance(f"i-{name}", service, zone, self.record, **instance)
        await server.open(HOST)
        settings = {
            "node_id": f"sidecar-{name}",
            "data_centre": zone,
            "region": "tbilisi",
            "service": service,
            "backend_address": server.address,
            "heartbeat_interval_ms": 1500,
            "listeners": _free_listeners(),
            "store_address": self.store.address,
            "seeds": [],
            "is_first_start": True,
            "bounds": BOUNDS,
            "memory_limit_mb": self._memory_mb,
        }
        machine = Machine(name, zone, server, settings, self.folder / f"{name}.json")
        self.machines.append(machine)
        return machine

    async def start_all(self) -> None:
        """Start the whole system for the first time and wait until it is ready."""
        async with asyncio.timeout(READY_WITHIN_S):
            await asyncio.gather(*(self._start_first(m) for m in self.machines))
        for machine in self.machines:
            await self.wait_until_ready(machine)
            # Only the first start of the whole system has it.
            machine.settings["is_first_start"] = False
        self.record.add("all-ready")

    async def _start_first(self, machine: Machine) -> None:
        """Start a node; with other ports if another program has just taken one."""
        await self.start(machine)
        while not await _ask(machine.settings["listeners"]["readiness"]):
            await asyncio.sleep(0.1)
            if machine.process.returncode is not None:
                machine.settings["listeners"] = _free_listeners()
                await self.start(machine)
        machine.instance.start_reports(machine.control)

    async def start(self, machine: Machine) -> None:
        """Start the node of a machine with the command of the deploy file."""
        machine.path.write_text(json.dumps(machine.settings), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._open_log(machine) as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskproxy.sidecar",
                str(machine.path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add("node-started", node=machine.name)

    def _open_log(self, machine: Machine) -> BinaryIO:
        return open(self.folder / f"{machine.name}.log", "ab")

    async def wait_until_ready(self, machine: Machine) -> None:
        """Ask for readiness as the platform does, until the node says 200."""
        address = machine.settings["listeners"]["readiness"]
        async with asyncio.timeout(READY_WITHIN_S):
            while await _ask(address) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        self.record.add("node-ready", node=machine.name)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the node of a machine."""
        self.record.add("signal", node=machine.name, signal=number.name)
        machine.process.send_signal(number)

    async def wait_until_ended(self, machine: Machine) -> None:
        """Wait for the end of a node's process."""
        status = await machine.process.wait()
        self.record.add("node-ended", node=machine.name, status=status)

    def send_later(self, delay_s: float, outcomes: list, *args, **options) -> None:
        """Send a request after a delay, and collect what its client sees."""

        async def client() -> None:
            await asyncio.sleep(delay_s)
            outcomes.append(await send(self.record, *args, **options))

        task = asyncio.create_task(client())
        self._clients.add(task)
        task.add_done_callback(self._clients.discard)

    async def wait_for_clients(self) -> None:
        """Wait until all clients have their answers."""
        while self._clients:
            await asyncio.wait(set(self._clients))

    async def close(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()


async def _ask(address: str) -> int:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode("GET /api/readiness HTTP/1.1", {"Host": address}))
            status = (await read_message(reader)).status
            writer.close()
            return status
    except (OSError, TimeoutError, Closed):
        return 0


def run_case(case, folder: str) -> int:
    """Run a case and return its exit status.

    Parameters
    ----------
    case : coroutine function
        Takes the record, a temporary folder and whether there is trouble; returns
        whether the rule was broken. A `RuntimeError` says that it could not run.
    folder : str
        Folder of the case, for its record.
    """
    record = Record(str(Path(folder) / "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=int(has_trouble))
    try:
        with tempfile.TemporaryDirectory() as temporary:
            is_broken = asyncio.run(case(record, Path(temporary), has_trouble))
    except Exception as error:
        # Exit status 1 stands for a broken rule and for nothing else.
        record.add("not-run", reason=f"'{error!r}'")
        print(f"could not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        record.save()
    print("broken" if is_broken else "held")
    return EXIT_BROKEN if is_broken else EXIT_HELD
