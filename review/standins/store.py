"""Stand-in for the platform's store: rows, conditional writes and the change feed."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins.messages import Closed, Message, encode, read_message

__all__ = ["Store"]

TRANSACTION_S = 0.004
ROWS_MAX = 500


class Store:
    """Store in memory, on a free port of the loopback interface.

    Attributes
    ----------
    is_silent : bool
        Whether the store is down: it accepts connections and answers nothing.
    address : str
        Address once it is open.
    """

    def __init__(self):
        self.is_silent = False
        self.address = ""
        self._version = 0
        self._rows: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()
        self._up = asyncio.Event()
        self._up.set()

    async def open(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does."""
        self._apply([((table, "", key), base64.b64encode(value).decode())])

    def rows(self, table: str) -> dict[str, bytes]:
        """Return the values of a table."""
        return {
            key: base64.b64decode(value)
            for (name, _, key), (_, value) in self._rows.items()
            if name == table and value is not None
        }

    def go_down(self) -> None:
        """Answer nothing from now on; calls in progress stay unanswered too."""
        self.is_silent = True

    def come_back(self) -> None:
        """Answer the calls that arrive from now on."""
        self.is_silent = False

    def _apply(self, writes: list[tuple[tuple[str, str, str], str | None]]) -> None:
        self._version += 1
        for name, value in writes:
            self._rows[name] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                was_silent = self.is_silent
                answer = None if was_silent else await self._answer(request)
                if was_silent or self.is_silent or answer is None:
                    # A connection on which an answer is lost delivers nothing more.
                    await reader.read()
                    return
                writer.write(answer)
        except (Closed, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes | None:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(url.query, keep_blank_values=True).items()
        }
        if method == "GET" and url.path == "/api/rows-feed":
            return await self._feed(query)
        await asyncio.sleep(TRANSACTION_S)
        if self.is_silent:
            return None
        if method == "GET" and url.path == "/api/rows-get":
            return self._get(query)
        if method == "POST" and url.path == "/api/rows-tx":
            return self._transact(json.loads(request.body))
        return encode("HTTP/1.1 404 Not Found", {})

    def _get(self, query: dict[str, str]) -> bytes:
        first, end = query.get("from", ""), query.get("to")
        rows = [
            self._body(name, *row)
            for name, row in sorted(self._rows.items())
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= first
            and (end is None or name[2] < end)
            and row[1] is not None
        ]
        page = rows[: min(int(query.get("limit", ROWS_MAX)), ROWS_MAX)]
        return self._respond(200, {"rows": page, "truncated": len(page) < len(rows)})

    async def _feed(self, query: dict[str, str]) -> bytes | None:
        after = int(query["after"])
        end_s = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        while True:
            if self.is_silent:
                return None
            rows = [
                self._body(name, *row)
                for name, row in self._rows.items()
                if name[0] == query["table"] and row[0] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self._respond(200, {"rows": rows})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> bytes:
        current, holds = [], True
        for entry in body.get("precondition", []):
            name = (entry["table"], entry.get("part", ""), entry["key"])
            version, value = self._rows.get(name, (0, None))
            holds = holds and (version if value is not None else 0) == entry["ver"]
            if value is not None:
                current.append(self._body(name, version, value))
        if not holds:
            return self._respond(412, {"rows": current})
        puts, drops = body.get("puts", []), body.get("drops", [])
        names = [(e["table"], e.get("part", ""), e["key"]) for e in puts + drops]
        if any(name[0] in ("op", "servers") for name in names):
            return encode("HTTP/1.1 403 Forbidden", {})
        values = [e["value"] for e in puts] + [None] * len(drops)
        self._apply(list(zip(names, values, strict=True)))
        return self._respond(200, {})

    def _body(self, name: tuple[str, str, str], version: int, value: str | None):
        body = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        return {**body, "deleted": True} if value is None else {**body, "value": value}

    def _respond(self, status: int, body: dict) -> bytes:
        content = {**body, "ver": self._version, "nowMs": int(time.monotonic() * 1000)}
        return encode(
            f"HTTP/1.1 {status} {'OK' if status == 200 else 'Conflict'}",
            {"Content-Type": "application/json"},
            json.dumps(content).encode(),
        )
