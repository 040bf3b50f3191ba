"""Maps the calls of a backend server to the requests that cause them.

The id of a call is the id of the request that causes it, its parent, followed by a dot
and a suffix. A call whose id is not of this form counts as a root request.
"""

from dataclasses import dataclass

from damaskproxy.admission.tickets import LEVEL_COUNT
from damaskproxy.common import ordinal_of
from damaskproxy.common.clock import boot_s
from damaskproxy.forwarding.calls import Call

__all__ = [
    "LevelKey",
    "Parent",
    "ParentRequests",
    "RouteLevels",
    "is_call_id",
    "root_ordinal_of",
]

SEPARATOR = b"."
LEVEL_WEIGHT = 0.2
"""Weight of the newest report in the average; servers of a service differ in load."""
REOPEN_S = 1.0
"""Time without reports after which a level is fully open, so that a route without
traffic is tried again soon."""
HOLD_S = 0.5
"""Time for which a held level is used unchanged, in which most nodes get another
report. A level that rises at once is far too high at a node with few reports: with 9 a
second it settles 230 positions, almost two classes, above the reported one, and again
at each hop."""
REPORT_WINDOW_S = 0.1
"""Time over which held levels are averaged, the window in which servers change theirs.
A longer one would delay a lower level at each hop."""


LEVELS_MAX = 10_000
"""Levels at one node. Beyond that the oldest is removed, and is open until the next
report; they take some 2 MB."""

LevelKey = str | tuple[str, str]


def root_ordinal_of(request_id: bytes) -> int:
    """Return the ordinal by the hash of the id of the root request of a call."""
    return ordinal_of(request_id.partition(SEPARATOR)[0])


def is_call_id(request_id: bytes) -> bool:
    """Tell whether an id has the form of that of a call of a backend server."""
    return SEPARATOR in request_id


@dataclass(slots=True)
class Parent:
    """Request that runs on the local backend server.

    Parameters
    ----------
    route : str
        Name of its route.
    priority : int
        Rank of its root request.
    is_repeat : bool
        Whether this run, or that of an ancestor, is a retry.
    organisation : str
        Name of the organisation of its root request, empty without one.
    ordinal : int or None
        Ordinal of its root request, if a target has set it.
    """

    route: str
    priority: int
    is_repeat: bool
    organisation: str = ""
    ordinal: int | None = None


class _ReportedLevel:
    """Moving average of the admission level reported with the results of a route."""

    __slots__ = ("_is_held", "_reported_s", "_value", "refusals")

    def __init__(self):
        self._value = float(LEVEL_COUNT)
        self._reported_s = 0.0
        self._is_held = False
        self.refusals = 0

    def current_level(self) -> int:
        """Return the level, which rises with the time since the last report."""
        age_s = boot_s() - self._reported_s
        if self._is_held:
            rise = max(0.0, age_s - HOLD_S) / (REOPEN_S - HOLD_S)
        else:
            rise = age_s / REOPEN_S
        return min(LEVEL_COUNT, int(self._value + LEVEL_COUNT * rise))

    def report(self, level: int, *, is_held: bool = False) -> None:
        """Add a report to the average."""
        average = self.current_level()
        weight = LEVEL_WEIGHT
        now_s = boot_s()
        if is_held:
            age_s = now_s - self._reported_s
            weight = min(1.0, max(LEVEL_WEIGHT, age_s / REPORT_WINDOW_S))
        self._value = average + (level - average) * weight
        self._reported_s = now_s
        self._is_held = is_held


class RouteLevels:
    """Admission levels that were reported with results, by route.

    The key of a level is the name of a route, with that of an organisation if these
    share the servers.
    """

    def __init__(self):
        self._levels: dict[LevelKey, _ReportedLevel] = {}

    def report(self, route: LevelKey, level: int, *, is_held: bool = False) -> None:
        """Record the level that came with a result of `route`.

        Parameters
        ----------
        route : str or tuple of str
            Key of the level.
        level : int
            Level in a load report.
        is_held : bool
            Whether the level is used unchanged for `HOLD_S` instead of rising at once.
        """
        average = self._levels.get(route)
        if average is None:
            if len(self._levels) >= LEVELS_MAX:
                del self._levels[next(iter(self._levels))]
            average = self._levels[route] = _ReportedLevel()
        average.report(level, is_held=is_held)

    def current_level(self, route: LevelKey) -> int:
        """Return the level of `route`, fully open before the first report."""
        average = self._levels.get(route)
        return LEVEL_COUNT if average is None else average.current_level()

    def refuses(self, route: LevelKey, position: int) -> bool:
        """Tell whether a new request is beyond the level, and count the refusal."""
        average = self._levels.get(route)
        if average is None or position < average.current_level():
            return False
        average.refusals += 1
        return True

    def take_refusals(self, route: LevelKey) -> int:
        """Return the refusals since the last call of this method."""
        average = self._levels.get(route)
        if average is None:
            return 0
        taken, average.refusals = average.refusals, 0
        return taken


class ParentRequests:
    """Requests in flight on the local backend server, and levels of their callees."""

    def __init__(self):
        self._parents: dict[bytes, Parent] = {}
        self._callee_levels = RouteLevels()

    def call_started(self, call: Call) -> None:
        """Record that `call` runs on the backend server."""
        parent = Parent(
            call.route, call.priority, call.is_repeat, call.organisation, call.ordinal
        )
        self._parents[call.request_id] = parent

    def call_ended(self, call: Call) -> None:
        """Record that `call` no longer runs."""
        self._parents.pop(call.request_id, None)

    def parent_of(self, request_id: bytes) -> Parent | None:
        """Return the request that caused a call, None for a root request."""
        prefix, separator, _ = request_id.rpartition(SEPARATOR)
        return self._parents.get(prefix) if separator else None

    def report(self, parent: Parent, level: int, *, is_held: bool = False) -> None:
        """Record the level that came with the result of a call of `parent`."""
        self._callee_levels.report(parent.route, level, is_held=is_held)

    def callee_level(self, route: str) -> int:
        """Return the admission level of the callees of requests of `route`."""
        return self._callee_levels.current_level(route)
