"""What a call shows to be admitted, and what it gets."""

import math
from dataclasses import dataclass

from damaskproxy.common import Priority
from damaskproxy.common.ids import ORDINAL_COUNT

__all__ = ["LEVEL_COUNT", "Permit", "Ticket", "admission_position"]

LEVEL_COUNT = len(Priority) * ORDINAL_COUNT


@dataclass(slots=True)
class Ticket:
    """A call that asks to be admitted.

    Parameters
    ----------
    priority : Priority
        Class of the root request.
    ordinal : int
        Position of the root request within its class, 0 to 127.
    route : str
        Name of the route, under which costs are learned.
    deadline_s, start_by_s : float
        Instants on the controller's clock.
    long_work_hint : bool
        Whether the caller knows that this call is long work.
    """

    priority: Priority
    ordinal: int
    route: str
    deadline_s: float
    start_by_s: float = math.inf
    long_work_hint: bool = False


@dataclass(slots=True, eq=False)
class Permit:
    """Right to run one call; goes back through `AdmissionController.release`.

    Parameters
    ----------
    route : str
        Route of the ticket.
    is_long : bool
        Whether the call counts as long work.
    waited_s : float
        Time in the queue.
    released : bool
        Whether it has gone back; a second release changes nothing.
    """

    route: str
    is_long: bool
    waited_s: float = 0.0
    released: bool = False


def admission_position(priority: int, ordinal: int) -> int:
    """Return the position that is compared with an admission level."""
    return priority * ORDINAL_COUNT + ordinal
