"""Requests for admission and the permits that grant them."""

import math
from dataclasses import dataclass

from damaskproxy.common import Priority
from damaskproxy.common.ids import ORDINAL_COUNT

__all__ = ["LEVEL_COUNT", "Permit", "Ticket", "admission_position"]

LEVEL_COUNT = len(Priority) * ORDINAL_COUNT


@dataclass(slots=True)
class Ticket:
    """Request of a call for admission.

    Parameters
    ----------
    priority : Priority
        Priority class of the root request.
    ordinal : int
        Position of the root request within its class, 0 to 127.
    route : str
        Name of the route, under which costs are recorded.
    deadline_s, start_by_s : float
        Latest end and latest start, on the controller's clock.
    long_work_hint : bool
        Whether the caller has marked this call as long-running.
    has_begun : bool
        Whether servers have already worked on its root request. Such a call goes before
        new root requests of its class.
    """

    priority: Priority
    ordinal: int
    route: str
    deadline_s: float
    start_by_s: float = math.inf
    long_work_hint: bool = False
    has_begun: bool = False


@dataclass(slots=True, eq=False)
class Permit:
    """Permit to run one call; must be returned to `AdmissionController.release`.

    Parameters
    ----------
    route : str
        Route of the ticket.
    is_long : bool
        Whether the call counts as long-running.
    waited_s : float
        Time spent in the queue.
    released : bool
        Whether it has been released; further releases have no effect.
    """

    route: str
    is_long: bool
    waited_s: float = 0.0
    released: bool = False


def admission_position(priority: int, ordinal: int) -> int:
    """Return the position of a root request, to be compared with admission levels."""
    return priority * ORDINAL_COUNT + ordinal
