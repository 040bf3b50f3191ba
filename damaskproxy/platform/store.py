"""Client of the platform's store: rows, changes and conditional writes."""

import asyncio
from urllib.parse import quote

from damaskproxy.directory import (
    HistoryLost,
    RecordError,
    Rows,
    StoreError,
    WriteOutcome,
)
from damaskproxy.http1 import (
    ConnectionPool,
    DeadPeerLimits,
    HttpError,
    Request,
    Response,
)
from damaskproxy.model import Address
from damaskproxy.platform.messages import (
    FeedBody,
    decode_feed,
    encode_put,
    to_rows,
)

__all__ = ["PlatformStore"]

MS_PER_S = 1000
READ_TIMEOUT_S = 1.0
"""The store answers within some milliseconds; its slowest usual answers take half a
second."""
FEED_GRACE_S = 1.5
"""Time beyond the asked wait until a silent feed is given up."""

DEAD_PEER_LIMITS = DeadPeerLimits(probe_after_s=1, probes=1, unacknowledged_max_ms=1500)
"""A change must be in force 3 s after connections went silent. A connection that a lost
packet ends too soon costs one more read."""


class PlatformStore:
    """Rows of the store with an empty part.

    Parameters
    ----------
    address : Address
        Of the store.
    """

    def __init__(self, address: Address):
        self._host = str(address).encode()
        self._pool = ConnectionPool(address, dead_peer_limits=DEAD_PEER_LIMITS)

    async def read(self, table: str) -> Rows:
        """Return all rows of a table and their version.

        Raises
        ------
        StoreError
            If there was no answer.
        """
        rows = []
        first = ""
        while True:
            target = f"/api/rows-get?table={quote(table)}&part="
            if first:
                target += f"&from={quote(first)}"
            body = _feed(await self._call(b"GET", target, b"", READ_TIMEOUT_S))
            rows += body.rows
            if not body.truncated or not body.rows:
                return to_rows(FeedBody(rows, body.ver))
            # The smallest key above the last one.
            first = body.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the changes after a version, empty if there are none for `wait_ms`.

        Raises
        ------
        HistoryLost
            If the store no longer has them all.
        StoreError
            If there was no answer.
        """
        target = f"/api/rows-feed?table={quote(table)}&after={after}&waitMs={wait_ms}"
        timeout_s = wait_ms / MS_PER_S + FEED_GRACE_S
        response = await self._call(b"GET", target, b"", timeout_s)
        if response.status == 410:
            raise HistoryLost(f"changes of {table} after {after} are gone")
        return to_rows(_feed(response))

    async def put(
        self, table: str, key: str, version: int, value: bytes | None
    ) -> tuple[WriteOutcome, Rows]:
        """Replace a row if it has `version`; the body holds the row of a conflict.

        Raises
        ------
        StoreError
            If the write may or may not be applied, now or later.
        """
        encoded = encode_put(table, key, version, value)
        response = await self._call(b"POST", "/api/rows-tx", encoded, READ_TIMEOUT_S)
        if response.status == 412:
            return WriteOutcome.CONFLICT, to_rows(_feed(response, 412))
        return WriteOutcome.APPLIED, to_rows(_feed(response))

    def close_idle(self) -> None:
        """Close connections that are too old for reuse."""
        self._pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _call(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> Response:
        headers = [(b"Host", self._host)]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        request = Request(method, target.encode(), headers, body)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._pool.exchange(request)
        except TimeoutError as error:
            raise StoreError(f"no answer within {timeout_s:g} s") from error
        except HttpError as error:
            raise StoreError(str(error)) from error


def _feed(response: Response, status: int = 200) -> FeedBody:
    if response.status != status:
        raise StoreError(f"status {response.status}")
    try:
        return decode_feed(response.body)
    except RecordError as error:
        raise StoreError(f"unreadable answer: {error}") from error
