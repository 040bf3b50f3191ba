"""Selection of the backend server that runs a call."""

import logging
import random
from collections.abc import Callable, Sequence
from typing import Literal

from damaskproxy.balancing import events
from damaskproxy.balancing.histogram import LatencyHistogram
from damaskproxy.balancing.peers import PeerState
from damaskproxy.balancing.settings import BalancingSettings
from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.common.ids import ORDINAL_COUNT
from damaskproxy.events import log_event
from damaskproxy.model import Member
from damaskproxy.wire import Load

__all__ = ["Balancer", "CallResult"]

logger = logging.getLogger(__name__)

CallResult = Literal["ok", "refused", "failed", "cancelled"]

_Group = tuple[list[Member], list[Member]]

MEAN_WEIGHT = 0.02
DEFAULT_LATENCY_S = 0.02
EARLY_RETRY_AFTER_MS = 200
SLOW_FACTOR = 1.5
FAILURE_LATENCY_FACTOR = 10
JITTER = 0.2
HEDGE_UPDATE_RESPONSES = 8


class Balancer:
    """Selects members by their load, latency and failures as observed by this node.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    now_s : callable
        Monotonic clock, seconds.
    rng : random.Random
        Source of the random choice of candidates and probes.
    settings : BalancingSettings, optional
        Defaults when omitted.
    """

    def __init__(
        self,
        data_centre: str,
        *,
        now_s: Callable[[], float],
        rng: random.Random,
        settings: BalancingSettings | None = None,
    ):
        self._data_centre = data_centre
        self._now_s = now_s
        self._rng = rng
        self._settings = settings or BalancingSettings()
        self._peers: dict[str, PeerState] = {}
        self._mean_latencies_s: dict[str, float] = {}
        self._groups: dict[str, tuple[tuple[Member, ...], _Group]] = {}
        self._histograms: dict[tuple[str, str], LatencyHistogram] = {}
        self._hedge_delays_s: dict[tuple[str, str], float] = {}

    def choose(
        self,
        service: str,
        members: Sequence[Member],
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | Refusal:
        """Return the member that is to run the next call.

        Parameters
        ----------
        service : str
            Service of the call.
        members : sequence of Member
            Serving members of the service.
        exclude : frozenset of str
            Ids of the nodes that were tried before.
        """
        now_s = self._now_s()
        local, remote = self._group(service, members)
        candidates = self._sample(local, remote, exclude, now_s)
        if not candidates:
            candidates = self._fall_back(members, exclude, now_s)
        if not candidates:
            return Refusal(RefusalReason.NO_BACKEND, Outcome.NOT_RUN)
        if len(candidates) == 1:
            return candidates[0]
        mean_s = self._mean_latencies_s.get(service, DEFAULT_LATENCY_S)
        # The jitter spreads calls over members with nearly equal scores. Without it, a
        # member with a slightly higher or an unknown latency would get no calls while
        # there is little traffic.
        random_ = self._rng.random
        return min(
            candidates,
            key=lambda m: self._score(m, mean_s, now_s) * (1 + JITTER * random_()),
        )

    def started(self, member: Member) -> None:
        """Record that a call is sent to `member`."""
        peer = self._peer(member)
        if not peer.in_flight:
            peer.waiting_since_s = self._now_s()
        peer.in_flight += 1
        peer.started_since_load += 1

    def finished(
        self,
        member: Member,
        *,
        elapsed_s: float,
        result: CallResult,
        load: Load | None,
        route: str = "",
    ) -> None:
        """Record the end of a call.

        Parameters
        ----------
        member : Member
            Member that it was sent to.
        elapsed_s : float
            Time since `started`.
        result : {"ok", "refused", "failed", "cancelled"}
            A response arrived, the call was refused before execution, it ended without
            a response, or this node cancelled it, for instance when a hedge was faster.
        load : Load or None
            Load report that came with the response.
        route : str
            Route whose hedge delay the latency contributes to.
        """
        peer = self._peer(member)
        now_s = self._now_s()
        peer.in_flight = max(0, peer.in_flight - 1)
        peer.waiting_since_s = now_s
        if load is not None:
            peer.observe_load(load, now_s)
        if result == "ok":
            peer.answers += 1
            peer.failures = peer.ejections = 0
            peer.observe_latency(elapsed_s, now_s)
            self._record_latency(member.service, route, elapsed_s)
        elif result == "cancelled":
            # The time is a lower bound of the latency. Without it, a slow member whose
            # calls are all cancelled would look unused.
            if elapsed_s > peer.latency_s:
                peer.observe_latency(elapsed_s, now_s)
        elif result == "failed":
            self._record_failure(member, peer, now_s)

    def early_refusal(
        self, member: Member, priority: int, ordinal: int
    ) -> Refusal | None:
        """Refuse a call that `member` would refuse at its last reported level."""
        peer = self._peers.get(member.node_id)
        if peer is None or peer.load is None or not self._settings.early_refusal:
            return None
        if priority * ORDINAL_COUNT + ordinal < peer.load.level:
            return None
        if not self._is_fresh(peer, self._now_s()):
            return None
        if self._rng.random() < self._settings.probe_share:
            return None
        return Refusal(
            RefusalReason.OVERLOAD_EARLY, Outcome.NOT_RUN, EARLY_RETRY_AFTER_MS
        )

    def hedge_delay_s(self, service: str, route: str) -> float | None:
        """Return the delay after which a call may be hedged, None while unknown."""
        return self._hedge_delays_s.get((service, route))

    def is_slow(self, member: Member) -> bool:
        """Tell whether `member` is slow in general, so that a hedge may help.

        Notes
        -----
        A call that is late while its member responds to others is long-running: it
        would take as long on another server, and a hedge would occupy a second slot.
        """
        peer = self._peers.get(member.node_id)
        mean_s = self._mean_latencies_s.get(member.service)
        if peer is None or mean_s is None:
            return False
        decay_s = self._settings.latency_decay_ms / 1000
        latency_s = peer.expected_latency_s(mean_s, self._now_s(), decay_s)
        return latency_s > mean_s * SLOW_FACTOR

    def remove(self, node_id: str) -> None:
        """Remove the observations of a member that has left."""
        self._peers.pop(node_id, None)

    def _group(self, service: str, members: Sequence[Member]) -> _Group:
        """Return local and remote members, cached while `members` is the same tuple.

        Notes
        -----
        The first members of a service count as warm; later ones have a slow start.
        """
        cached = self._groups.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        warm = self._settings.slow_start_answers if cached is None else 0
        for member in members:
            peer = self._peers.get(member.node_id)
            if peer is None or peer.incarnation != member.incarnation:
                self._peers[member.node_id] = PeerState(member.incarnation, warm)
        local = [m for m in members if m.data_centre == self._data_centre]
        remote = [m for m in members if m.data_centre != self._data_centre]
        if members:
            self._groups[service] = (tuple(members), (local, remote))
        return local, remote

    def _peer(self, member: Member) -> PeerState:
        peer = self._peers.get(member.node_id)
        if peer is None:
            peer = self._peers[member.node_id] = PeerState(member.incarnation, 0)
        return peer

    def _sample(self, local, remote, exclude, now_s) -> list[Member]:
        """Return a few usable members at random, more of them local than remote."""
        count = self._settings.candidates
        reserved = 1 if remote and count > 1 else 0
        local_count = min(len(local), count - reserved)
        sampled = self._random_members(local, local_count)
        sampled += self._random_members(remote, count - local_count)
        return [
            member
            for member in sampled
            if member.node_id not in exclude
            and now_s >= self._peers[member.node_id].ejected_until_s
            and self._passes_slow_start(member)
        ]

    def _random_members(self, members: list[Member], count: int) -> list[Member]:
        """Return `count` random members; faster than `random.sample` for few."""
        total = len(members)
        if count >= total:
            return list(members)
        indices: set[int] = set()
        while len(indices) < count:
            indices.add(int(self._rng.random() * total))
        return [members[index] for index in indices]

    def _fall_back(self, members, exclude, now_s) -> list[Member]:
        """Return the members to use when no sampled one is usable.

        Members past their slow start are preferred, then those that are not ejected.
        """
        usable = [member for member in members if member.node_id not in exclude]
        allowed = [m for m in usable if now_s >= self._peer(m).ejected_until_s]
        warm = [member for member in allowed if self._passes_slow_start(member)]
        return warm or allowed or usable

    def _passes_slow_start(self, member: Member) -> bool:
        progress = self._slow_start_progress(member)
        return progress >= 1 or self._rng.random() < progress

    def _slow_start_progress(self, member: Member) -> float:
        settings = self._settings
        share = self._peers[member.node_id].answers / settings.slow_start_answers
        return max(settings.slow_start_share, share)

    def _score(self, member: Member, mean_s: float, now_s: float) -> float:
        peer = self._peers[member.node_id]
        decay_s = self._settings.latency_decay_ms / 1000
        latency_s = peer.expected_latency_s(mean_s, now_s, decay_s)
        in_flight, limit = float(peer.in_flight), max(1, member.slots)
        if self._is_fresh(peer, now_s):
            load = peer.load
            reported = load.in_flight + load.queued + peer.started_since_load
            in_flight = max(in_flight, reported * self._settings.reported_load_weight)
            limit = max(1, load.limit)
        score = latency_s * (in_flight + 1) / limit
        if member.data_centre != self._data_centre:
            score *= self._settings.remote_factor
        return score

    def _is_fresh(self, peer: PeerState, now_s: float) -> bool:
        return now_s - peer.load_at_s <= self._settings.load_fresh_ms / 1000

    def _record_latency(self, service: str, route: str, elapsed_s: float) -> None:
        mean_s = self._mean_latencies_s.get(service, elapsed_s)
        mean_s += (elapsed_s - mean_s) * MEAN_WEIGHT
        self._mean_latencies_s[service] = mean_s
        key = (service, route)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = LatencyHistogram()
        histogram.add(elapsed_s)
        settings = self._settings
        has_enough_samples = histogram.total >= settings.hedge_min_samples
        if has_enough_samples and histogram.total % HEDGE_UPDATE_RESPONSES == 0:
            percentile_s = histogram.percentile_s(settings.hedge_percentile)
            median_s = histogram.percentile_s(0.5)
            max_delay_s = median_s * settings.hedge_median_factor
            self._hedge_delays_s[key] = min(percentile_s, max_delay_s)

    def _record_failure(self, member: Member, peer: PeerState, now_s: float) -> None:
        peer.failures += 1
        settings = self._settings
        # Calls to a crashed member fail immediately. Without a penalty it would look
        # idle and attract all calls of the service.
        mean_s = self._mean_latencies_s.get(member.service, DEFAULT_LATENCY_S)
        peer.observe_latency(mean_s * FAILURE_LATENCY_FACTOR, now_s)
        if peer.failures < settings.ejection_failures or now_s < peer.ejected_until_s:
            return
        if not self._may_eject(member.service, now_s):
            return
        ejection_ms = settings.ejection_ms * 2**peer.ejections
        ejection_ms = min(ejection_ms, settings.ejection_max_ms)
        peer.ejected_until_s = now_s + ejection_ms / 1000
        peer.ejections = min(peer.ejections + 1, 16)
        peer.failures = 0
        peer.answers = 0
        log_event(
            logger, events.MEMBER_EJECTED, node=member.node_id, ejection_ms=ejection_ms
        )

    def _may_eject(self, service: str, now_s: float) -> bool:
        """Tell whether another ejection is within the maximum share of the service."""
        members = self._groups[service][0] if service in self._groups else ()
        ejected = 1 + sum(now_s < self._peer(m).ejected_until_s for m in members)
        return ejected <= len(members) * self._settings.ejected_share_max
