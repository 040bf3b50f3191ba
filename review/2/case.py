"""DRAIN: a leave that a starting node confirms before it knows its instance."""

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
DOWN_S = 0.9
INSTANCES, LEAVING = 12, 3
SERVE_AFTER_CONFIRMATION_S = 14.0
REQUESTS_PER_S = 40
TRAFFIC_S = 14.0


async def case(record, folder: Path, has_trouble: bool) -> bool:
    """Play the case; return whether DRAIN was broken."""
    mesh = Mesh(folder, record)
    try:
        return await play(mesh, record, has_trouble)
    finally:
        await mesh.close()


async def play(mesh: Mesh, record, has_trouble: bool) -> bool:
    """Let a quarter of the instances leave, while all nodes are killed or not."""
    orders = [
        await mesh.add(f"{'ab'[n % 2]}-{n}", f"tbilisi-{'ab'[n % 2]}", "orders")
        for n in range(INSTANCES)
    ]
    leaving = orders[:LEAVING]
    callers = [
        await mesh.add("a-c", "tbilisi-a", "catalogue"),
        await mesh.add("b-c", "tbilisi-b", "catalogue"),
    ]
    mesh.store.put("op", "config", CONFIGURATION)
    await mesh.start_all()
    await asyncio.sleep(5.0)

    if has_trouble:
        for machine in mesh.machines:
            mesh.signal(machine, signal.SIGKILL)
        for machine in mesh.machines:
            await mesh.wait_until_ended(machine)
    # The instances begin to leave before the nodes are back.
    leaves = [
        asyncio.create_task(
            machine.instance.leave_without_draining(
                machine.control, SERVE_AFTER_CONFIRMATION_S
            )
        )
        for machine in leaving
    ]
    await asyncio.sleep(DOWN_S)
    if has_trouble:
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
    await mesh.wait_for_clients()
    await asyncio.gather(*leaves)
    verdicts = [judge(record, machine.instance, outcomes) for machine in leaving]
    return any(verdicts)


def judge(record, instance, outcomes: list) -> bool:
    """Count the requests that reached the instance too late, by machines in touch."""
    if instance.confirmed_s is None:
        raise RuntimeError("the leave was not confirmed")
    started_s = max(at_s for at_s, _ in record.times("node-started"))
    in_touch_s = started_s + BOUNDS["stableWindowMs"] / 1000
    bound_s = instance.confirmed_s + BOUNDS["drainMs"] / 1000
    sent = {outcome.request_id: outcome.sent_s for outcome in outcomes}
    late = [(s, i) for s, i in instance.run_times if s > bound_s]
    counted = [
        (s, i) for s, i in late if s > in_touch_s and sent.get(i, 0.0) > in_touch_s
    ]
    served = sum(outcome.status == 200 for outcome in outcomes)
    record.add(
        "verdict",
        instance=instance.instance_id,
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
