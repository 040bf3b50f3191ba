"""HTTP exchange with bounded concurrency and one deadline for all its steps."""

import asyncio
import io
from dataclasses import dataclass

import aiohttp

from damaskproxy.common import DamaskError

__all__ = ["AnswerLost", "HttpAnswer", "HttpExchange", "NotSent"]

# aiohttp sends larger bytes in one write, which blocks the event loop.
MAX_PLAIN_BYTES = 512 * 1024


class NotSent(DamaskError):
    """The request did not leave this process."""


class AnswerLost(DamaskError):
    """The request may have arrived, but its answer did not."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and whole body of an answer."""

    status: int
    body: bytes


class HttpExchange:
    """Sends requests to one service.

    Parameters
    ----------
    base_url : str
        Scheme, host and port.
    connect_timeout_s, timeout_s : float
        Longest waits for a connection and for the whole exchange.
    max_concurrent : int
        Requests in flight at once.

    Notes
    -----
    The pool closes idle connections before the service does. A service that closes
    one just as a request is sent would make the outcome of a commit unknown.
    """

    KEEPALIVE_S = 15.0

    def __init__(
        self,
        base_url: str,
        *,
        connect_timeout_s: float,
        timeout_s: float,
        max_concurrent: int,
    ):
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._timeout = aiohttp.ClientTimeout(sock_connect=connect_timeout_s)
        self._max_concurrent = max_concurrent
        self._places = asyncio.Semaphore(max_concurrent)
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        # A session needs a running event loop, which the constructor does not have.
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=self._max_concurrent, keepalive_timeout=self.KEEPALIVE_S
            )
            self._session = aiohttp.ClientSession(
                connector=connector, timeout=self._timeout, trust_env=False
            )
            # The client repeats a PUT whose connection was closed. A repeated write
            # hides that the first one may have taken effect.
            self._session._retry_connection = False
        return self._session

    async def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> HttpAnswer:
        """Send a request and return its answer, whatever the status.

        Raises
        ------
        NotSent
            If no place or no connection was free in time.
        AnswerLost
            If the request was sent and its answer did not arrive in time.
        """
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._places.acquire()
        except TimeoutError as error:
            raise NotSent("too many requests wait for the service") from error
        try:
            # The place may come free at the very deadline.
            if asyncio.get_running_loop().time() >= deadline_s:
                raise NotSent("too many requests wait for the service")
            return await self._exchange(method, path, body, deadline_s)
        finally:
            self._places.release()

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
                return HttpAnswer(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSent(f"cannot connect to {self._base_url}: {error}") from error
        except TimeoutError as error:
            raise AnswerLost(f"no answer within {self._timeout_s:g} s") from error
        except (aiohttp.ClientError, OSError) as error:
            raise AnswerLost(f"connection lost: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
