"""Bounds on retries: allowance of a root request and ratio per service."""

from damaskproxy.retries.allowance import Allowance
from damaskproxy.retries.ratio import RetryRatio
from damaskproxy.retries.settings import RetrySettings

__all__ = ["Allowance", "RetryRatio", "RetrySettings"]
