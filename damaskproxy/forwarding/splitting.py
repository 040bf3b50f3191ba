"""Distribution of the requests of a route over its services."""

from damaskproxy.directory import Route

__all__ = ["Splitter"]


class Splitter:
    """Smooth weighted round robin, so that any run of requests has the shares."""

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service of the next request of `route`."""
        if len(route.services) == 1:
            return route.services[0][0]
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        best = ""
        for service, weight in route.services:
            total += weight
            credits[service] = credits.get(service, 0.0) + weight
            if weight > 0 and (not best or credits[service] > credits[best]):
                best = service
        credits[best] -= total
        return best

    def reset(self) -> None:
        """Forget the credits after a change of the configuration."""
        self._credits.clear()
