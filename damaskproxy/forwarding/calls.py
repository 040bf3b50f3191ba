"""Calls between nodes and their results."""

from enum import StrEnum

import msgspec

from damaskproxy.common import Priority

__all__ = [
    "Answer",
    "Call",
    "LoadReport",
    "NotRun",
    "NotRunReason",
    "Result",
    "Unknown",
    "to_priority",
]


PRIORITIES = tuple(Priority)
"""Looked up by rank: the conversion of an enumeration takes 13 us, twice a call."""


class NotRunReason(StrEnum):
    """Why a call was not run, label of ``damask_refusals_total``."""

    NO_BACKEND = "no-backend"
    OTHER_SERVICE = "other-service"
    DRAINING = "draining"
    STOPPING = "stopping"
    OVERLOAD = "overload"
    OVERLOAD_BELOW = "overload-below"
    MOSTLY_FAILING = "mostly-failing"
    DEADLINE_PASSED = "deadline-passed"
    QUARANTINED = "quarantined"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_REJECTED = "backend-rejected"
    PEER_UNREACHABLE = "peer-unreachable"
    NO_MEMBER = "no-member"
    NO_CONFIGURATION = "no-configuration"
    RETRY_BUDGET = "retry-budget"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server, sent back with each result.

    Parameters
    ----------
    in_flight, queued, limit : int
        Calls that run, wait, and may run at once.
    latency_ms : int
        Usual time of a call.
    level : int
        First position of a root request, by priority and ordinal, that this server or
        one that it calls refuses.
    """

    in_flight: int
    queued: int
    limit: int
    latency_ms: int
    level: int


class Call(msgspec.Struct, array_like=True):
    """One attempt of a request on its way to the node beside a backend server.

    Parameters
    ----------
    service : str
        Service that shall run it.
    route : str
        Name of the route, under which costs are learned.
    method, target : bytes
        Of the request.
    headers : list of tuple of bytes
        End-to-end headers of the caller, without those that the mesh sets.
    body : bytes
        Whole body.
    request_id : bytes
        Id of the request.
    caller : str
        Service beside the node where the request began.
    priority : int
        Rank of the root request, 0 is the most urgent.
    is_idempotent : bool
        Whether a second run does no harm.
    deadline_ms : int
        Time that is left.
    is_repeat : bool
        Whether this run, or that of an ancestor, is not the first.
    """

    service: str
    route: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: bytes
    caller: str
    priority: int
    is_idempotent: bool
    deadline_ms: int
    is_repeat: bool = False


class Answer(msgspec.Struct, array_like=True):
    """Response of a backend server."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    load: LoadReport | None = None


class NotRun(msgspec.Struct, array_like=True):
    """The call has not run and never will.

    Parameters
    ----------
    reason : NotRunReason
        Why.
    reached_backend : bool
        Whether the backend server itself rejected it.
    retry_after_ms : int
        Earliest useful resend, 0 when none is suggested.
    """

    reason: NotRunReason
    reached_backend: bool = False
    retry_after_ms: int = 0
    load: LoadReport | None = None


class Unknown(msgspec.Struct, array_like=True):
    """The call was sent to a backend server and may have run."""

    detail: str
    load: LoadReport | None = None


Result = Answer | NotRun | Unknown


def to_priority(rank: int) -> Priority:
    """Return the priority class of a route's rank; lower ranks share the last class."""
    return PRIORITIES[min(max(rank, 0), len(PRIORITIES) - 1)]
