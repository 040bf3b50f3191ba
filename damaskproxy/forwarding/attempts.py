"""Attempts of one request at its origin."""

from dataclasses import dataclass, field

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

__all__ = ["Attempts"]


@dataclass(slots=True)
class Attempts:
    """A request on its way, over all its attempts."""

    call: Call
    route: Route
    deadline_s: float
    tried: set[str] = field(default_factory=set)
    reached: int = 0
    refusals: int = 0
    has_earned: bool = False
    may_have_run: bool = False
    failure: Answer | None = None
    history: list[tuple[str, Result | None]] = field(default_factory=list)
    end: str = ""
    last_refusal: NotRunReason = NotRunReason.NO_MEMBER
    parent: Parent | None = None
    breaker: RouteBreaker | None = None

    def described(self) -> list[str]:
        """Return the results of the attempts in words, for the log."""
        return [f"{node_id}: {_describe(result)}" for node_id, result in self.history]


def _describe(result: Result | None) -> str:
    if isinstance(result, Answer):
        return f"status {result.status}"
    if isinstance(result, NotRun):
        return f"not run, {result.reason}"
    if isinstance(result, Unknown):
        return f"unknown, {result.detail}"
    return "given up"
