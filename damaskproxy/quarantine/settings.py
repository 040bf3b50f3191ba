"""Settings of the quarantine."""

from typing import Annotated

import msgspec

__all__ = ["QuarantineSettings"]

Positive = msgspec.Meta(ge=1)


class QuarantineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations and bounds of the quarantine.

    Parameters
    ----------
    quarantine_ms : int
        Time for which a quarantined identity is refused.
    suspect_ms : int
        Time for which an identity stays suspect unless it is cleared.
    records_max : int
        Maximum number of identities with a record, which takes about 100 bytes in an
        exchange between nodes.
    servers_max : int
        Maximum number of nodes with crashed backend servers listed per identity.
    retry_after_ms : int
        ``Retry-After`` of a suspect request that waited for a permit until its
        deadline.
    """

    quarantine_ms: Annotated[int, Positive] = 600_000
    suspect_ms: Annotated[int, Positive] = 600_000
    records_max: Annotated[int, Positive] = 500
    servers_max: Annotated[int, Positive] = 4
    retry_after_ms: Annotated[int, Positive] = 500
