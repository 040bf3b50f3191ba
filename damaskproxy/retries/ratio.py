"""Retry ratio per service."""

from damaskproxy.retries.settings import RetrySettings

__all__ = ["RetryRatio"]


class RetryRatio:
    """Token bucket per service, filled by first attempts.

    Parameters
    ----------
    settings : RetrySettings, optional
        Defaults when omitted.
    """

    def __init__(self, settings: RetrySettings | None = None):
        self._settings = settings or RetrySettings()
        self._saved: dict[str, float] = {}

    def first_attempt(self, service: str) -> None:
        """Earn a part of a retry."""
        settings = self._settings
        saved = self._saved.get(service, settings.saved_max) + settings.ratio
        self._saved[service] = min(saved, settings.saved_max)

    def give_back(self, service: str) -> None:
        """Return a retry that was allowed and did not reach a backend server."""
        saved = self._saved.get(service, 0.0) + 1
        self._saved[service] = min(saved, self._settings.saved_max)

    def charge(self, service: str) -> None:
        """Count a repeat that could not be refused; it may leave a debt."""
        saved = self._saved.get(service, self._settings.saved_max) - 1
        self._saved[service] = max(saved, -self._settings.debt_max)

    def allow(self, service: str) -> bool:
        """Spend a retry; False when none is saved."""
        saved = self._saved.get(service, self._settings.saved_max)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
