"""Bodies of the platform's interfaces and their conversion.

Field names are those of the platform. Bodies are converted here to the types that the
rest of damaskproxy uses.
"""

import base64
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from damaskproxy.common.decoding import (
    Count,
    Name,
    PositiveCount,
    Rate,
    decode_or_raise,
)
from damaskproxy.directory import (
    Configuration,
    RecordError,
    Route,
    ServiceEntry,
    is_plausible_ms,
)
from damaskproxy.directory.rows import Row, Rows, RowWrite, StorePosition
from damaskproxy.forwarding import StatusReport
from damaskproxy.http1 import ClientLimits
from damaskproxy.organisations import Organisation, Organisations

__all__ = [
    "FeedBody",
    "RowBody",
    "check_instance_id",
    "decode_born_ms",
    "decode_configuration",
    "decode_feed",
    "decode_report",
    "encode_writes",
    "to_rows",
]

MS_PER_S = 1000
IDEMPOTENT_KIND = "safe"
DRAINING_STATE = "draining"
STATES = frozenset({"ready", DRAINING_STATE})

TIMEOUT_MAX_MS = 7 * 86_400_000
PRIORITY_MAX = 1_000_000
COLD_MAX_MS = 86_400_000
WEIGHTS_MAX = 1e300
"""Limits of what nodes compute with and send to each other; larger values of the
operator and of backend servers are valid and treated like these."""

OperatorCount = Annotated[int, msgspec.Meta(ge=0)]
OperatorPositiveCount = Annotated[int, msgspec.Meta(ge=1)]


class SplitPart(msgspec.Struct):
    """Service of a traffic split and its weight."""

    service: str
    weight: Rate


class RouteBody(msgspec.Struct, rename="camel"):
    """Route in the operator's configuration."""

    host: str
    prefix: str
    kind: str
    timeout_ms: OperatorPositiveCount
    max_attempts: OperatorPositiveCount
    target_latency_ms: OperatorCount = 0
    priority: OperatorCount = 0
    service: str = ""
    traffic_split: list[SplitPart] = []
    public: bool = False


class ServiceBody(msgspec.Struct, rename="camel"):
    """Service in the operator's configuration."""

    health_path: str = "/health"
    max_connections: OperatorPositiveCount = 1_000_000


class LimitsBody(msgspec.Struct, rename="camel"):
    """Limits on client connections."""

    max_header_bytes: OperatorPositiveCount = 16384
    max_body_bytes: OperatorPositiveCount = 67108864
    header_timeout_ms: OperatorPositiveCount = 3000
    idle_timeout_ms: OperatorPositiveCount = 15000


class OrganisationBody(msgspec.Struct, rename="camel"):
    """Organisation in the operator's configuration."""

    api_keys: list[str] = []
    priority: OperatorCount = 0
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0


class ConfigurationBody(msgspec.Struct):
    """Complete configuration."""

    version: PositiveCount
    routes: dict[str, RouteBody]
    services: dict[str, ServiceBody]
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)
    tenants: dict[Name, OrganisationBody] | None = None


class InfoBody(msgspec.Struct):
    """Properties of a backend server that stay the same within its incarnation."""

    service: Name
    slots: PositiveCount
    version: str = ""
    zone: str = ""


class StatusBody(msgspec.Struct, rename="camel"):
    """Status of a backend server, which changes from report to report."""

    state: str
    sequence: Count
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class ReportBody(msgspec.Struct):
    """Status report of a backend server."""

    address: str
    info: InfoBody
    status: StatusBody
    born: Count = 0


class BornBody(msgspec.Struct):
    """Start time of a backend server; other fields of the body are ignored."""

    born: Count | None = None


class RowBody(msgspec.Struct):
    """Row of the store; `value` is base64, absent if the row is deleted."""

    key: str
    ver: Count
    table: str = ""
    part: str = ""
    value: str = ""
    deleted: bool = False


class FeedBody(msgspec.Struct, rename="camel"):
    """Rows at version `ver` of the store, or the changes up to it."""

    rows: list[RowBody] = []
    ver: Count = 0
    truncated: bool = False
    now_ms: Rate = 0


class UndecodedFeedBody(msgspec.Struct, rename="camel"):
    """`FeedBody` whose rows are decoded one by one."""

    rows: list[msgspec.Raw] = []
    ver: Count = 0
    truncated: bool = False
    now_ms: Rate = 0


class RowNameBody(msgspec.Struct):
    """Key and version of a row whose other fields are invalid."""

    key: str
    ver: Count


def decode_configuration(encoded: bytes) -> Configuration:
    """Decode the configuration in the operator's row.

    Raises
    ------
    RecordError
        If it is invalid.
    """
    body = _decode(encoded, ConfigurationBody)
    routes = tuple(_route(name, route) for name, route in body.routes.items())
    services = {
        name: ServiceEntry(name, service.health_path, service.max_connections)
        for name, service in body.services.items()
    }
    limits = ClientLimits(
        body.limits.max_header_bytes,
        body.limits.max_body_bytes,
        body.limits.header_timeout_ms,
        body.limits.idle_timeout_ms,
    )
    return Configuration(
        body.version,
        routes,
        services,
        limits,
        encoded,
        None if body.tenants is None else _organisations(body.tenants),
    )


def decode_report(instance_id: str, encoded: bytes, address: str) -> StatusReport:
    """Decode a status report.

    Parameters
    ----------
    instance_id : str
        Id in the path of the request.
    encoded : bytes
        Body of the request.
    address : str
        Address of the local backend server; a report with another address
        is rejected.

    Raises
    ------
    RecordError
        If it is invalid or not about the local backend server.
    """
    body = _decode(encoded, ReportBody)
    if body.status.state not in STATES:
        raise RecordError(f"unknown state {body.status.state[:40]!r}")
    if body.address != address:
        raise RecordError(f"address {body.address[:40]} is not that of this machine")
    check_instance_id(instance_id)
    if not is_plausible_ms(body.born):
        raise RecordError(f"the start time {body.born} is in the far future")
    return StatusReport(
        instance_id,
        body.info.service,
        body.info.slots,
        body.status.state == DRAINING_STATE,
        body.born,
        body.status.sequence,
        int(min(body.status.cold_remaining_ms, COLD_MAX_MS)),
    )


def check_instance_id(instance_id: str) -> None:
    """Check an instance id, which is sent to the backend server in a header.

    Raises
    ------
    RecordError
        If it is empty, too long or has control characters.
    """
    try:
        msgspec.convert(instance_id, Name)
    except msgspec.ValidationError as error:
        raise RecordError(f"invalid instance id: {error}") from error


def decode_born_ms(encoded: bytes) -> int | None:
    """Return the start time in the body of a leaving backend server, or None."""
    try:
        return _decode(encoded, BornBody).born
    except RecordError:
        return None


def decode_feed(encoded: bytes) -> FeedBody:
    """Decode rows of the store.

    Raises
    ------
    RecordError
        If they are invalid.

    Notes
    -----
    A row of which only key and version are valid gets an empty value, which every
    decoder of rows rejects, so that it does not hide the other rows.
    """
    try:
        return _decode(encoded, FeedBody)
    except RecordError:
        body = _decode(encoded, UndecodedFeedBody)
    rows = [_row(row) for row in body.rows]
    return FeedBody(rows, body.ver, body.truncated, body.now_ms)


def _row(encoded: bytes) -> RowBody:
    try:
        return _decode(encoded, RowBody)
    except RecordError:
        name = _decode(encoded, RowNameBody)
        return RowBody(name.key, name.ver)


def encode_writes(table: str, writes: Iterable[RowWrite]) -> bytes:
    """Encode a transaction of conditional writes.

    Parameters
    ----------
    table : str
        Table of the rows; their part is empty.
    writes : iterable of RowWrite
        Writes, of which either all are applied or none.
    """
    body: dict[str, list[dict[str, Any]]] = {
        "precondition": [],
        "puts": [],
        "drops": [],
    }
    for write in writes:
        name = {"table": table, "part": "", "key": write.key}
        body["precondition"].append({**name, "ver": write.version})
        if write.value is None:
            body["drops"].append(name)
        else:
            value = base64.b64encode(write.value).decode()
            body["puts"].append({**name, "value": value})
    return msgspec.json.encode(body)


def to_rows(body: FeedBody, era: int) -> Rows:
    """Convert the rows with an empty part.

    Parameters
    ----------
    body : FeedBody
        Decoded body of the response.
    era : int
        Era of the store, from the header of the response.

    Notes
    -----
    A value that is not base64 becomes empty, which every decoder of rows rejects.
    """
    rows = [
        Row(row.key, row.ver, None if row.deleted else _decode_value(row.value))
        for row in body.rows
        if not row.part
    ]
    return Rows(rows, StorePosition(era, body.ver), body.now_ms / MS_PER_S)


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return b""


def _decode(encoded: bytes, kind: type):
    return decode_or_raise(msgspec.json.Decoder(kind).decode, encoded, RecordError)


def _route(name: str, body: RouteBody) -> Route:
    parts = [(part.service, part.weight) for part in body.traffic_split]
    if sum(weight for _, weight in parts) > WEIGHTS_MAX:
        largest = max(weight for _, weight in parts)
        parts = [(service, weight / largest) for service, weight in parts]
    if not parts:
        parts = [(body.service, 1.0)]
    return Route(
        name,
        body.host.lower(),
        body.prefix,
        tuple(parts),
        body.kind == IDEMPOTENT_KIND,
        body.max_attempts,
        min(body.timeout_ms, TIMEOUT_MAX_MS),
        min(body.target_latency_ms, TIMEOUT_MAX_MS),
        min(body.priority, PRIORITY_MAX),
        body.public,
    )


def _organisations(bodies: dict[str, OrganisationBody]) -> Organisations:
    return Organisations(
        Organisation(
            name,
            tuple(key.encode() for key in body.api_keys),
            min(body.priority, PRIORITY_MAX),
            body.rate_per_s,
            body.burst,
        )
        for name, body in bodies.items()
    )
