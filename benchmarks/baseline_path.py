"""Path of a call without damaskproxy, for comparison.

Round robin, an unbounded first-come-first-served queue in front of each backend server,
three retries per hop after a fixed timeout, no deadlines and no cancellation.
"""

import asyncio

from benchmarks.fakes import Reply, Request
from benchmarks.mesh import SERVICES, Mesh, Server
from damaskproxy.common import Outcome

__all__ = ["send"]

RETRIES_PER_HOP = 3
TIMEOUT_S = 1.0


async def send(mesh: Mesh, entry: Server, request: Request) -> Reply:
    """Send a root request through `entry`; the caller stops waiting at its deadline."""
    task = asyncio.ensure_future(_call(mesh, entry, request, 0, [0]))
    return await _wait_without_cancelling(task, request.deadline_s)


async def _wait_without_cancelling(task: asyncio.Future, timeout_s: float) -> Reply:
    """Wait for a task, which continues to run after the timeout."""
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()
    timer = loop.call_later(timeout_s, _resolve, waiter)
    task.add_done_callback(lambda _: _resolve(waiter))
    try:
        await waiter
    finally:
        timer.cancel()
    if task.done():
        return task.result()
    return Reply(False, "timeout", Outcome.UNKNOWN)


def _resolve(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)


async def _call(mesh: Mesh, node: Server, request: Request, hop: int, retries) -> Reply:
    servers = mesh.servers[SERVICES[hop]]
    for attempt in range(1 + RETRIES_PER_HOP):
        if attempt:
            retries[0] += 1
            request.retries_max = max(request.retries_max, retries[0])
        node.next_index += 1
        target = servers[node.next_index % len(servers)]
        task = asyncio.ensure_future(_serve(mesh, node, target, request, retries))
        reply = await _wait_without_cancelling(task, TIMEOUT_S)
        if reply.ok:
            return reply
        mesh.reasons[reply.reason] += 1
    return reply


async def _serve(mesh, node, target, request, retries) -> Reply:
    async def outbound() -> Reply:
        hop = target.hop + 1
        if hop == len(SERVICES):
            return Reply(True)
        return await _call(mesh, target, request, hop, retries)

    await asyncio.sleep(node.distance_s(target))
    reply = await target.backend.run(request, target.hop, outbound)
    await asyncio.sleep(node.distance_s(target))
    return reply
