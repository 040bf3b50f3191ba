"""A node's part in passing configuration and member records from node to node.

In each data centre one node follows the store, and the others subscribe to it, to
further levels below it, or to whichever node stands in for one that fails. See
``docs/deployment.md``, "How nodes learn".
"""

import random
from collections.abc import Callable

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import (
    CurrentConfiguration,
    Directory,
    MemberRecord,
    StorePosition,
)
from damaskproxy.forwarding.frames import (
    ControlFrame,
    HeartbeatFrame,
    RecordDigestsFrame,
    RecordRequestFrame,
    StateFrame,
    StateRequestFrame,
    SubscribeFrame,
)
from damaskproxy.propagation.peer import Peer
from damaskproxy.propagation.sources import Source, Sources
from damaskproxy.propagation.store_contact import STALE_S, StoreContact

__all__ = ["Propagation"]

MS_PER_S = 1000
HEARTBEAT_S = 0.4
SYNC_AFTER_S = 1.0
"""Time for which records must differ from those of the source before they are compared.
Most differences are changes that are still on their way."""
REQUEST_DELAY_S = 0.1
"""Time after which a newer configuration that a peer has is requested from it. Nodes
that follow the store themselves usually receive it from there in the meantime."""
REQUEST_DUE_SHARE = 0.9
"""Share of that time which counts as due, since timers are not exact."""
FLUSH_S = 0.03
"""Time for which changed records are collected before they are sent."""


class Propagation:
    """Passes on what this node learns, and keeps it up to date.

    All decisions are made in `tick` and in the handlers of frames, without waiting, so
    that tests can drive many nodes on a virtual clock.

    Parameters
    ----------
    node_id : str
        Id of this node.
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
    configuration_bound_s : float
        Time from the confirmation of a configuration until it has to be in force.
    rng : random.Random
        Spreads calls to the store.
    now_s : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    contact : StoreContact
        Contact with the store.
    sources : Sources
        Nodes that this node follows.
    started_s : float
        Time at which this node was started.
    on_record_answer : callable or None
        Called with each answer to a `RecordRequestFrame`, after it was applied.
    """

    def __init__(
        self,
        node_id: str,
        own_record: Callable[[], MemberRecord],
        directory: Directory,
        configuration: CurrentConfiguration,
        *,
        apply_configuration: Callable[[bytes], None],
        handle_own_record: Callable[[MemberRecord], None],
        connect: Callable[[MemberRecord], None],
        schedule_flush: Callable[[float], None],
        configuration_bound_s: float,
        rng: random.Random,
        now_s: Callable[[], float] = boot_s,
    ):
        self.sources = Sources(own_record, directory, connect, self._source_lost, now_s)
        self._subscribers: dict[Peer, str] = {}
        self.contact = StoreContact(
            node_id=node_id,
            data_centre=lambda: own_record().data_centre,
            data_centres=self.sources.data_centres,
            has_source=lambda: bool(self.sources),
            has_configuration=lambda: configuration.current is not None,
            rank_of=self.sources.rank_of,
            on_change=self._announce_contact,
            configuration_bound_s=configuration_bound_s,
            rng=rng,
            now_s=now_s,
        )
        self._own_record = own_record
        self._directory = directory
        self._configuration = configuration
        self._apply_configuration = apply_configuration
        self._handle_own_record = handle_own_record
        self._schedule_flush = schedule_flush
        self._now_s = now_s
        self.started_s = now_s()
        self.on_record_answer: Callable[[StateFrame], None] | None = None
        self._is_started = False
        self._pending: dict[str, Peer | None] = {}
        self._is_flush_scheduled = False
        self._newer_versions: dict[Peer, tuple[int, float, bool]] = {}
        self._mismatch_since_s: float | None = None
        self._synced_s = 0.0
        self._must_sync = False
        self._heartbeat_due_s = 0.0
        self._sender: Peer | None = None
        configuration.on_change(lambda _: self._configuration_changed())

    def start(self, *, is_first_start: bool = False) -> None:
        """Begin to follow, once the members are known.

        Parameters
        ----------
        is_first_start : bool
            Whether all nodes start for the first time. Otherwise other nodes may know
            of a leave that is not in the store, so the records are compared at once.
        """
        self._is_started = True
        self._must_sync = not is_first_start
        self.contact.start(is_first_start=is_first_start)
        for record in self._directory.records():
            self.sources.rank(record)
        self.tick()

    def stop(self) -> None:
        """Follow no more nodes, and replace none that is lost."""
        self._is_started = False

    def tick(self) -> None:
        """Replace sources that are quiet, and send what is due."""
        if not self._is_started:
            return
        became_first = self.sources.update()
        self.contact.is_first = self.sources.is_first
        if became_first:
            self.contact.became_first()
        now_s = self._now_s()
        self._request_newer_configurations(now_s)
        if now_s >= self._heartbeat_due_s:
            self._heartbeat_due_s = now_s + HEARTBEAT_S
            self._send_heartbeats()
        self.contact.update()

    def member_changed(self, record: MemberRecord) -> None:
        """Update the order of the nodes after a change of a member record."""
        if self._is_started:
            self.sources.rank(record)

    def publish(self, record: MemberRecord) -> None:
        """Send a changed record to the neighbours."""
        self._add_pending(record.node_id)

    def connected(self, node_id: str, peer: Peer | None) -> None:
        """Record the result of `connect`; None if the node cannot be reached."""
        source = self.sources.connected(node_id, peer)
        if source is not None:
            own, version = self._own_record(), self._configuration.version
            source.peer.write(SubscribeFrame(own.data_centre, version, own))
        elif peer is None:
            self.tick()

    def lost(self, peer: Peer) -> None:
        """Record that a connection was lost."""
        self._subscribers.pop(peer, None)
        self._newer_versions.pop(peer, None)
        self.contact.forget(peer)
        if self.sources.lost(peer):
            self.tick()

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

    def handle(self, peer: Peer, frame: ControlFrame) -> None:
        """Handle a frame of another node."""
        if isinstance(frame, HeartbeatFrame):
            self._handle_heartbeat(peer, frame)
        elif isinstance(frame, StateFrame):
            self.apply_state(frame, peer)
        elif isinstance(frame, SubscribeFrame):
            self._handle_subscription(peer, frame)
        elif isinstance(frame, StateRequestFrame):
            self._send_configuration(peer, frame.configuration_version)
        elif isinstance(frame, RecordDigestsFrame):
            self._handle_digests(peer, frame)
        elif isinstance(frame, RecordRequestFrame):
            record = self._directory.get_with_leave(frame.node_id)
            uptime_ms = int((self._now_s() - self.started_s) * MS_PER_S)
            answer = StateFrame(b"", [record] if record else [], max(uptime_ms, 1))
            peer.write(answer)
        else:
            self._subscribers.pop(peer, None)
            self.contact.forget(peer)

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
        if state.uptime_ms and self.on_record_answer is not None:
            self.on_record_answer(state)

    def _source_lost(self, source: Source) -> None:
        """Forget a source; what it did not pass on is asked of the next one."""
        self.contact.forget(source.peer)
        self._must_sync = self._must_sync or source.has_heartbeat

    def _neighbours(self) -> list[Peer]:
        sources = [source.peer for source in self.sources.all()]
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
            int(self.contact.age_s() * MS_PER_S),
            self.contact.configuration_position.version,
            self.contact.members_position.version,
            self.contact.configuration_position.era,
            self.contact.members_position.era,
            self.contact.contact().node_id,
        )

    def _send_heartbeats(self) -> None:
        """Send a heartbeat to the subscribers and dependent sources."""
        heartbeat = self._heartbeat()
        for peer in list(self._subscribers):
            peer.write(heartbeat)
        if self.contact.age_s() >= STALE_S:
            return
        is_stand_in = self.contact.has_live_feed and not self.contact.is_first
        for source in self.sources.all():
            if is_stand_in or source.store_age_s > STALE_S:
                source.peer.write(heartbeat)

    def _announce_contact(self) -> None:
        """Tell all neighbours that the contact with the store was lost or regained."""
        heartbeat = self._heartbeat()
        for peer in self._neighbours():
            peer.write(heartbeat)

    def _configuration_changed(self) -> None:
        """Send a new configuration to subscribers, or announce it to other peers."""
        if self._sender is not None:
            self.contact.configuration_received()
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
        # The store may hold an invalid row, and this node may have no source.
        self._note_newer_version(peer, frame.configuration_version, is_subscriber=True)
        self._send_configuration(peer, frame.configuration_version)
        peer.write(self._heartbeat())
        if frame.record is not None:
            self.apply_state(StateFrame(b"", [frame.record]), peer)

    def _handle_heartbeat(self, peer: Peer, frame: HeartbeatFrame) -> None:
        self.contact.note_era(max(frame.configuration_era, frame.members_era))
        self._note_newer_version(
            peer, frame.configuration_version, is_subscriber=peer in self._subscribers
        )
        if frame.configuration_version == self._configuration.version:
            self.contact.configuration_position = max(
                self.contact.configuration_position,
                StorePosition(frame.configuration_era, frame.configuration_position),
            )
        age_s = frame.store_age_ms / MS_PER_S
        if self.sources.heard(peer, age_s):
            self._compare_records(peer, frame, self._now_s())
        self.contact.report(peer, age_s, frame.contact_id)

    def _note_newer_version(
        self, peer: Peer, version: int, *, is_subscriber: bool = False
    ) -> None:
        """Request the configuration of a peer after a delay, if it is newer.

        Parameters
        ----------
        peer : Peer
            The peer.
        version : int
            Version that it has in force.
        is_subscriber : bool
            Whether it follows this node.
        """
        if version > self._configuration.version:
            since_s = self._newer_versions.get(peer, (0, self._now_s()))[1]
            self._newer_versions[peer] = (version, since_s, is_subscriber)
            self._schedule_flush(REQUEST_DELAY_S)

    def _request_newer_configurations(self, now_s: float) -> None:
        own_version = self._configuration.version
        awaits_store = self._awaits_store()
        for peer, newer in list(self._newer_versions.items()):
            version, since_s, is_subscriber = newer
            if version <= own_version:
                del self._newer_versions[peer]
            elif is_subscriber and awaits_store:
                # It may be behind what was in force here before a restart.
                continue
            elif now_s - since_s >= REQUEST_DUE_SHARE * REQUEST_DELAY_S:
                del self._newer_versions[peer]
                peer.write(StateRequestFrame(own_version))

    def _awaits_store(self) -> bool:
        """Tell whether this node is about to read its first configuration itself."""
        return not (self._configuration.version or self.contact.has_outcome)

    def _compare_records(self, peer: Peer, frame: HeartbeatFrame, now_s: float) -> None:
        """Ask a source for records that have differed for some time."""
        if frame.directory_digest == self._directory.digest():
            self._mismatch_since_s = None
            self.contact.members_position = max(
                self.contact.members_position,
                StorePosition(frame.members_era, frame.members_position),
            )
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
