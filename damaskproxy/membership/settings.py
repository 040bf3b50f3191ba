"""Settings of membership and of the control transport."""

from typing import Annotated

import msgspec

__all__ = ["MembershipSettings"]

PositiveMs = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Seed = Annotated[str, msgspec.Meta(pattern=r"^\S+:[0-9]{1,5}$")]


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing, seeds and limits of membership and of the control transport.

    Parameters
    ----------
    seeds : tuple of str
        Control addresses ``host:port`` through which the node joins without the table.
    probe_interval_ms : int
        Time between probes of each successor.
    link_interval_ms : int
        Time between probes of each long-distance link.
    probe_timeout_ms : int
        Deadline of one ``Exchange``; that of ``ProbeVia`` is twice as long.
    suspect_timeout_ms : int
        Time in which a suspect member may refute before it is declared dead.
    isolated_after_ms : int
        Time without a reply from any member after which the node is isolated.
    stall_ms : int
        Delay of the event loop above which the node ignores its timeouts of peers.
    push_interval_ms : int
        Minimum time between two pushes to one neighbour; changes are batched.
    dead_retry_ms : int
        Time between attempts to reach a random dead member.
    dead_memory_ms : int
        Retention period of dead and stopped members.
    contact_interval_ms : int
        Time between refreshes of the contact rows.
    join_retry_ms : int
        Pause, before jitter, between two attempts of a starting node to join.
    table_timeout_ms : int
        Deadline of reading or writing contact rows.
    handover_timeout_ms, describe_timeout_ms : int
        Deadlines of the other control calls.
    max_channels : int
        Control connections kept open, neighbours included.
    """

    seeds: tuple[Seed, ...] = ()
    probe_interval_ms: PositiveMs = 1_000
    link_interval_ms: PositiveMs = 30_000
    probe_timeout_ms: PositiveMs = 500
    suspect_timeout_ms: PositiveMs = 5_000
    isolated_after_ms: PositiveMs = 5_000
    stall_ms: PositiveMs = 500
    push_interval_ms: PositiveMs = 50
    dead_retry_ms: PositiveMs = 10_000
    dead_memory_ms: PositiveMs = 86_400_000
    contact_interval_ms: PositiveMs = 30_000
    join_retry_ms: PositiveMs = 2_000
    table_timeout_ms: PositiveMs = 2_000
    handover_timeout_ms: PositiveMs = 5_000
    describe_timeout_ms: PositiveMs = 1_000
    max_channels: Annotated[int, msgspec.Meta(ge=8, le=256)] = 16
