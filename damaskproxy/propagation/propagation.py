"""A node's part in passing configuration and member records from node to node.

In each data centre one node follows the store, and the others subscribe to it, to
further levels below it, or to whichever node stands in for one that fails. See
``docs/deployment.md``, "How nodes learn".
"""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import CurrentConfiguration, Directory, MemberRecord
from damaskproxy.events import log_event
from damaskproxy.forwarding.frames import (
    Frame,
    HeartbeatFrame,
    RecordDigestsFrame,
    RecordRequestFrame,
    StateFrame,
    StateRequestFrame,
    SubscribeFrame,
    UnsubscribeFrame,
)
from damaskproxy.model import MemberState
from damaskproxy.propagation import events
from damaskproxy.propagation.ranking import (
    Ranking,
    local_candidates,
    remote_candidates,
)

__all__ = ["Peer", "Propagation"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
HEARTBEAT_S = 0.4
QUIET_S = 1.1
"""Time without a heartbeat after which a source is replaced. A configuration has to be
in force within 2 s, also when its source froze just before."""
STALE_S = 1.5
"""Age of the last contact with the store from which on a node asks the store itself.
Above the sum of two heartbeat intervals and the checks of two levels of sources."""
START_GRACE_S = 0.15
"""Time that a starting node waits for a source before it asks the store; some round
trips within the data centre."""
FIRST_START_GRACE_S = 0.8
"""The same when all nodes start, which takes them 0.3 s."""
DISTRUST_S = 0.6
"""Time after the failure of its own feed in which a node does not rely on what the
nodes that it follows report. They may be cut off from the store as well and notice it
later; in the meantime the nodes that follow this one ask the store."""
MISSED_CHANGE_S = 0.5
"""Time after which a feed is renewed that has not delivered a configuration that came
from another node; the response of the store was probably lost."""
STORE_CHECK_SPREAD_S = 0.2
"""Spreads the calls of the nodes whose source has lost the store."""
PARALLEL_ATTEMPTS = 3
RETRY_MIN_S = 0.5
RETRY_MAX_S = 30.0
"""Pause after a failed attempt to subscribe to a node; doubles with each failure."""
SYNC_AFTER_S = 1.0
"""Time for which records must differ from those of the source before they are compared.
Most differences are changes that are still on their way."""
REQUEST_DELAY_S = 0.1
"""Time after which a newer configuration that a peer has is requested from it. Nodes
that follow the store themselves usually receive it from there in the meantime."""
RENEWAL_S = 3.0
"""Interval in which one of the nodes that follow the store renews its feed.

When a response of the store was lost, the feed that waits for it delivers nothing. The
nodes renew their feeds in turn, so that one of them receives the next configuration
within the time that is allowed after a disruption."""
FIRST_RETRY = (0.2, 2.0, 1.0)
OTHER_RETRY = (1.0, 3.0, 8.0)
"""First pause after a failed call to the store, growth, and longest pause, in seconds.

The first node of each data centre notices the return of the store within the 3 s after
which the limits hold again, and the others hear of it from there. They try for
themselves only in case that the store serves just some of the nodes."""
MEMBERS_POLL_FIRST_S = 1.0
MEMBERS_POLL_S = 5.0
"""Interval between reads of changed member rows by one of the nodes that follow the
store, in turn. They find what reached no node directly; the store keeps changes for
20 s. A node that begins to follow reads sooner once."""
FLUSH_S = 0.03
"""Time for which changed records are collected before they are sent."""
INTRODUCTIONS = 2
"""Nodes behind it in the order to which a first node sends its record. Both may have
started at the same time without knowing of each other."""


class Peer(Protocol):
    """Connection to another node."""

    is_open: bool
    is_unresponsive: bool

    def write(self, frame: Frame) -> bool:
        """Send a frame; False if the connection is closed."""


@dataclass(slots=True)
class _Source:
    """Node that this node is subscribed to."""

    peer: Peer
    heard_s: float
    store_age_s: float = 0.0
    has_heartbeat: bool = False


@dataclass(slots=True)
class _Failure:
    """Failed attempts to use a node as a source."""

    retry_at_s: float
    pause_s: float


class Propagation:
    """Decides whom to follow, and passes on what this node learns.

    All decisions are made in `tick` and in the handlers of frames, without waiting, so
    that tests can drive many nodes on a virtual clock.

    Parameters
    ----------
    own_record : callable
        Returns the record of this node.
    directory : Directory
        Member records.
    configuration : CurrentConfiguration
        Configuration in force.
    apply_configuration : callable
        Applies an encoded configuration from a peer.
    handle_own_record : callable
        Called with a record of this node that a peer sent.
    connect : callable
        Opens a connection to a member and calls `connected` with the result.
    schedule_flush : callable
        Calls `flush` after a number of seconds.
    rng : random.Random
        Spreads calls to the store.
    now_s : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    configuration_position, members_position : int
        Version of the store up to which the configuration and the member records are
        known, 0 if it is not known.
    is_first : bool
        Whether this node follows the store for its data centre.
    is_feed_open : bool
        Whether a call of the configuration feed waits for the next change.
    """

    def __init__(
        self,
        own_record: Callable[[], MemberRecord],
        directory: Directory,
        configuration: CurrentConfiguration,
        *,
        apply_configuration: Callable[[bytes], None],
        handle_own_record: Callable[[MemberRecord], None],
        connect: Callable[[MemberRecord], None],
        schedule_flush: Callable[[float], None],
        rng: random.Random,
        now_s: Callable[[], float] = boot_s,
    ):
        self.configuration_position = 0
        self.members_position = 0
        self.is_first = False
        self.is_feed_open = False
        self._own_record = own_record
        self._directory = directory
        self._configuration = configuration
        self._apply_configuration = apply_configuration
        self._handle_own_record = handle_own_record
        self._connect = connect
        self._schedule_flush = schedule_flush
        self._rng = rng
        self._now_s = now_s
        self._rankings: dict[str, Ranking] = {}
        self._sources: dict[str, _Source] = {}
        self._subscribers: dict[Peer, str] = {}
        self._connecting: dict[str, float] = {}
        self._introducing: set[str] = set()
        self._failures: dict[str, _Failure] = {}
        self._pending: dict[str, Peer | None] = {}
        self._newer_versions: dict[Peer, tuple[int, float]] = {}
        self._is_flush_scheduled = False
        self._is_started = False
        self._contacts: dict[Peer, float] = {}
        self._start_contact_s = float("-inf")
        self._distrust_until_s = float("-inf")
        self._missed_change_s: float | None = None
        self._feed_stuck = asyncio.Event()
        self._own_contact_s = float("-inf")
        self._store_check_s: float | None = None
        self._mismatch_since_s: float | None = None
        self._synced_s = 0.0
        self._must_sync = False
        self._heartbeat_due_s = 0.0
        self._members_poll_due_s = 0.0
        self._sender: Peer | None = None
        self._store_wanted = asyncio.Event()
        configuration.on_change(lambda _: self._configuration_changed())

    # What other parts of the node report.

    def start(self, *, is_first_start: bool = False) -> None:
        """Begin to follow, once the members are known.

        Parameters
        ----------
        is_first_start : bool
            Whether all nodes start for the first time. Otherwise other nodes may know
            of a leave that is not in the store, so the records are compared at once.
        """
        now_s = self._now_s()
        self._is_started = True
        self._must_sync = not is_first_start
        grace_s = FIRST_START_GRACE_S if is_first_start else START_GRACE_S
        self._start_contact_s = now_s - STALE_S + grace_s
        self._members_poll_due_s = now_s + MEMBERS_POLL_FIRST_S
        for record in self._directory.records():
            self._rank(record)
        self.tick()

    def member_changed(self, record: MemberRecord) -> None:
        """Update the order of the nodes after a change of a member record."""
        if self._is_started:
            self._rank(record)
        failure = self._failures.get(record.node_id)
        if failure is not None and record.state is MemberState.SERVING:
            failure.retry_at_s = 0.0

    def publish(self, record: MemberRecord) -> None:
        """Send a changed record to the neighbours."""
        self._add_pending(record.node_id)

    def connected(self, node_id: str, peer: Peer | None) -> None:
        """Record the result of `connect`; None if the node cannot be reached."""
        self._connecting.pop(node_id, None)
        is_introduction = node_id in self._introducing
        self._introducing.discard(node_id)
        if peer is None:
            if not is_introduction:
                self._record_failure(node_id)
                self.tick()
            return
        if is_introduction:
            peer.write(StateFrame(b"", [self._own_record()]))
            return
        self._sources[node_id] = _Source(peer, self._now_s())
        own = self._own_record()
        peer.write(SubscribeFrame(own.data_centre, self._configuration.version, own))

    def lost(self, peer: Peer) -> None:
        """Record that a connection was lost."""
        self._subscribers.pop(peer, None)
        self._newer_versions.pop(peer, None)
        self._contacts.pop(peer, None)
        for node_id, source in list(self._sources.items()):
            if source.peer is peer:
                self._source_failed(node_id, source)
                self.tick()

    # Contact with the store.

    @property
    def wants_store(self) -> bool:
        """Whether this node is to call the store for the configuration now."""
        return self._store_wanted.is_set()

    async def wait_until_store_wanted(self) -> None:
        """Wait until this node is to call the store for the configuration."""
        await self._store_wanted.wait()

    def feed_wait_s(self, *, is_renewal: bool) -> float:
        """Return how long the next call of the configuration feed may wait.

        Parameters
        ----------
        is_renewal : bool
            Whether the call before ended without a change.
        """
        if not self.is_first:
            return RENEWAL_S
        data_centres = self._data_centres()
        if is_renewal:
            return RENEWAL_S * len(data_centres)
        turn = data_centres.index(self._own_record().data_centre)
        return RENEWAL_S * (turn + 1)

    def store_retry_s(self, failures: int) -> float:
        """Return the pause after a number of failed calls in a row."""
        first_s, growth, max_s = FIRST_RETRY if self.is_first else OTHER_RETRY
        pause_s = min(first_s * growth ** min(failures - 1, 10), max_s)
        return pause_s * (0.75 + 0.5 * self._rng.random())

    def feed_closed(self) -> None:
        """Record that no call of the feed waits any more."""
        self.is_feed_open = False

    async def wait_until_feed_stuck(self) -> None:
        """Wait until the feed has evidently missed a change."""
        self._feed_stuck.clear()
        await self._feed_stuck.wait()

    def store_succeeded(self, position: int) -> None:
        """Record a response of the store that has all changes up to `position`."""
        was_stale = self._store_age_s() > STALE_S
        self._own_contact_s = self._now_s()
        self._missed_change_s = None
        self.is_feed_open = True
        self.configuration_position = position
        self._store_check_s = None
        if was_stale:
            self._send_heartbeats()
        self._update_store_wanted()

    def store_failed(self) -> None:
        """Record that a call to the store failed."""
        was_stale = self._store_age_s() > STALE_S
        if self.is_feed_open:
            self._distrust_until_s = self._now_s() + DISTRUST_S
            self._own_contact_s = float("-inf")
        self.is_feed_open = False
        if not was_stale and self._store_age_s() > STALE_S:
            self._send_heartbeats()

    def is_members_poll_due(self) -> bool:
        """Tell whether to read the changes of the member rows now; at most once."""
        now_s = self._now_s()
        if not self.is_first or now_s < self._members_poll_due_s:
            return False
        longest_s = MEMBERS_POLL_S * len(self._data_centres())
        self._members_poll_due_s = now_s + longest_s
        return True

    # Periodic work.

    def tick(self) -> None:
        """Replace sources that are quiet, and send what is due."""
        if not self._is_started:
            return
        now_s = self._now_s()
        self._drop_quiet_sources(now_s)
        self._choose_sources(now_s)
        self._request_newer_configurations(now_s)
        missed_s = self._missed_change_s
        if missed_s is not None and now_s - missed_s >= MISSED_CHANGE_S:
            self._missed_change_s = None
            self._feed_stuck.set()
        if now_s >= self._heartbeat_due_s:
            self._heartbeat_due_s = now_s + HEARTBEAT_S
            self._send_heartbeats()
        self._update_store_wanted()

    def flush(self) -> None:
        """Send the changed records to the neighbours, and requests that are due."""
        self._is_flush_scheduled = False
        self._request_newer_configurations(self._now_s())
        pending, self._pending = self._pending, {}
        for peer in self._neighbours():
            records = [
                self._directory.get(node_id)
                for node_id, sender in pending.items()
                if sender is not peer
            ]
            if records:
                peer.write(StateFrame(b"", records))

    def handle(self, peer: Peer, frame: Frame) -> None:
        """Handle a frame of another node."""
        if isinstance(frame, HeartbeatFrame):
            self._handle_heartbeat(peer, frame)
        elif isinstance(frame, StateFrame):
            self.apply_state(frame, peer)
        elif isinstance(frame, SubscribeFrame):
            self._handle_subscription(peer, frame)
        elif isinstance(frame, UnsubscribeFrame):
            self._subscribers.pop(peer, None)
        elif isinstance(frame, StateRequestFrame):
            self._send_configuration(peer, frame.configuration_version)
        elif isinstance(frame, RecordDigestsFrame):
            self._handle_digests(peer, frame)
        elif isinstance(frame, RecordRequestFrame):
            record = self._directory.get(frame.node_id)
            peer.write(StateFrame(b"", [record] if record else []))

    def apply_state(self, state: StateFrame, peer: Peer | None = None) -> None:
        """Apply a configuration and records, and pass on what is new."""
        self._sender = peer
        try:
            if state.configuration:
                self._apply_configuration(state.configuration)
        finally:
            self._sender = None
        own_id = self._own_record().node_id
        for record in state.records:
            if record.node_id == own_id:
                self._handle_own_record(record)
            elif self._directory.merge(record):
                self._add_pending(record.node_id, peer)

    # Sources.

    def _rank(self, record: MemberRecord) -> None:
        """Add a running node to the order of its data centre, or remove another."""
        ranking = self._rankings.get(record.data_centre)
        if ranking is None:
            ranking = self._rankings[record.data_centre] = Ranking(record.data_centre)
        if record.state is MemberState.SERVING:
            ranking.add(record.node_id)
        else:
            ranking.remove(record.node_id)

    def _data_centres(self) -> list[str]:
        """Return the data centres with running nodes and that of this node."""
        names = {name for name, ranking in self._rankings.items() if len(ranking)}
        return sorted(names | {self._own_record().data_centre})

    def _drop_quiet_sources(self, now_s: float) -> None:
        for node_id, source in list(self._sources.items()):
            if now_s - source.heard_s > QUIET_S or not source.peer.is_open:
                # The next connection to the node must be a new one.
                source.peer.is_unresponsive = True
                self._source_failed(node_id, source)
                log_event(logger, events.SOURCE_QUIET, source=node_id)

    def _choose_sources(self, now_s: float) -> None:
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
        self._drop_sources_except(local, remote)
        if self.is_first and not was_first:
            log_event(logger, events.FOLLOWS_STORE, data_centre=own.data_centre)
            self._members_poll_due_s = now_s + MEMBERS_POLL_FIRST_S
            self._introduce(ranking, own.node_id)

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

    def _drop_sources_except(self, local: list[str], remote: list[str]) -> None:
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
            self._contacts.pop(source.peer, None)
            source.peer.write(UnsubscribeFrame())

    def _introduce(self, ranking: Ranking, own_id: str) -> None:
        rank = ranking.rank(own_id)
        for behind in range(rank + 1, min(rank + 1 + INTRODUCTIONS, len(ranking))):
            node_id = ranking.at(behind)
            member = self._directory.get(node_id)
            if member is not None and node_id not in self._connecting:
                self._introducing.add(node_id)
                self._connect(member)

    def _source_failed(self, node_id: str, source: _Source) -> None:
        """Remove a source; what it did not pass on is asked of the next one."""
        del self._sources[node_id]
        self._contacts.pop(source.peer, None)
        self._must_sync = self._must_sync or source.has_heartbeat
        self._record_failure(node_id)

    def _record_failure(self, node_id: str) -> None:
        known = self._failures.get(node_id)
        pause_s = RETRY_MIN_S if known is None else min(2 * known.pause_s, RETRY_MAX_S)
        self._failures[node_id] = _Failure(self._now_s() + pause_s, pause_s)

    # What is sent to and received from neighbours.

    def _neighbours(self) -> list[Peer]:
        sources = [source.peer for source in self._sources.values()]
        return [*sources, *(peer for peer in self._subscribers if peer not in sources)]

    def _add_pending(self, node_id: str, sender: Peer | None = None) -> None:
        self._pending[node_id] = sender
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._schedule_flush(FLUSH_S)

    def _heartbeat(self) -> HeartbeatFrame:
        return HeartbeatFrame(
            self._configuration.version,
            self._directory.digest(),
            int(self._store_age_s() * MS_PER_S),
            self.configuration_position,
            self.members_position,
        )

    def _send_heartbeats(self) -> None:
        """Send a heartbeat to the subscribers, and to sources that know less."""
        heartbeat = self._heartbeat()
        for peer in list(self._subscribers):
            peer.write(heartbeat)
        age_s = self._store_age_s()
        for source in self._sources.values():
            if source.store_age_s > STALE_S and age_s < STALE_S:
                source.peer.write(heartbeat)

    def _configuration_changed(self) -> None:
        """Send a new configuration to subscribers, or announce it to other peers."""
        if self._sender is not None and self.is_feed_open:
            self._missed_change_s = self._now_s()
        own = self._own_record().data_centre
        state = StateFrame(self._configuration.encoded, [])
        for peer in self._neighbours():
            if peer is self._sender:
                continue
            is_local_subscriber = self._subscribers.get(peer) == own
            peer.write(state if is_local_subscriber else self._heartbeat())

    def _send_configuration(self, peer: Peer, version: int) -> None:
        if self._configuration.version > version:
            peer.write(StateFrame(self._configuration.encoded, []))

    def _handle_subscription(self, peer: Peer, frame: SubscribeFrame) -> None:
        self._subscribers[peer] = frame.data_centre
        self._send_configuration(peer, frame.configuration_version)
        peer.write(self._heartbeat())
        self.apply_state(StateFrame(b"", [frame.record]), peer)

    def _handle_heartbeat(self, peer: Peer, frame: HeartbeatFrame) -> None:
        now_s = self._now_s()
        was_stale = self._store_age_s() > STALE_S
        age_s = frame.store_age_ms / MS_PER_S
        self._contacts[peer] = now_s - age_s
        version = self._configuration.version
        if frame.configuration_version > version:
            since_s = self._newer_versions.get(peer, (0, now_s))[1]
            self._newer_versions[peer] = (frame.configuration_version, since_s)
            self._schedule_flush(REQUEST_DELAY_S)
        elif frame.configuration_version == version:
            self.configuration_position = max(
                self.configuration_position, frame.configuration_position
            )
        node_id = next((n for n, s in self._sources.items() if s.peer is peer), None)
        if node_id is not None:
            source = self._sources[node_id]
            source.heard_s = now_s
            source.store_age_s = age_s
            source.has_heartbeat = True
            self._failures.pop(node_id, None)
            self._compare_records(peer, frame, now_s)
        if was_stale and self._store_age_s() <= STALE_S:
            self._store_check_s = None
            self._send_heartbeats()
        elif not was_stale and self._store_age_s() > STALE_S:
            self._send_heartbeats()
        self._update_store_wanted()

    def _request_newer_configurations(self, now_s: float) -> None:
        own_version = self._configuration.version
        for peer, (version, since_s) in list(self._newer_versions.items()):
            if version <= own_version:
                del self._newer_versions[peer]
            elif now_s - since_s >= 0.9 * REQUEST_DELAY_S:
                del self._newer_versions[peer]
                peer.write(StateRequestFrame(own_version))

    def _compare_records(self, peer: Peer, frame: HeartbeatFrame, now_s: float) -> None:
        """Ask a source for records that have differed for some time."""
        if frame.directory_digest == self._directory.digest():
            self._mismatch_since_s = None
            self.members_position = max(self.members_position, frame.members_position)
            return
        if self._mismatch_since_s is None:
            self._mismatch_since_s = now_s
        since_s = max(self._mismatch_since_s, self._synced_s)
        if self._must_sync or now_s - since_s >= SYNC_AFTER_S:
            self._must_sync = False
            self._synced_s = now_s
            digests = self._directory.bucket_digests()
            peer.write(RecordDigestsFrame(digests, is_reply=False))

    def _handle_digests(self, peer: Peer, frame: RecordDigestsFrame) -> None:
        own = self._directory.bucket_digests()
        if len(frame.digests) != len(own):
            return
        differing = {i for i, digest in enumerate(frame.digests) if digest != own[i]}
        if not frame.is_reply:
            peer.write(RecordDigestsFrame(own, is_reply=True))
        if differing:
            peer.write(StateFrame(b"", self._directory.records_in(differing)))

    # Whether to call the store.

    def _store_age_s(self) -> float:
        """Return the time since the store was last known to be in touch."""
        if self.is_feed_open:
            return 0.0
        return self._now_s() - max(self._reported_contact_s(), self._own_contact_s)

    def _reported_contact_s(self) -> float:
        """Return when the store was last in touch, as reported by other nodes.

        Each report replaces the one before it from the same node: a node that follows
        the store reports contact until its feed fails, and then takes that back.
        """
        is_distrustful = self._now_s() < self._distrust_until_s
        contacts = (
            contact_s
            for peer, contact_s in self._contacts.items()
            if not is_distrustful or peer in self._subscribers
        )
        return max(contacts, default=self._start_contact_s)

    def _update_store_wanted(self) -> None:
        if self._is_store_wanted(self._now_s()):
            self._store_wanted.set()
        else:
            self._store_wanted.clear()

    def _is_store_wanted(self, now_s: float) -> bool:
        if not self._is_started:
            return False
        if self.is_first:
            return True
        if now_s - self._reported_contact_s() <= STALE_S:
            self._store_check_s = None
            return False
        if self._configuration.current is None:
            return True
        if self._store_check_s is None:
            spread_s = self._rng.random() * STORE_CHECK_SPREAD_S
            self._store_check_s = now_s + (spread_s if self._sources else 0.0)
        return now_s >= self._store_check_s
