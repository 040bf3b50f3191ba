"""HTTP exchanges with the local backend server."""

import asyncio
from dataclasses import dataclass

import aiohttp
from yarl import URL

from damaskproxy.routing import headers as names
from damaskproxy.routing.errors import BackendError
from damaskproxy.wire import Call
from damaskproxy.world import Address

__all__ = ["BackendAnswer", "BackendClient"]

STOP_PATH = "/damask/stop"
STOP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Whole answer of the backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    not_started: bool


class BackendClient:
    """Client of one backend server.

    Parameters
    ----------
    connect_timeout_s : float
        Time to connect.
    max_body_bytes : int
        Largest answer.
    """

    def __init__(self, *, connect_timeout_s: float, max_body_bytes: int):
        self._connect_timeout_s = connect_timeout_s
        self._max_body_bytes = max_body_bytes
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
            # The client repeats idempotent methods on a connection that was closed
            # meanwhile. Repetitions are decided and counted by the dispatcher only.
            self._session._retry_connection = False
        return self._session

    async def run(
        self,
        address: Address,
        call: Call,
        *,
        timeout_s: float | None,
        deadline_ms: int,
        start_by_unix_ms: int,
    ) -> BackendAnswer:
        """Send `call` to the backend server and return its whole answer.

        Parameters
        ----------
        address : Address
            Where the backend server listens.
        call : Call
            What to send.
        timeout_s : float, optional
            Time for the whole exchange, in seconds; unlimited by default.
        deadline_ms : int
            Budget that the backend server is told.
        start_by_unix_ms : int
            Wall-clock time after which the backend server must not start.

        Raises
        ------
        BackendError
            If there is no whole answer; it says whether the request may have started.
        """
        url = URL(f"http://{address.host}:{address.port}{call.path}", encoded=True)
        try:
            async with self._open_session().request(
                call.method,
                url,
                headers=_request_headers(call, deadline_ms, start_by_unix_ms),
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=self._connect_timeout_s
                ),
            ) as response:
                body = await self._read_body(response)
                return BackendAnswer(
                    response.status,
                    names.end_to_end(response.headers.items()),
                    body,
                    response.headers.get(names.NOT_STARTED) == "1",
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise BackendError(str(error), maybe_started=False) from error
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
            text = str(error) or type(error).__name__
            raise BackendError(text, maybe_started=True, disconnected=True) from error
        except aiohttp.ClientPayloadError as error:
            raise BackendError(
                str(error), maybe_started=True, disconnected=True
            ) from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            text = str(error) or type(error).__name__
            raise BackendError(text, maybe_started=True) from error

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        if (response.content_length or 0) > self._max_body_bytes:
            raise ValueError(f"the answer exceeds {self._max_body_bytes} bytes")
        body = await response.read()
        if len(body) > self._max_body_bytes:
            raise ValueError(f"the answer exceeds {self._max_body_bytes} bytes")
        return body

    async def is_listening(self, address: Address) -> bool:
        """Tell whether the backend server accepts connections."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def stop(self, address: Address) -> bool:
        """Ask the backend server to stop gracefully; tell whether it confirmed."""
        url = f"http://{address.host}:{address.port}{STOP_PATH}"
        timeout = aiohttp.ClientTimeout(total=STOP_TIMEOUT_S)
        try:
            async with self._open_session().post(url, timeout=timeout) as response:
                return response.ok
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


def _request_headers(call: Call, deadline_ms: int, start_by_unix_ms: int):
    headers = list(call.headers)
    headers.append((names.ATTEMPT, call.attempt_id))
    headers.append((names.PRIORITY, call.priority.name.lower()))
    headers.append((names.DEADLINE_MS, str(deadline_ms)))
    headers.append((names.START_BY, str(start_by_unix_ms)))
    return headers
