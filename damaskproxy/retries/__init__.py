"""Bounds on retries: allowance of a root request and budget of a service."""

from damaskproxy.retries.allowance import RetryAllowance
from damaskproxy.retries.budget import RetryBudget
from damaskproxy.retries.settings import RetrySettings

__all__ = ["RetryAllowance", "RetryBudget", "RetrySettings"]
