"""Routes and services that are in force."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskproxy.http1 import ClientLimits

__all__ = ["Configuration", "CurrentConfiguration", "Route", "ServiceEntry"]


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Unique name.
    host, prefix : str
        Host without port, in lower case, and path prefix with a slash at both ends.
    services : tuple of tuple
        Services and their weights, more than one for a split.
    is_idempotent : bool
        Whether a request may run more than once.
    max_attempts : int
        Backend servers to which one request may be sent.
    timeout_ms : int
        Longest time to an answer.
    objective_ms : int
        Latency objective.
    priority : int
        Rank, 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    services: tuple[tuple[str, float], ...]
    is_idempotent: bool
    max_attempts: int
    timeout_ms: int
    objective_ms: int
    priority: int


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """What the configuration says of a service."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the whole configuration.

    Parameters
    ----------
    version : int
        Rises with each change.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceEntry
        By name.
    limits : ClientLimits
        Bounds on clients.
    encoded : bytes
        As read from the store, for peers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceEntry]
    limits: ClientLimits
    encoded: bytes
    _by_host: dict[str, list[Route]] = field(
        default_factory=dict, compare=False, repr=False
    )

    def __post_init__(self):
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None without one."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class CurrentConfiguration:
    """Newest configuration that this node has seen; it never goes back.

    Attributes
    ----------
    current : Configuration or None
        None until one was read.
    """

    def __init__(self):
        self.current: Configuration | None = None
        self._listeners = []
        self._known = asyncio.Event()

    @property
    def version(self) -> int:
        """Version in force, 0 without one."""
        return self.current.version if self.current else 0

    @property
    def encoded(self) -> bytes:
        """Configuration for other nodes, empty without one."""
        return self.current.encoded if self.current else b""

    def client_limits(self) -> ClientLimits:
        """Return the bounds on clients, the usual ones without a configuration."""
        return self.current.limits if self.current else ClientLimits()

    def may_have_service(self, service: str) -> bool:
        """Tell whether the configuration has `service`, or is not known yet."""
        return self.current is None or service in self.current.services

    def max_connections(self, service: str) -> int | None:
        """Return the limit on connections to a server, None if it is unknown."""
        entry = self.current.services.get(service) if self.current else None
        return entry.max_connections if entry else None

    async def wait_until_known(self) -> None:
        """Wait until a configuration is in force."""
        await self._known.wait()

    def on_change(self, listener) -> None:
        """Call `listener` with each new configuration."""
        self._listeners.append(listener)

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put `configuration` in force if it is newer, and tell whether it was."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        self._known.set()
        for listener in self._listeners:
            listener(configuration)
        return True
