"""Health checks of the local backend server after a restart of the node."""

import asyncio
import logging

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import BackendRecord, CurrentConfiguration
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.backend import Backend
from damaskproxy.forwarding.headers import HeaderNames
from damaskproxy.http1 import ConnectionPool, HttpError, Request, Response

__all__ = ["ServerCheck"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
TIMEOUT_S = 1.0
FIRST_PAUSE_S, PAUSE_MAX_S = 0.1, 1.0
"""Pause after the first failed check; it doubles up to the longest one."""
PATH_UNKNOWN = "the configuration has no health check of the service"


class ServerCheck:
    """Asks the local backend server whether it leaves.

    Parameters
    ----------
    backend : Backend
        State of the backend server; it is verified by a successful check.
    pool : ConnectionPool
        Connections to the backend server.
    names : HeaderNames
        Header names of the platform.
    configuration : CurrentConfiguration
        Has the path of the health check.

    Notes
    -----
    An earlier process of this node may have confirmed a leave that is not in the store,
    and all processes that knew it may have ended. The backend server itself still knows
    it, and fails its health check.
    """

    def __init__(
        self,
        backend: Backend,
        pool: ConnectionPool,
        names: HeaderNames,
        configuration: CurrentConfiguration,
    ):
        self._backend = backend
        self._pool = pool
        self._configuration = configuration
        self._request_id = names.lower("request_id")
        self._instance_id = names.lower("instance_id")
        self._needed = asyncio.Event()
        self._settled = asyncio.Event()
        self._settled.set()
        self._logged: tuple[str, int] | None = None

    def backend_changed(self) -> None:
        """Begin to check the backend server if it must be verified."""
        if self._backend.must_verify:
            self._settled.clear()
            self._needed.set()

    async def wait_until_settled(self) -> None:
        """Wait until no check of the backend server is needed."""
        await self._settled.wait()

    async def run(self) -> None:
        """Check the backend server while it must be verified, until cancelled."""
        while True:
            await self._needed.wait()
            pause_s = FIRST_PAUSE_S
            while self._backend.must_verify:
                if await self.check(self._backend.record):
                    continue
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, PAUSE_MAX_S)
            self._needed.clear()
            self._settled.set()

    async def check(self, record: BackendRecord) -> bool:
        """Check an incarnation; return whether it is verified.

        Waits until a configuration is known.
        """
        await self._configuration.wait_until_known()
        started_s = boot_s()
        reason = await self._failure(record)
        elapsed_ms = round((boot_s() - started_s) * MS_PER_S, 1)
        if not reason:
            log_event(
                logger,
                events.SERVER_VERIFIED,
                instance_id=record.instance_id,
                elapsed_ms=elapsed_ms,
            )
            self._backend.verify(record.incarnation_key)
            return True
        if self._logged != record.incarnation_key:
            self._logged = record.incarnation_key
            log_event(
                logger,
                events.SERVER_UNVERIFIED,
                instance_id=record.instance_id,
                reason=reason,
                elapsed_ms=elapsed_ms,
            )
        return False

    async def _failure(self, record: BackendRecord) -> str:
        """Send one health check; return why it failed, or nothing."""
        service = self._configuration.current.services.get(record.service)
        if service is None:
            return PATH_UNKNOWN
        host = str(self._pool.address).encode()
        request = Request(b"GET", service.health_path.encode(), [(b"Host", host)])
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await self._pool.exchange(request, accept=self._is_check)
        except (HttpError, TimeoutError) as error:
            return repr(error)
        if response.status != 200:
            return f"status {response.status}"
        if response.header(self._instance_id) != record.instance_id.encode():
            return "another incarnation has answered"
        connection = (response.header(b"connection") or b"").lower()
        if b"close" in connection:
            # Sent by a server that leaves, and by others at times.
            return "the connection is closed"
        return ""

    def _is_check(self, response: Response, is_first_request: bool) -> bool:
        """Tell whether it is not a late response to an earlier request."""
        return not response.header(self._request_id)
