"""Services, routes and the sections of the move document, as used in the node."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from damaskproxy.common import Priority

__all__ = ["DrainLimits", "Placement", "Route", "Section", "Service"]


class Placement(StrEnum):
    """Whether a service serves in a data centre or is moving out of it."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Route:
    """Group of requests of a service with the same method and path prefix.

    Parameters
    ----------
    name : str
        Name of the route, unique in its service.
    method : str
        HTTP method, or ``*`` for any.
    path : str
        Path prefix, relative to the service.
    priority : Priority
        Priority class for load shedding.
    idempotent : bool
        Whether a request may safely run more than once.
    deadline_ms : int
        Time limit of a root request.
    retry_allowance : int
        Retries that one root request may cause in its whole call graph.
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
    """Limits on how fast the backend servers of a service may drain."""

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
