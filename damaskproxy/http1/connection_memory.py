"""What a connection of a client holds in the accounts of its listener."""

from typing import TYPE_CHECKING

from damaskproxy.http1.limits import CONNECTION_BYTES, SMALL_BODY_BYTES
from damaskproxy.http1.messages import Request

if TYPE_CHECKING:
    from damaskproxy.http1.server import HttpServer
    from damaskproxy.http1.server_connection import ServerConnection

__all__ = ["ConnectionMemory"]


class ConnectionMemory:
    """Bodies and overhead of one connection.

    The overhead is the connection itself, its unparsed bytes, the fields of the request
    that is read in part, and the requests that are queued or in progress.

    Parameters
    ----------
    server : HttpServer
        Listener with the accounts.
    connection : ServerConnection
        Connection that holds the memory.
    """

    __slots__ = (
        "_body_bytes",
        "_connection",
        "_overhead_bytes",
        "_queued_bytes",
        "_running_body_bytes",
        "_running_bytes",
        "_server",
    )

    def __init__(self, server: "HttpServer", connection: "ServerConnection"):
        self._server = server
        self._connection = connection
        self._body_bytes = 0
        self._queued_bytes = 0
        self._running_bytes = 0
        self._running_body_bytes = 0
        self._overhead_bytes = 0

    @property
    def reclaimable_bytes(self) -> tuple[int, int]:
        """Bytes of bodies, and of overhead, that belong to requests not yet started."""
        overhead_bytes = self._overhead_bytes - self._running_bytes - CONNECTION_BYTES
        return self._body_bytes - self._running_body_bytes, overhead_bytes

    def hold_body(self, size: int, read_bytes: int) -> bool:
        """Count a part of a body; False if there is no memory for it.

        Parameters
        ----------
        size : int
            Size of the part.
        read_bytes : int
            Size of the parts before it.
        """
        server = self._server
        is_small = read_bytes + size <= SMALL_BODY_BYTES
        connection = self._connection
        if not server.make_room(server.bodies, size, connection, is_small=is_small):
            return False
        self._body_bytes += size
        server.bodies.hold(size)
        return True

    def release_body(self, size: int) -> None:
        """Stop counting a body."""
        size = min(size, self._body_bytes)
        if size:
            self._body_bytes -= size
            self._server.bodies.release(size)

    def queue(self, size: int) -> None:
        """Count a complete request with the next `count`."""
        self._queued_bytes += size

    def unqueue(self, request: Request, size: int) -> None:
        """Stop counting a request that is not going to run."""
        self._queued_bytes -= size
        self.release_body(len(request.body))

    def start(self, request: Request, size: int) -> None:
        """Remember what the request in progress holds."""
        self._running_bytes = size
        self._running_body_bytes = len(request.body)

    def finish(self, request: Request, size: int) -> None:
        """Stop counting the request that was in progress."""
        self._running_bytes = self._running_body_bytes = 0
        self.unqueue(request, size)

    def count(self, reader_bytes: int, *, may_refuse: bool) -> bool:
        """Count the overhead; False if there is no memory for it.

        Parameters
        ----------
        reader_bytes : int
            Bytes of unparsed input and of the request that is read in part.
        may_refuse : bool
            Whether the caller gives up that request if there is no memory.
        """
        size = CONNECTION_BYTES + self._queued_bytes + reader_bytes
        added_bytes = size - self._overhead_bytes
        if not added_bytes:
            return True
        server = self._server
        if added_bytes > 0:
            has_room = server.make_room(
                server.overhead, added_bytes, self._connection, is_small=True
            )
            if not has_room and may_refuse:
                return False
        self._overhead_bytes = size
        server.overhead.hold(added_bytes)
        return True

    def close(self) -> None:
        """Stop counting everything, and break the reference cycle."""
        self.release_body(self._body_bytes)
        self._server.overhead.release(self._overhead_bytes)
        self._overhead_bytes = 0
        self._connection = None
