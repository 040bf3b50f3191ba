"""Request context and client for backend servers written with aiohttp."""

from damaskproxy.context.client import OutboundClient
from damaskproxy.context.request import (
    RequestContext,
    current_request,
    read_context,
    request_middleware,
)

__all__ = [
    "OutboundClient",
    "RequestContext",
    "current_request",
    "read_context",
    "request_middleware",
]
