"""Selection of the member that runs a call."""

import random
from collections.abc import Callable, Sequence

from damaskproxy.admission.rate import MIN_PER_S
from damaskproxy.common.clock import boot_s
from damaskproxy.directory import MemberRecord
from damaskproxy.forwarding.calls import Answer, LoadReport, NotRun, Result

__all__ = ["MemberSelector"]

OTHER_DATA_CENTRE_COST = 0.35
"""Difference in utilization, as a share of the slots, from which on a server in another
data centre is preferred. Traffic between data centres is charged by the byte, and a
local server is as fast as any other while it has free slots."""
FULL_COST = 2.0
"""Cost of a server without a free slot, higher than that of another data centre.

It is also that of a server which has named a limit on its calls, until this node's
share of the limit allows the next call."""
FAILURE_COST = 3.0
"""Cost of a server whose recent calls all failed."""
AVOIDED_FAILURE_COST = 10.0
"""The same, but higher than the cost of a server with a full queue of two calls per
slot. A server that rejects everything at once has no queue and would get the calls that
the others have no room for."""
FAILURE_WEIGHT = 0.15
"""Weight of the newest result in the moving average of the failure share."""
FAILURE_HALF_LIFE_S = 2.0
"""Lets failures decay so fast that a server is tried again after some seconds."""
REPORT_HALF_LIFE_S = 0.5
"""A load report is of little use after a few typical call latencies."""
BACKOFF_S = 0.25
"""First back-off after a member was unavailable; doubles up to `BACKOFF_MAX_S`."""
BACKOFF_MAX_S = 4.0
TIE_BREAK_COST = 0.02
"""Upper bound of a random cost, which spreads the calls of many origins over servers of
equal cost."""
SLOW_COST = 0.1
"""Cost for each multiple of the latency of the fastest server."""


class _MemberStats:
    """Observations of one member by this node."""

    __slots__ = (
        "backoff_s",
        "failure_share",
        "last_outcome_s",
        "latency_s",
        "load",
        "load_received_s",
        "next_call_s",
        "paced_per_s",
        "in_flight",
        "retry_at_s",
        "sent_since_load",
    )

    def __init__(self):
        self.in_flight = 0
        self.load: LoadReport | None = None
        self.load_received_s = 0.0
        self.sent_since_load = 0
        self.failure_share = 0.0
        self.last_outcome_s = 0.0
        self.latency_s = 0.0
        self.retry_at_s = 0.0
        self.next_call_s = 0.0
        self.paced_per_s: float | None = None
        self.backoff_s = BACKOFF_S

    def utilization(self, slots: int, now_s: float) -> float:
        """Return the expected load as a share of the slots, above 1 with a queue."""
        utilization = float(self.in_flight)
        if self.load is not None:
            decay = 0.5 ** ((now_s - self.load_received_s) / REPORT_HALF_LIFE_S)
            reported = self.load.in_flight + self.load.queued
            utilization = max(utilization, reported * decay + self.sent_since_load)
            slots = self.load.limit
        return utilization / max(slots, 1)

    def failures(self, now_s: float) -> float:
        """Return the share of recent calls that failed."""
        return self.failure_share * 0.5 ** (
            (now_s - self.last_outcome_s) / FAILURE_HALF_LIFE_S
        )


class MemberSelector:
    """Selects members of a service by load, data centre, latency and failures.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    rng : random.Random
        Source of the tie-breaking costs.
    node_count : callable
        Returns the number of nodes, which share the limits of backend servers.
    """

    def __init__(
        self, data_centre: str, rng: random.Random, node_count: Callable[[], int]
    ):
        self._data_centre = data_centre
        self._rng = rng
        self._node_count = node_count
        self._stats: dict[str, _MemberStats] = {}

    def choose(
        self,
        members: Sequence[MemberRecord],
        excluded: set[str],
        *,
        avoids_failing: bool = False,
    ) -> MemberRecord | None:
        """Return the member with the lowest expected cost, None if none is usable.

        Parameters
        ----------
        members : sequence of MemberRecord
            Members of the service.
        excluded : set of str
            Ids of the nodes that were tried before.
        avoids_failing : bool
            Whether a member whose calls fail comes after those with a full queue.
        """
        failure_cost = AVOIDED_FAILURE_COST if avoids_failing else FAILURE_COST
        now_s = boot_s()
        candidates = [(member, self._stats_of(member.node_id)) for member in members]
        latencies_s = [stats.latency_s for _, stats in candidates if stats.latency_s]
        fastest_s = min(latencies_s) if latencies_s else 0.0
        best, best_cost = None, 0.0
        for member, stats in candidates:
            if stats.retry_at_s > now_s or member.node_id in excluded:
                continue
            cost = self._cost(member, stats, now_s, fastest_s)
            if stats.failure_share:
                cost += failure_cost * stats.failures(now_s)
            if best is None or cost < best_cost:
                best, best_cost = member, cost
        return best

    def started(self, member: MemberRecord) -> None:
        """Record that a call is sent to `member`."""
        stats = self._stats_of(member.node_id)
        stats.in_flight += 1
        stats.sent_since_load += 1
        if stats.paced_per_s is not None:
            stats.next_call_s = max(stats.next_call_s, boot_s()) + self._interval_s(
                stats.paced_per_s
            )

    def finished(
        self,
        member: MemberRecord,
        result: Result | None,
        elapsed_s: float,
        *,
        is_timed_out: bool = False,
    ) -> None:
        """Record the end of a call.

        Parameters
        ----------
        member : MemberRecord
            Member that the call was sent to.
        result : Result or None
            None when the call was cancelled.
        elapsed_s : float
            Time since `started`.
        is_timed_out : bool
            Whether the deadline of the call had passed.
        """
        now_s = boot_s()
        stats = self._stats_of(member.node_id)
        stats.in_flight -= 1
        if result is None:
            if is_timed_out:
                self._record_outcome(stats, now_s, is_failure=True)
            return
        if result.load is not None:
            stats.load, stats.load_received_s = result.load, now_s
            stats.sent_since_load = 0
        is_ok = isinstance(result, Answer) and result.status < 500
        if is_ok:
            weight = 0.3 if elapsed_s > stats.latency_s else 0.1
            stats.latency_s += (elapsed_s - stats.latency_s) * weight
            stats.backoff_s = BACKOFF_S
        is_failure = not is_ok
        if isinstance(result, NotRun):
            # Refusals by the node show in its load report, rejections by the backend
            # server do not.
            is_failure = result.reached_backend
        self._record_outcome(stats, now_s, is_failure=is_failure)

    def back_off(self, member: MemberRecord) -> None:
        """Exclude an unavailable member for a time that doubles with each failure."""
        stats = self._stats_of(member.node_id)
        now_s = boot_s()
        if stats.retry_at_s <= now_s:
            stats.retry_at_s = now_s + stats.backoff_s
            stats.backoff_s = min(stats.backoff_s * 2, BACKOFF_MAX_S)

    def clear_backoff(self, node_id: str) -> None:
        """End the back-off of a member, to whose node a connection was opened."""
        self._stats_of(node_id).retry_at_s = 0.0

    def reset(self, node_id: str) -> None:
        """Clear the observations of a member whose node or backend server restarted."""
        stats = self._stats.pop(node_id, None)
        if stats is not None and stats.in_flight:
            self._stats[node_id] = fresh = _MemberStats()
            fresh.in_flight = stats.in_flight

    def apply_limit(self, member: MemberRecord) -> None:
        """Apply the limit that the server of a member names, after a change of it.

        Notes
        -----
        All nodes learn of a new limit at the same time, so that each of them makes its
        first call at a random moment of the interval.
        """
        per_s = member.backend.max_calls_per_s if member.backend else None
        if per_s is None and member.node_id not in self._stats:
            return
        stats = self._stats_of(member.node_id)
        if per_s != stats.paced_per_s:
            stats.paced_per_s = per_s
            if per_s is not None:
                delay_s = self._rng.random() * self._interval_s(per_s)
                stats.next_call_s = boot_s() + delay_s

    def _stats_of(self, node_id: str) -> _MemberStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = _MemberStats()
        return stats

    def _record_outcome(
        self, stats: _MemberStats, now_s: float, *, is_failure: bool
    ) -> None:
        failures = stats.failures(now_s)
        stats.failure_share = failures + (is_failure - failures) * FAILURE_WEIGHT
        stats.last_outcome_s = now_s

    def _interval_s(self, per_s: float) -> float:
        """Return the time between calls of this node, for its share of a limit."""
        return self._node_count() / max(per_s, MIN_PER_S)

    def _cost(
        self, member: MemberRecord, stats: _MemberStats, now_s: float, fastest_s: float
    ) -> float:
        utilization = stats.utilization(member.backend.slots, now_s)
        cost = utilization + self._rng.random() * TIE_BREAK_COST
        is_paced = stats.paced_per_s is not None and now_s < stats.next_call_s
        if utilization >= 1 or is_paced:
            cost += FULL_COST
        if fastest_s and stats.latency_s > fastest_s:
            cost += min(1.0, SLOW_COST * (stats.latency_s / fastest_s - 1))
        if member.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST
        return cost
