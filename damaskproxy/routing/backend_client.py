"""HTTP client of the local backend server with a pool of idle connections."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from damaskproxy.model import Address
from damaskproxy.routing import headers as names
from damaskproxy.routing.backend_connection import BackendConnection, RawResponse
from damaskproxy.routing.errors import BackendError
from damaskproxy.wire import Call

__all__ = ["BackendResponse", "BackendClient"]

STOP_PATH = "/damask/stop"
STOP_TIMEOUT_S = 5.0
# Common servers close an idle connection after 5 s. When a request crosses such a close
# on the wire, it may have started, so connections near that age are not reused.
MAX_IDLE_S = 4.0
OK_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """Complete response of the backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    not_started: bool


class BackendClient:
    """Client of one backend server.

    Parameters
    ----------
    connect_timeout_s : float
        Time-out for opening a connection, in seconds.
    max_body_bytes : int
        Largest response body.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        max_body_bytes: int,
        now_s: Callable[[], float] = time.monotonic,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._max_body_bytes = max_body_bytes
        self._now_s = now_s
        self._address: Address | None = None
        self._idle: list[BackendConnection] = []

    async def run(
        self,
        address: Address,
        call: Call,
        *,
        timeout_s: float | None,
        deadline_ms: int,
        start_by_unix_ms: int,
    ) -> BackendResponse:
        """Send `call` to the backend server and return its complete response.

        Parameters
        ----------
        address : Address
            Address on which the backend server listens.
        call : Call
            Call to send.
        timeout_s : float, optional
            Time-out for the complete exchange, in seconds; None for no time-out.
        deadline_ms : int
            Time budget that is sent to the backend server.
        start_by_unix_ms : int
            Wall-clock time after which the backend server must not start the call.

        Raises
        ------
        BackendError
            If there is no complete response; its `maybe_started` tells whether the
            request may have started.
        """
        head = _request_head(address, call, deadline_ms, start_by_unix_ms)
        response = await self._send(address, call.method, head, call.body, timeout_s)
        not_started = False
        for name, value in response.headers:
            if name.lower() == _NOT_STARTED:
                not_started = value == "1"
        return BackendResponse(
            response.status,
            names.end_to_end(response.headers),
            response.body,
            not_started,
        )

    async def _send(
        self, address: Address, method: str, head: bytes, body: bytes, timeout_s
    ) -> RawResponse:
        connection = self._take_idle(address) or await self._connect(address)
        try:
            async with asyncio.timeout(timeout_s):
                response = await connection.exchange(method, head, body)
        except TimeoutError as error:
            raise BackendError("no answer in time", maybe_started=True) from error
        self._release(address, connection)
        return response

    def _take_idle(self, address: Address) -> BackendConnection | None:
        """Return the most recently used idle connection, None without a usable one."""
        if address != self._address:
            self._close_idle()
            self._address = address
        oldest_s = self._now_s() - MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable and connection.idle_since_s > oldest_s:
                return connection
            connection.abort()
        return None

    def _release(self, address: Address, connection: BackendConnection) -> None:
        if address != self._address or not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since_s = self._now_s()
        self._idle.append(connection)

    async def _connect(self, address: Address) -> BackendConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(loop, self._max_body_bytes),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            text = str(error) or "time-out"
            raise BackendError(
                f"cannot connect: {text}", maybe_started=False
            ) from error
        return connection

    async def is_listening(self, address: Address) -> bool:
        """Return whether the backend server accepts connections."""
        try:
            connection = await self._connect(address)
        except BackendError:
            return False
        connection.abort()
        return True

    async def stop(self, address: Address) -> bool:
        """Request a graceful stop; return whether the backend server confirmed it."""
        lines = [f"POST {STOP_PATH} HTTP/1.1", f"Host: {address}", "Content-Length: 0"]
        head = _encode_head(lines)
        try:
            response = await self._send(address, "POST", head, b"", STOP_TIMEOUT_S)
        except BackendError:
            return False
        return response.status in OK_STATUSES

    def _close_idle(self) -> None:
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def close(self) -> None:
        """Close all idle connections."""
        self._close_idle()


_NOT_STARTED = names.NOT_STARTED.lower()


def _request_head(
    address: Address, call: Call, deadline_ms: int, start_by_unix_ms: int
) -> bytes:
    lines = [f"{call.method} {call.path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    lines += [
        f"{names.ATTEMPT}: {call.attempt_id}",
        f"{names.PRIORITY}: {call.priority.name.lower()}",
        f"{names.DEADLINE_MS}: {deadline_ms}",
        f"{names.START_BY}: {start_by_unix_ms}",
    ]
    if call.body or call.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(call.body)}")
    return _encode_head(lines)


def _encode_head(lines: list[str]) -> bytes:
    """Return the encoded request line and headers; reject a line break inside one.

    Notes
    -----
    A value with a line break could inject headers or a second request.
    """
    head = "\r\n".join([*lines, "", ""])
    if head.count("\r") != len(lines) + 1 or head.count("\n") != len(lines) + 1:
        raise BackendError("a header has a line break", maybe_started=False)
    return head.encode("utf-8", "surrogateescape")
