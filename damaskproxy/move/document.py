"""JSON form of a section, as operators write it, and its validation."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from damaskproxy.common import Priority
from damaskproxy.model import DrainLimits, Placement, Route, Section, Service
from damaskproxy.move.checks import ValidationIssue, check_document
from damaskproxy.move.jsontext import check_json_text

__all__ = [
    "Document",
    "InvalidDocument",
    "DrainLimitsModel",
    "RouteModel",
    "ServiceModel",
    "document_of",
    "encode_document",
    "parse_document",
    "section_of",
]

MAX_DOCUMENT_BYTES = 1_048_576
MAX_DEADLINE_MS = 600_000
MAX_RETRY_ALLOWANCE = 5

NAME_PATTERN = r"^[a-z0-9]([a-z0-9_.-]{0,61}[a-z0-9])?\Z"
PATH_PATTERN = r"^(/|(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+)\Z"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]


class RouteModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route; `priority` is the name of a `Priority` in lower case."""

    name: Name
    path: Annotated[str, msgspec.Meta(pattern=PATH_PATTERN, max_length=512)]
    priority: str
    idempotent: bool
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]
    method: Annotated[str, msgspec.Meta(pattern=r"^(\*|[A-Z]{1,16})\Z")] = "*"
    retry_allowance: Annotated[int, msgspec.Meta(ge=0, le=MAX_RETRY_ALLOWANCE)] = 0


class DrainLimitsModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on how many backend servers of a service drain at once."""

    max_draining: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 1
    min_warm_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


class ServiceModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service; `placement` maps data centres to ``serving`` or ``leaving``."""

    name: Name
    routes: Annotated[list[RouteModel], msgspec.Meta(min_length=1, max_length=1_000)]
    placement: dict[str, str] = {}
    pace: DrainLimitsModel = DrainLimitsModel()


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section as operators write it.

    Parameters
    ----------
    name : str
        Name of the section.
    team : str
        Team that owns the section; it cannot change.
    services : list of ServiceModel
        Services of the section.
    version : int, optional
        Version that the edit is based on, as printed by ``damask-move show``.
    """

    name: Name
    team: Name
    services: list[ServiceModel]
    version: Annotated[int, msgspec.Meta(ge=0)] | None = None


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """The result for a document or edit that is rejected as invalid; falsy.

    Parameters
    ----------
    issues : tuple of ValidationIssue
        Violated rules, each with its path.
    """

    issues: tuple[ValidationIssue, ...]

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        return "; ".join(map(str, self.issues))


def issue_of(error: msgspec.MsgspecError) -> ValidationIssue:
    """Convert a msgspec error to an issue."""
    message, _, path = str(error).partition(" - at `")
    return ValidationIssue(path.rstrip("`") or "$", message)


def parse_document(data: bytes) -> Document | InvalidDocument:
    """Decode and validate a section.

    Parameters
    ----------
    data : bytes
        JSON text.

    Returns
    -------
    Document or InvalidDocument
        The document, or all its issues. A violation of the schema ends the check, so
        that it is the only issue reported.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return InvalidDocument(
            (ValidationIssue("$", f"larger than {MAX_DOCUMENT_BYTES} bytes"),)
        )
    issues = check_json_text(data)
    if issues:
        return InvalidDocument(tuple(issues))
    try:
        document = msgspec.json.decode(data, type=Document)
    except msgspec.MsgspecError as error:
        return InvalidDocument((issue_of(error),))
    issues = check_document(document)
    return InvalidDocument(tuple(issues)) if issues else document


def route_of(model: RouteModel) -> Route:
    """Convert a route from its JSON form."""
    return Route(
        name=model.name,
        method=model.method,
        path=model.path,
        priority=Priority[model.priority.upper()],
        idempotent=model.idempotent,
        deadline_ms=model.deadline_ms,
        retry_allowance=model.retry_allowance,
    )


def service_of(model: ServiceModel) -> Service:
    """Convert a service from its JSON form."""
    return Service(
        name=model.name,
        routes=tuple(map(route_of, model.routes)),
        placement={name: Placement(value) for name, value in model.placement.items()},
        pace=DrainLimits(model.pace.max_draining, model.pace.min_warm_share),
    )


def section_of(document: Document, *, version: int, edit_id: str) -> Section:
    """Convert a validated document to a section.

    Parameters
    ----------
    document : Document
        Result of `parse_document`.
    version : int
        Version of the section.
    edit_id : str
        Identity of the edit that creates this version.
    """
    services = tuple(map(service_of, document.services))
    return Section(document.name, document.team, version, edit_id, services)


def model_of_route(route: Route) -> RouteModel:
    """Convert a route to its JSON form."""
    return RouteModel(
        name=route.name,
        path=route.path,
        priority=route.priority.name.lower(),
        idempotent=route.idempotent,
        deadline_ms=route.deadline_ms,
        method=route.method,
        retry_allowance=route.retry_allowance,
    )


def model_of_service(service: Service) -> ServiceModel:
    """Convert a service to its JSON form."""
    return ServiceModel(
        name=service.name,
        routes=list(map(model_of_route, service.routes)),
        placement={name: str(value) for name, value in service.placement.items()},
        pace=DrainLimitsModel(service.pace.max_draining, service.pace.min_warm_share),
    )


def document_of(section: Section) -> Document:
    """Convert a section, with its version, to its JSON form."""
    services = list(map(model_of_service, section.services))
    return Document(section.name, section.team, services, section.version)


def encode_document(document: Document) -> bytes:
    """Return `document` as indented JSON with a final newline."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2) + b"\n"
