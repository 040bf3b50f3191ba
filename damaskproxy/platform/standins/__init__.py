"""Stand-ins of the platform's store and of the backend servers on its machines."""

from damaskproxy.platform.standins.requests import (
    encode_configuration,
    readiness_request,
    report_request,
)
from damaskproxy.platform.standins.rows import RowStoreStandIn
from damaskproxy.platform.standins.stamped import StampedBackend

__all__ = [
    "RowStoreStandIn",
    "StampedBackend",
    "encode_configuration",
    "readiness_request",
    "report_request",
]
