"""Checks of a section that its schema cannot express."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from damaskproxy.common import Priority
from damaskproxy.model import Placement

__all__ = ["Fault", "check_document"]

PRIORITY_NAMES = tuple(priority.name.lower() for priority in Priority)
PLACEMENT_NAMES = tuple(map(str, Placement))
DATA_CENTRE = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")


@dataclass(frozen=True, slots=True)
class Fault:
    """Something wrong with a document.

    Parameters
    ----------
    path : str
        Where, for example ``$.services[1].routes[0].deadline_ms``.
    message : str
        What, for a person.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def check_document(document) -> list[Fault]:
    """Return all faults of a decoded section, in the order of the text."""
    faults = []
    names = (service.name for service in document.services)
    faults += check_unique(names, "$.services[{}].name", "service")
    for index, service in enumerate(document.services):
        faults += check_service(service, f"$.services[{index}]")
    return faults


def check_unique(names: Iterable[str], path: str, kind: str) -> Iterator[Fault]:
    """Yield a fault for each repeated name; `path` has a place for the index."""
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Fault(path.format(index), f"{kind} {name!r} appears twice")
        seen.add(name)


def check_service(service, path: str) -> Iterator[Fault]:
    """Yield the faults of one service."""
    names = (route.name for route in service.routes)
    yield from check_unique(names, path + ".routes[{}].name", "route")
    matches = (f"{route.method} {route.path}" for route in service.routes)
    yield from check_unique(matches, path + ".routes[{}].path", "route for")
    for index, route in enumerate(service.routes):
        yield from check_route(route, f"{path}.routes[{index}]")
    yield from check_placement(service.placement, f"{path}.placement")


def check_route(route, path: str) -> Iterator[Fault]:
    """Yield the faults of one route."""
    if route.priority not in PRIORITY_NAMES:
        yield unknown_word(f"{path}.priority", route.priority, PRIORITY_NAMES)
    elif route.priority == "sheddable" and not route.idempotent:
        # Orders, renewals and payments are shed last (invariant 2).
        message = "a route that is not idempotent must not be sheddable"
        yield Fault(f"{path}.priority", message)


def check_placement(placement, path: str) -> Iterator[Fault]:
    """Yield the faults of a placement."""
    for name, value in placement.items():
        if not DATA_CENTRE.fullmatch(name):
            yield Fault(path, f"{name!r} is not the name of a data centre")
        if value not in PLACEMENT_NAMES:
            yield unknown_word(f"{path}.{name}", value, PLACEMENT_NAMES)
    if placement and "serving" not in placement.values():
        yield Fault(path, "at least one data centre must stay serving")


def unknown_word(path: str, word: str, known: tuple[str, ...]) -> Fault:
    """Return the fault of a word outside a closed list."""
    return Fault(path, f"{word!r} is unknown; expected {', '.join(known)}")
