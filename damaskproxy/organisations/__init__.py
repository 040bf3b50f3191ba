"""Organisations whose clients send requests, and the API keys that identify them."""

from damaskproxy.organisations.authentication import (
    ANONYMOUS,
    Authentication,
    AuthenticationFailure,
    Identity,
)
from damaskproxy.organisations.organisations import Organisation, Organisations
from damaskproxy.organisations.priorities import CombinedPriorities

__all__ = [
    "ANONYMOUS",
    "Authentication",
    "AuthenticationFailure",
    "CombinedPriorities",
    "Identity",
    "Organisation",
    "Organisations",
]
