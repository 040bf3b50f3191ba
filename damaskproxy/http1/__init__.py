"""HTTP/1.1 client and server that never retry, decode or normalise implicitly."""

from damaskproxy.http1.client import ConnectionPool
from damaskproxy.http1.errors import (
    ConnectFailed,
    ExchangeLost,
    HttpError,
    ResponseTooLarge,
)
from damaskproxy.http1.limits import ClientLimits, ListenerLimits
from damaskproxy.http1.messages import (
    Headers,
    Request,
    Response,
    end_to_end,
)
from damaskproxy.http1.response_checks import (
    NO_ID,
    OTHER_ID,
    is_final_status,
    status_fault,
)
from damaskproxy.http1.response_limits import ResponseLimits, ResponseMemory
from damaskproxy.http1.server import HttpServer
from damaskproxy.http1.sockets import DeadPeerLimits

__all__ = [
    "ClientLimits",
    "ConnectFailed",
    "ConnectionPool",
    "ExchangeLost",
    "Headers",
    "HttpError",
    "HttpServer",
    "ListenerLimits",
    "NO_ID",
    "OTHER_ID",
    "Request",
    "Response",
    "ResponseLimits",
    "ResponseMemory",
    "ResponseTooLarge",
    "DeadPeerLimits",
    "end_to_end",
    "is_final_status",
    "status_fault",
]
