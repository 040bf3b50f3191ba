"""Settings of the clients of the platform's services."""

from typing import Annotated

import msgspec

__all__ = ["PlatformSettings"]

Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/\s]+/?\Z")]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """URLs, timeouts and concurrency limit of the platform's services.

    Parameters
    ----------
    table_url, objects_url : str
        Base URLs of the table service and the object store.
    connect_timeout_ms : int
        Deadline of opening a connection.
    timeout_ms : int
        Deadline of a request, including the time it waits for `max_concurrent`.
    max_concurrent : int
        Maximum number of requests in flight to one service; further ones wait.
    """

    table_url: Url
    objects_url: Url
    connect_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 1_000
    timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 2_000
    max_concurrent: Annotated[int, msgspec.Meta(ge=1, le=1_024)] = 16
