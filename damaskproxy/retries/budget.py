"""Retry budget of each service."""

from damaskproxy.retries.settings import RetrySettings

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket for each service, filled by first attempts.

    Parameters
    ----------
    settings : RetrySettings, optional
        Defaults when omitted.
    """

    def __init__(self, settings: RetrySettings | None = None):
        self._settings = settings or RetrySettings()
        self._capacity = self._settings.saved_max
        self._balances: dict[str, float] = {}

    def first_attempt(self, service: str) -> None:
        """Credit the fraction of a token that a first attempt earns."""
        settings = self._settings
        balance = self._balances.get(service, self._capacity) + settings.ratio
        self._balances[service] = min(balance, self._capacity)

    def give_back(self, service: str) -> None:
        """Return the token of a retry that did not reach a backend server."""
        balance = self._balances.get(service, 0.0) + 1
        self._balances[service] = min(balance, self._capacity)

    def charge(self, service: str) -> None:
        """Spend a token on a retry that cannot be refused, into debt if need be."""
        balance = self._balances.get(service, self._capacity) - 1
        self._balances[service] = max(balance, -self._settings.debt_max)

    def set_capacity(self, capacity: float) -> None:
        """Change the capacity of the token buckets."""
        self._capacity = capacity

    def allow(self, service: str, *, reserve: float = 0.0) -> bool:
        """Spend a token; False when none beyond `reserve` is left.

        Parameters
        ----------
        service : str
            Service that the retry is sent to.
        reserve : float
            Tokens that must remain for more urgent calls.
        """
        balance = min(self._balances.get(service, self._capacity), self._capacity)
        if balance < 1 + reserve:
            return False
        self._balances[service] = balance - 1
        return True
