"""HTTP client with bounded concurrency and one deadline for each exchange."""

import asyncio
import io
from dataclasses import dataclass

import aiohttp

from damaskproxy.common import DamaskError
from damaskproxy.http1 import is_final_status

__all__ = [
    "AnswerLost",
    "AnswerTooLarge",
    "HttpAnswer",
    "HttpExchange",
    "NotSent",
    "read_body",
]

# aiohttp sends a larger ``bytes`` body in one write, which blocks the event loop.
MAX_PLAIN_BYTES = 512 * 1024
RESPONSE_MAX_BYTES = 64 << 20
"""Body of the largest object that the object store keeps."""


class NotSent(DamaskError):
    """The request was not sent."""


class AnswerLost(DamaskError):
    """No complete response arrived; the request may have been processed."""


class AnswerTooLarge(AnswerLost):
    """The body of a response is larger than any valid one."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response.

    Raises
    ------
    AnswerTooLarge
        If it has more than `max_bytes`; the connection is closed.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > max_bytes:
            response.close()
            raise AnswerTooLarge(f"the response has more than {max_bytes} bytes")
    return bytes(body)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and complete body of a response."""

    status: int
    body: bytes


class CheckedResponse(aiohttp.ClientResponse):
    """Response whose connection is not used again if its status is not valid."""

    async def start(self, connection):
        """Read the head; the connection of a complete response is released here."""
        protocol = connection.protocol
        await super().start(connection)
        if not is_final_status(self.status):
            protocol.close()
        return self


class HttpExchange:
    """Sends requests to one service.

    Parameters
    ----------
    base_url : str
        Scheme, host and port.
    connect_timeout_s, timeout_s : float
        Deadlines of opening a connection and of the complete exchange.
    max_concurrent : int
        Maximum number of requests in flight.
    max_response_bytes : int
        Largest body of a response.

    Notes
    -----
    The pool closes idle connections before the service does. If the service closed one
    just as a commit is sent, the outcome of the commit would be unknown.
    """

    KEEPALIVE_S = 15.0

    def __init__(
        self,
        base_url: str,
        *,
        connect_timeout_s: float,
        timeout_s: float,
        max_concurrent: int,
        max_response_bytes: int = RESPONSE_MAX_BYTES,
    ):
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._timeout = aiohttp.ClientTimeout(sock_connect=connect_timeout_s)
        self._max_concurrent = max_concurrent
        self._max_response_bytes = max_response_bytes
        self._semaphore = asyncio.Semaphore(max_concurrent)
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        # A session needs a running event loop, which the constructor does not have.
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=self._max_concurrent, keepalive_timeout=self.KEEPALIVE_S
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                timeout=self._timeout,
                trust_env=False,
                response_class=CheckedResponse,
            )
            # aiohttp retries a PUT whose connection was closed, which would hide that
            # the first attempt may have been applied.
            self._session._retry_connection = False
        return self._session

    async def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> HttpAnswer:
        """Send a request and return the response, whatever its status.

        Raises
        ------
        NotSent
            If too many requests are in flight or no connection could be opened in time.
        AnswerLost
            If no complete response arrived in time; the request may have been
            processed.
        """
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._semaphore.acquire()
        except TimeoutError as error:
            raise NotSent("too many requests wait for the service") from error
        try:
            # The semaphore may be acquired exactly at the deadline.
            if asyncio.get_running_loop().time() >= deadline_s:
                raise NotSent("too many requests wait for the service")
            return await self._exchange(method, path, body, deadline_s)
        finally:
            self._semaphore.release()

    async def _exchange(self, method, path, body, deadline_s) -> HttpAnswer:
        session = self._open_session()
        if body is not None and len(body) > MAX_PLAIN_BYTES:
            body = io.BytesIO(body)
        url = self._base_url + path
        try:
            async with (
                asyncio.timeout_at(deadline_s),
                session.request(
                    method, url, data=body, allow_redirects=False
                ) as response,
            ):
                if not is_final_status(response.status):
                    raise AnswerLost(f"status {response.status} is no response")
                content = await read_body(response, self._max_response_bytes)
                return HttpAnswer(response.status, content)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSent(f"cannot connect to {self._base_url}: {error}") from error
        except TimeoutError as error:
            raise AnswerLost(f"no response within {self._timeout_s:g} s") from error
        except (aiohttp.ClientError, OSError) as error:
            raise AnswerLost(f"connection lost: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
