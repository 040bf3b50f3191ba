"""Choice of the member that runs a call."""

import random
from collections.abc import Sequence

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import MemberRecord
from damaskproxy.forwarding.calls import Answer, LoadReport, NotRun, Result

__all__ = ["MemberSelector"]

OTHER_DATA_CENTRE_COST = 0.35
"""Share of the slots by which a server in another data centre must be less busy. Bytes
between data centres are charged, and a local server is as fast as any while it has
free slots."""
FULL_COST = 2.0
"""Cost of a server without a free slot, above that of any distance."""
FAILURE_COST = 3.0
"""Cost of a server whose recent calls all failed."""
FAILURE_WEIGHT = 0.15
"""Weight of the newest result in the share of failures."""
FAILURE_HALF_LIFE_S = 2.0
"""Failures are forgotten so fast that a server is tried again after some seconds."""
REPORT_HALF_LIFE_S = 0.5
"""A load report says little after a few usual call times."""
BACKOFF_S = 0.25
"""First pause after a connection to a node failed; it doubles up to the longest."""
BACKOFF_MAX_S = 4.0
TIE_BREAK_COST = 0.02
"""Spreads the calls of many origins over servers that look alike."""
SLOW_COST = 0.1
"""Cost per multiple of the latency of the fastest server."""


class _Peer:
    """What this node has seen of one member."""

    __slots__ = (
        "backoff_s",
        "failure_share",
        "failure_s",
        "latency_s",
        "load",
        "load_s",
        "out",
        "retry_s",
        "sent_since_load",
    )

    def __init__(self):
        self.out = 0
        self.load: LoadReport | None = None
        self.load_s = 0.0
        self.sent_since_load = 0
        self.failure_share = 0.0
        self.failure_s = 0.0
        self.latency_s = 0.0
        self.retry_s = 0.0
        self.backoff_s = BACKOFF_S

    def busy_share(self, slots: int, now_s: float) -> float:
        """Return the expected load as a share of the slots; over 1 with a queue."""
        busy = float(self.out)
        if self.load is not None:
            age = 0.5 ** ((now_s - self.load_s) / REPORT_HALF_LIFE_S)
            reported = self.load.in_flight + self.load.queued
            busy = max(busy, reported * age + self.sent_since_load)
            slots = self.load.limit
        return busy / max(slots, 1)

    def failures(self, now_s: float) -> float:
        """Return the share of recent failures."""
        return self.failure_share * 0.5 ** (
            (now_s - self.failure_s) / FAILURE_HALF_LIFE_S
        )


class MemberSelector:
    """Chooses among the members of a service by load, distance and failures.

    Parameters
    ----------
    data_centre : str
        Of this node.
    rng : random.Random
        Breaks ties.
    """

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng
        self._peers: dict[str, _Peer] = {}

    def choose(
        self, members: Sequence[MemberRecord], avoid: set[str]
    ) -> MemberRecord | None:
        """Return the member with the lowest expected cost, None without one."""
        now_s = boot_s()
        candidates = [(member, self._peer(member.node_id)) for member in members]
        times_s = [peer.latency_s for _, peer in candidates if peer.latency_s]
        fastest_s = min(times_s) if times_s else 0.0
        best, best_cost = None, 0.0
        for member, peer in candidates:
            if peer.retry_s > now_s or member.node_id in avoid:
                continue
            cost = self._cost(member, peer, now_s, fastest_s)
            if best is None or cost < best_cost:
                best, best_cost = member, cost
        return best

    def started(self, member: MemberRecord) -> None:
        """Count a call that is sent."""
        peer = self._peer(member.node_id)
        peer.out += 1
        peer.sent_since_load += 1

    def finished(
        self,
        member: MemberRecord,
        result: Result | None,
        elapsed_s: float,
        *,
        is_timed_out: bool = False,
    ) -> None:
        """Learn from the end of a call.

        Parameters
        ----------
        member : MemberRecord
            Where it was sent.
        result : Result or None
            None when the caller gave up.
        elapsed_s : float
            Time since `started`.
        is_timed_out : bool
            Whether the time of the call was over.
        """
        now_s = boot_s()
        peer = self._peer(member.node_id)
        peer.out -= 1
        if result is None:
            if is_timed_out:
                self._note_outcome(peer, now_s, is_failure=True)
            return
        if result.load is not None:
            peer.load, peer.load_s = result.load, now_s
            peer.sent_since_load = 0
        is_ok = isinstance(result, Answer) and result.status < 500
        if is_ok:
            weight = 0.3 if elapsed_s > peer.latency_s else 0.1
            peer.latency_s += (elapsed_s - peer.latency_s) * weight
            peer.backoff_s = BACKOFF_S
        is_failure = not is_ok
        if isinstance(result, NotRun):
            # The node's own refusals show in its load; the server's do not.
            is_failure = result.reached_backend
        self._note_outcome(peer, now_s, is_failure=is_failure)

    def unavailable(self, member: MemberRecord) -> None:
        """Leave out a member that cannot take calls now, for a growing time."""
        peer = self._peer(member.node_id)
        now_s = boot_s()
        if peer.retry_s <= now_s:
            peer.retry_s = now_s + peer.backoff_s
            peer.backoff_s = min(peer.backoff_s * 2, BACKOFF_MAX_S)

    def clear_backoff(self, node_id: str) -> None:
        """Use a member again at once: a connection to its node was opened."""
        self._peer(node_id).retry_s = 0.0

    def reset(self, node_id: str) -> None:
        """Start anew with a member whose node or backend server started anew."""
        peer = self._peers.pop(node_id, None)
        if peer is not None and peer.out:
            self._peers[node_id] = fresh = _Peer()
            fresh.out = peer.out

    def _peer(self, node_id: str) -> _Peer:
        peer = self._peers.get(node_id)
        if peer is None:
            peer = self._peers[node_id] = _Peer()
        return peer

    def _note_outcome(self, peer: _Peer, now_s: float, *, is_failure: bool) -> None:
        failures = peer.failures(now_s)
        peer.failure_share = failures + (is_failure - failures) * FAILURE_WEIGHT
        peer.failure_s = now_s

    def _cost(
        self, member: MemberRecord, peer: _Peer, now_s: float, fastest_s: float
    ) -> float:
        busy = peer.busy_share(member.backend.slots, now_s)
        cost = busy + self._rng.random() * TIE_BREAK_COST
        if peer.failure_share:
            cost += FAILURE_COST * peer.failures(now_s)
        if busy >= 1:
            cost += FULL_COST
        if fastest_s and peer.latency_s > fastest_s:
            cost += min(1.0, SLOW_COST * (peer.latency_s / fastest_s - 1))
        if member.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST
        return cost
