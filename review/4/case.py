"""DRAIN: a leave that was confirmed without the store, before all nodes are killed."""

import asyncio
import signal
import sys
from pathlib import Path

from standins.mesh import BOUNDS, Mesh, run_case
from standins.operator import encode_configuration

CONFIGURATION = encode_configuration(
    {
        "order": {
            "prefix": "/order/",
            "kind": "unsafe",
            "service": "orders",
            "timeoutMs": 1500,
            "priority": 0,
        },
        "status": {
            "prefix": "/status/",
            "kind": "safe",
            "service": "orders",
            "timeoutMs": 1200,
            "priority": 1,
        },
    },
    ("orders", "catalogue"),
)
STORE_DOWN_S = 4.5
KILLED_AFTER_CONFIRMATION_S = 0.3
RESTART_DELAY_S = 1.0
SERVE_AFTER_CONFIRMATION_S = 14.0
REQUESTS_PER_S = 20
TRAFFIC_S = 22.0


async def case(record, folder: Path, has_trouble: bool) -> bool:
    """Play the case; return whether DRAIN was broken."""
    mesh = Mesh(folder, record)
    try:
        return await play(mesh, record, has_trouble)
    finally:
        await mesh.close()


async def play(mesh: Mesh, record, has_trouble: bool) -> bool:
    """Kill all nodes after a confirmed leave, with or without the store."""
    leaving = await mesh.add("a-1", "tbilisi-a", "orders")
    await mesh.add("b-1", "tbilisi-b", "orders")
    callers = [
        await mesh.add("a-2", "tbilisi-a", "catalogue"),
        await mesh.add("b-2", "tbilisi-b", "catalogue"),
    ]
    mesh.store.put("op", "config", CONFIGURATION)
    await mesh.start_all()
    await asyncio.sleep(5.0)

    leave = asyncio.create_task(
        leaving.instance.leave_without_draining(
            leaving.control, SERVE_AFTER_CONFIRMATION_S
        )
    )
    down_s = None
    if has_trouble:
        mesh.store.go_down()
        down_s = record.add("store-down")
    while leaving.instance.confirmed_s is None:
        if leave.done():
            raise RuntimeError("the leave was not confirmed")
        await asyncio.sleep(0.01)
    await asyncio.sleep(KILLED_AFTER_CONFIRMATION_S)
    for machine in mesh.machines:
        mesh.signal(machine, signal.SIGKILL)
    for machine in mesh.machines:
        await mesh.wait_until_ended(machine)
    await asyncio.sleep(RESTART_DELAY_S)
    for machine in mesh.machines:
        await mesh.start(machine)
    outcomes: list = []
    for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
        for caller in callers:
            kind, method = ("order", "POST") if number % 2 else ("status", "GET")
            mesh.send_later(
                number / REQUESTS_PER_S,
                outcomes,
                caller.caller,
                f"{caller.name}-{number}",
                f"/{kind}/{number}",
                method=method,
                deadline_s=3.0,
            )
    back_s = None
    if has_trouble:
        await asyncio.sleep(down_s + STORE_DOWN_S - record.now_s())
        mesh.store.come_back()
        back_s = record.add("store-back")
    await mesh.wait_for_clients()
    await leave
    return judge(record, leaving.instance, outcomes, back_s)


def judge(record, instance, outcomes: list, back_s: float | None) -> bool:
    """Count the requests that reached the instance too late, by machines in touch."""
    if instance.confirmed_s is None:
        raise RuntimeError("the leave was not confirmed")
    started_s = max(at_s for at_s, _ in record.times("node-started"))
    in_touch_s = max(started_s, back_s or 0.0) + BOUNDS["stableWindowMs"] / 1000
    bound_s = instance.confirmed_s + BOUNDS["drainMs"] / 1000
    sent = {outcome.request_id: outcome.sent_s for outcome in outcomes}
    late = [(s, i) for s, i in instance.run_times if s > bound_s]
    counted = [
        (s, i) for s, i in late if s > in_touch_s and sent.get(i, 0.0) > in_touch_s
    ]
    served = sum(outcome.status == 200 for outcome in outcomes)
    record.add(
        "verdict",
        confirmed=f"{instance.confirmed_s:.3f}",
        bound=f"{bound_s:.3f}",
        in_touch=f"{in_touch_s:.3f}",
        late=len(late),
        late_by_machines_in_touch=len(counted),
        requests=len(outcomes),
        served=served,
    )
    return bool(counted)


if __name__ == "__main__":
    sys.exit(run_case(case, str(Path(__file__).parent)))
