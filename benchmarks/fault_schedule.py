"""Schedules of faults, drawn from a seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["FaultKind", "PlannedFault", "draw_schedule"]

FAULTS_MIN, FAULTS_MAX = 3, 6
FIRST_S, LAST_S = 1.0, 9.0
SHORTEST_S, LONGEST_S = 1.0, 6.0


class FaultKind(StrEnum):
    """Kinds of faults."""

    TABLE_DOWN = "table-down"
    TABLE_SLOW = "table-slow"
    TABLE_ANSWER_LOST = "table-answer-lost"
    OBJECTS_DOWN = "objects-down"
    NODE_KILLED = "node-killed"
    NODE_PAUSED = "node-paused"
    NODE_RESTARTED = "node-restarted"
    NODE_STOPPED = "node-stopped"
    BACKEND_KILLED = "backend-killed"
    LINK_CUT = "link-cut"
    LINK_CUT_ONE_WAY = "link-cut-one-way"
    LINK_DELAYED = "link-delayed"
    RACING_EDITS = "racing-edits"
    SERVICE_MOVED = "service-moved"
    POISON_READ = "poison-read"
    POISON_ORDER = "poison-order"
    SURGE = "surge"


NODE_FAULTS = frozenset(
    (
        FaultKind.NODE_KILLED,
        FaultKind.NODE_PAUSED,
        FaultKind.NODE_RESTARTED,
        FaultKind.NODE_STOPPED,
        FaultKind.BACKEND_KILLED,
    )
)
LINK_FAULTS = frozenset(
    (FaultKind.LINK_CUT, FaultKind.LINK_CUT_ONE_WAY, FaultKind.LINK_DELAYED)
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a schedule.

    Parameters
    ----------
    kind : FaultKind
        What happens.
    at_s, for_s : float
        Start, counted from the first request, and duration.
    targets : tuple of str
        Hosts: one for a fault of a node, two for one of a link.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    targets: tuple[str, ...] = ()

    def __str__(self) -> str:
        where = " to ".join(self.targets)
        return f"{self.at_s:5.1f} s for {self.for_s:3.1f} s  {self.kind} {where}"


def _draw(rng: random.Random, hosts: Sequence[str], free: list[str]) -> PlannedFault:
    kind = rng.choice(list(FaultKind))
    targets: tuple[str, ...] = ()
    if kind in NODE_FAULTS:
        targets = (free.pop(rng.randrange(len(free))),)
    elif kind in LINK_FAULTS:
        targets = tuple(rng.sample(hosts, 2))
    at_s = rng.uniform(FIRST_S, LAST_S)
    return PlannedFault(kind, at_s, rng.uniform(SHORTEST_S, LONGEST_S), targets)


def draw_schedule(seed: int, hosts: Sequence[str]) -> list[PlannedFault]:
    """Return the schedule of a seed; equal arguments give equal schedules.

    Notes
    -----
    Faults overlap, but no host is hit by two faults of its processes, since the second
    could find no process to act on. Half of the hosts at most are hit.
    """
    rng = random.Random(seed)
    free = rng.sample(list(hosts), len(hosts))
    faults: list[PlannedFault] = []
    count = rng.randint(FAULTS_MIN, FAULTS_MAX)
    while len(faults) < count:
        left = list(free)
        fault = _draw(rng, hosts, left)
        once = fault.kind in (FaultKind.SERVICE_MOVED, FaultKind.SURGE)
        if once and any(other.kind is fault.kind for other in faults):
            continue
        if len(left) * 2 < len(hosts):
            continue
        free = left
        faults.append(fault)
    return sorted(faults, key=lambda fault: fault.at_s)
