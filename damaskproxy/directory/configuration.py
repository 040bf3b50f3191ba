"""Configuration of routes and services, and the version in force."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskproxy.http1 import ClientLimits
from damaskproxy.organisations import (
    Authentication,
    CombinedPriorities,
    Organisations,
)

__all__ = ["Configuration", "CurrentConfiguration", "Route", "ServiceEntry"]


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests to one host and path prefix.

    Parameters
    ----------
    name : str
        Unique name of the route.
    host, prefix : str
        Host without port, in lower case, and path prefix that starts and ends with a
        slash.
    services : tuple of tuple
        Services and their weights; several for a traffic split.
    is_idempotent : bool
        Whether a request may be executed more than once.
    max_attempts : int
        Maximum number of backend servers to which one request is sent.
    timeout_ms : int
        Deadline of a request.
    objective_ms : int
        Latency objective.
    priority : int
        Priority level, 0 is the highest.
    is_public : bool
        Whether its requests need no API key.
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
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """Configuration of one service."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        Routes of all services.
    services : mapping of str to ServiceEntry
        Services by name.
    limits : ClientLimits
        Limits on client connections.
    encoded : bytes
        As read from the store, to pass on to other nodes.
    organisations : Organisations, optional
        Organisations; None if requests need no API key.

    Attributes
    ----------
    authentication : Authentication or None
        Authentication of requests, None without organisations.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceEntry]
    limits: ClientLimits
    encoded: bytes
    organisations: Organisations | None = None
    authentication: Authentication | None = field(
        default=None, init=False, compare=False, repr=False
    )
    _priorities: CombinedPriorities | None = field(
        default=None, init=False, compare=False, repr=False
    )
    _by_host: dict[str, list[Route]] = field(
        default_factory=dict, compare=False, repr=False
    )

    def __post_init__(self):
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        if self.organisations is None:
            return
        priorities = CombinedPriorities(
            (each.priority for each in self.organisations),
            (route.priority for route in self.routes),
        )
        # The usual way to set a derived field of a frozen data class.
        object.__setattr__(self, "_priorities", priorities)
        authentication = Authentication(self.organisations)
        object.__setattr__(self, "authentication", authentication)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rank(self, route: Route, organisation_priority: int | None) -> int:
        """Return the rank of a root request, 0 is the most urgent.

        Parameters
        ----------
        route : Route
            Route of the request.
        organisation_priority : int or None
            Priority of its organisation, None if it has none.
        """
        if self._priorities is None:
            return route.priority
        return self._priorities.rank(organisation_priority, route.priority)


class CurrentConfiguration:
    """Newest configuration that this node has received; it never reverts.

    Attributes
    ----------
    current : Configuration or None
        None until a configuration has been received.
    """

    def __init__(self):
        self.current: Configuration | None = None
        self._listeners = []
        self._known = asyncio.Event()
        self._ignored: int | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none yet."""
        return self.current.version if self.current else 0

    @property
    def encoded(self) -> bytes:
        """Encoded configuration for other nodes, empty if there is none yet."""
        return self.current.encoded if self.current else b""

    def client_limits(self) -> ClientLimits:
        """Return the limits on client connections, or the default ones."""
        return self.current.limits if self.current else ClientLimits()

    def may_have_service(self, service: str) -> bool:
        """Return whether the configuration has `service` or is not known yet."""
        return self.current is None or service in self.current.services

    def max_connections(self, service: str) -> int | None:
        """Return the connection limit of each backend server of a service, or None."""
        entry = self.current.services.get(service) if self.current else None
        return entry.max_connections if entry else None

    def note_ignored(self, encoded: bytes) -> bool:
        """Record that `encoded` is invalid; return whether that was news."""
        digest = hash(encoded)
        was_news = digest != self._ignored
        self._ignored = digest
        return was_news

    async def wait_until_known(self) -> None:
        """Wait until a configuration is in force."""
        await self._known.wait()

    def on_change(self, listener) -> None:
        """Call `listener` with each new configuration that comes into force."""
        self._listeners.append(listener)

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put `configuration` in force if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        self._known.set()
        for listener in self._listeners:
            listener(configuration)
        return True
