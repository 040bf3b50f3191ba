"""A request that crashes instances is sent on again after planned restarts."""

import asyncio
import itertools
import os
import signal
import sys
from pathlib import Path

from review.standins_two.machines import (
    Instance,
    Machine,
    Mesh,
    Record,
    configuration,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_S = 3.0
CRASHES_FREE = 3
RETRIES_MAX = 3
"""Retries that may reach instances later than `STABLE_S` after the third crash."""
DOWN_S = 3.0
RETRY_S = 1.0
ROLLS = 4
ROLL_GAP_S = 2.0
CALM_S = 8.0
INSTANCES = 4
POISON_PATH, POISON_BODY = "/order/horn", b"poison"
ROUTES = {"order": {"prefix": "/order/", "kind": "unsafe", "service": "orders"}}


class CrashingInstance(Instance):
    """Instance that crashes when it begins to run one request, and comes back."""

    def __init__(self, service: str, record: Record, crashes: list[float]):
        super().__init__(service, record)
        self.machine: Machine | None = None
        self._crashes = crashes
        self._task: asyncio.Task | None = None

    async def answer(self, request):
        """Run a request, or crash."""
        answer = await super().answer(request)
        if request.body == POISON_BODY and self.runs[-1:] == [request]:
            self._crashes.append(asyncio.get_running_loop().time())
            self._record.write(f"crash {len(self._crashes)} beside {self.machine.name}")
            self._task = asyncio.create_task(self._crash())
            await asyncio.sleep(DOWN_S)
        return answer

    async def _crash(self) -> None:
        self.machine.pause_reports()
        self.crash()
        await asyncio.sleep(DOWN_S)
        await self.start(self.machine.address)
        self.machine.resume_reports()


async def resend(front: Machine, record: Record) -> None:
    """Send the request again and again, until cancelled."""
    for number in itertools.count():
        request_id = f"{os.getpid():06x}{number:06x}"
        answer = await front.call("POST", POISON_PATH, request_id, POISON_BODY)
        status = None if answer is None else answer.status
        record.note(f"{request_id} is answered {status}")
        await asyncio.sleep(RETRY_S)


async def roll(machines: list[Machine], record: Record) -> None:
    """Stop the nodes of machines in turn, and start them again."""
    record.write("the nodes beside the instances are stopped and started in turn")
    async with asyncio.TaskGroup() as group:
        for machine in machines:
            group.create_task(machine.restart_node(signal.SIGTERM))
            await asyncio.sleep(ROLL_GAP_S)
    for machine in machines:
        await machine.until_ready()


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    mesh = Mesh(folder, record)
    await mesh.store.open()
    services = ["orders", "desk"]
    mesh.store.put("op", "config", configuration(1, ROUTES, services))
    front = mesh.add("front", "a", Instance("desk", record))
    crashes: list[float] = []
    for number in range(INSTANCES):
        instance = CrashingInstance("orders", record, crashes)
        instance.machine = mesh.add(f"orders-{number}", "abcd"[number], instance)
    task = None
    try:
        await mesh.start()
        task = asyncio.create_task(resend(front, record))
        await asyncio.sleep(CALM_S)
        for _ in range(ROLLS):
            if HAS_TROUBLE:
                await roll(mesh.machines[1:], record)
            await asyncio.sleep(CALM_S)
        if not crashes:
            return 2
        free_s = crashes[: CRASHES_FREE + 1][-1] if len(crashes) >= 3 else None
        if len(crashes) >= CRASHES_FREE:
            free_s = crashes[CRASHES_FREE - 1] + STABLE_S
        later = [] if free_s is None else [s for s in crashes if s > free_s]
        record.write(f"{len(crashes)} instances crashed, {len(later)} of them later")
        broken = len(later) > RETRIES_MAX
        record.write("BUDGET: broken" if broken else "BUDGET: held")
        return int(broken)
    finally:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await mesh.stop()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
