"""Validation rules for a section that its schema cannot express."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from damaskproxy.common import Priority
from damaskproxy.model import Placement

__all__ = ["ValidationIssue", "check_document"]

PRIORITY_NAMES = tuple(priority.name.lower() for priority in Priority)
PLACEMENT_NAMES = tuple(map(str, Placement))
DATA_CENTRE = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """A rule that a document violates.

    Parameters
    ----------
    path : str
        Location in the document, for example ``$.services[1].routes[0].deadline_ms``.
    message : str
        Description for the operator.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def check_document(document) -> list[ValidationIssue]:
    """Return all issues of a decoded section, in document order."""
    issues = []
    names = (service.name for service in document.services)
    issues += check_unique(names, "$.services[{}].name", "service")
    for index, service in enumerate(document.services):
        issues += check_service(service, f"$.services[{index}]")
    return issues


def check_unique(
    names: Iterable[str], path: str, kind: str
) -> Iterator[ValidationIssue]:
    """Yield an issue for each duplicate name; `path` is a format with the index."""
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            yield ValidationIssue(path.format(index), f"{kind} {name!r} appears twice")
        seen.add(name)


def check_service(service, path: str) -> Iterator[ValidationIssue]:
    """Yield the issues of one service."""
    names = (route.name for route in service.routes)
    yield from check_unique(names, path + ".routes[{}].name", "route")
    matches = (f"{route.method} {route.path}" for route in service.routes)
    yield from check_unique(matches, path + ".routes[{}].path", "route for")
    for index, route in enumerate(service.routes):
        yield from check_route(route, f"{path}.routes[{index}]")
    yield from check_placement(service.placement, f"{path}.placement")


def check_route(route, path: str) -> Iterator[ValidationIssue]:
    """Yield the issues of one route."""
    if route.priority not in PRIORITY_NAMES:
        yield unknown_value(f"{path}.priority", route.priority, PRIORITY_NAMES)
    elif route.priority == "sheddable" and not route.idempotent:
        # Non-idempotent calls, such as orders, renewals and payments, are shed last
        # (invariant 2).
        message = "a route that is not idempotent must not be sheddable"
        yield ValidationIssue(f"{path}.priority", message)


def check_placement(placement, path: str) -> Iterator[ValidationIssue]:
    """Yield the issues of a placement."""
    for name, value in placement.items():
        if not DATA_CENTRE.fullmatch(name):
            yield ValidationIssue(path, f"{name!r} is not the name of a data centre")
        if value not in PLACEMENT_NAMES:
            yield unknown_value(f"{path}.{name}", value, PLACEMENT_NAMES)
    if placement and "serving" not in placement.values():
        yield ValidationIssue(path, "at least one data centre must stay serving")


def unknown_value(path: str, value: str, known: tuple[str, ...]) -> ValidationIssue:
    """Return the issue for a value that is not one of `known`."""
    return ValidationIssue(
        path, f"{value!r} is unknown; expected one of {', '.join(known)}"
    )
