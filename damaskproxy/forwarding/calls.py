"""Calls between nodes and their results."""

from enum import StrEnum

import msgspec

from damaskproxy.common import Priority
from damaskproxy.common.decoding import Count

__all__ = [
    "DISCARDED_BODY",
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
"""Indexed by rank, since the constructor of the enumeration takes 13 us and would run
twice per call."""


DISCARDED_BODY = b"discarded"
"""Body of a call or answer that had no room in the memory; compared by identity."""


class NotRunReason(StrEnum):
    """Reason why a call was not run; label of ``damask_refusals_total``."""

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
    UNKNOWN_PARENT = "unknown-parent"
    RETRY_BUDGET = "retry-budget"
    MEMORY = "memory"
    ALLOWANCE = "allowance"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server, sent with each result.

    Parameters
    ----------
    in_flight, queued, limit : int
        Calls in flight, queued calls, and the concurrency limit.
    latency_ms : int
        Typical latency of a call.
    level : int
        Admission level: root requests whose position, by priority and ordinal, is at
        or above it are refused by this server or by one that it calls.
    """

    in_flight: Count
    queued: Count
    limit: Count
    latency_ms: Count
    level: Count


class Call(msgspec.Struct, array_like=True):
    """One attempt of a request, as sent to the target.

    Parameters
    ----------
    service : str
        Service that is to run it.
    route : str
        Name of the route, under which the cost of calls is recorded.
    method, target : bytes
        Method and target of the request line.
    headers : list of tuple of bytes
        End-to-end headers of the caller, without those that nodes set.
    body : bytes
        Complete body.
    request_id : bytes
        Request id.
    caller : str
        Service that the request comes from.
    priority : int
        Rank of the root request, 0 is the most urgent.
    is_idempotent : bool
        Whether the request may safely run more than once.
    deadline_ms : int
        Remaining time until the deadline.
    is_repeat : bool
        Whether this run, or that of an ancestor, is a retry.
    organisation : str
        Name of the organisation of the root request, empty without one.
    has_begun : bool
        Whether servers have already worked on the root request. False unless the
        configuration has organisations.
    is_shared : bool
        Whether the configuration has organisations, which share scarce servers.
    ordinal : int or None
        Position of the root request within its class, if the target of its first call
        has set it; otherwise it is the hash of the root id.
    earlier_refusals : int
        Requests of this route and organisation that their origin refused since it sent
        the last one, so that targets know what the organisation wanted to send.
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
    organisation: str = ""
    has_begun: bool = False
    is_shared: bool = False
    ordinal: int | None = None
    earlier_refusals: int = 0


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
        Reason of the refusal.
    reached_backend : bool
        Whether the backend server itself rejected the call.
    retry_after_ms : int
        Time after which a retry is useful, 0 for no suggestion.
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
    """Return the priority class of a rank; higher ranks share the last class."""
    return PRIORITIES[min(max(rank, 0), len(PRIORITIES) - 1)]
