"""HTTP/1.1 client: a pool of connections to one address."""

import asyncio

from damaskproxy.common.clock import boot_s
from damaskproxy.http1.client_connection import ClientConnection
from damaskproxy.http1.errors import ConnectFailed
from damaskproxy.http1.messages import Request, Response
from damaskproxy.http1.response_checks import ResponseFilter, accept_any
from damaskproxy.http1.response_limits import ResponseLimits, ResponseMemory
from damaskproxy.http1.sockets import DeadPeerLimits, has_input
from damaskproxy.model import Address

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 1.0
"""A server on the same machine or in the same region accepts within milliseconds; a
lost SYN is retransmitted only after one second."""
IDLE_MARGIN_S = 1.0
"""A connection is not reused within this time before the server may close it."""
DEFAULT_MEMORY_BYTES = 64 << 20
"""Memory of all responses in progress on a pool that shares no `ResponseMemory`."""


class ConnectionPool:
    """Connections to one server.

    Parameters
    ----------
    address : Address
        Address of the server.
    connect_timeout_s : float
        Time-out for opening a connection, in seconds.
    dead_peer_limits : DeadPeerLimits, optional
        Limits of the dead peer detection.
    limits : ResponseLimits, optional
        Limits on each response.
    memory : ResponseMemory, optional
        Limit on all responses in progress; pools may share it.

    Attributes
    ----------
    opened_count : int
        Number of connections opened so far.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        dead_peer_limits: DeadPeerLimits | None = None,
        limits: ResponseLimits | None = None,
        memory: ResponseMemory | None = None,
    ):
        self._limits = limits or ResponseLimits()
        self._memory = memory or ResponseMemory(DEFAULT_MEMORY_BYTES)
        self._dead_peer_limits = dead_peer_limits or DeadPeerLimits()
        self.address = address
        self.opened_count = 0
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()
        self._generation = 0

    async def exchange(
        self,
        request: Request,
        *,
        accept: ResponseFilter = accept_any,
        max_idle_share: float = 1.0,
    ) -> Response:
        """Send `request` on an idle or a new connection, without retries.

        Parameters
        ----------
        request : Request
            Request with end-to-end headers only.
        accept : callable
            Returns whether a response belongs to the request, given whether the request
            is the first one on its connection; other responses are skipped.
        max_idle_share : float
            Share of the server's idle time-out beyond which an idle connection is not
            reused.

        Raises
        ------
        ConnectFailed
            If nothing was sent.
        ExchangeLost
            If the request was sent and no valid response was received.
        """
        generation = self._generation
        connection = self._take_idle(max_idle_share)
        if connection is None:
            # In a task, since `asyncio.timeout` needs a current task; a fiber has none.
            opening = asyncio.create_task(self._connect())
            try:
                connection = await opening
            except asyncio.CancelledError:
                # It may have been opened just before, and has no owner then.
                opening.add_done_callback(_close_unused)
                raise
        self._busy.add(connection)
        try:
            return await connection.exchange(request, accept)
        finally:
            self._busy.discard(connection)
            if connection.is_open and generation == self._generation:
                self._idle.append(connection)
            else:
                connection.transport.close()

    def close_idle(self) -> None:
        """Close the connections that have been idle for too long to be reused."""
        kept = []
        for connection in self._idle:
            if connection.is_open and self._is_fresh(connection, 1.0):
                kept.append(connection)
            else:
                connection.transport.close()
        self._idle = kept

    def retire(self) -> None:
        """Use no connection again that is open now; exchanges in progress go on."""
        self._generation += 1
        for connection in self._idle:
            connection.transport.close()
        self._idle = []

    def close(self) -> None:
        """Close all connections; exchanges in progress fail."""
        for connection in (*self._idle, *self._busy):
            connection.transport.abort()
        self._idle = []

    def _take_idle(self, max_idle_share: float) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            # The event loop learns only in its next iteration that the server has
            # closed the connection, or has sent what answers no request.
            is_open = connection.is_open and not has_input(connection.transport)
            if is_open and self._is_fresh(connection, max_idle_share):
                return connection
            connection.transport.close()
        return None

    def _is_fresh(self, connection: ClientConnection, max_idle_share: float) -> bool:
        limit_s = (connection.idle_max_s - IDLE_MARGIN_S) * max_idle_share
        return boot_s() - connection.idle_since_s < limit_s

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        host, port = self.address.host, self.address.port
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(
                        self._dead_peer_limits, self._limits, self._memory
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"cannot connect to {self.address}: {error}") from error
        self.opened_count += 1
        return connection


def _close_unused(opening: asyncio.Task[ClientConnection]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result().transport.close()
