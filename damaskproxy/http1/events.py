"""Events of HTTP/1.1 connections."""

import logging

from damaskproxy.events import define

__all__ = ["REQUEST_FAILED", "REQUEST_MALFORMED"]

REQUEST_MALFORMED = define(
    10001,
    "request-malformed",
    logging.DEBUG,
    "A request broke the protocol or a limit and was refused before it was handled.",
)
REQUEST_FAILED = define(
    10002,
    "request-failed",
    logging.ERROR,
    "The handling of a request raised an unexpected error.",
)
