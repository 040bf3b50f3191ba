"""Scaled-down scenarios in real time, with real nodes and loopback sockets."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
import msgspec

from benchmarks.callers import RESEND_AFTER_S, RESENDS, ROUTES
from benchmarks.fakes import Request
from benchmarks.mesh import SERVICES
from benchmarks.nodes_mesh import (
    NODES_CAPACITY_PER_S,
    NODES_SCALE,
    TIME_FACTOR,
    NodesMesh,
)
from benchmarks.results import measure
from benchmarks.scenarios import Scenario
from damaskproxy.common import Outcome, ordinal_of

__all__ = ["NODE_SCENARIOS", "run_over_nodes"]

SLOW_FACTOR = 10.0
COMPLETION_WAIT_S = 3.0


def _slow_deep_service(mesh: NodesMesh) -> None:
    loop = asyncio.get_running_loop()
    for backend in mesh.backends[SERVICES[-1]]:
        loop.call_later(5.0, mesh.slow_down, backend, SLOW_FACTOR)
        loop.call_later(11.0, mesh.slow_down, backend, 1.0)


@dataclass(frozen=True, slots=True)
class NodeScenario:
    """Scenario, disturbance of the mesh, and settings of its backend servers."""

    scenario: Scenario
    prepare: Callable[[NodesMesh], None] = lambda mesh: None
    config: dict = field(default_factory=dict)


NODE_SCENARIOS = {
    "overload": NodeScenario(
        Scenario("overload", ((4.0, 0.7), (14.0, 3.0), (8.0, 0.7)), (5.0, 18.0), 18.0)
    ),
    "recovery": NodeScenario(
        Scenario("recovery", ((20.0, 0.7),), (2.0, 18.0), 11.0),
        prepare=_slow_deep_service,
    ),
    "stragglers": NodeScenario(
        Scenario("stragglers", ((20.0, 0.25),), (2.0, 18.0)),
        config={
            "straggler_share": 0.02,
            "straggler_factor": 50.0,
            "straggler_shape": 1000.0,
        },
    ),
    "slow-backends": NodeScenario(
        Scenario("slow-backends", ((20.0, 0.5),), (2.0, 18.0)),
        config={"slow_every_s": 8.0, "slow_for_s": 2.0, "slow_factor": 10.0},
    ),
}


@dataclass(slots=True)
class _Run:
    """State of the callers of one run."""

    mesh: NodesMesh
    rng: random.Random
    began_s: float
    reasons: Counter = field(default_factory=Counter)
    keys: dict[str, str] = field(default_factory=dict)

    def now_s(self) -> float:
        return time.monotonic() - self.began_s


async def run_over_nodes(name: str, seed: int) -> dict:
    """Return the figures of a scenario with real nodes.

    Parameters
    ----------
    name : str
        Name in `NODE_SCENARIOS`.
    seed : int
        Seed of the demand and the backend servers; timing depends on the machine.
    """
    node_scenario = NODE_SCENARIOS[name]
    mesh = NodesMesh(seed)
    try:
        await mesh.start(**node_scenario.config)
        run, requests = await _call_all(node_scenario, mesh, seed)
        runs = mesh.runs_by_key()
    finally:
        await mesh.close()
    for request in requests:
        request.runs = runs.get(run.keys.get(request.request_id, ""), 0)
    return measure(
        node_scenario.scenario,
        seed,
        "damask",
        run.reasons,
        requests,
        capacity_per_s=NODES_CAPACITY_PER_S,
        scale=NODES_SCALE,
    )


async def _call_all(node_scenario: NodeScenario, mesh: NodesMesh, seed: int):
    rng = random.Random(f"{seed}/nodes")
    requests = _plan_requests(node_scenario.scenario, rng)
    orders = [request for request in requests if not request.idempotent]
    issued = await mesh.keys(rng, len(orders))
    run = _Run(mesh, rng, time.monotonic())
    run.keys = dict(zip((order.request_id for order in orders), issued))
    node_scenario.prepare(mesh)
    tasks = []
    for request in requests:
        await asyncio.sleep(max(0.0, request.first_sent_s - run.now_s()))
        tasks.append(asyncio.ensure_future(_call(run, request)))
    await asyncio.wait(tasks, timeout=COMPLETION_WAIT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return run, requests


def _plan_requests(scenario: Scenario, rng: random.Random) -> list[Request]:
    requests: list[Request] = []
    begin_s = 0.0
    weights = [route[-1] for route in ROUTES]
    for length_s, factor in scenario.phases:
        at_s = begin_s
        while True:
            at_s += rng.expovariate(factor * NODES_CAPACITY_PER_S)
            if at_s >= begin_s + length_s:
                break
            route, priority, idempotent, deadline_s, _ = rng.choices(ROUTES, weights)[0]
            request_id = f"{route}-{len(requests)}"
            requests.append(
                Request(
                    request_id,
                    route,
                    priority,
                    ordinal_of(request_id),
                    idempotent,
                    deadline_s * TIME_FACTOR,
                    at_s,
                )
            )
        begin_s += length_s
    return requests


async def _call(run: _Run, request: Request) -> None:
    """Send a request until it succeeds; retry-after hints are ignored."""
    for _ in range(1 + RESENDS):
        request.sends += 1
        sent_s = run.now_s()
        status, outcome, reason = await _send(run, request)
        request.outcomes.append(outcome)
        if status == 200 and run.now_s() - sent_s <= request.deadline_s:
            request.completed_after_s = run.now_s() - request.first_sent_s
            request.first_send_completed = request.sends == 1
            return
        run.reasons[f"caller:{reason or 'late-answer'}"] += 1
        await asyncio.sleep(run.rng.uniform(*RESEND_AFTER_S))


async def _send(run: _Run, request: Request) -> tuple[int, Outcome, str]:
    path = f"/{SERVICES[0]}/{request.route}?id={request.request_id}"
    key = run.keys.get(request.request_id)
    method, headers = ("POST", {"Idempotency-Key": key}) if key else ("GET", {})
    timeout = aiohttp.ClientTimeout(total=request.deadline_s)
    try:
        async with run.mesh.session.request(
            method, run.mesh.url(run.rng, path), headers=headers, timeout=timeout
        ) as response:
            body = await response.read()
            outcome = response.headers.get("Damask-Outcome", Outcome.UNKNOWN)
            reason = "" if response.status == 200 else _reason_of(response, body)
            return response.status, Outcome(outcome), reason
    except (TimeoutError, aiohttp.ClientError) as error:
        return 0, Outcome.UNKNOWN, type(error).__name__


def _reason_of(response, body: bytes) -> str:
    if response.content_type != "application/problem+json":
        return f"status-{response.status}"
    return msgspec.json.decode(body)["reason"]
