"""Sockets of the listeners, opened as soon as their addresses are free."""

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Collection

from damaskproxy.common import DamaskError
from damaskproxy.events import log_event
from damaskproxy.http1.limits import BACKLOG_DEFAULT
from damaskproxy.model import Address
from damaskproxy.sidecar import events

__all__ = ["ListenerError", "ListenerSockets"]

logger = logging.getLogger(__name__)

PAUSE_MIN_S, PAUSE_MAX_S = 0.05, 0.5
"""First and longest pause between two attempts to open the listeners."""
PASSING_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class ListenerError(DamaskError):
    """A listener cannot be opened, and waiting does not help."""


class ListenerSockets:
    """Listening sockets by the name of their listener.

    Parameters
    ----------
    addresses : dict of str to Address
        Address of each listener.

    Notes
    -----
    A port may be held by a process that still ends, by an outgoing connection or by a
    program that closes it later; an address may belong to an interface that is not up
    yet; descriptors and memory may be free again later. A node waits for these, since
    its health check tells that it is not ready, and an exit would only be followed by
    another attempt. It does not wait for permission or for an address that no socket
    can have, which do not change while a process runs.

    The sockets have SO_REUSEADDR, so that connections of a former process that are in
    TIME_WAIT do not block the address.
    """

    def __init__(self, addresses: dict[str, Address]):
        self._addresses = addresses
        self._bound: dict[str, socket.socket] = {}
        self._listening: dict[str, socket.socket] = {}
        self._logged: dict[str, str] = {}
        self._pause_s = PAUSE_MIN_S

    async def open(
        self, early: Collection[str], serve: Callable[[str, socket.socket], Awaitable]
    ) -> None:
        """Open all listeners; wait for addresses that are not free.

        A free address is bound at once, so that nobody else gets it. Listeners in
        `early` are served as soon as they can be; the others listen once all are bound.

        Parameters
        ----------
        early : collection of str
            Listeners that are served before the others are open.
        serve : callable
            Accepts the connections of a socket that listens.

        Raises
        ------
        ListenerError
            If an address cannot be opened for a reason that does not pass.
        """
        late = [name for name in self._addresses if name not in early]
        while True:
            for name in self._addresses:
                if name not in self._bound:
                    await self._bind(name)
            for name in early:
                if self._listen(name):
                    await serve(name, self._listening[name])
            if len(self._bound) == len(self._addresses):
                for name in late:
                    self._listen(name)
            if len(self._listening) == len(self._addresses):
                break
            await asyncio.sleep(self._pause_s)
            self._pause_s = min(2 * self._pause_s, PAUSE_MAX_S)
        for name in late:
            await serve(name, self._listening[name])

    def close(self) -> None:
        """Close the sockets; a server that uses one keeps it until it is closed."""
        for sock in self._bound.values():
            sock.close()

    async def _bind(self, name: str) -> None:
        address = self._addresses[name]
        sock = None
        try:
            (
                (family, kind, protocol, _, where),
                *_,
            ) = await asyncio.get_running_loop().getaddrinfo(
                address.host, address.port, type=socket.SOCK_STREAM
            )
            sock = socket.socket(family, kind, protocol)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(where)
        except (OSError, OverflowError, UnicodeError) as error:
            if sock is not None:
                sock.close()
            self._handle(name, error)
            return
        self._bound[name] = sock

    def _listen(self, name: str) -> bool:
        """Let a bound socket listen; return whether it has just begun to."""
        if name in self._listening or name not in self._bound:
            return False
        try:
            self._bound[name].listen(BACKLOG_DEFAULT)
        except OSError as error:
            # Another socket with SO_REUSEADDR was bound as well and listens already.
            self._bound.pop(name).close()
            self._handle(name, error)
            return False
        self._listening[name] = self._bound[name]
        if name in self._logged:
            log_event(logger, events.LISTENER_OPENED_LATE, listener=name)
        return True

    def _handle(self, name: str, error: Exception) -> None:
        """Log an error that may pass, once; raise for any other."""
        address = self._addresses[name]
        text = f"{address.host}:{address.port}"
        number = getattr(error, "errno", None)
        may_pass = number in PASSING_ERRORS or (
            isinstance(error, socket.gaierror) and number == socket.EAI_AGAIN
        )
        reason = os.strerror(number) if number in PASSING_ERRORS else str(error)
        if not may_pass:
            raise ListenerError(f"listener {name}: {text}: {reason}") from error
        if self._logged.get(name) != reason:
            self._logged[name] = reason
            log_event(
                logger,
                events.LISTENER_WAITS,
                listener=name,
                address=text,
                error=reason,
            )
