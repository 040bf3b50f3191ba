"""Errors of HTTP exchanges."""

from damaskproxy.common import DamaskError

__all__ = ["ConnectFailed", "ExchangeLost", "HttpError", "ResponseTooLarge"]


class HttpError(DamaskError):
    """Failure of an HTTP exchange."""


class ConnectFailed(HttpError):
    """The connection could not be opened, so nothing was sent."""


class ExchangeLost(HttpError):
    """No valid response was received to a request that was sent at least in part."""


class ResponseTooLarge(ExchangeLost):
    """The response exceeded a limit and its connection was closed."""
