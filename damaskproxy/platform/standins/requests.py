"""Requests of the operator, the platform and backend servers to a node."""

import json

from damaskproxy.http1 import Request

__all__ = ["ROUTES", "encode_configuration", "readiness_request", "report_request"]

ROUTES = {
    "read": {"prefix": "/read/", "kind": "safe", "service": "orders"},
    "write": {"prefix": "/write/", "kind": "unsafe", "service": "orders"},
}


def encode_configuration(
    version: int = 1, routes: dict | None = None, tenants: dict | None = None
) -> bytes:
    """Encode a configuration as the operator does, by default with two routes.

    Without `tenants` it has no organisations.
    """
    common = {"host": "shop", "timeoutMs": 800, "maxAttempts": 2, "priority": 1}
    body = {
        "version": version,
        "routes": {
            name: {**common, **route} for name, route in (routes or ROUTES).items()
        },
        "services": {"orders": {}, "stores": {}},
    }
    if tenants is not None:
        body["tenants"] = tenants
    return json.dumps(body).encode()


def readiness_request() -> Request:
    """Return a readiness check of the platform."""
    return Request(b"GET", b"/api/readiness", [(b"Host", b"r")])


def report_request(
    instance_id: str,
    address: str,
    service: str,
    *,
    slots: int,
    born_ms: int,
    sequence: int,
    state: str = "ready",
    **status: object,
) -> Request:
    """Return a status report of a backend server.

    Parameters
    ----------
    instance_id, address, service : str
        Id of the incarnation, address and service of the backend server.
    slots, born_ms, sequence : int
        Maximum number of concurrent requests, Unix time of the start, and sequence
        number of the report.
    state : str
        ``ready`` or ``draining``.
    **status
        Additional fields of the status.
    """
    body = {
        "address": address,
        "born": born_ms,
        "info": {"service": service, "slots": slots},
        "status": {"state": state, "sequence": sequence, **status},
    }
    path = f"/api/instances/{instance_id}".encode()
    return Request(b"PUT", path, [(b"Host", b"c")], json.dumps(body).encode())
