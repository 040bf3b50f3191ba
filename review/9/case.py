"""Two instances crash; afterwards a page that many clients ask for is refused."""

import asyncio
import itertools
import os
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
DOWN_S = 4.5
CALM_S = 8.0
INTERVAL_S = 0.025
WORK_S = 0.3
FIRST_ROUTES = {"browse": {"prefix": "/browse/", "kind": "safe", "service": "horns"}}
ADDED_ROUTES = {"offers": {"prefix": "/offers/", "kind": "safe", "service": "horns"}}


class Clients:
    """Clients of one machine: each item of the catalogue once, one page again."""

    def __init__(self, machine: Machine, record: Record):
        self.machine = machine
        self.record = record
        self.window = ""
        self.counts: dict[tuple[str, str], list[int]] = {}
        self._ids = itertools.count()

    async def run(self) -> None:
        """Send requests at a steady rate, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                number = next(self._ids)
                group.create_task(self._call("browse", f"/browse/item-{number}"))
                group.create_task(self._call("offers", "/offers/today"))
                await asyncio.sleep(INTERVAL_S)

    async def _call(self, route: str, path: str) -> None:
        request_id = f"{os.getpid():06x}{next(self._ids):08x}"
        count = self.counts.setdefault((self.window, route), [0, 0])
        count[0] += 1
        self.record.note(f"{request_id} GET {path} is sent")
        answer = await self.machine.call("GET", path, request_id)
        status = None if answer is None else answer.status
        self.record.note(f"{request_id} is answered {status}")
        count[1] += status == 200


def share(counts: dict[tuple[str, str], list[int]], window: str, route: str) -> float:
    """Return the share of the requests of a route that were served in a window."""
    sent, served = counts.get((window, route), (0, 0))
    return served / max(sent, 1)


async def crash(machine: Machine, record: Record) -> None:
    """Let the instance of a machine crash and start again."""
    record.write(f"the instance beside {machine.name} crashes for {DOWN_S} s")
    machine.pause_reports()
    machine.instance.crash()
    await asyncio.sleep(DOWN_S)
    await machine.instance.start(machine.address)
    machine.resume_reports()


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    mesh = Mesh(folder, record)
    await mesh.store.open()
    services = ["horns", "desk"]
    mesh.store.put("op", "config", configuration(3, FIRST_ROUTES, services))
    front = mesh.add("front", "a", Instance("desk", record))
    for number, zone in enumerate("aabb"):
        instance = Instance("horns", record)
        instance.work_s = lambda path: WORK_S
        mesh.add(f"horns-{number}", zone, instance)
    clients = Clients(front, record)
    task = None
    try:
        await mesh.start()
        routes = FIRST_ROUTES | ADDED_ROUTES
        mesh.store.put("op", "config", configuration(9, routes, services))
        record.write("version 9 adds a route")
        await asyncio.sleep(STABLE_S)
        clients.window = "before"
        task = asyncio.create_task(clients.run())
        await asyncio.sleep(CALM_S)
        for machine in mesh.machines[1:3]:
            clients.window = "crashes"
            if HAS_TROUBLE:
                await crash(machine, record)
            await asyncio.sleep(STABLE_S + 1.0)
        clients.window = "after"
        await asyncio.sleep(CALM_S)
        clients.window = "late"
        await asyncio.sleep(CALM_S + 15.0)
        clients.window = ""
        await asyncio.sleep(6.0)
        counts = clients.counts
        for window in ("before", "crashes", "after", "late"):
            for route in ("browse", "offers"):
                sent, served = counts.get((window, route), (0, 0))
                record.write(f"{window} {route}: {served} of {sent} served")
        if share(counts, "before", "offers") < 0.9:
            return 2
        added = share(counts, "after", "offers"), share(counts, "late", "offers")
        first = share(counts, "after", "browse"), share(counts, "late", "browse")
        broken = any(a < f / 4 for a, f in zip(added, first))
        record.write("CONFIG: broken" if broken else "CONFIG: held")
        return int(broken)
    finally:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await mesh.stop()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
