"""Random schedules of faults, generated from a seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["FaultKind", "PlannedFault", "draw_schedule"]

FAULTS_MIN, FAULTS_MAX = 3, 6
FIRST_S, LAST_S = 1.0, 9.0
SHORTEST_S, LONGEST_S = 1.0, 6.0


class FaultKind(StrEnum):
    """Kinds of faults that are injected."""

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
    """One fault of a schedule.

    Parameters
    ----------
    kind : FaultKind
        Kind of the fault.
    at_s, for_s : float
        Start after the first request, and duration, in seconds.
    targets : tuple of str
        Hosts: one for a fault of a process, two for one of a link, else none.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    targets: tuple[str, ...] = ()

    def __str__(self) -> str:
        where = " to ".join(self.targets)
        return f"{self.at_s:5.1f} s for {self.for_s:3.1f} s  {self.kind} {where}"


def _draw(
    rng: random.Random, hosts: Sequence[str], unaffected: list[str]
) -> PlannedFault:
    kind = rng.choice(list(FaultKind))
    targets: tuple[str, ...] = ()
    if kind in NODE_FAULTS:
        targets = (unaffected.pop(rng.randrange(len(unaffected))),)
    elif kind in LINK_FAULTS:
        targets = tuple(rng.sample(hosts, 2))
    at_s = rng.uniform(FIRST_S, LAST_S)
    return PlannedFault(kind, at_s, rng.uniform(SHORTEST_S, LONGEST_S), targets)


def draw_schedule(seed: int, hosts: Sequence[str]) -> list[PlannedFault]:
    """Return the schedule for a seed; equal arguments give equal schedules.

    Notes
    -----
    Faults may overlap, but a host has at most one fault of its processes, since a
    second one could find no running process. At most half of the hosts have one.
    """
    rng = random.Random(seed)
    unaffected = rng.sample(list(hosts), len(hosts))
    faults: list[PlannedFault] = []
    count = rng.randint(FAULTS_MIN, FAULTS_MAX)
    while len(faults) < count:
        remaining = list(unaffected)
        fault = _draw(rng, hosts, remaining)
        is_once_only = fault.kind in (FaultKind.SERVICE_MOVED, FaultKind.SURGE)
        if is_once_only and any(other.kind is fault.kind for other in faults):
            continue
        if len(remaining) * 2 < len(hosts):
            continue
        unaffected = remaining
        faults.append(fault)
    return sorted(faults, key=lambda fault: fault.at_s)
