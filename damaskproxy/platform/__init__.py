"""Adapter to the platform: its store, its interfaces and its header names."""

from damaskproxy.platform.control import make_control_handler, make_readiness_handler
from damaskproxy.platform.headers import HEADERS, VOLATILE_HEADERS
from damaskproxy.platform.messages import MessageError, decode_member, decode_value
from damaskproxy.platform.store import RowStore, StoreError
from damaskproxy.platform.sync import OwnRow, StoreWatch, offer_configuration

__all__ = [
    "HEADERS",
    "VOLATILE_HEADERS",
    "MessageError",
    "OwnRow",
    "RowStore",
    "StoreError",
    "StoreWatch",
    "decode_member",
    "decode_value",
    "make_control_handler",
    "make_readiness_handler",
    "offer_configuration",
]
