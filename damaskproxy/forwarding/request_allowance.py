"""Allowance of a request at its origin."""

from dataclasses import dataclass
from typing import Protocol

from damaskproxy.common.clock import boot_s
from damaskproxy.forwarding.attempts import RETRY_MIN_S, Attempts
from damaskproxy.organisations import Organisation

__all__ = ["Allowances", "Decision", "allowance_wait_s"]


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is admitted.

    Parameters
    ----------
    wait_s : float
        Its wait, 0 if it is admitted.
    term : int or None
        Term of the allowances in which it was charged, None if it was not.
    """

    wait_s: float
    term: int | None = None


class Allowances(Protocol):
    """Allowances of organisations, see `damaskproxy.allowances`."""

    def check(self, organisation: Organisation) -> Decision | None:
        """Decide about a request; None if it has to ask."""

    async def ask(self, organisation: Organisation, timeout_s: float) -> Decision:
        """Decide about a request after asking."""

    def finish(self, organisation: Organisation, term: int, reached_count: int) -> None:
        """Record how many servers a request that was charged in a term has reached."""


async def allowance_wait_s(allowances: Allowances | None, attempts: Attempts) -> float:
    """Count a request against its allowance; return its wait if it is refused."""
    organisation = attempts.organisation
    if organisation is None or allowances is None or not organisation.is_limited:
        return 0.0
    decision = allowances.check(organisation)
    if decision is None:
        remaining_s = attempts.deadline_s - boot_s()
        decision = await allowances.ask(organisation, remaining_s - RETRY_MIN_S)
    attempts.allowance_term = decision.term
    return decision.wait_s
