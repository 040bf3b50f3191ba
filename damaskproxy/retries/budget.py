"""Retry ratio per service."""

from damaskproxy.retries.settings import RetrySettings

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket per service, filled by first attempts.

    Parameters
    ----------
    settings : RetrySettings, optional
        Defaults when omitted.
    """

    def __init__(self, settings: RetrySettings | None = None):
        self._settings = settings or RetrySettings()
        self._saved_max = self._settings.saved_max
        self._saved: dict[str, float] = {}

    def first_attempt(self, service: str) -> None:
        """Earn a part of a retry."""
        settings = self._settings
        saved = self._saved.get(service, self._saved_max) + settings.ratio
        self._saved[service] = min(saved, self._saved_max)

    def give_back(self, service: str) -> None:
        """Return a retry that was allowed and did not reach a backend server."""
        saved = self._saved.get(service, 0.0) + 1
        self._saved[service] = min(saved, self._saved_max)

    def charge(self, service: str) -> None:
        """Count a repeat that could not be refused; it may leave a debt."""
        saved = self._saved.get(service, self._saved_max) - 1
        self._saved[service] = max(saved, -self._settings.debt_max)

    def set_capacity(self, count: float) -> None:
        """Change how many retries can be saved up."""
        self._saved_max = count

    def allow(self, service: str, *, reserve: float = 0.0) -> bool:
        """Spend a retry; False when none is saved beyond `reserve`.

        Parameters
        ----------
        service : str
            Service that gets the retry.
        reserve : float
            Saved retries that are kept for more urgent calls.
        """
        saved = min(self._saved.get(service, self._saved_max), self._saved_max)
        if saved < 1 + reserve:
            return False
        self._saved[service] = saved - 1
        return True
