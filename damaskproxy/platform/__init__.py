"""Adapter to the platform: its row store, its interfaces and its header names."""

from damaskproxy.platform.bounds import decode_bounds
from damaskproxy.platform.control import make_control_handler, make_readiness_handler
from damaskproxy.platform.headers import HEADERS, VOLATILE_HEADERS
from damaskproxy.platform.messages import decode_configuration
from damaskproxy.platform.store import PlatformStore

__all__ = [
    "HEADERS",
    "VOLATILE_HEADERS",
    "PlatformStore",
    "decode_bounds",
    "decode_configuration",
    "make_control_handler",
    "make_readiness_handler",
]
