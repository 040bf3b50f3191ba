"""Errors of HTTP exchanges."""

from damaskproxy.common import DamaskError

__all__ = ["ConnectFailed", "ExchangeLost", "HttpError"]


class HttpError(DamaskError):
    """Failure of an HTTP exchange."""


class ConnectFailed(HttpError):
    """No connection was made, so nothing was sent."""


class ExchangeLost(HttpError):
    """The request was sent, in part at least, and no valid response came."""
