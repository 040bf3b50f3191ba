"""Client of the platform's row store: reads, change feed and conditional writes."""

import asyncio
from collections.abc import Sequence
from urllib.parse import quote

from damaskproxy.common.decoding import INTEGER_MAX
from damaskproxy.directory import (
    HistoryLost,
    RecordError,
    Rows,
    RowWrite,
    StoreError,
    WriteOutcome,
)
from damaskproxy.http1 import (
    ConnectionPool,
    DeadPeerLimits,
    HttpError,
    Request,
    Response,
    ResponseLimits,
    ResponseMemory,
)
from damaskproxy.model import Address
from damaskproxy.platform.headers import STORE_ERA
from damaskproxy.platform.messages import (
    FeedBody,
    decode_feed,
    encode_writes,
    to_rows,
)

__all__ = ["PlatformStore"]

MS_PER_S = 1000
READ_TIMEOUT_S = 1.0
"""Timeout of reads and writes.

The store usually responds within milliseconds; in normal operation the slowest
responses take half a second."""
FEED_GRACE_S = 1.0
"""Time beyond the requested wait after which an unresponsive feed is abandoned."""
FEED_WAIT_MAX_MS = 30_000
"""Longest wait that the store allows."""
ERA_DIGITS_MAX = len(str(INTEGER_MAX))
PATH_ATTEMPTS = 2
PATH_TIMEOUT_S = 0.3
"""Time-out of each attempt to open a connection. The kernel sends a lost packet again
only after a second."""

RESPONSES_MAX_BYTES = 8 << 20
"""Limit on all responses together; a page of rows has some 1 MB."""
DEAD_PEER_LIMITS = DeadPeerLimits(probe_after_s=1, probes=1, unacknowledged_max_ms=1500)
"""Limits for detecting that the store is an unresponsive peer.

A change must be in force 3 s after connections became unresponsive. If a lost packet
closes a connection too early, that costs only one more read."""


class PlatformStore:
    """Client for the rows of the store that have an empty part.

    Parameters
    ----------
    address : Address
        Address of the store.
    """

    def __init__(self, address: Address):
        self._host = str(address).encode()
        self._pool = ConnectionPool(
            address,
            dead_peer_limits=DEAD_PEER_LIMITS,
            limits=ResponseLimits(max_body_bytes=RESPONSES_MAX_BYTES),
            memory=ResponseMemory(RESPONSES_MAX_BYTES),
        )

    async def read(self, table: str) -> Rows:
        """Return all rows of a table and the version of the store.

        Raises
        ------
        StoreError
            If there was no valid response, or if the store returned from an older copy
            between two pages.
        """
        rows = []
        first = ""
        era: int | None = None
        while True:
            target = f"/api/rows-get?table={quote(table)}&part="
            if first:
                target += f"&from={quote(first)}"
            response = await self._call(b"GET", target, b"", READ_TIMEOUT_S)
            body = _decode_response(response)
            page_era = _era(response)
            if era is not None and page_era != era:
                raise StoreError(f"the store was restored while {table} was read")
            era = page_era
            rows += body.rows
            if not body.truncated:
                return to_rows(FeedBody(rows, body.ver, now_ms=body.now_ms), era)
            if not body.rows or body.rows[-1].key < first:
                raise StoreError(f"a page of {table} does not go on from the last one")
            # The smallest key that is greater than the last one.
            first = body.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the changes after a version; wait up to `wait_ms` for the first.

        Raises
        ------
        HistoryLost
            If the store no longer has all of them.
        StoreError
            If there was no valid response.
        """
        wait_ms = min(wait_ms, FEED_WAIT_MAX_MS)
        target = f"/api/rows-feed?table={quote(table)}&after={after}&waitMs={wait_ms}"
        timeout_s = wait_ms / MS_PER_S + FEED_GRACE_S
        response = await self._call(b"GET", target, b"", timeout_s)
        if response.status == 410:
            raise HistoryLost(
                f"the store no longer has the changes of {table} after {after}"
            )
        return _decode_rows(response)

    async def write(
        self, table: str, writes: Sequence[RowWrite]
    ) -> tuple[WriteOutcome, Rows]:
        """Apply all writes or none of them; after a conflict, return the current rows.

        Raises
        ------
        StoreError
            If the outcome is unknown; the write may be applied, now or later.
        """
        encoded = encode_writes(table, writes)
        response = await self._call(b"POST", "/api/rows-tx", encoded, READ_TIMEOUT_S)
        if response.status == 412:
            return WriteOutcome.CONFLICT, _decode_rows(response, 412)
        return WriteOutcome.APPLIED, _decode_rows(response)

    async def check_path(self) -> None:
        """Open a connection to the store and close it.

        Raises
        ------
        StoreError
            If no attempt succeeds.
        """
        address = self._pool.address
        for _ in range(PATH_ATTEMPTS):
            try:
                async with asyncio.timeout(PATH_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(
                        address.host, address.port
                    )
            except (OSError, TimeoutError) as error:
                reason = str(error) or "connection timed out"
                continue
            writer.close()
            return
        raise StoreError(f"no connection to the store: {reason}")

    def close_idle(self) -> None:
        """Close connections that have been idle too long to be reused."""
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
            raise StoreError(f"no response within {timeout_s:g} s") from error
        except HttpError as error:
            raise StoreError(str(error)) from error


def _era(response: Response) -> int:
    """Return the era of the store, 0 for a store that does not name any."""
    value = response.header(STORE_ERA)
    if value is None:
        return 0
    if value.isdigit() and len(value) <= ERA_DIGITS_MAX:
        era = int(value)
        if era <= INTEGER_MAX:
            return era
    raise StoreError(f"invalid era {value[:20]!r}")


def _decode_rows(response: Response, status: int = 200) -> Rows:
    return to_rows(_decode_response(response, status), _era(response))


def _decode_response(response: Response, status: int = 200) -> FeedBody:
    if response.status != status:
        raise StoreError(f"status {response.status}")
    try:
        return decode_feed(response.body)
    except RecordError as error:
        raise StoreError(f"invalid response: {error}") from error
