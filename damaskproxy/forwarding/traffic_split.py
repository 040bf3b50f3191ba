"""Distribution of the requests of a route over its services."""

from damaskproxy.directory import Route

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Smooth weighted round robin.

    Any sequence of consecutive requests is split in proportion to the weights.
    """

    def __init__(self):
        self._current_weights: dict[str, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of `route`.

        It is empty if no service of the route has a weight.
        """
        if len(route.services) == 1:
            return route.services[0][0]
        current = self._current_weights.setdefault(route.name, {})
        total = 0.0
        chosen = ""
        for service, weight in route.services:
            total += weight
            current[service] = current.get(service, 0.0) + weight
            if weight > 0 and (not chosen or current[service] > current[chosen]):
                chosen = service
        if chosen:
            current[chosen] -= total
        return chosen

    def reset(self) -> None:
        """Clear the current weights after a change of the configuration."""
        self._current_weights.clear()
