"""Explanations of the reasons for refusals, for ``damask-node explain``."""

from collections.abc import Mapping

from damaskproxy.forwarding.calls import NotRunReason
from damaskproxy.organisations import AuthenticationFailure

__all__ = ["REFUSAL_MEANINGS", "explain_refusal"]

REFUSAL_MEANINGS = {
    AuthenticationFailure.NO_KEY: "the route is not public, and the request had no API "
    "key",
    AuthenticationFailure.UNKNOWN_KEY: "the configuration in force at this node has no "
    "organisation with the API key of the request",
    AuthenticationFailure.UNKNOWN_PARENT: "the request that caused this call does not "
    "run on the server beside this node, as after a restart of the node",
    NotRunReason.ALLOWANCE: "the organisation has spent its allowance over all nodes; "
    "it may send again after the wait",
    NotRunReason.OVERLOAD_BELOW: "the service, or one that it calls, would refuse "
    "it, so it was not started",
    NotRunReason.OVERLOAD: "the queue of the backend server was too long, its level "
    "was at or below the position of the request, or its own limit was used up",
    NotRunReason.MOSTLY_FAILING: "most requests of the route failed lately, so only a "
    "part of them is started",
    NotRunReason.DEADLINE_PASSED: "the time budget ended before it could start",
    NotRunReason.RETRY_BUDGET: "a retry would exceed the retry budget of the service",
    NotRunReason.NO_MEMBER: "no serving member of the service was left to try",
    NotRunReason.MEMORY: "the request or its answer had no room in the memory of the "
    "node",
}
"""By reason; the other reasons are in docs/OPERATIONS.md."""


def explain_refusal(fields: Mapping[str, object]) -> str:
    """Return why a request was refused, from the fields of its log entry.

    Parameters
    ----------
    fields : mapping
        Fields of an event that has a reason.

    Returns
    -------
    str
        Empty if the event is no refusal, or the reason has no explanation here.
    """
    status = fields.get("status")
    if status is None and not fields.get("is_not_run"):
        return ""
    if status not in (None, 401, 429, 503):
        return ""
    attempts = [str(attempt) for attempt in fields.get("attempts") or ()]
    if any(": not run, " not in attempt for attempt in attempts):
        # The response is that of a server, or an attempt may have run.
        return ""
    return REFUSAL_MEANINGS.get(str(fields.get("reason", "")), "")
