"""Configuration as the operator writes it."""

import json

__all__ = ["encode_configuration"]

HOST = "shop.example"


def encode_configuration(
    routes: dict[str, dict], services: tuple[str, ...], *, version: int = 7
) -> bytes:
    """Return the value of ``op/config``.

    Parameters
    ----------
    routes : dict
        By name: prefix, kind, service, timeoutMs and priority of a route.
    services : tuple of str
        Names of the services.
    version : int
        Version of the configuration.
    """
    common = {"host": HOST, "targetLatencyMs": 1000, "maxAttempts": 2}
    body = {
        "version": version,
        "routes": {name: {**common, **route} for name, route in routes.items()},
        "services": {
            name: {"healthPath": "/health", "maxConnections": 532} for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(body).encode()
