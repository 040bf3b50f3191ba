"""Settings of the distribution of sections and of the pace of leaving."""

from typing import Annotated

import msgspec

__all__ = ["DrainSettings", "PollerSettings"]

Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class PollerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of `SectionPoller`.

    Parameters
    ----------
    poll_ms : int
        Between two reads of the head by a chosen poller. Half a second leaves most of
        the 3 s in which a section must be in force to its dissemination.
    slow_poll_ms : int
        Between two reads of the head by any other node: 42 reads/s at 5,000 nodes.
    retry_ms : int
        Longest pause of a chosen poller after a failed read.
    cold_spread_ms : int
        Time over which nodes that start at once spread their first reads: 1,000
        reads/s at 5,000 nodes, half of what the platform's services carry.
    cold_retry_ms : int
        Longest pause between two attempts of a cold node that has no section set.
    alone_ms : int
        Time for neighbours to be heard before the snapshot alone makes a node ready.
    snapshot_check_ms : int
        Between two comparisons of the snapshot with the sections of a chosen poller.
    snapshot_spread_ms : int
        Time over which the chosen pollers spread their reaction to a change, so that
        the first one writes and the others find the snapshot new.
    """

    poll_ms: Millis = 500
    slow_poll_ms: Millis = 120_000
    retry_ms: Millis = 1_000
    cold_spread_ms: Millis = 5_000
    cold_retry_ms: Millis = 30_000
    alone_ms: Millis = 5_000
    snapshot_check_ms: Millis = 10_000
    snapshot_spread_ms: Millis = 2_000


class DrainSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the draining of the nodes of a service that leave a data centre.

    Parameters
    ----------
    report_ms : int
        Between two rounds of reports from the nodes of a service.
    min_rounds : int
        Rounds before the first decision.
    window_rounds : int
        Rounds whose largest work counts, so that a dip in demand does not start a
        drain.
    max_load_share : float
        Share of the remaining warm capacity that the measured work may take.
    max_concurrent : int
        Reports asked for at once.
    """

    report_ms: Millis = 2_000
    min_rounds: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    window_rounds: Annotated[int, msgspec.Meta(ge=1, le=100)] = 5
    max_load_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.8
    max_concurrent: Annotated[int, msgspec.Meta(ge=1, le=256)] = 16
