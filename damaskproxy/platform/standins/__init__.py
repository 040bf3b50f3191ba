"""Stand-ins for the platform's row store and for backend servers, for tests."""

from damaskproxy.platform.standins.requests import (
    ROUTES,
    encode_configuration,
    readiness_request,
    report_request,
)
from damaskproxy.platform.standins.rows import RowStoreStandIn
from damaskproxy.platform.standins.stamped import StampedBackend

__all__ = [
    "ROUTES",
    "RowStoreStandIn",
    "StampedBackend",
    "encode_configuration",
    "readiness_request",
    "report_request",
]
