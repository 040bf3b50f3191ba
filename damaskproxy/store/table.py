"""HTTP client of the table service."""

from collections.abc import Mapping, Sequence

import msgspec

from damaskproxy.store.http import AnswerLost, HttpAnswer, HttpExchange, NotSent
from damaskproxy.store.messages import (
    CommitRequest,
    CommittedBody,
    ErrorBody,
    ReadRequest,
    RowsBody,
    ScanBody,
    ScanRequest,
)
from damaskproxy.store.settings import PlatformSettings
from damaskproxy.store.types import (
    CommitResult,
    Committed,
    Conflict,
    Row,
    TableRejected,
    TableUnavailable,
    TableUnknown,
)

__all__ = ["HttpTable", "open_table"]

MAX_ERROR_CHARS = 200

_encode = msgspec.json.encode


def error_text(answer: HttpAnswer) -> str:
    """Return status and reason of an error response, in one line."""
    try:
        text = msgspec.json.decode(answer.body, type=ErrorBody).error
    except msgspec.MsgspecError:
        text = answer.body.decode("utf-8", "replace")
    return f"status {answer.status}: {' '.join(text.split())[:MAX_ERROR_CHARS]}"


def says_not_applied(answer: HttpAnswer) -> bool:
    """Return whether an error response states that nothing was applied.

    A 5xx without that statement may come from a proxy that has already forwarded the
    commit.
    """
    try:
        return msgspec.json.decode(answer.body, type=ErrorBody).applied is False
    except msgspec.MsgspecError:
        return False


def to_rows(rows) -> dict[str, Row]:
    """Convert the rows of a body."""
    return {key: Row(row.value, row.version) for key, row in rows.items()}


class HttpTable:
    """Table service over HTTP, see `damaskproxy.store.Table`.

    Parameters
    ----------
    exchange : HttpExchange
        Connections to the service.
    """

    def __init__(self, exchange: HttpExchange):
        self._exchange = exchange

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows of `keys` from one snapshot, without absent keys."""
        if not keys:
            return {}
        body = await self._query("/table/read", ReadRequest(list(keys)), RowsBody)
        return to_rows(body.rows)

    async def scan(self, prefix: str, limit: int) -> list[tuple[str, Row]]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order."""
        body = await self._query("/table/scan", ScanRequest(prefix, limit), ScanBody)
        return [(key, Row(row.value, row.version)) for key, row in body.rows]

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes]
    ) -> CommitResult:
        """Write rows if every checked row has its expected version."""
        request = _encode(CommitRequest(dict(checks), dict(puts)))
        try:
            answer = await self._exchange.send("POST", "/table/commit", request)
        except NotSent as error:
            raise TableUnavailable(str(error)) from error
        except AnswerLost as error:
            raise TableUnknown(str(error)) from error
        return self._commit_result(answer)

    def _commit_result(self, answer: HttpAnswer) -> CommitResult:
        try:
            if answer.status == 200:
                body = msgspec.json.decode(answer.body, type=CommittedBody)
                return Committed(body.versions)
            if answer.status == 409:
                body = msgspec.json.decode(answer.body, type=RowsBody)
                return Conflict(to_rows(body.rows))
        except msgspec.MsgspecError as error:
            raise TableUnknown(f"invalid response: {error}") from error
        if not says_not_applied(answer):
            raise TableUnknown(error_text(answer))
        if answer.status < 500:
            raise TableRejected(error_text(answer))
        raise TableUnavailable(error_text(answer))

    async def _query(self, path: str, request: msgspec.Struct, kind: type):
        try:
            answer = await self._exchange.send("POST", path, _encode(request))
        except (NotSent, AnswerLost) as error:
            raise TableUnavailable(str(error)) from error
        if answer.status != 200:
            error_class = TableRejected if answer.status < 500 else TableUnavailable
            raise error_class(error_text(answer))
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.MsgspecError as error:
            raise TableUnavailable(f"invalid response: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._exchange.close()


def open_table(settings: PlatformSettings) -> HttpTable:
    """Return a client of the table service at the URL in `settings`."""
    exchange = HttpExchange(
        settings.table_url,
        connect_timeout_s=settings.connect_timeout_ms / 1000,
        timeout_s=settings.timeout_ms / 1000,
        max_concurrent=settings.max_concurrent,
    )
    return HttpTable(exchange)
