"""One service whose servers differ in speed, called from nodes of three data centres.

The demand of each data centre is a wave, out of phase with the others. The sizes are
those of the target workload in docs/faults-and-placement.md.

``python -m damaskproxy.forwarding.tests.virtual_placement [--seeds 1,2,3]`` plays all
rows and prints the mean figures with and without organisations.
"""

import asyncio
import logging
import math
import random
from dataclasses import astuple, dataclass
from typing import Annotated

import typer

from damaskproxy.directory import Configuration
from damaskproxy.forwarding.tests.builders import NAMES, make_report, make_route
from damaskproxy.forwarding.tests.virtual_service import (
    VirtualServer,
    VirtualService,
    virtual_clock,
)
from damaskproxy.http1 import ClientLimits, ConnectFailed, Request
from damaskproxy.organisations import Organisation, Organisations
from tools.faults.virtual_time import now_s, run_virtual

__all__ = ["ROWS", "Event", "Figures", "play"]

SPEEDS = (0.6, 1.0, 1.6)
SLOTS = 4
NOISE_SHARE, NOISE_FACTOR, NOISE_S = 0.15, 2.5, 0.6
"""Share of the time in which a server is slow, how slow, and for how long."""
WAVE_AMPLITUDE, WAVE_PERIOD_S = 0.55, 13.0
DATA_CENTRES = ("a", "b", "c")
COLD_S, COLD_SPEED = 3.0, 0.5
DETECTION_S = 1.0
"""Time after which the nodes know of a lost server."""
WARM_UP_S = 2.0
"""Time before the measurement, in which the nodes learn the speeds."""


@dataclass(frozen=True)
class Kind:
    """Requests of one route: their share, run time, deadline and objective."""

    name: str
    share: float
    work_s: float
    timeout_ms: int
    objective_ms: int


KINDS = (
    Kind("find", 0.6, 0.015, 700, 300),
    Kind("book", 0.25, 0.060, 1500, 500),
    Kind("report", 0.15, 0.180, 5000, 1500),
)
BY_NAME = {kind.name: kind for kind in KINDS}
MEAN_WORK_S = sum(kind.share * kind.work_s for kind in KINDS)
ROUTES = tuple(
    make_route(
        name=kind.name,
        prefix=f"/{kind.name}/",
        timeout_ms=kind.timeout_ms,
        objective_ms=kind.objective_ms,
    )
    for kind in KINDS
)
MEAN_SLOWNESS = 1 + NOISE_SHARE * (NOISE_FACTOR - 1)


@dataclass
class UnevenServer(VirtualServer):
    """Server with a speed, slow phases, and a loss and cold return.

    Attributes
    ----------
    busy : list of tuple
        Begin and end of each request that it ran.
    """

    speed: float = 1.0
    rng: random.Random = None
    is_lost: bool = False
    cold_until_s: float = 0.0

    def __post_init__(self):
        self.busy = []
        self._slow_from_s = self._next_slow_s(0.0)

    def _next_slow_s(self, from_s):
        mean_s = NOISE_S * (1 - NOISE_SHARE) / NOISE_SHARE
        return from_s + self.rng.expovariate(1 / mean_s)

    def _slowness(self, time_s):
        while time_s >= self._slow_from_s + NOISE_S:
            self._slow_from_s = self._next_slow_s(self._slow_from_s + NOISE_S)
        noise = NOISE_FACTOR if time_s >= self._slow_from_s else 1.0
        return noise / (COLD_SPEED if time_s < self.cold_until_s else 1.0)

    async def exchange(self, request, *, accept, max_idle_share):
        """Run a request at the speed that the server has when it begins."""
        if self.is_lost:
            raise ConnectFailed("lost")
        kind = BY_NAME[request.target.split(b"/")[1].decode()]
        begin_s = now_s()
        spread = 0.8 + 0.4 * self.rng.random()
        self.work_s = kind.work_s * spread * self._slowness(begin_s) / self.speed
        self.busy.append((begin_s, begin_s + self.work_s))
        return await super().exchange(
            request, accept=accept, max_idle_share=max_idle_share
        )


@dataclass(frozen=True)
class Event:
    """Load as a share of the capacity, and what happens to one server.

    Parameters
    ----------
    name : str
        Steady, loss, slow, cold or overload.
    servers, nodes : int
        Servers of the service, and nodes that select among them.
    load : float
        Requests as a share of the capacity before the event.
    """

    name: str
    servers: int
    nodes: int
    load: float


ROWS = (
    Event("steady", 3, 10, 0.85),
    Event("steady", 3, 60, 0.85),
    Event("steady", 7, 60, 0.85),
    Event("steady", 19, 60, 0.85),
    Event("steady", 33, 62, 0.85),
    Event("loss", 3, 60, 0.6),
    Event("loss", 7, 60, 0.7),
    Event("slow", 3, 60, 0.5),
    Event("slow", 7, 60, 0.7),
    Event("cold", 3, 60, 0.7),
    Event("cold", 7, 60, 0.8),
    Event("overload", 3, 60, 1.3),
    Event("overload", 7, 60, 1.3),
    Event("overload", 19, 60, 1.3),
)


@dataclass(frozen=True)
class Figures:
    """What callers got, and how evenly the servers were used.

    Parameters
    ----------
    served, in_time : float
        Shares of requests that were served, and within the objective.
    p99_s : float
        Time of the served requests.
    spread : float
        Difference between the most and the least utilized server.
    crossing : float
        Calls to another data centre per request.
    """

    served: float
    in_time: float
    p99_s: float
    spread: float
    crossing: float


class UnevenService(VirtualService):
    """Nodes of three data centres, some beside a server of the service.

    Attributes
    ----------
    ends : list of tuple
        Route, start, time that the client waited, and status.
    """

    def __init__(self, event, seed, *, has_organisations=False):
        organisations = (
            Organisations([Organisation("a", (b"a",))]) if has_organisations else None
        )
        self.configuration = Configuration(
            1, ROUTES, {}, ClientLimits(), b"", organisations=organisations
        )
        self.ends = []
        self.crossings = 0
        servers = [
            UnevenServer(
                0.0,
                slots=SLOTS,
                speed=SPEEDS[number % len(SPEEDS)],
                rng=random.Random(f"{seed}/{number}"),
            )
            for number in range(event.servers)
        ]
        self.capacity_per_s = sum(
            server.slots * server.speed / (MEAN_WORK_S * MEAN_SLOWNESS)
            for server in servers
        )
        super().__init__(event.nodes, servers)
        self.rng = random.Random(seed)

    def data_centre_of(self, node_id):
        """Return the data centre of a node; servers of all speeds are in each."""
        number = int(node_id[1:])
        return DATA_CENTRES[(number + number // 3) % len(DATA_CENTRES)]

    async def run_remote(self, member, call):
        """Run a call at another node."""
        self.crossings += call.request_id[:1].decode() != member.data_centre
        return await super().run_remote(member, call)

    async def play_waves(self, duration_s, load):
        """Let requests begin in all data centres and await them."""
        per_s = load * self.capacity_per_s
        by_data_centre = {name: [] for name in DATA_CENTRES}
        for node_id, node in self.nodes.items():
            by_data_centre[self.data_centre_of(node_id)].append(node)
        end_s, tasks = now_s() + duration_s, []
        while now_s() < end_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            weights = [_wave(now_s(), index) for index in range(len(DATA_CENTRES))]
            (data_centre,) = self.rng.choices(DATA_CENTRES, weights)
            node = self.rng.choice(by_data_centre[data_centre])
            (kind,) = self.rng.choices(KINDS, [kind.share for kind in KINDS])
            tasks.append(asyncio.create_task(self._send_kind(node, kind)))
        return tasks

    async def _send_kind(self, node, kind):
        data_centre = self.data_centre_of(node.node_id).encode()
        fields = [
            (b"Host", b"h"),
            (NAMES.request_id, b"%s%031x" % (data_centre, self.rng.getrandbits(124))),
            (NAMES.deadline_ms, b"%d" % kind.timeout_ms),
            (b"Authorization", b"Bearer a"),
        ]
        request = Request(b"GET", f"/{kind.name}/1".encode(), fields)
        started_s = now_s()
        response = await node.origin.handle(request)
        self.ends.append((kind.name, started_s, now_s() - started_s, response.status))

    def figures(self, begin_s, end_s):
        """Return the figures of the requests that began in an interval."""
        found = [end for end in self.ends if begin_s <= end[1] < end_s]
        times_s = sorted(end[2] for end in found if end[3] == 200)
        in_time = [
            status == 200 and took_s <= BY_NAME[name].objective_ms / 1000
            for name, _, took_s, status in found
        ]
        used = [
            sum(max(0, min(e, end_s) - max(b, begin_s)) for b, e in node.server.busy)
            / (node.server.slots * (end_s - begin_s))
            for node in self.nodes.values()
            if node.server is not None and not node.server.is_lost
        ]
        return Figures(
            len(times_s) / len(found),
            sum(in_time) / len(found),
            times_s[int(0.99 * len(times_s))],
            max(used) - min(used),
            self.crossings / len(self.ends),
        )


def _wave(time_s, index):
    phase = index / len(DATA_CENTRES)
    return 1 + WAVE_AMPLITUDE * math.sin(2 * math.pi * (time_s / WAVE_PERIOD_S + phase))


async def _begin_event(service, name):
    """Change the server of the second node, which has a usual speed."""
    node = service.nodes["n1"]
    server = node.server
    if name == "slow":
        server.speed /= 5
    elif name in ("loss", "cold"):
        server.is_lost = True
        await asyncio.sleep(DETECTION_S)
        node.backend.report(make_report(is_draining=True, sequence=2))
    if name == "cold":
        await asyncio.sleep(DETECTION_S)
        server.is_lost, server.cold_until_s = False, now_s() + COLD_S
        node.backend.report(
            make_report(slots=SLOTS, instance_id="i-2", born_ms=2000, cold_ms=3000)
        )


async def _play_event(event, seed, has_organisations):
    service = UnevenService(event, seed, has_organisations=has_organisations)
    tasks = await service.play_waves(WARM_UP_S, event.load)
    begin_s = now_s()
    change = asyncio.create_task(_begin_event(service, event.name))
    tasks += await service.play_waves(WAVE_PERIOD_S, event.load)
    end_s = now_s()
    await asyncio.gather(change, *tasks)
    return service.figures(begin_s, end_s)


def play(event, seed, *, has_organisations):
    """Play an event for one period of the waves and return its figures."""
    logging.disable(logging.CRITICAL)
    try:
        with virtual_clock():
            return run_virtual(_play_event(event, seed, has_organisations))
    finally:
        logging.disable(logging.NOTSET)


def main(
    seeds: Annotated[str, typer.Option(help="Seeds, separated by commas.")] = "1,2,3",
) -> None:
    """Print the mean figures of all rows, without and with organisations."""
    numbers = [int(seed) for seed in seeds.split(",")]
    typer.echo("event servers nodes load organisations served in-time p99 spread cross")
    for event in ROWS:
        for has_organisations in (False, True):
            played = [
                astuple(play(event, seed, has_organisations=has_organisations))
                for seed in numbers
            ]
            means = [sum(values) / len(values) for values in zip(*played)]
            figures = " ".join(f"{mean:.3f}" for mean in means)
            name = " ".join(map(str, astuple(event)))
            typer.echo(f"{name:24} {has_organisations!s:5} {figures}")


if __name__ == "__main__":
    typer.run(main)
