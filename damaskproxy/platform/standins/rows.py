"""Stand-in for the platform's row store, with its documented faults."""

import asyncio
import base64
import contextlib
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from damaskproxy.http1 import Headers, HttpServer, Request, Response

__all__ = ["RowStoreStandIn"]

MS_PER_S = 1000
NEVER_S = 3600.0


@dataclass(slots=True)
class _Row:
    value: str
    version: int
    is_deleted: bool = False


@dataclass(slots=True)
class RowStoreStandIn:
    """In-memory row store with conditional writes and a change feed.

    Attributes
    ----------
    status : int
        Status of all responses; with 0 no request gets a response.
    unanswered_writes : int
        Number of writes that are applied but get no response.
    oldest_version : int
        Oldest version after which changes are available.
    page_rows : int
        Number of rows in a response to a read.
    calls : list of str
        Method and path of each request.
    version : int
        Version of the newest write.
    era : int
        Number of times that an older copy was restored.
    """

    status: int = 200
    unanswered_writes: int = 0
    oldest_version: int = 0
    page_rows: int = 500
    calls: list[str] = field(default_factory=list)
    version: int = 0
    era: int = 0
    _rows: dict[tuple[str, str], _Row] = field(default_factory=dict)
    _copies: dict[int, dict[tuple[str, str], _Row]] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: HttpServer | None = None

    async def open(self) -> str:
        """Listen on a free loopback port and return the address."""
        self.server = HttpServer("row store", self._handle)
        await self.server.open("127.0.0.1", 0)
        return f"127.0.0.1:{self.server.port}"

    async def close(self) -> None:
        """Close all connections."""
        await self.server.close()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row unconditionally, as the operator does."""
        self.version += 1
        encoded = base64.b64encode(value).decode()
        self._rows[table, key] = _Row(encoded, self.version)
        self._copies[self.version] = dict(self._rows)
        self._notify_feeds()
        return self.version

    def drop(self, table: str, key: str) -> None:
        """Delete a row."""
        self.version += 1
        self._rows[table, key] = _Row("", self.version, is_deleted=True)
        self._copies[self.version] = dict(self._rows)
        self._notify_feeds()

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None if it is absent."""
        row = self._rows.get((table, key))
        if row is None or row.is_deleted:
            return None
        return base64.b64decode(row.value)

    def restore(self, version: int) -> None:
        """Return to the copy from just after the write of `version`.

        Later writes are lost, and their versions are given out again.
        """
        self._rows = dict(self._copies[version])
        self.version = version
        self.era += 1

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Response:
        url = urlsplit(request.target.decode())
        self.calls.append(f"{request.method.decode()} {url.path}")
        if self.status == 0:
            await asyncio.sleep(NEVER_S)
        if self.status != 200:
            return Response(self.status)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/api/rows-get":
            return self._read(query)
        if url.path == "/api/rows-feed":
            return await self._changes(query)
        if url.path == "/api/rows-tx":
            return await self._commit(request)
        return Response(404)

    def _read(self, query: dict[str, str]) -> Response:
        first_key = unquote(query.get("from", ""))
        rows = [
            self._row_body(table, key, row)
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and key >= first_key and not row.is_deleted
        ]
        page = rows[: self.page_rows]
        return self._respond({"rows": page, "truncated": len(page) < len(rows)})

    async def _changes(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        deadline_s = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if after < self.oldest_version or after > self.version:
                return Response(410, self._era_header())
            rows = [
                self._row_body(table, key, row)
                for (table, key), row in self._rows.items()
                if table == query["table"] and row.version > after
            ]
            if rows or asyncio.get_running_loop().time() >= deadline_s:
                return self._respond({"rows": sorted(rows, key=lambda r: r["ver"])})
            # A row may be written while the wait ends, so the rows are read again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    await self._changed.wait()
            if self.status != 200:
                return Response(503)

    async def _commit(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        current = []
        checks_pass = True
        for row in body["precondition"]:
            known = self._rows.get((row["table"], row["key"]))
            version = 0 if known is None or known.is_deleted else known.version
            checks_pass = checks_pass and version == row["ver"]
            if version:
                current.append(self._row_body(row["table"], row["key"], known))
        if not checks_pass:
            return self._respond({"rows": current}, 412)
        for row in body["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body["drops"]:
            self.drop(row["table"], row["key"])
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            await asyncio.sleep(NEVER_S)
        return self._respond({})

    def _row_body(self, table: str, key: str, row: _Row) -> dict:
        body = {"table": table, "part": "", "key": key, "ver": row.version}
        if row.is_deleted:
            return {**body, "deleted": True}
        return {**body, "value": row.value}

    def _respond(self, body: dict, status: int = 200) -> Response:
        content = {**body, "ver": self.version, "nowMs": time.monotonic() * MS_PER_S}
        return Response(status, self._era_header(), msgspec.json.encode(content))

    def _era_header(self) -> Headers:
        return [(b"Store-Era", str(self.era).encode())]
