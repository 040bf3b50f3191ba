"""Processes of the program with clients that keep connections, and planned work.

More seeds by hand::

    python -m damaskproxy.sidecar.tests.test_process_soak FIRST LAST [FOLDER]
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from nose2.tools import params

from damaskproxy.platform.standins import (
    ROUTES,
    RowStoreStandIn,
    StampedBackend,
    encode_configuration,
    readiness_request,
    report_request,
)
from damaskproxy.sidecar.tests.soak_allowances import FLOOD, QUIET, RATES_PER_S
from damaskproxy.sidecar.tests.soak_clients import (
    Client,
    Node,
    Sent,
    keep_connection_open,
    listens,
    send_steadily,
    status_of,
)
from damaskproxy.sidecar.tests.soak_judge import Outcome, Record, judge
from damaskproxy.sidecar.tests.soak_keys import (
    PRIVATE_PREFIX,
    Credential,
    KeyBook,
)
from demo.processes import Processes, free_ports

GRACE_S = 6.0
TIMEOUT_S = 5.0
REPORT_S = 0.5
START_S = 10.0
RESTART_S = 1.0
"""Shortest time after which the platform restarts a process that was killed."""
DURATION_S = 10.0
PADDING = b"x" * (8 << 20)
SERVICES = ("orders", "orders", "files", "files", "stores")
BIG_ROUTES = {
    "big": {"prefix": "/big/", "kind": "safe", "service": "files"},
    "bigger": {"prefix": "/bigger/", "kind": "unsafe", "service": "files"},
}


class Play:
    """Nodes, clients and planned work of one seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    folder : Path
        Folder of the settings and logs.
    duration_s : float
        Time in which planned work is started.
    """

    def __init__(self, seed: int, folder: Path, duration_s: float):
        self.outcome = Outcome()
        self._rng = random.Random(seed)
        self._folder = folder
        self._duration_s = duration_s
        self._rows = RowStoreStandIn()
        self._processes = Processes(folder)
        self._version = 1
        self.has_ended = False
        self.keys = KeyBook(random.Random(seed))
        self._lags: list[tuple[float, float]] = []
        self._record = Record(self.keys, self._processes.log_path, self._lag_s)
        self._nodes = self._record.nodes

    async def run(self) -> Outcome:
        """Play until all nodes have ended, and return what was seen."""
        store_address = await self._rows.open()
        self._put_configuration()
        background: list[asyncio.Task] = []
        try:
            for number, service in enumerate(SERVICES):
                await self._add(f"n{number}", service, store_address)
            await asyncio.gather(*(self._start(node) for node in self._nodes))
            background = self._background()
            await asyncio.gather(*(self._until_ready(node) for node in self._nodes))
            await asyncio.sleep(2 * REPORT_S)
            background.append(asyncio.create_task(self._change_keys()))
            background.append(asyncio.create_task(self._send_steadily(QUIET, 0.0)))
            flood_after_s = self._duration_s / 2
            flood = self._send_steadily(FLOOD, flood_after_s)
            background.append(asyncio.create_task(flood))
            await self._work()
            await self._kill_and_start()
            await asyncio.gather(*(self._stop(node) for node in self._nodes))
            self.has_ended = True
            await asyncio.sleep(0.5)
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await self._processes.close()
            for node in self._nodes:
                await node.backend.close()
            await self._rows.close()
        judge(self._record, self.outcome)
        return self.outcome

    async def run_signalled(self) -> tuple[int | None, float]:
        """Signal a node from its start to its end; return its status and the time."""
        try:
            await self._add("n0", "orders", await self._rows.open())
            (node,) = self._nodes
            await self._start(node)
            start_s = time.monotonic()
            while self._processes.exit_status(node.name) is None:
                self._signal(node, signal.SIGTERM)
                self._signal(node, signal.SIGHUP)
                await asyncio.sleep(0.003)
            took_s = time.monotonic() - start_s
            return self._processes.exit_status(node.name), took_s
        finally:
            await self._processes.close()
            for node in self._nodes:
                await node.backend.close()
            await self._rows.close()

    async def _add(self, name: str, service: str, store_address: str) -> None:
        backend = StampedBackend(f"i-{name}", service)
        backend.work_s = 0.03
        backend.padding = PADDING if service == "files" else b""
        names = ("caller", "peer", "readiness", "control")
        settings = {
            "node_id": name,
            "data_centre": "abc"[len(self._nodes) % 3],
            "region": "r",
            "service": service,
            "backend_address": await backend.open(),
            "listeners": {
                n: f"127.0.0.1:{port}" for n, port in zip(names, free_ports(4))
            },
            "store_address": store_address,
            "bounds": {"graceS": GRACE_S},
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self._nodes.append(Node(name, backend, path, settings))

    def _put_configuration(self) -> None:
        routes = {}
        for name, route in {**ROUTES, **BIG_ROUTES}.items():
            route = {**route, "timeoutMs": int(TIMEOUT_S * 1000)}
            routes[name] = {**route, "public": True}
            private = PRIVATE_PREFIX + name
            routes[private] = {**route, "prefix": f"/{private}/"}
        encoded = encode_configuration(self._version, routes, self.keys.tenants())
        self._rows.put("op", "config", encoded)

    def _background(self) -> list[asyncio.Task]:
        jobs: list[Callable[[], Awaitable[None]]] = [self._measure_lag]
        for node in self._nodes:
            clients = [
                Client(self, node, f"{node.name}-{number}", random.Random(seed))
                for number, seed in enumerate(self._rng.sample(range(1 << 30), 6))
            ]
            jobs += [lambda node=node: self._report(node)]
            jobs += [lambda node=node: keep_connection_open(node)]
            jobs += [client.send_slowly for client in clients[:2]]
            jobs += [client.read_slowly for client in clients[2:3]]
            jobs += [client.send for client in clients[3:]]
        return [asyncio.create_task(job()) for job in jobs]

    # Processes

    async def _start(self, node: Node) -> None:
        """Start the process of a node and wait until its listeners are open."""
        await self._processes.start(node.name, "damaskproxy.sidecar", node.path)
        end_s = time.monotonic() + START_S
        while not await listens(node):
            if time.monotonic() > end_s or self._processes.exit_status(node.name):
                self._add_problem(f"{node.name} did not start")
                return
            await asyncio.sleep(0.02)
        node.is_running = True
        node.is_stopping = False

    async def _until_ready(self, node: Node) -> None:
        end_s = time.monotonic() + START_S
        while await status_of(node, "readiness", readiness_request()) != 200:
            if time.monotonic() > end_s:
                self._add_problem(f"{node.name} did not become ready")
                return
            await asyncio.sleep(0.05)

    def _signal(self, node: Node, number: signal.Signals) -> None:
        self._processes.send_signal(node.name, number)

    async def _stop(self, node: Node) -> None:
        """Stop a node as planned, sometimes with a second signal."""
        if not node.is_running:
            return
        if self._processes.exit_status(node.name) is not None:
            self._add_problem(f"{node.name} ended by itself")
            return
        node.is_stopping = True
        start_s = time.monotonic()
        self._signal(node, signal.SIGTERM)
        if self._rng.random() < 0.3:
            await asyncio.sleep(self._rng.uniform(0.0, 2.5))
            self._signal(node, self._rng.choice([signal.SIGTERM, signal.SIGHUP]))
        status = await self._processes.wait(node.name, GRACE_S + 1.0)
        stop_s = time.monotonic() - start_s
        self.outcome.stop_s.append(stop_s)
        if status != 0:
            self._add_problem(f"{node.name} ended with {status} after {stop_s:.2f} s")
        if stop_s > GRACE_S + self._lag_s(start_s, time.monotonic()):
            self._add_problem(f"{node.name} took {stop_s:.2f} s to end")
        node.is_running = False

    async def _kill_and_start(self) -> None:
        """Kill one node, then several or all, and start them again."""
        self._record.kills_start_s = time.monotonic()
        for count in (1, self._rng.choice([2, len(self._nodes)])):
            nodes = self._rng.sample([n for n in self._nodes if n.is_running], count)
            for node in nodes:
                self._signal(node, signal.SIGKILL)
                node.is_running = False
                self.outcome.counts["node killed while flooded"] += 1
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(self._start(node) for node in nodes))
            await asyncio.gather(*(self._until_ready(node) for node in nodes))
        self._record.kills_end_s = time.monotonic()

    # Planned work

    async def _work(self) -> None:
        tasks = []
        end_s = time.monotonic() + self._duration_s
        kinds = [self._stop_and_start] * 3 + [self._reload, self._change]
        while time.monotonic() < end_s:
            tasks.append(asyncio.create_task(self._rng.choice(kinds)()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        await asyncio.gather(*tasks)

    async def _stop_and_start(self) -> None:
        calm = [n for n in self._nodes if n.is_running and not n.is_stopping]
        if len(calm) < 3:
            return
        node = self._rng.choice(calm)
        await self._stop(node)
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await self._start(node)
        if self._rng.random() < 0.2:
            await self._stop(node)
            await self._start(node)

    async def _reload(self) -> None:
        for node in self._rng.sample(self._nodes, 2):
            if not node.is_running or node.is_stopping:
                continue
            settings = {
                **node.settings,
                "log_level": self._rng.choice(["INFO", "WARNING"]),
            }
            if self._rng.random() < 0.5:
                node.path.write_text(json.dumps(settings), encoding="utf-8")
            self._signal(node, signal.SIGHUP)

    async def _change(self) -> None:
        for _ in range(self._rng.choice([1, 1, 3])):
            self._put_next_configuration()
            await asyncio.sleep(0.05)

    def _put_next_configuration(self) -> None:
        self._version += 1
        self._put_configuration()

    async def _change_keys(self) -> None:
        """Add and remove keys for as long as planned work is started."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            self.keys.change(self._put_next_configuration)

    # Background

    async def _report(self, node: Node) -> None:
        while True:
            node.sequence += 1
            request = report_request(
                node.backend.instance_id,
                node.settings["backend_address"],
                node.backend.service,
                slots=32,
                born_ms=1000,
                sequence=node.sequence,
            )
            await status_of(node, "control", request)
            await asyncio.sleep(REPORT_S)

    async def _send_steadily(self, name: str, after_s: float) -> None:
        """Send requests of an organisation to all nodes until the last kill is over."""
        rng = random.Random(name)
        (key,) = (key for key in self.keys.limited if key.organisation == name)
        credential = Credential(name, key, False, b"")
        clients = [
            Client(self, node, f"{name}-{node.name}", rng, lambda _: credential)
            for node in self._nodes
        ]
        await asyncio.sleep(after_s)
        await send_steadily(
            clients, RATES_PER_S[name], rng, lambda: self._record.kills_end_s
        )

    async def _measure_lag(self) -> None:
        """Record how late this process is, for the bounds on times that it measures."""
        while True:
            due_s = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self._lags.append((due_s, time.monotonic() - due_s))

    def _lag_s(self, start_s: float, end_s: float) -> float:
        near = [lag for due, lag in self._lags if start_s - 0.5 < due < end_s + 0.5]
        return sum(sorted(near)[-3:])

    # Results

    def new_request(
        self, request_id: bytes, node: Node, credential: Credential, *, is_safe: bool
    ) -> Sent:
        """Record a request that a client is about to send."""
        sent = Sent(request_id, node.name, is_safe, credential)
        self._record.sent.append(sent)
        return sent

    def _add_problem(self, text: str) -> None:
        self.outcome.problems.append(text)


class StopSignalTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a stop that a further signal turns into a failure."""

    async def test_signals_until_the_end_do_not_change_the_exit_status(self):
        with tempfile.TemporaryDirectory() as folder:
            play = Play(1, Path(folder), 0.0)
            status, took_s = await play.run_signalled()
        self.assertEqual((status, play.outcome.problems), (0, []))
        self.assertLess(took_s, GRACE_S)


class ProcessSoakTests(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are cut by planned work, and against early ends."""

    @params(1)
    async def test_planned_work_cuts_no_request(self, seed):
        with tempfile.TemporaryDirectory() as folder:
            outcome = await Play(seed, Path(folder), DURATION_S).run()
        self.assertEqual(outcome.problems, [])
        counts = outcome.counts
        self.assertGreater(counts["status 200"], counts["requests"] // 3, counts)
        self.assertGreater(len(outcome.stop_s), len(SERVICES))


async def play_seeds(first: int, last: int, folder: Path) -> int:
    """Play seeds one after the other; return the number of those with problems."""
    failed = 0
    for seed in range(first, last + 1):
        place = folder / f"seed-{seed}"
        place.mkdir(parents=True, exist_ok=True)
        outcome = await Play(seed, place, DURATION_S).run()
        failed += bool(outcome.problems)
        stop_s = sorted(outcome.stop_s) or [0.0]
        print(
            f"seed {seed}: {len(outcome.problems)} problems, {dict(outcome.counts)}, "
            f"{len(outcome.stop_s)} stops, {stop_s[0]:.2f} s to {stop_s[-1]:.2f} s, "
            f"median {stop_s[len(stop_s) // 2]:.2f} s",
            *outcome.problems,
            sep="\n  ",
            flush=True,
        )
    return failed


if __name__ == "__main__":
    FOLDER = Path(sys.argv[3] if len(sys.argv) > 3 else tempfile.mkdtemp())
    sys.exit(bool(asyncio.run(play_seeds(int(sys.argv[1]), int(sys.argv[2]), FOLDER))))
