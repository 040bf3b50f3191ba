"""Bodies of the platform's interfaces and their translation.

The names are the platform's. Each is decoded once, here, into the types of the product.
"""

import base64
from typing import Annotated, Any

import msgspec

from damaskproxy.directory import Configuration, RecordError, Route, ServiceEntry
from damaskproxy.directory.rows import Row, Rows
from damaskproxy.forwarding import StatusReport
from damaskproxy.http1 import ClientLimits

__all__ = [
    "FeedBody",
    "RowBody",
    "decode_born_ms",
    "decode_configuration",
    "decode_feed",
    "decode_report",
    "encode_put",
    "to_rows",
]

IDEMPOTENT_KIND = "safe"
DRAINING_STATE = "draining"
STATES = frozenset({"ready", DRAINING_STATE})

Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]


class SplitPart(msgspec.Struct):
    """Service of a split and its weight."""

    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class RouteBody(msgspec.Struct, rename="camel"):
    """Route as the operator writes it."""

    host: str
    prefix: str
    kind: str
    timeout_ms: PositiveCount
    max_attempts: PositiveCount
    target_latency_ms: Count = 0
    priority: Count = 0
    service: str = ""
    traffic_split: list[SplitPart] = []


class ServiceBody(msgspec.Struct, rename="camel"):
    """Service as the operator writes it."""

    health_path: str = "/health"
    max_connections: PositiveCount = 1_000_000


class LimitsBody(msgspec.Struct, rename="camel"):
    """Bounds on clients."""

    max_header_bytes: PositiveCount = 16384
    max_body_bytes: PositiveCount = 67108864
    header_timeout_ms: PositiveCount = 3000
    idle_timeout_ms: PositiveCount = 15000


class ConfigurationBody(msgspec.Struct):
    """Whole configuration."""

    version: PositiveCount
    routes: dict[str, RouteBody]
    services: dict[str, ServiceBody]
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class InfoBody(msgspec.Struct):
    """What does not change in the lifetime of a backend server."""

    service: str
    slots: PositiveCount
    version: str = ""
    zone: str = ""


class StatusBody(msgspec.Struct, rename="camel"):
    """What changes from report to report."""

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
    """Start of a backend server, in whatever it sends."""

    born: Count | None = None


class RowBody(msgspec.Struct):
    """Row of the store; `value` is base64 and absent from a deleted row."""

    key: str
    ver: int
    table: str = ""
    part: str = ""
    value: str = ""
    deleted: bool = False


class FeedBody(msgspec.Struct):
    """Rows at `ver`, or the changes up to it."""

    rows: list[RowBody] = []
    ver: int = 0
    truncated: bool = False


def decode_configuration(encoded: bytes) -> Configuration:
    """Return the configuration in a row of the operator.

    Raises
    ------
    RecordError
        If it cannot be read.
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
    return Configuration(body.version, routes, services, limits, encoded)


def decode_report(instance_id: str, encoded: bytes, address: str) -> StatusReport:
    """Return a status report.

    Parameters
    ----------
    instance_id : str
        From the path.
    encoded : bytes
        Body.
    address : str
        Of the backend server beside this node; another one is not its report.

    Raises
    ------
    RecordError
        If it cannot be read or speaks of no backend server here.
    """
    body = _decode(encoded, ReportBody)
    if body.status.state not in STATES:
        raise RecordError(f"unknown state {body.status.state!r}")
    if body.address != address:
        raise RecordError(f"address {body.address} is not that of this machine")
    if not instance_id or not body.info.service:
        raise RecordError("no instance id or no service")
    return StatusReport(
        instance_id,
        body.info.service,
        body.info.slots,
        body.status.state == DRAINING_STATE,
        body.born,
        body.status.sequence,
        int(body.status.cold_remaining_ms),
    )


def decode_born_ms(encoded: bytes) -> int | None:
    """Return the start that a leaving backend server names, None without one."""
    try:
        return msgspec.json.decode(encoded, type=BornBody).born
    except msgspec.MsgspecError:
        return None


def decode_feed(encoded: bytes) -> FeedBody:
    """Return rows of the store.

    Raises
    ------
    RecordError
        If they cannot be read.
    """
    return _decode(encoded, FeedBody)


def encode_put(table: str, key: str, version: int, value: bytes | None) -> bytes:
    """Return a transaction that replaces a row of a known version.

    Parameters
    ----------
    table, key : str
        Of the row; its part is empty.
    version : int
        Version that it must have, 0 for an absent row.
    value : bytes or None
        New value; None drops the row.
    """
    name = {"table": table, "part": "", "key": key}
    body: dict[str, Any] = {
        "precondition": [{**name, "ver": version}],
        "puts": [],
        "drops": [],
    }
    if value is None:
        body["drops"] = [name]
    else:
        body["puts"] = [{**name, "value": base64.b64encode(value).decode()}]
    return msgspec.json.encode(body)


def to_rows(body: FeedBody) -> Rows:
    """Return the rows with an empty part.

    Notes
    -----
    A value that is not base64 becomes empty, which no reader of rows accepts.
    """
    rows = [
        Row(row.key, row.ver, None if row.deleted else _decode_value(row.value))
        for row in body.rows
        if not row.part
    ]
    return Rows(rows, body.ver)


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return b""


def _decode(encoded: bytes, kind: type):
    try:
        return msgspec.json.decode(encoded, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RecordError(str(error)) from error


def _route(name: str, body: RouteBody) -> Route:
    parts = [(part.service, part.weight) for part in body.traffic_split]
    if not parts:
        parts = [(body.service, 1.0)]
    return Route(
        name,
        body.host.lower(),
        body.prefix,
        tuple(parts),
        body.kind == IDEMPOTENT_KIND,
        body.max_attempts,
        body.timeout_ms,
        body.target_latency_ms,
        body.priority,
    )
