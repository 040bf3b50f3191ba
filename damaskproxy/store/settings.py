"""Settings of the clients of the platform's services."""

from typing import Annotated

import msgspec

__all__ = ["PlatformSettings"]

Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/\s]+/?\Z")]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's services are and how long to wait for them.

    Parameters
    ----------
    table_url, objects_url : str
        Base URLs.
    connect_timeout_ms : int
        Longest wait for a connection.
    timeout_ms : int
        Longest wait for an answer, with the wait for a free place.
    max_concurrent : int
        Requests to one service at once; more wait.
    """

    table_url: Url
    objects_url: Url
    connect_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 1_000
    timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 2_000
    max_concurrent: Annotated[int, msgspec.Meta(ge=1, le=1_024)] = 16
