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
        Identities remembered at once; a record takes about 100 bytes in an exchange.
    servers_max : int
        Lost servers named per identity.
    retry_after_ms : int
        Suggested to a suspect that found its turn taken until its deadline.
    """

    quarantine_ms: Annotated[int, Positive] = 600_000
    suspect_ms: Annotated[int, Positive] = 600_000
    records_max: Annotated[int, Positive] = 500
    servers_max: Annotated[int, Positive] = 4
    retry_after_ms: Annotated[int, Positive] = 500
