"""Decides which organisation a request belongs to, and whether it may run."""

from dataclasses import dataclass
from enum import StrEnum

from damaskproxy.organisations.organisations import Organisation, Organisations

__all__ = ["ANONYMOUS", "Authentication", "AuthenticationFailure", "Identity"]


class AuthenticationFailure(StrEnum):
    """Reason why a request belongs to no organisation; label of a metric."""

    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_PARENT = "unknown-parent"


@dataclass(frozen=True, slots=True)
class Identity:
    """Organisation that a request belongs to.

    Parameters
    ----------
    name : str
        Name of the organisation, empty for a request without one.
    organisation : Organisation or None
        None for calls of backend servers, which are not counted against an allowance,
        and for requests without an organisation.
    """

    name: str = ""
    organisation: Organisation | None = None


ANONYMOUS = Identity()


class Authentication:
    """Authentication of the requests under one version of the configuration.

    Parameters
    ----------
    organisations : Organisations
        Organisations of the configuration.
    """

    __slots__ = ("_identities", "_organisations")

    def __init__(self, organisations: Organisations):
        self._organisations = organisations
        self._identities = {
            each.name: Identity(each.name, each) for each in organisations
        }

    def identify(
        self,
        authorization: bytes | None,
        *,
        is_public: bool,
        parent_organisation: str | None,
        is_call: bool,
    ) -> Identity | AuthenticationFailure:
        """Return the organisation of a request, or why it must not run.

        Parameters
        ----------
        authorization : bytes or None
            Authorization header of the request.
        is_public : bool
            Whether its route needs no key.
        parent_organisation : str or None
            Name of the organisation of the request in progress that caused it, empty if
            that has none; None for a request that no known request caused.
        is_call : bool
            Whether its id is that of a call of a backend server. After a restart of the
            node the requests that cause calls are not known, and a call must not be
            answered as if it was wrong.
        """
        if authorization is not None:
            organisation = self._organisations.find(authorization)
            if organisation is not None:
                return self._identities[organisation.name]
        if parent_organisation is not None:
            return Identity(parent_organisation) if parent_organisation else ANONYMOUS
        if is_public:
            return ANONYMOUS
        if authorization is not None:
            return AuthenticationFailure.UNKNOWN_KEY
        if is_call:
            return AuthenticationFailure.UNKNOWN_PARENT
        return AuthenticationFailure.NO_KEY
