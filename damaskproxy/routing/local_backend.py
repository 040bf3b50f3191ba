"""Announcement, lease and state of the local backend server."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from damaskproxy.events import log_event
from damaskproxy.model import Address
from damaskproxy.routing import events
from damaskproxy.routing.settings import RoutingSettings

__all__ = ["Announcement", "LocalBackend"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
LOOPBACK_PREFIX = "127."


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a backend server to its node."""

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    host: str = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class _AnnouncedBackend:
    service: str
    address: Address
    slots: int


class LocalBackend:
    """State of the local backend server as announced to this node.

    Parameters
    ----------
    settings : RoutingSettings
        Lease and announcement interval.
    now_s : callable
        Monotonic clock.
    on_change : callable
        Called after the backend server was added, removed or changed.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        now_s: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._lease_s = settings.backend_lease_ms / MS_PER_S
        self._now_s = now_s
        self._on_change = on_change
        self._announced: _AnnouncedBackend | None = None
        self._announced_s = 0.0
        self._generation = 0

    @property
    def service(self) -> str:
        """Announced service, empty without a backend server."""
        return self._announced.service if self._announced else ""

    @property
    def slots(self) -> int:
        """Announced number of slots, 0 without a backend server."""
        return self._announced.slots if self._announced else 0

    @property
    def address(self) -> Address | None:
        """Address of the backend server, None without one."""
        return self._announced.address if self._announced else None

    @property
    def generation(self) -> int:
        """Number of backend servers that have announced themselves so far."""
        return self._generation

    def announce(self, announcement: Announcement) -> str | None:
        """Apply an announcement.

        Returns
        -------
        str or None
            Reason for rejecting it, or None if it was accepted.
        """
        announced = _AnnouncedBackend(
            announcement.service,
            Address(announcement.host, announcement.port),
            announcement.slots,
        )
        current = self._announced
        if current is not None and current.address != announced.address:
            return f"the backend server at {current.address} holds the lease"
        self._announced_s = self._now_s()
        if current == announced:
            return None
        self._announced = announced
        if current is None:
            self._generation += 1
            log_event(
                logger,
                events.BACKEND_ANNOUNCED,
                service=announced.service,
                address=str(announced.address),
                slots=announced.slots,
            )
        self._on_change()
        return None

    def expire(self) -> bool:
        """Remove the backend server if its lease has expired; return whether it has."""
        if self._announced is None:
            return False
        if self._now_s() - self._announced_s <= self._lease_s:
            return False
        log_event(
            logger, events.BACKEND_LEASE_LAPSED, address=str(self._announced.address)
        )
        self.drop()
        return True

    def drop(self) -> None:
        """Remove the backend server, which is no longer available."""
        if self._announced is not None:
            self._announced = None
            self._on_change()
