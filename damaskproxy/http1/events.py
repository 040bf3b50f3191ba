"""Events of HTTP/1.1 connections."""

import logging

from damaskproxy.events import define

__all__ = ["REQUEST_FAILED", "REQUEST_MALFORMED"]

REQUEST_MALFORMED = define(
    10001,
    "request-malformed",
    logging.DEBUG,
    "A request violated the protocol or a limit and was rejected before handling.",
)
REQUEST_FAILED = define(
    10002,
    "request-failed",
    logging.ERROR,
    "Handling a request raised an unexpected exception.",
)
