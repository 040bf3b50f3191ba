"""Levels that the requests of an origin are compared with and report."""

from damaskproxy.admission.tickets import admission_position
from damaskproxy.forwarding.attempts import Attempts
from damaskproxy.forwarding.calls import Call, Result, to_priority
from damaskproxy.forwarding.parent_requests import (
    LevelKey,
    ParentRequests,
    RouteLevels,
    root_ordinal_of,
)

__all__ = ["RequestLevels"]


class RequestLevels:
    """Levels of the callees of root requests and of calls.

    Parameters
    ----------
    parent_requests : ParentRequests
        Running requests, which keep the levels of the calls that they cause.

    Attributes
    ----------
    routes : RouteLevels
        Levels of the callees of root requests.
    """

    def __init__(self, parent_requests: ParentRequests):
        self.routes = RouteLevels()
        self._parent_requests = parent_requests

    def refuses(self, call: Call) -> bool:
        """Tell whether the service or its callees would refuse a root request.

        Notes
        -----
        A call that is refused deep in the call graph wastes the work of all servers on
        the path to it, so the request is refused before any of them starts.
        """
        ordinal = root_ordinal_of(call.request_id)
        position = admission_position(to_priority(call.priority), ordinal)
        return self.routes.refuses(_level_key(call), position)

    def take_refusals(self, call: Call) -> int:
        """Return the refusals of earlier root requests, which are then forgotten."""
        return self.routes.take_refusals(_level_key(call))

    def known_level(self, attempts: Attempts) -> int | None:
        """Return the level that a root request is compared with, None for a call."""
        if attempts.parent is not None:
            return None
        return self.routes.current_level(_level_key(attempts.call))

    def record(self, attempts: Attempts, result: Result | None) -> None:
        """Record the level in the result of an attempt, if there is one."""
        if result is None or result.load is None:
            return
        call, level = attempts.call, result.load.level
        if attempts.parent is not None:
            self._parent_requests.report(attempts.parent, level, is_held=call.is_shared)
        else:
            self.routes.report(_level_key(call), level, is_held=call.is_shared)


def _level_key(call: Call) -> LevelKey:
    """Return the key under which the level of the callees of a request is kept."""
    return (call.route, call.organisation) if call.is_shared else call.route
