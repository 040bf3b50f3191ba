"""Allowance of a request at its origin."""

from typing import Protocol

from damaskproxy.common.clock import boot_s
from damaskproxy.forwarding.attempts import RETRY_MIN_S, Attempts
from damaskproxy.organisations import Organisation

__all__ = ["Allowances", "allowance_wait_s"]


class Allowances(Protocol):
    """Allowances of organisations, see `damaskproxy.allowances`."""

    def check(self, organisation: Organisation) -> float | None:
        """Return the wait of a request, 0 if it is admitted, None if it has to ask."""

    async def ask(self, organisation: Organisation, timeout_s: float) -> float:
        """Return the wait of a request after asking, 0 if it is admitted."""

    def finish(self, organisation: Organisation, reached_count: int) -> None:
        """Record how many servers an admitted request has reached."""


async def allowance_wait_s(allowances: Allowances | None, attempts: Attempts) -> float:
    """Count a request against its allowance; return its wait if it is refused."""
    organisation = attempts.organisation
    if organisation is None or allowances is None or not organisation.is_limited:
        return 0.0
    wait_s = allowances.check(organisation)
    if wait_s is None:
        remaining_s = attempts.deadline_s - boot_s()
        wait_s = await allowances.ask(organisation, remaining_s - RETRY_MIN_S)
    attempts.is_counted = wait_s == 0
    return wait_s
