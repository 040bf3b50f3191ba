"""Events of HTTP/1.1 connections."""

import logging

from damaskproxy.events import define

__all__ = ["REQUEST_FAILED", "REQUEST_MALFORMED", "RESPONSE_CUT"]

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
RESPONSE_CUT = define(
    10003,
    "response-cut",
    logging.WARNING,
    "This node closed a connection with a request that it had not answered, or with an "
    "answer that it had not sent completely; the reason is given.",
)
