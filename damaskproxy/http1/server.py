"""HTTP/1.1 server that handles one request at a time on each connection."""

import asyncio
import heapq
import logging
import socket
from collections.abc import Awaitable, Callable

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import BackgroundTask, Fiber
from damaskproxy.common.memory import (
    NEW_WORK_SHARE,
    LargestHolders,
    MemoryAccount,
    MemoryBudget,
)
from damaskproxy.common.turns import Turns
from damaskproxy.events import log_event
from damaskproxy.http1 import events
from damaskproxy.http1.closures import Closures
from damaskproxy.http1.limits import (
    HELD_DEFAULT_BYTES,
    ClientLimits,
    ListenerLimits,
)
from damaskproxy.http1.messages import Request, Response
from damaskproxy.http1.server_connection import ServerConnection
from damaskproxy.http1.sockets import accept_queued

__all__ = ["ClientLimits", "HttpServer", "ListenerLimits", "ServerConnection"]

logger = logging.getLogger(__name__)

Handle = Callable[[Request], Awaitable[Response]]

RECLAIM_SHARE = 1 / 16
"""Share of an account that is freed beyond what is needed, so that the search for the
largest requests is rare while many arrive."""
SHED_SHARE = 1 / 16
"""Share of the connections that are closed at once when there are too many, so that
the search for them is rare."""


class HttpServer:
    """Listener with its connections.

    Parameters
    ----------
    name : str
        Name of the listener in the logs.
    handle : callable
        Returns the response to a request; cancelled when the client disconnects.
    limits : callable
        Returns the current limits.
    run : type
        Runs the handler; `Fiber` is possible if it never needs the current task.
    held_max_bytes : int
        Total size of the bodies of requests that are being read or are in progress. A
        request that would exceed it is refused and has not run.
    unsent_max_bytes : int
        Total size of the responses that clients have not read. If it is exceeded, the
        connection with the largest one is cut.
    budget : MemoryBudget, optional
        Budget of the node, which all accounts of the listener are a part of.
    listener_limits : ListenerLimits, optional
        Limits on the connections and on what they hold beside bodies and responses.

    Attributes
    ----------
    bodies : MemoryAccount
        Bodies of requests that are being read or are in progress.
    unsent : LargestHolders
        Responses of which the transport holds more than its high-water mark; a
        response counts in full until it has been sent.
    overhead : MemoryAccount
        Connections, unparsed bytes, fields and queued requests.
    closures : Closures
        Requests that were refused before they were handled, and connections that were
        closed, by kind.
    """

    def __init__(
        self,
        name: str,
        handle: Handle,
        limits: Callable[[], ClientLimits] = ClientLimits,
        run: type[Fiber] | type[BackgroundTask] = BackgroundTask,
        held_max_bytes: int = HELD_DEFAULT_BYTES,
        unsent_max_bytes: int = HELD_DEFAULT_BYTES,
        budget: MemoryBudget | None = None,
        listener_limits: ListenerLimits | None = None,
    ):
        self.name = name
        self.handle = handle
        self.limits = limits
        self.run = run
        self.listener_limits = listener_limits or ListenerLimits()
        overhead_max_bytes = self.listener_limits.overhead_max_bytes
        if budget is None:
            limit_bytes = held_max_bytes + unsent_max_bytes + overhead_max_bytes
            budget = MemoryBudget(limit_bytes)
        self.overhead = MemoryAccount(overhead_max_bytes, budget)
        self.closures = Closures(logger)
        self.bodies = MemoryAccount(held_max_bytes, budget)
        self.unsent = LargestHolders(MemoryAccount(unsent_max_bytes, budget))
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.turns = Turns()
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task] = set()

    async def open(self, host: str, port: int) -> None:
        """Start listening on `host` and `port`."""
        await self._serve(host=host, port=port)

    async def serve(self, sock: socket.socket) -> None:
        """Accept the connections of a socket that listens."""
        await self._serve(sock=sock)

    async def _serve(self, **where) -> None:
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self),
            backlog=self.listener_limits.backlog,
            **where,
        )

    @property
    def port(self) -> int:
        """Port on which the server is listening."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of requests that are being read or are in progress."""
        return self.bodies.held_bytes

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self.connections)

    def enforce_timeouts(self) -> None:
        """Close connections that have exceeded the idle or header time-out."""
        now_s = boot_s()
        limits = self.limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now_s, limits)

    def make_room(
        self,
        account: MemoryAccount,
        count: int,
        requester: ServerConnection,
        *,
        is_small: bool,
    ) -> bool:
        """Tell whether an account has room, after refusing larger requests for it.

        Parameters
        ----------
        account : MemoryAccount
            `bodies` or `overhead`.
        count : int
            Bytes that are needed.
        requester : ServerConnection
            Connection that needs them.
        is_small : bool
            Whether they may also come from the part of the budget that is reserved for
            work that has run.
        """
        budget = account.budget
        share = 1.0 if is_small else NEW_WORK_SHARE
        if (
            account.held_bytes + count <= account.limit_bytes
            and budget.held_bytes + count <= share * budget.limit_bytes
        ):
            return True
        return self._reclaim(account, count, requester, share)

    def _reclaim(
        self,
        account: MemoryAccount,
        count: int,
        requester: ServerConnection,
        share: float,
    ) -> bool:
        """Refuse requests that have not run and hold more than `requester` would."""
        budget = account.budget
        index = 0 if account is self.bodies else 1
        budget_bytes = share * budget.limit_bytes
        spare_bytes = int(RECLAIM_SHARE * account.limit_bytes)

        def has_room(size: int) -> bool:
            return account.held_bytes + size <= account.limit_bytes

        def fits_budget(size: int) -> bool:
            return budget.held_bytes + size <= budget_bytes

        if not has_room(count):
            self._refuse_largest(
                requester,
                count,
                lambda connection: connection.reclaimable_bytes[index],
                lambda: has_room(count + spare_bytes),
            )
        if not fits_budget(count):
            self._refuse_largest(
                requester,
                count,
                lambda connection: sum(connection.reclaimable_bytes),
                lambda: fits_budget(count + spare_bytes),
            )
        if not has_room(count):
            return False
        return fits_budget(count) or (share == 1.0 and budget.make_room(count))

    def _refuse_largest(
        self,
        requester: ServerConnection,
        count: int,
        size: Callable[[ServerConnection], int],
        is_enough: Callable[[], bool],
    ) -> None:
        """Refuse requests that hold more than `requester` would, the largest first."""
        requested_bytes = size(requester) + count
        for connection in sorted(self.connections, key=size, reverse=True):
            if size(connection) <= requested_bytes or is_enough():
                return
            connection.reclaim()

    def shed_connections(self, newcomer: ServerConnection) -> None:
        """Close the connections that have been without progress for longest."""
        idle = [c for c in self.connections if c is not newcomer and c.may_be_shed]
        count = max(1, int(SHED_SHARE * self.listener_limits.connections_max))
        for connection in heapq.nsmallest(count, idle, key=lambda c: c.waits_since_s):
            connection.shed()
        if not idle:
            newcomer.shed()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    @property
    def partly_read_count(self) -> int:
        """Number of connections on which a request has been read in part."""
        return sum(connection.is_partly_read for connection in self.connections)

    @property
    def unfinished_count(self) -> int:
        """Number of connections with a request to answer or an answer to send."""
        connections = self.connections
        unfinished = sum(connection.is_unfinished for connection in connections)
        return unfinished + len(self._accepting)

    def stop_accepting(self) -> None:
        """Accept no more connections, and close those with nothing unfinished.

        Notes
        -----
        Requests that are still read are handled, so the handler has to refuse them if
        they might not be completed. To be called again until `unfinished_count` is 0.
        """
        self.is_closing = True
        if self._server is not None and self._server.is_serving():
            accepting = accept_queued(self._server, lambda: ServerConnection(self))
            self._accepting.update(accepting)
            for task in accepting:
                task.add_done_callback(self._accepted)
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def _accepted(self, task: asyncio.Task) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            # A connection may be lost before its protocol has it.
            task.exception()

    def report_error(self, error: BaseException) -> None:
        """Log an error of the handler, or of a fiber that runs it."""
        log_event(logger, events.REQUEST_FAILED, exc_info=error, listener=self.name)

    def refuse_partly_read(self) -> None:
        """Refuse the requests that have not been read completely."""
        for connection in list(self.connections):
            connection.refuse_partly_read()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort("the node has stopped")
