"""HTTP client of the object store."""

from urllib.parse import quote

from damaskproxy.store.http import AnswerLost, HttpAnswer, HttpExchange, NotSent
from damaskproxy.store.settings import PlatformSettings
from damaskproxy.store.types import ObjectStoreError

__all__ = ["HttpObjectStore", "open_objects"]


def path_of(name: str) -> str:
    """Return the URL path of an object."""
    return "/objects/" + quote(name)


class HttpObjectStore:
    """Object store over HTTP, see `damaskproxy.store.ObjectStore`.

    Parameters
    ----------
    exchange : HttpExchange
        Connections to the store.
    """

    def __init__(self, exchange: HttpExchange):
        self._exchange = exchange

    async def get(self, name: str) -> bytes | None:
        """Return the value of `name`, or None if there is none."""
        answer = await self._send("GET", name, None)
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise ObjectStoreError(f"get {name}: status {answer.status}")
        return answer.body

    async def put(self, name: str, value: bytes) -> None:
        """Store `value`; the last put wins."""
        answer = await self._send("PUT", name, value)
        if answer.status not in (200, 201, 204):
            raise ObjectStoreError(f"put {name}: status {answer.status}")

    async def _send(self, method: str, name: str, body: bytes | None) -> HttpAnswer:
        try:
            return await self._exchange.send(method, path_of(name), body)
        except (NotSent, AnswerLost) as error:
            raise ObjectStoreError(f"{method.lower()} {name}: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._exchange.close()


def open_objects(settings: PlatformSettings) -> HttpObjectStore:
    """Return a client of the object store at the URL in `settings`."""
    exchange = HttpExchange(
        settings.objects_url,
        connect_timeout_s=settings.connect_timeout_ms / 1000,
        timeout_s=settings.timeout_ms / 1000,
        max_concurrent=settings.max_concurrent,
    )
    return HttpObjectStore(exchange)
