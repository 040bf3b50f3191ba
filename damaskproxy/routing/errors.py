"""Errors of the routing layer."""

from damaskproxy.common import DamaskError

__all__ = ["BackendError", "PeerError", "RoutingError"]


class RoutingError(DamaskError):
    """Base class of the errors of the routing layer."""


class PeerError(RoutingError):
    """A stream to a peer could not be opened or broke."""


class BackendError(RoutingError):
    """An exchange with the backend server failed.

    Parameters
    ----------
    message : str
        Description of the failure.
    maybe_started : bool
        Whether the backend server may have started the request.
    disconnected : bool
        Whether the backend server closed the connection.
    """

    def __init__(
        self, message: str, *, maybe_started: bool, disconnected: bool = False
    ):
        super().__init__(message)
        self.maybe_started = maybe_started
        self.disconnected = disconnected
