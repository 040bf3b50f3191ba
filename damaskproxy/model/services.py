"""Services, routes and the sections of the move document, inside the node."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from damaskproxy.common import Priority

__all__ = ["DrainLimits", "Placement", "Route", "Section", "Service"]


class Placement(StrEnum):
    """What a service does in one data centre."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Route:
    """One kind of request of a service.

    Parameters
    ----------
    name : str
        Name of the route, unique in its service.
    method : str
        HTTP method, or ``*`` for any.
    path : str
        Path prefix below the service.
    priority : Priority
        Class for load shedding.
    idempotent : bool
        Whether a second run does no harm.
    deadline_ms : int
        Time that a root request may take.
    retry_allowance : int
        Retries that one root request may cause in the whole call chain.
    """

    name: str
    method: str
    path: str
    priority: Priority
    idempotent: bool
    deadline_ms: int
    retry_allowance: int


@dataclass(frozen=True, slots=True)
class DrainLimits:
    """How fast the backend servers of a service may drain."""

    max_draining: int = 1
    min_warm_share: float = 0.5


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its routes and its placement per data centre."""

    name: str
    routes: tuple[Route, ...]
    placement: Mapping[str, Placement] = field(default_factory=dict)
    pace: DrainLimits = field(default_factory=DrainLimits)


@dataclass(frozen=True, slots=True)
class Section:
    """An accepted version of one team's section of the move document."""

    name: str
    team: str
    version: int
    edit_id: str
    services: tuple[Service, ...]
