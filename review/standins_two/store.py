"""Stand-in of the platform's metadata store, as PROTOCOL.md tells it."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, unquote, urlsplit

from review.standins_two.wire import Message, read_message

__all__ = ["Store"]

TX_S = 0.005
ROWS_MAX = 500


class Store:
    """Rows in memory with conditional writes and a change feed.

    Attributes
    ----------
    address : str
        Address that it listens on.
    is_down : bool
        Whether all calls get 503, which means that nothing was done.
    """

    def __init__(self):
        self.address = ""
        self.is_down = False
        self._rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._start_s = 0.0

    async def open(self) -> None:
        """Listen on a free loopback port."""
        self._start_s = asyncio.get_running_loop().time()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does; the return is the confirmation."""
        self._version += 1
        encoded = base64.b64encode(value).decode()
        self._rows[table, "", key] = (encoded, self._version)
        self._wake()

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row."""
        value, _ = self._rows.get((table, "", key), (None, 0))
        return None if value is None else base64.b64decode(value)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        url = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.is_down:
            return 503, {}
        if url.path == "/api/rows-tx":
            await asyncio.sleep(TX_S)
            return self._commit(json.loads(request.body))
        if url.path == "/api/rows-get":
            return 200, self._read(query)
        if url.path == "/api/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    def _stamped(self, body: dict) -> dict:
        now_s = asyncio.get_running_loop().time() - self._start_s
        return {**body, "ver": self._version, "nowMs": int(now_s * 1000)}

    def _row(self, name: tuple[str, str, str]) -> dict:
        value, version = self._rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def _commit(self, body: dict) -> tuple[int, dict]:
        current, holds = [], True
        for check in body.get("precondition", []):
            name = (check["table"], check["part"], check["key"])
            value, version = self._rows.get(name, (None, 0))
            holds = holds and check["ver"] == (version if value is not None else 0)
            if value is not None:
                current.append(self._row(name))
        if not holds:
            return 412, self._stamped({"rows": current})
        self._version += 1
        for row in body.get("puts", []):
            name = (row["table"], row["part"], row["key"])
            self._rows[name] = (row["value"], self._version)
        for row in body.get("drops", []):
            name = (row["table"], row["part"], row["key"])
            self._rows[name] = (None, self._version)
        self._wake()
        return 200, self._stamped({})

    def _read(self, query: dict[str, str]) -> dict:
        first = unquote(query.get("from", ""))
        names = sorted(
            name
            for name, (value, _) in self._rows.items()
            if name[0] == query["table"] and name[1] == query.get("part", "")
            if name[2] >= first and value is not None
        )
        rows = [self._row(name) for name in names[:ROWS_MAX]]
        return self._stamped({"rows": rows, "truncated": len(names) > ROWS_MAX})

    async def _feed(self, query: dict[str, str]) -> dict:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                self._row(name)
                for name, (_, version) in self._rows.items()
                if name[0] == query["table"] and version > int(query["after"])
            ]
            if rows or loop.time() >= end_s:
                return self._stamped({"rows": sorted(rows, key=lambda r: r["ver"])})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    await self._changed.wait()
