"""Development stand-in for the platform's transactional table service."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from damaskproxy.standins.faults import (
    Faults,
    add_fault_routes,
    error_response,
    run_write,
)
from damaskproxy.standins.serving import RunningSite, start_site
from damaskproxy.store.messages import (
    CommitRequest,
    CommittedBody,
    ReadRequest,
    RowBody,
    RowsBody,
    ScanBody,
    ScanRequest,
)

__all__ = ["RunningTable", "TableCounts", "TableRows", "start_table"]

MAX_REQUEST_BYTES = 16 * 1024 * 1024


class TableCounts(msgspec.Struct):
    """Numbers of requests and rows since the start, without refused requests."""

    reads: int = 0
    rows_read: int = 0
    scans: int = 0
    commits: int = 0
    conflicts: int = 0
    rows_written: int = 0


class TableRows:
    """Rows whose version increases by one with each put."""

    def __init__(self):
        self.rows: dict[str, RowBody] = {}
        self.counts = TableCounts()

    def read(self, keys: list[str]) -> dict[str, RowBody]:
        """Return the rows of `keys` that exist."""
        found = {key: self.rows[key] for key in keys if key in self.rows}
        self.counts.reads += 1
        self.counts.rows_read += len(found)
        return found

    def scan(self, prefix: str, limit: int) -> list[tuple[str, RowBody]]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        found = [(key, self.rows[key]) for key in keys[:limit]]
        self.counts.scans += 1
        self.counts.rows_read += len(found)
        return found

    def version(self, key: str) -> int:
        """Return the version of a row, 0 if the row does not exist."""
        row = self.rows.get(key)
        return row.version if row else 0

    def commit(
        self, checks: dict[str, int], puts: dict[str, bytes]
    ) -> dict[str, int] | None:
        """Apply `puts` if every version in `checks` is current.

        Returns
        -------
        dict or None
            New versions, or None if a check failed and nothing was applied.
        """
        if any(self.version(key) != version for key, version in checks.items()):
            self.counts.conflicts += 1
            return None
        for key, value in puts.items():
            self.rows[key] = RowBody(value, self.version(key) + 1)
        self.counts.commits += 1
        self.counts.rows_written += len(puts)
        return {key: self.version(key) for key in puts}

    def current(self, checks: dict[str, int]) -> dict[str, RowBody]:
        """Return the current rows of the keys in `checks` that exist."""
        return {key: self.rows[key] for key in checks if key in self.rows}


@dataclass(slots=True)
class RunningTable(RunningSite):
    """A table service that runs in this process.

    Parameters
    ----------
    address, faults, runner
        See `RunningSite`.
    rows : TableRows
        Rows and request counters.
    """

    rows: TableRows


def with_decoded_body(body_type: type, handler: Callable):
    """Return an aiohttp handler that passes the decoded body to `handler`."""
    decoder = msgspec.json.Decoder(body_type)

    async def handle(request: web.Request) -> web.Response:
        try:
            body = decoder.decode(await request.read())
        except msgspec.MsgspecError as error:
            return error_response(400, str(error), applied=False)
        return await handler(request, body)

    return handle


def json_response(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a response with `body` as JSON."""
    return web.json_response(body=msgspec.json.encode(body), status=status)


def make_table_app(rows: TableRows, faults: Faults) -> web.Application:
    """Return the application that serves `rows`."""

    async def read(_request, body: ReadRequest):
        return json_response(RowsBody(rows.read(body.keys)))

    async def scan(_request, body: ScanRequest):
        return json_response(ScanBody(rows.scan(body.prefix, body.limit)))

    async def commit(request, body: CommitRequest):
        async def apply():
            versions = rows.commit(body.checks, body.puts)
            if versions is None:
                return json_response(RowsBody(rows.current(body.checks)), 409)
            return json_response(CommittedBody(versions))

        return await run_write(request, faults, apply)

    async def counts(_request):
        return json_response(rows.counts)

    app = web.Application(client_max_size=MAX_REQUEST_BYTES)
    add_fault_routes(app, faults)
    app.router.add_post("/table/read", with_decoded_body(ReadRequest, read))
    app.router.add_post("/table/scan", with_decoded_body(ScanRequest, scan))
    app.router.add_post("/table/commit", with_decoded_body(CommitRequest, commit))
    app.router.add_get("/counts", counts)
    return app


async def start_table(host: str = "127.0.0.1", port: int = 0) -> RunningTable:
    """Start a table service in the running event loop.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port, 0 for a free one.

    Returns
    -------
    RunningTable
        The service; the caller closes it.
    """
    rows = TableRows()
    faults = Faults()
    runner, address = await start_site(make_table_app(rows, faults), host, port)
    return RunningTable(address, faults, runner, rows)
