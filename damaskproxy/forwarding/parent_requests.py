"""Relation of the calls of a backend server to the requests that cause them.

A backend server gives each of its calls an id that begins with the id of the request
that causes it, a dot between them. Where it does not, a call counts as a root request.
"""

from dataclasses import dataclass

from damaskproxy.admission.tickets import LEVEL_COUNT
from damaskproxy.common.clock import boot_s
from damaskproxy.forwarding.calls import Call

__all__ = ["ParentRequests", "Parent", "RouteLevels", "root_of"]

SEPARATOR = b"."
LEVEL_WEIGHT = 0.2
"""Weight of the newest report; the servers of a service differ in load."""
REOPEN_S = 1.0
"""Time without a report in which a level opens fully, so that a route without traffic
is tried again soon."""


def root_of(request_id: bytes) -> bytes:
    """Return the id of the request of a client that caused a call."""
    return request_id.partition(SEPARATOR)[0]


@dataclass(slots=True)
class Parent:
    """Request that runs on the backend server beside this node.

    Parameters
    ----------
    route : str
        Its route.
    priority : int
        Rank of its root request.
    is_repeat : bool
        Whether this run, or that of an ancestor, is not the first.
    """

    route: str
    priority: int
    is_repeat: bool


class _Level:
    """Admission level that the results of one route report."""

    __slots__ = ("_at_s", "_value")

    def __init__(self):
        self._value = float(LEVEL_COUNT)
        self._at_s = 0.0

    def now(self) -> int:
        """Return the level, which opens with time."""
        age_s = boot_s() - self._at_s
        return min(LEVEL_COUNT, int(self._value + LEVEL_COUNT * age_s / REOPEN_S))

    def report(self, level: int) -> None:
        """Take a report in."""
        known = self.now()
        self._value = known + (level - known) * LEVEL_WEIGHT
        self._at_s = boot_s()


class RouteLevels:
    """Admission levels that results report, by route."""

    def __init__(self):
        self._levels: dict[str, _Level] = {}

    def report(self, route: str, level: int) -> None:
        """Learn the level of a result of `route`."""
        known = self._levels.get(route)
        if known is None:
            known = self._levels[route] = _Level()
        known.report(level)

    def now(self, route: str) -> int:
        """Return the level of `route`; it is open until results report."""
        known = self._levels.get(route)
        return LEVEL_COUNT if known is None else known.now()


class ParentRequests:
    """Requests in flight on the backend server and the load below their routes."""

    def __init__(self):
        self._parents: dict[bytes, Parent] = {}
        self._below = RouteLevels()

    def began(self, call: Call) -> None:
        """Note that `call` runs on the backend server."""
        parent = Parent(call.route, call.priority, call.is_repeat)
        self._parents[call.request_id] = parent

    def ended(self, call: Call) -> None:
        """Note that `call` no longer runs."""
        self._parents.pop(call.request_id, None)

    def parent_of(self, request_id: bytes) -> Parent | None:
        """Return the request that caused a call, None for a root request."""
        prefix, separator, _ = request_id.rpartition(SEPARATOR)
        return self._parents.get(prefix) if separator else None

    def report(self, parent: Parent, level: int) -> None:
        """Learn the level with which a call of `parent` came back."""
        self._below.report(parent.route, level)

    def level_below(self, route: str) -> int:
        """Return the level of the services that requests of `route` call."""
        return self._below.now(route)
