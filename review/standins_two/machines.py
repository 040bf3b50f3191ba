"""Machines of a small deployment: a node process and an instance on each."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins_two.store import Store
from review.standins_two.wire import Message, exchange, read_message

__all__ = ["Instance", "Machine", "Mesh", "Record", "configuration", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
WINDOW_BYTES = 128 << 10
RESTART_S = 0.5
"""Delay after which the platform restarts a process that has ended."""
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
LISTENERS = ("caller", "peer", "readiness", "control", "metrics")
PORT_MIN, PORT_MAX = 17_000, 31_000
_ids = itertools.count(1)
_taken: set[int] = set()
_rng = random.SystemRandom()


class Record:
    """Record of a case: what was sent, answered and run, by time since the start.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        print(line, flush=True)
        print(line, file=self._file, flush=True)

    def note(self, text: str) -> None:
        """Write a line to the record only."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        print(line, file=self._file, flush=True)


def free_port() -> int:
    """Return a free loopback port below those of outgoing connections."""
    while True:
        port = _rng.randrange(PORT_MIN, PORT_MAX)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port


def configuration(version: int, routes: dict[str, dict], services: list[str]) -> bytes:
    """Return a configuration as the operator writes it."""
    common = {
        "host": "shop.example",
        "timeoutMs": 5000,
        "targetLatencyMs": 1500,
        "priority": 0,
        "maxAttempts": 2,
    }
    entry = {"healthPath": "/health", "maxConnections": 532}
    body = {
        "version": version,
        "routes": {name: {**common, **route} for name, route in routes.items()},
        "services": dict.fromkeys(services, entry),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(body).encode()


class Instance:
    """Instance of a service, which answers whole requests with a stamp.

    Parameters
    ----------
    service : str
        Its service.
    record : Record
        Record of the case.
    slots : int
        Requests that it runs concurrently.

    Attributes
    ----------
    work_s : callable
        Returns the time that a request takes, given its path.
    runs : list of Message
        Requests that it has begun to work on.
    """

    def __init__(self, service: str, record: Record, slots: int = 72):
        self.service = service
        self.slots = slots
        self.id = ""
        self.born_ms = 0
        self.runs: list[Message] = []
        self.work_s: Callable[[str], float] = lambda path: 0.01
        self.state = "ready"
        self._record = record
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, address: str) -> None:
        """Begin a new lifetime at `address`."""
        self.id = f"i-{next(_ids):04x}{os.getpid() % 0x10000:04x}"
        self.born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.state = "ready"
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Links have small windows.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind((host, int(port)))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=WINDOW_BYTES
        )
        self._record.note(f"instance {self.id} of {self.service} starts at {address}")

    def crash(self) -> None:
        """End at once: the port is closed and all connections are reset."""
        if self._server is None:
            return
        self._record.note(f"instance {self.id} crashes")
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            linger = (1).to_bytes(4, sys.byteorder) + bytes(4)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def report(self, control: str, address: str) -> int | None:
        """Send a status report; return the status of the response."""
        self._sequence += 1
        body = {
            "address": address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "coldRemainingMs": 0,
            },
        }
        answer = await exchange(
            control,
            "PUT",
            f"/api/instances/{self.id}",
            {"Host": control, "Content-Type": "application/json"},
            json.dumps(body).encode(),
            1.0,
        )
        return None if answer is None else answer.status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self.serve_connection(reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one at a time."""
        while (request := await read_message(reader)) is not None:
            writer.write(await self.answer(request))
            await writer.drain()

    async def answer(self, request: Message) -> bytes:
        """Run a request, or refuse it; return the encoded response."""
        if request.first[1] == "/health":
            status = 200 if self.state == "ready" else 503
            return self.encode(status, {"X-Damaskproxy-Instance-Id": self.id})
        if (refusal := self.refuse(request)) is not None:
            return refusal
        self.begin(request)
        await asyncio.sleep(self.work_s(request.first[1]))
        return self.success(request)

    def refuse(self, request: Message) -> bytes | None:
        """Return the response to a request for another instance, else None."""
        if request.headers.get("x-damaskproxy-target-instance") in (None, self.id):
            return None
        echo = {"X-Damaskproxy-Request-Id": request.headers["x-damaskproxy-request-id"]}
        return self.encode(421, {**echo, "X-Damaskproxy-Instance-Id": self.id})

    def begin(self, request: Message) -> None:
        """Record that it begins to work on a request."""
        self.runs.append(request)
        headers = request.headers
        self._record.note(
            f"{self.id} of {self.service} runs"
            f" {headers.get('x-damaskproxy-request-id')} {' '.join(request.first[:2])}"
            f" caller={headers.get('x-damaskproxy-caller-service')}"
        )

    def success(self, request: Message) -> bytes:
        """Return the response to a request that it has run."""
        request_id = request.headers["x-damaskproxy-request-id"]
        headers = {
            "X-Damaskproxy-Request-Id": request_id,
            "X-Damaskproxy-Server-Stamp": f"{self.id}.{request_id}",
        }
        return self.encode(200, headers, b"ok " + request_id.encode())

    @staticmethod
    def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
        """Return an encoded response on a connection that is kept."""
        lines = [f"HTTP/1.1 {status} X", "Keep-Alive: timeout=10"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


class Machine:
    """Machine with a node process and an instance that reports to it."""

    def __init__(self, mesh: "Mesh", name: str, zone: str, instance: Instance):
        self.mesh = mesh
        self.name = name
        self.instance = instance
        self.address = f"{HOST}:{free_port()}"
        self.listeners = {key: f"{HOST}:{free_port()}" for key in LISTENERS}
        self.path = mesh.folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.settings = {
            "node_id": name,
            "data_centre": zone,
            "region": "r",
            "service": instance.service,
            "backend_address": self.address,
            "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
            "listeners": self.listeners,
            "store_address": mesh.store.address,
            "seeds": [],
            "is_first_start": False,
            "bounds": BOUNDS,
            "memory_limit_mb": 300,
        }
        self._reports: asyncio.Task | None = None

    def write_settings(self) -> None:
        """Write the settings file at once, as the platform does."""
        temporary = self.path.with_suffix(".tmp")
        temporary.write_text(json.dumps(self.settings), encoding="utf-8")
        temporary.replace(self.path)

    async def start(self) -> None:
        """Start instance and node."""
        self.write_settings()
        await self.instance.start(self.address)
        await self.start_node()
        self._reports = asyncio.create_task(self._report())

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        with (self.mesh.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskproxy.sidecar",
                str(self.path),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def restart_node(self, number: int = signal.SIGKILL) -> None:
        """End the node with a signal; start it again as the platform does."""
        self.mesh.record.write(f"node {self.name} gets signal {int(number)}")
        self.process.send_signal(number)
        await self.process.wait()
        await asyncio.sleep(RESTART_S)
        await self.start_node()

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        address = self.listeners["readiness"]
        answer = await exchange(
            address, "GET", "/api/readiness", {"Host": address}, b"", 1.0
        )
        return answer is not None and answer.status == 200

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the node is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 5000,
    ) -> Message | None:
        """Send a request of a client on this machine; None without an answer."""
        headers = {
            "Host": "shop.example",
            "X-Damaskproxy-Request-Id": request_id,
            "X-Damaskproxy-Deadline-Ms": str(deadline_ms),
        }
        return await exchange(
            self.listeners["caller"],
            method,
            path,
            headers,
            body,
            deadline_ms / 1000,
        )

    async def report_now(self) -> int | None:
        """Let the instance report its status to the node."""
        return await self.instance.report(self.listeners["control"], self.address)

    async def _report(self) -> None:
        while True:
            await self.report_now()
            await asyncio.sleep(HEARTBEAT_S)

    def pause_reports(self) -> None:
        """Send no more status reports, since the instance has ended."""
        self._reports.cancel()

    def resume_reports(self) -> None:
        """Send status reports again."""
        self._reports = asyncio.create_task(self._report())

    async def stop(self) -> None:
        """End the node and the instance."""
        if self._reports is not None:
            self._reports.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.instance.crash()


class Mesh:
    """Small deployment with a store.

    Parameters
    ----------
    folder : Path
        Temporary folder of settings and logs.
    record : Record
        Record of the case.
    """

    def __init__(self, folder: Path, record: Record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []

    def add(self, name: str, zone: str, instance: Instance) -> Machine:
        """Add a machine, which is not started yet."""
        machine = Machine(self, name, zone, instance)
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Start all machines and wait until they are ready."""
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await machine.until_ready()
        # Until each node knows all members and the instances are served.
        await asyncio.sleep(3.0)

    async def stop(self) -> None:
        """End all processes."""
        for machine in self.machines:
            await machine.stop()
        self.store.close()
        # Until the event loop has closed all connections.
        await asyncio.sleep(0.2)


EXIT_NOT_RUN = 2


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Play a case in a temporary folder; return the exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.
    play : callable
        Plays the case, given its record and the temporary folder. It is cancelled by
        SIGTERM, and ends what it has started.
    """
    record = Record(folder)

    async def run(temporary: Path) -> int:
        task = asyncio.create_task(play(record, temporary))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    with tempfile.TemporaryDirectory() as temporary:
        try:
            return asyncio.run(run(Path(temporary)))
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"could not run: {error!r}")
            return EXIT_NOT_RUN
