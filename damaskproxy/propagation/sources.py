"""Choice of the nodes that a node follows."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskproxy.directory import Directory, MemberRecord
from damaskproxy.events import log_event
from damaskproxy.forwarding.frames import StateFrame, UnsubscribeFrame
from damaskproxy.model import MemberState
from damaskproxy.propagation import events
from damaskproxy.propagation.peer import Peer
from damaskproxy.propagation.ranking import (
    Ranking,
    local_candidates,
    remote_candidates,
)

__all__ = ["Source", "Sources"]

logger = logging.getLogger(__name__)

QUIET_S = 1.1
"""Time without a heartbeat after which a source is replaced. A configuration has to be
in force within 2 s, also when its source froze just before."""
PARALLEL_ATTEMPTS = 3
RETRY_MIN_S = 0.5
RETRY_MAX_S = 30.0
"""Pause after a failed attempt to subscribe to a node; doubles with each failure."""
INTRODUCTIONS = 2
"""Nodes behind it in the order to which a first node sends its record. Both may have
started at the same time without knowing of each other."""


@dataclass(slots=True)
class Source:
    """Node that this node is subscribed to.

    Parameters
    ----------
    peer : Peer
        Connection to the node.
    heard_s : float
        Time of its last heartbeat, or of the subscription.
    store_age_s : float
        Age of its last contact with the store, as of that heartbeat.
    has_heartbeat : bool
        Whether it has sent a heartbeat.
    """

    peer: Peer
    heard_s: float
    store_age_s: float = 0.0
    has_heartbeat: bool = False


@dataclass(slots=True)
class _Failure:
    """Failed attempts to follow a node."""

    retry_at_s: float
    pause_s: float


class Sources:
    """Nodes that this node follows, and the order in which others stand in for them.

    Parameters
    ----------
    own_record : callable
        Returns the record of this node.
    directory : Directory
        Member records.
    connect : callable
        Opens a connection to a member and calls `connected` with the result.
    on_lost : callable
        Called with a source that failed or is no longer followed.
    now_s : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    is_first : bool
        Whether all sources in the own data centre have failed or there are none.
    """

    def __init__(
        self,
        own_record: Callable[[], MemberRecord],
        directory: Directory,
        connect: Callable[[MemberRecord], None],
        on_lost: Callable[[Source], None],
        now_s: Callable[[], float],
    ):
        self.is_first = False
        self._own_record = own_record
        self._directory = directory
        self._connect = connect
        self._on_lost = on_lost
        self._now_s = now_s
        self._rankings: dict[str, Ranking] = {}
        self._ranked_in: dict[str, str] = {}
        self._sources: dict[str, Source] = {}
        self._connecting: dict[str, float] = {}
        self._introducing: set[str] = set()
        self._failures: dict[str, _Failure] = {}

    def __bool__(self) -> bool:
        return bool(self._sources)

    def all(self) -> list[Source]:
        """Return the nodes that this node is subscribed to."""
        return list(self._sources.values())

    def ids(self) -> list[str]:
        """Return the ids of the nodes that this node is subscribed to."""
        return list(self._sources)

    def rank_of(self, node_id: str) -> int | None:
        """Return the rank of a running node of the own data centre, or None."""
        ranking = self._rankings.get(self._own_record().data_centre)
        if ranking is None or node_id not in ranking:
            return None
        return ranking.rank(node_id)

    def data_centres(self) -> list[str]:
        """Return the data centres with running nodes and that of this node, sorted."""
        names = {name for name, ranking in self._rankings.items() if len(ranking)}
        return sorted(names | {self._own_record().data_centre})

    def rank(self, record: MemberRecord) -> None:
        """Add a running node to the order of its data centre, or remove another."""
        earlier = self._ranked_in.get(record.node_id)
        if earlier is not None and earlier != record.data_centre:
            self._rankings[earlier].remove(record.node_id)
        self._ranked_in[record.node_id] = record.data_centre
        ranking = self._rankings.get(record.data_centre)
        if ranking is None:
            ranking = self._rankings[record.data_centre] = Ranking(record.data_centre)
        if record.state is not MemberState.SERVING:
            ranking.remove(record.node_id)
            return
        ranking.add(record.node_id)
        failure = self._failures.get(record.node_id)
        if failure is not None:
            failure.retry_at_s = 0.0

    def connected(self, node_id: str, peer: Peer | None) -> Source | None:
        """Record the result of `connect`; return the source to subscribe to, if any."""
        self._connecting.pop(node_id, None)
        is_introduction = node_id in self._introducing
        self._introducing.discard(node_id)
        if peer is None:
            if not is_introduction:
                self._record_failure(node_id)
            return None
        if is_introduction:
            peer.write(StateFrame(b"", [self._own_record()]))
            return None
        source = self._sources[node_id] = Source(peer, self._now_s())
        return source

    def heard(self, peer: Peer, store_age_s: float) -> bool:
        """Record a heartbeat; return whether it came from a source."""
        for node_id, source in self._sources.items():
            if source.peer is peer:
                source.heard_s = self._now_s()
                source.store_age_s = store_age_s
                source.has_heartbeat = True
                self._failures.pop(node_id, None)
                return True
        return False

    def lost(self, peer: Peer) -> bool:
        """Record the loss of a connection; return whether it was to a source."""
        for node_id, source in self._sources.items():
            if source.peer is peer:
                self._fail(node_id, source)
                return True
        return False

    def update(self) -> bool:
        """Replace sources that are quiet; return whether this node became first."""
        now_s = self._now_s()
        self._drop_quiet(now_s)
        own = self._own_record()
        ranking = self._rankings.get(own.data_centre) or Ranking(own.data_centre)
        local = local_candidates(ranking, own.node_id)
        was_first = self.is_first
        self.is_first = all(node_id in self._failures for node_id in local)
        self._use_best(local, now_s)
        remote = []
        if self.is_first:
            remote = remote_candidates(self._rankings, own.data_centre)
            self._use_best(remote, now_s)
        self._drop_except(local, remote)
        if was_first or not self.is_first:
            return False
        log_event(logger, events.FOLLOWS_STORE, data_centre=own.data_centre)
        self._introduce(ranking, own.node_id)
        return True

    def _drop_quiet(self, now_s: float) -> None:
        for node_id, source in list(self._sources.items()):
            if now_s - source.heard_s > QUIET_S or not source.peer.is_open:
                source.peer.is_unresponsive = True
                self._fail(node_id, source)
                log_event(logger, events.SOURCE_QUIET, source=node_id)

    def _use_best(self, candidates: list[str], now_s: float) -> None:
        """Subscribe to the first candidate that can be used, unless one is in use.

        After a failure, several candidates are tried at once: whatever made one of them
        fail may have happened to others as well.
        """
        attempts = 1
        for node_id in candidates:
            if node_id in self._sources or not attempts:
                return
            if node_id in self._connecting:
                if now_s - self._connecting[node_id] <= QUIET_S:
                    attempts -= 1
                continue
            failure = self._failures.get(node_id)
            if failure is not None:
                attempts = PARALLEL_ATTEMPTS
                if now_s < failure.retry_at_s:
                    continue
            member = self._directory.get(node_id)
            if member is None:
                continue
            self._connecting[node_id] = now_s
            self._connect(member)
            if failure is None:
                attempts -= 1

    def _drop_except(self, local: list[str], remote: list[str]) -> None:
        """End the subscriptions that a better source in use has made needless."""
        kept = set()
        for candidates in (local, remote):
            for node_id in candidates:
                source = self._sources.get(node_id)
                if source is None:
                    continue
                kept.add(node_id)
                if source.has_heartbeat:
                    break
        for node_id in [node_id for node_id in self._sources if node_id not in kept]:
            source = self._sources.pop(node_id)
            source.peer.write(UnsubscribeFrame())
            self._on_lost(source)

    def _introduce(self, ranking: Ranking, own_id: str) -> None:
        rank = ranking.rank(own_id)
        for behind in range(rank + 1, min(rank + 1 + INTRODUCTIONS, len(ranking))):
            node_id = ranking.at(behind)
            member = self._directory.get(node_id)
            if member is not None and node_id not in self._connecting:
                self._introducing.add(node_id)
                self._connect(member)

    def _fail(self, node_id: str, source: Source) -> None:
        del self._sources[node_id]
        self._record_failure(node_id)
        self._on_lost(source)

    def _record_failure(self, node_id: str) -> None:
        known = self._failures.get(node_id)
        pause_s = RETRY_MIN_S if known is None else min(2 * known.pause_s, RETRY_MAX_S)
        self._failures[node_id] = _Failure(self._now_s() + pause_s, pause_s)
