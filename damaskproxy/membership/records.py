"""Member list of one node, with its indexes and digests."""

import struct
from array import array
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damaskproxy.common.hashing import digest_of, ring_position
from damaskproxy.membership.messages import (
    BUCKET_COUNT,
    Mark,
    MemberRecord,
    Status,
    from_record,
    to_record as encode_member,
)
from damaskproxy.membership.ring import Ring
from damaskproxy.model import Member, MemberState

__all__ = ["Entry", "MemberList"]

BUCKET_SHIFT = 56
KEY_FORMAT = struct.Struct(">QQB")
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Entry:
    """State of one member as known to this node.

    Parameters
    ----------
    member : Member
        Newest known record.
    status : Status
        Status of the member as known to this node.
    claim : Status
        Status that this node sends to others. It is `Status.DEAD` for a suspect that
        another node has declared dead, so that the member is informed and rejoins.
    since_s : float
        Start of the status on the local clock. For a dead or stopped member, the time
        at which the first node changed its status.
    digest : int
        Hash of id, incarnation, version and claim.
    """

    member: Member
    status: Status
    claim: Status
    since_s: float
    digest: int

    @property
    def is_live(self) -> bool:
        """Whether the member is neither dead nor stopped."""
        return (
            self.status is not Status.DEAD
            and self.member.state is not MemberState.STOPPED
        )

    @property
    def key(self) -> tuple[int, int, int]:
        """Sort key of the claims about one member, newest highest."""
        return (self.member.incarnation, self.member.version, self.claim)

    @property
    def mark(self) -> Mark:
        """Version and claim, without the rest of the record."""
        member = self.member
        return Mark(member.node_id, member.incarnation, member.version, self.claim)


def _digest(member: Member, claim: Status) -> int:
    key = KEY_FORMAT.pack(member.incarnation, member.version, claim)
    return digest_of(member.node_id.encode() + key)


def bucket_of(node_id: str) -> int:
    """Return the number of the bucket that holds a member."""
    return ring_position(node_id) >> BUCKET_SHIFT


class MemberList:
    """All known members; claims about one are ordered by `Entry.key`.

    Parameters
    ----------
    now_s : callable
        Monotonic clock.
    retention_s : float
        Retention period of dead and stopped members.
    on_change : callable
        Called with each new entry and with the entry that it replaces, if any.

    Notes
    -----
    A claim that a live member is dead only makes it suspect here, with a local timer.
    When a partition ends, each side has declared the other dead, and without this rule
    these claims would remove healthy members for a while.
    """

    def __init__(
        self,
        *,
        now_s: Callable[[], float],
        retention_s: float,
        on_change: Callable[[Entry, Entry | None], None] = lambda entry, old: None,
    ):
        self._now_s = now_s
        self._retention_s = retention_s
        self._on_change = on_change
        self._entries: dict[str, Entry] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self._digests = array("Q", bytes(8 * BUCKET_COUNT))
        self._serving: dict[str, dict[str, Member]] = {}
        self._serving_members: dict[str, tuple[Member, ...]] = {}
        self._live_members: tuple[Member, ...] | None = None
        self.ring = Ring()
        self.digest = 0
        self.suspects: dict[str, float] = {}
        self.departed: dict[str, float] = {}
        self.dead: set[str] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, node_id: str) -> Entry | None:
        """Return the entry of a member, which may be dead or stopped."""
        return self._entries.get(node_id)

    def live(self) -> tuple[Member, ...]:
        """Return the members that are neither dead nor stopped."""
        if self._live_members is None:
            entries = self._entries.values()
            self._live_members = tuple(e.member for e in entries if e.is_live)
        return self._live_members

    def serving(self, service: str) -> tuple[Member, ...]:
        """Return the live members that serve a service."""
        return self._serving_members.get(service, ())

    @property
    def stopped_count(self) -> int:
        """Number of retained members that were stopped, not declared dead."""
        return len(self.departed) - len(self.dead)

    def dead_ids(self) -> list[str]:
        """Return the ids of the retained members that were declared dead."""
        return list(self.dead)

    def record(self, node_id: str) -> MemberRecord:
        """Return the wire record of a known member."""
        entry = self._entries[node_id]
        age_ms = 0
        if not entry.is_live:
            age_ms = max(0, int((self._now_s() - entry.since_s) * MS_PER_S))
        return encode_member(entry.member, entry.claim, age_ms)

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it is newer than the known one.

        Parameters
        ----------
        record : MemberRecord
            Record of a member other than this node.

        Returns
        -------
        bool
            Whether the list changed.
        """
        status = record.status
        if record.state is MemberState.STOPPED:
            status = Status.ALIVE
        current = self._entries.get(record.node_id)
        if current is not None and not self._is_newer(record, status, current):
            return False
        if current is None and record.age_ms >= self._retention_s * MS_PER_S:
            return False
        return self._accept(
            from_record(record), status, current, record.age_ms / MS_PER_S
        )

    def merge_mark(self, mark: Mark) -> bool:
        """Store the status in `mark` if it is newer and its record version is known."""
        current = self._entries.get(mark.node_id)
        if current is None or current.member.state is MemberState.STOPPED:
            return False
        if (mark.incarnation, mark.version) != current.member.order:
            return False
        if not self._is_newer(mark, mark.status, current):
            return False
        return self._accept(current.member, mark.status, current, 0.0)

    @staticmethod
    def _is_newer(claim: MemberRecord | Mark, status: Status, current: Entry) -> bool:
        return (claim.incarnation, claim.version, status) > current.key

    def _accept(
        self, member: Member, status: Status, current: Entry | None, age_s: float
    ) -> bool:
        if status is not Status.DEAD or current is None or not current.is_live:
            self.put(member, status, age_s)
            return True
        is_known = (
            current.status is Status.SUSPECT and current.member.order == member.order
        )
        suspect_for_s = self._now_s() - current.since_s if is_known else 0.0
        self.put(member, Status.SUSPECT, suspect_for_s, claim=Status.DEAD)
        return True

    def put(
        self,
        member: Member,
        status: Status,
        age_s: float = 0.0,
        *,
        claim: Status | None = None,
    ) -> None:
        """Store a record and update every index.

        Parameters
        ----------
        member : Member
            Record that replaces the current one.
        status : Status
            Status as known to this node.
        age_s : float
            Time since the status began.
        claim : Status, optional
            Status that is sent to other nodes, `status` by default.
        """
        node_id = member.node_id
        old = self._entries.get(node_id)
        claim = status if claim is None else claim
        since_s = self._now_s() - age_s
        entry = Entry(member, status, claim, since_s, _digest(member, claim))
        self._entries[node_id] = entry
        self._index_digest(node_id, entry, old)
        self._index_ring(node_id, entry, old)
        self._index_serving(entry, old)
        self._index_timers(node_id, entry)
        self._on_change(entry, old)

    def _index_digest(self, node_id: str, entry: Entry, old: Entry | None) -> None:
        change = entry.digest ^ (old.digest if old else 0)
        bucket = bucket_of(node_id)
        self._digests[bucket] ^= change
        self.digest ^= change
        self._buckets[bucket].add(node_id)

    def _index_ring(self, node_id: str, entry: Entry, old: Entry | None) -> None:
        was_live = old is not None and old.is_live
        if entry.is_live or was_live:
            self._live_members = None
        if entry.is_live and not was_live:
            self.ring.add(node_id)
        elif was_live and not entry.is_live:
            self.ring.remove(node_id)

    def _index_serving(self, entry: Entry, old: Entry | None) -> None:
        if old is not None and self._is_serving(old):
            self._drop_serving(old.member)
        if self._is_serving(entry):
            service = entry.member.service
            table = self._serving.setdefault(service, {})
            table[entry.member.node_id] = entry.member
            self._serving_members[service] = tuple(table.values())

    @staticmethod
    def _is_serving(entry: Entry) -> bool:
        return (
            entry.is_live
            and entry.member.state is MemberState.SERVING
            and entry.member.service != ""
        )

    def _drop_serving(self, member: Member) -> None:
        table = self._serving[member.service]
        del table[member.node_id]
        self._serving_members[member.service] = tuple(table.values())
        if not table:
            del self._serving[member.service]
            del self._serving_members[member.service]

    def _index_timers(self, node_id: str, entry: Entry) -> None:
        self.suspects.pop(node_id, None)
        self.departed.pop(node_id, None)
        self.dead.discard(node_id)
        if not entry.is_live:
            self.departed[node_id] = entry.since_s
            if entry.status is Status.DEAD:
                self.dead.add(node_id)
        elif entry.status is Status.SUSPECT:
            self.suspects[node_id] = entry.since_s

    def restart_suspicion_timers(self) -> None:
        """Give every suspect the full time to refute again."""
        now_s = self._now_s()
        for node_id in self.suspects:
            self.suspects[node_id] = now_s

    def declare_dead(self, before_s: float) -> list[Member]:
        """Declare dead the members that became suspect at or before `before_s`."""
        expired = [key for key, since_s in self.suspects.items() if since_s <= before_s]
        for node_id in expired:
            self.put(self._entries[node_id].member, Status.DEAD)
        return [self._entries[node_id].member for node_id in expired]

    def remove_expired(self) -> None:
        """Remove dead and stopped members whose retention period is over."""
        before_s = self._now_s() - self._retention_s
        expired = [key for key, since_s in self.departed.items() if since_s <= before_s]
        for node_id in expired:
            bucket = bucket_of(node_id)
            digest = self._entries.pop(node_id).digest
            self._digests[bucket] ^= digest
            self.digest ^= digest
            self._buckets[bucket].discard(node_id)
            del self.departed[node_id]
            self.dead.discard(node_id)

    def bucket_digests(self) -> bytes:
        """Return the digests of all buckets, 8 bytes each."""
        return struct.pack(f">{BUCKET_COUNT}Q", *self._digests)

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digests differ from the `digests` of a peer."""
        if len(digests) != 8 * BUCKET_COUNT:
            return []
        peer_keys = struct.unpack(f">{BUCKET_COUNT}Q", digests)
        return [i for i in range(BUCKET_COUNT) if peer_keys[i] != self._digests[i]]

    def marks(self, buckets: Iterable[int]) -> list[Mark]:
        """Return the marks of all members in some buckets."""
        return [
            self._entries[node_id].mark
            for bucket in buckets
            for node_id in self._buckets[bucket]
        ]

    def compare(
        self, buckets: Iterable[int], marks: Iterable[Mark]
    ) -> tuple[list[str], list[str]]:
        """Compare the marks of a peer with the local entries.

        Parameters
        ----------
        buckets : iterable of int
            Numbers of the buckets to compare.
        marks : iterable of Mark
            Marks of all members that the peer has in these buckets.

        Returns
        -------
        newer : list of str
            Members whose local entry is newer or that the peer lacks.
        older : list of str
            Members whose mark is newer or that this node lacks.
        """
        peer_keys = {m.node_id: (m.incarnation, m.version, m.status) for m in marks}
        own_keys = {
            node_id: self._entries[node_id].key
            for bucket in buckets
            for node_id in self._buckets[bucket]
        }
        absent = (-1, -1, -1)
        newer = [i for i, key in own_keys.items() if key > peer_keys.get(i, absent)]
        older = [i for i, key in peer_keys.items() if key > own_keys.get(i, absent)]
        return newer, older
