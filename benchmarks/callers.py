"""Callers that send requests and resend failed ones without back-off."""

import asyncio
import random

from benchmarks import baseline_path, damask_path
from benchmarks.fakes import Request
from benchmarks.mesh import SERVICES, Mesh, MeshSettings
from benchmarks.scenarios import CAPACITY_PER_S, Scenario
from damaskproxy.common import Priority, ordinal_of

__all__ = ["ROUTES", "run_callers"]

RESENDS = 3
RESEND_AFTER_S = (0.02, 0.06)
POISON_RESENDS = 20
LONG_DEADLINE_S = 8.0
COMPLETION_WAIT_S = 3.0
PATHS = {"damask": damask_path.send, "baseline": baseline_path.send}

# Route, priority, whether idempotent, deadline in seconds, share of the requests.
ROUTES = (
    ("order", Priority.CRITICAL, False, 1.2, 0.15),
    ("status", Priority.HIGH, True, 1.2, 0.15),
    ("stock", Priority.NORMAL, True, 1.0, 0.30),
    ("browse", Priority.SHEDDABLE, True, 0.8, 0.40),
)


async def run_callers(
    scenario: Scenario, seed: int, policy: str, settings: MeshSettings
) -> tuple[Mesh, list[Request]]:
    """Run a scenario on the current loop and return the mesh and the requests."""
    loop = asyncio.get_running_loop()
    mesh = Mesh(seed, loop.time, scenario.settings(settings))
    scenario.prepare(mesh)
    rng = random.Random(f"{seed}/callers")
    requests: list[Request] = []
    tasks = set()
    arrivals = _arrivals(scenario, rng)
    for at_s, crashes in arrivals:
        await asyncio.sleep(at_s - loop.time())
        request = _new_request(len(requests), at_s, rng, scenario, crashes)
        requests.append(request)
        task = asyncio.ensure_future(_call(mesh, policy, request, rng))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.sleep(COMPLETION_WAIT_S)
    return mesh, requests


def _arrivals(scenario: Scenario, rng: random.Random) -> list[tuple[float, bool]]:
    """Return send times of a Poisson process, and of the poison requests."""
    arrivals = [(at_s, True) for at_s in scenario.poison]
    begin_s = 0.0
    for length_s, factor in scenario.phases:
        at_s = begin_s
        while True:
            at_s += rng.expovariate(factor * CAPACITY_PER_S)
            if at_s >= begin_s + length_s:
                break
            arrivals.append((at_s, False))
        begin_s += length_s
    return sorted(arrivals)


def _new_request(number, at_s, rng, scenario, crashes) -> Request:
    weights = [route[-1] for route in ROUTES]
    picked = ROUTES[-1] if crashes else rng.choices(ROUTES, weights)[0]
    route, priority, idempotent, deadline_s, _ = picked
    hops = range(len(SERVICES))
    share = scenario.long_share
    long_hops = frozenset(hop for hop in hops if rng.random() < share)
    request_id = f"{route}-{number}"
    return Request(
        request_id,
        route,
        priority,
        ordinal_of(request_id),
        idempotent,
        LONG_DEADLINE_S if long_hops else deadline_s,
        at_s,
        long_hops,
        crashes,
    )


async def _call(mesh: Mesh, policy: str, request: Request, rng: random.Random) -> None:
    """Send a request until it succeeds; retry-after hints are ignored."""
    send = PATHS[policy]
    for _ in range(1 + (POISON_RESENDS if request.crashes else RESENDS)):
        request.sends += 1
        request.retries = 0
        sent_s = mesh.now_s()
        entry = rng.choice(mesh.all_servers())
        reply = await send(mesh, entry, request)
        request.retries_max = max(request.retries_max, request.retries)
        request.outcomes.append(reply.outcome)
        if reply.ok and mesh.now_s() - sent_s <= request.deadline_s:
            request.completed_after_s = mesh.now_s() - request.first_sent_s
            request.first_send_completed = request.sends == 1
            return
        mesh.reasons[f"caller:{reply.reason}"] += 1
        await asyncio.sleep(rng.uniform(*RESEND_AFTER_S))
