"""Sections in force on this node."""

from collections.abc import Callable, Mapping

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.model import Placement, Route, Section, Service

__all__ = ["SectionStore"]

Match = tuple[Service, Route]


def path_matches(prefix: str, path: str) -> bool:
    """Tell whether `prefix` is `path` or ends at a slash of it."""
    return prefix == "/" or path == prefix or path.startswith(prefix + "/")


def specificity(route: Route) -> tuple[int, bool, str]:
    """Sort key: the longest path first, then a method before ``*``, then the name."""
    return (-len(route.path), route.method == "*", route.name)


def refused(reason: RefusalReason, detail: str) -> Refusal:
    """Return the refusal of a call that matches nothing."""
    return Refusal(reason, Outcome.NOT_RUN, detail=detail)


class SectionStore:
    """Sections in force; versions only rise.

    Notes
    -----
    While a service moves from one section to another, both may contain it for the
    time that the two versions take to arrive. The section that was applied last
    decides, and the other one no longer contains it soon after.
    """

    def __init__(self):
        self._sections: dict[str, Section] = {}
        self._owners: dict[str, str] = {}
        self._services: dict[str, Service] = {}
        self._routes: dict[str, tuple[Route, ...]] = {}
        self._callbacks: list[Callable[[Section], None]] = []

    def apply(self, section: Section) -> bool:
        """Put `section` in force if it is newer than the one in force.

        Returns
        -------
        bool
            Whether anything changed.
        """
        current = self._sections.get(section.name)
        if current is not None and section.version <= current.version:
            return False
        # Insertion order is the order of application.
        self._sections.pop(section.name, None)
        self._sections[section.name] = section
        self._index(section, current)
        for callback in tuple(self._callbacks):
            callback(section)
        return True

    def _index(self, section: Section, before: Section | None) -> None:
        """Index only what changed: at 550 sections a full index takes 0.8 ms."""
        for service in section.services:
            self._place(section.name, service)
        names = {service.name for service in section.services}
        for service in before.services if before else ():
            if service.name not in names and self._owners[service.name] == section.name:
                self._replace(service.name)

    def _place(self, owner: str, service: Service) -> None:
        self._owners[service.name] = owner
        self._services[service.name] = service
        self._routes[service.name] = tuple(sorted(service.routes, key=specificity))

    def _replace(self, name: str) -> None:
        """Let the latest other section with a service decide, or drop the service."""
        del self._owners[name], self._services[name], self._routes[name]
        for section in self._sections.values():
            for service in section.services:
                if service.name == name:
                    self._place(section.name, service)

    def route(self, service: str, method: str, path: str) -> Match | Refusal:
        """Return the service and the route of a call.

        Parameters
        ----------
        service : str
            Name of the service.
        method : str
            HTTP method in upper case.
        path : str
            Path below the service with a leading slash; a query is ignored.

        Returns
        -------
        tuple of Service and Route, or Refusal
            The route with the longest matching path prefix, at whole segments, among
            those for `method`.
        """
        found = self._services.get(service)
        if found is None:
            detail = f"no section has a service {service!r}"
            return refused(RefusalReason.UNKNOWN_SERVICE, detail)
        path = path.partition("?")[0]
        for route in self._routes[service]:
            if route.method in ("*", method) and path_matches(route.path, path):
                return found, route
        detail = f"service {service!r} has no route for {method} {path}"
        return refused(RefusalReason.UNKNOWN_ROUTE, detail)

    def service(self, name: str) -> Service | None:
        """Return a service in force."""
        return self._services.get(name)

    def placement(self, service: str, data_centre: str) -> str:
        """Return ``serving`` or ``leaving``; what no section mentions is serving."""
        found = self._services.get(service)
        if found is None:
            return Placement.SERVING
        return found.placement.get(data_centre, Placement.SERVING)

    def versions(self) -> dict[str, int]:
        """Return the version in force of each section."""
        return {name: section.version for name, section in self._sections.items()}

    def newer_than(self, versions: Mapping[str, int]) -> list[Section]:
        """Return the sections that the holder of `versions` lacks."""
        return [
            section
            for name, section in self._sections.items()
            if section.version > versions.get(name, 0)
        ]

    def get(self, name: str) -> Section | None:
        """Return a section in force."""
        return self._sections.get(name)

    def all(self) -> list[Section]:
        """Return the sections in force."""
        return list(self._sections.values())

    def on_change(self, callback: Callable[[Section], None]) -> None:
        """Call `callback` with each section that comes into force."""
        self._callbacks.append(callback)
