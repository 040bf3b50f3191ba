"""State of one request at its origin, over all attempts."""

from dataclasses import dataclass, field

import msgspec

from damaskproxy.directory import Route
from damaskproxy.forwarding.breaker import RouteBreaker
from damaskproxy.forwarding.calls import (
    Answer,
    Call,
    NotRun,
    NotRunReason,
    Result,
    Unknown,
)
from damaskproxy.forwarding.parent_requests import Parent
from damaskproxy.organisations import Organisation

__all__ = ["RETRY_MIN_S", "Attempts"]

KEPT_BODY_BYTES = 4096
RETRY_MIN_S = 0.02
"""Remaining time that a retry needs."""


@dataclass(slots=True)
class Attempts:
    """State of a request that its origin is serving.

    Attributes
    ----------
    tried : set of str
        Ids of the nodes that a call was sent to.
    reached : int
        Attempts that reached, or may have reached, a backend server.
    refusals : int
        Attempts that a node refused before a backend server got the call.
    has_earned_retry : bool
        Whether the retry budget was credited with the first attempt.
    may_have_run : bool
        Whether the outcome of an attempt is unknown.
    failure : Answer or None
        Newest response with a status of 500 or above.
    history : list of tuple
        Node id and result of each attempt, without the large body of an answer; None
        as result of a cancelled one.
    caller_deadline_s : float
        End of the time that the caller allows, which may be after `deadline_s`.
    end : str
        Why no retry was made, for the log.
    organisation : Organisation or None
        Organisation whose allowance the request counts against.
    allowance_term : int or None
        Term of the allowances in which it was charged, None if it was not.
    configuration_version : int
        Version of the configuration that the request is handled under.
    """

    call: Call
    route: Route
    deadline_s: float
    tried: set[str] = field(default_factory=set)
    reached: int = 0
    refusals: int = 0
    has_earned_retry: bool = False
    may_have_run: bool = False
    failure: Answer | None = None
    history: list[tuple[str, Result | None]] = field(default_factory=list)
    end: str = ""
    last_refusal: NotRunReason = NotRunReason.NO_MEMBER
    parent: Parent | None = None
    caller_deadline_s: float = 0.0
    breaker: RouteBreaker | None = None
    organisation: Organisation | None = None
    allowance_term: int | None = None
    configuration_version: int = 0

    @property
    def organisation_name(self) -> str:
        """Name of the organisation that sent the root request, empty without one."""
        return "" if self.organisation is None else self.organisation.name

    def record(self, node_id: str, result: Result | None) -> None:
        """Record the result of an attempt."""
        if isinstance(result, Answer) and len(result.body) > KEPT_BODY_BYTES:
            result = msgspec.structs.replace(result, body=b"")
        self.history.append((node_id, result))

    def count_reached(self) -> int:
        """Return how many attempts reached a server, or may have."""
        return sum(
            result.reached_backend if isinstance(result, NotRun) else True
            for _, result in self.history
        )

    def describe_results(self) -> list[str]:
        """Return a description of the result of each attempt, for the log."""
        return [f"{node_id}: {_describe(result)}" for node_id, result in self.history]


def _describe(result: Result | None) -> str:
    if isinstance(result, Answer):
        return f"status {result.status}"
    if isinstance(result, NotRun):
        return f"not run, {result.reason}"
    if isinstance(result, Unknown):
        return f"unknown, {result.detail}"
    return "cancelled"
