"""Check whether the local backend server has crashed."""

import asyncio
import logging
from collections.abc import Callable

from damaskproxy.common.memory import MemoryAccount
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.backend import Backend
from damaskproxy.forwarding.calls import Call
from damaskproxy.forwarding.poison_requests import PoisonRequestDetector, digest_of
from damaskproxy.http1 import ConnectionPool

__all__ = ["CrashCheck"]

logger = logging.getLogger("damaskproxy.forwarding.target")
"""Logger of the target, whose calls are checked."""

CRASH_CHECK_S = 0.02
"""Delay of the crash check after a lost response. All connections of a crashed server
break within a round trip."""
CRASH_PROBE_TIMEOUT_S = 0.3


class CrashCheck:
    """Calls whose responses were lost, until it is known whether that was a crash.

    Parameters
    ----------
    backend : Backend
        State of the backend server.
    pool : ConnectionPool
        Connections to the backend server.
    poison_requests : PoisonRequestDetector
        Recognises requests that crash backend servers.
    bodies : MemoryAccount
        Memory for the bodies of calls of other nodes, and of lost calls.
    in_flight : callable
        Returns how many calls are in flight on the backend server.

    Attributes
    ----------
    lost_calls : list of Call
        Lost calls that have not been checked.
    task : asyncio.Task or None
        Task that checks them, None while there are none.
    """

    def __init__(
        self,
        backend: Backend,
        pool: ConnectionPool,
        poison_requests: PoisonRequestDetector,
        bodies: MemoryAccount,
        in_flight: Callable[[], int],
    ):
        self.lost_calls: list[Call] = []
        self.task: asyncio.Task | None = None
        self._backend = backend
        self._pool = pool
        self._poison_requests = poison_requests
        self._bodies = bodies
        self._in_flight = in_flight

    def record_lost_call(self, call: Call) -> None:
        """Keep a call whose response was lost, and check for a crash soon."""
        self.lost_calls.append(call)
        self._bodies.hold(len(call.body))
        if self.task is None:
            self.task = asyncio.create_task(self._check())

    def _take_lost_calls(self, count: int) -> list[Call]:
        """Return the first lost calls, which are no longer kept."""
        taken, self.lost_calls = self.lost_calls[:count], self.lost_calls[count:]
        self._bodies.release(sum(len(call.body) for call in taken))
        return taken

    async def _check(self) -> None:
        """Distinguish a crash, which breaks all connections, from one lost response."""
        try:
            while self.lost_calls:
                await asyncio.sleep(CRASH_CHECK_S)
                count = len(self.lost_calls)
                if self._in_flight() or await self._is_listening():
                    self._take_lost_calls(count)
                    continue
                # With those lost during the check, since it is one crash.
                lost = self._take_lost_calls(len(self.lost_calls))
                self._backend.connection_refused()
                log_event(logger, events.BACKEND_CRASHED, in_flight=len(lost))
                self._poison_requests.record_crash([digest_of(call) for call in lost])
        finally:
            self._take_lost_calls(len(self.lost_calls))
            self.task = None

    async def _is_listening(self) -> bool:
        address = self._pool.address
        try:
            async with asyncio.timeout(CRASH_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True
