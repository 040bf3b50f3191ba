"""HTTP listeners on aiohttp's low-level server."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from damaskproxy.config import Listener
from damaskproxy.model import Address
from damaskproxy.node.errors import NodeError

__all__ = ["HttpListener"]

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# The limits of the parser are above the configured ones, so that an oversized header
# gets a response with problem details instead of a bare 400.
PARSER_LINE_BYTES = 64 << 10
LISTEN_BACKLOG = 1024


class HttpListener:
    """One listening socket with one handler for all requests.

    Parameters
    ----------
    name : str
        Name in the settings, for error messages.
    listener : Listener
        Address to listen on.
    handler : callable
        Coroutine function that returns the response to a request.
    max_body_bytes : int
        Maximum size of a request body.
    """

    def __init__(
        self, name: str, listener: Listener, handler: Handler, *, max_body_bytes: int
    ):
        self._name = name
        self._listener = listener
        self._max_body_bytes = max_body_bytes
        server = web.Server(
            handler,
            request_factory=self._make_request,
            handler_cancellation=True,
            max_line_size=PARSER_LINE_BYTES,
            max_field_size=PARSER_LINE_BYTES,
            keepalive_timeout=75,
            access_log=None,
        )
        self._server = server
        self._runner = web.ServerRunner(server, shutdown_timeout=1.0)
        self._site: web.TCPSite | None = None

    def _make_request(self, message, payload, protocol, writer, task):
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            protocol._loop,
            client_max_size=self._max_body_bytes,
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    async def start(self) -> Address:
        """Start to listen; return the address with the actual port.

        Raises
        ------
        NodeError
            If the address cannot be used.
        """
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._listener.host,
            self._listener.port,
            backlog=LISTEN_BACKLOG,
        )
        try:
            await self._site.start()
        except OSError as error:
            address = f"{self._listener.host}:{self._listener.port}"
            raise NodeError(
                f"listener {self._name}: cannot listen on {address}: {error.strerror}"
            ) from error
        host, port = self._runner.addresses[0][:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._runner.cleanup()
