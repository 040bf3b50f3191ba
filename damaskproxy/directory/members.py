"""Records of the nodes of the mesh and of their backend servers."""

import socket
import time
from collections.abc import Callable, Collection, Iterable
from typing import Annotated

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.common.decoding import (
    INTEGER_MAX,
    Count,
    Name,
    PositiveCount,
    Rate,
    decode_or_raise,
)
from damaskproxy.common.hashing import digest_of, ring_position
from damaskproxy.model import MemberState

__all__ = [
    "BackendRecord",
    "Directory",
    "MemberRecord",
    "RecordError",
    "decode_member",
    "decode_packed_member",
    "encode_member",
    "is_ip_address",
    "is_plausible_ms",
]

MS_PER_S = 1000
TIME_LEAD_MS = 366 * 86_400 * MS_PER_S
"""Largest time by which a time of another writer may be ahead of this machine's clock.

The incarnation of a node is the time of its start, and an incarnation that can never be
exceeded would keep out the node that it names for good."""

ROW_MAX_BYTES = 65_536
"""Largest record of another node; the store takes no larger rows."""
DIGEST_BUCKETS = 32
"""Groups of records with a digest each. Two nodes whose records differ exchange only
the groups that do, 160 records of 5,000 for each."""


Crash = tuple[
    Count,
    Annotated[
        tuple[Annotated[str, msgspec.Meta(max_length=64)], ...],
        msgspec.Meta(max_length=1000),
    ],
]
"""Unix time of a crash in milliseconds, and digests of the requests in flight."""


class RecordError(DamaskError):
    """An invalid record from another writer, which the caller ignores."""


class BackendRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Backend server next to a node, as published by the node.

    Parameters
    ----------
    instance_id : str
        Id of its incarnation.
    service : str
        Service that it provides.
    slots : int
        Maximum number of concurrent requests.
    state : MemberState
        ``serving``, ``draining`` or ``stopped``.
    born_ms, sequence : int
        Unix time of its start and sequence number of its newest status report. They
        identify stale reports.
    warm_at_ms : int
        Unix time at which its cold start ends.
    max_calls_per_s : float, optional
        Calls per second that it has said it takes from all nodes together.
    """

    instance_id: Name
    service: Name
    slots: PositiveCount
    state: MemberState = MemberState.SERVING
    born_ms: Count = 0
    sequence: Count = 0
    warm_at_ms: Count = 0
    max_calls_per_s: Rate | None = None

    @property
    def incarnation_key(self) -> tuple[str, int]:
        """Identity of this incarnation of the backend server."""
        return (self.instance_id, self.born_ms)

    @property
    def is_leaving(self) -> bool:
        """Whether it drains or has stopped, which is final for an incarnation."""
        return self.state in (MemberState.DRAINING, MemberState.STOPPED)

    def with_leave_of(self, earlier: "BackendRecord | None") -> "BackendRecord":
        """Return this record, leaving if `earlier` of the same incarnation is leaving.

        Notes
        -----
        A node that confirmed a leave while the store was unavailable and then restarted
        reads a row from before the leave. Other nodes have received the leave and keep
        it.
        """
        if earlier is None or not earlier.is_leaving or self.is_leaving:
            return self
        if earlier.incarnation_key != self.incarnation_key:
            return self
        return msgspec.structs.replace(self, state=earlier.state)


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of one node as every node knows it.

    Parameters
    ----------
    node_id : str
        Unique name of the node.
    incarnation, version : int
        Number of the process start and of the change since; together they order the
        records of a node.
    data_centre : str
        Data centre of the node.
    host : str
        IP address of the node.
    port : int
        Port for calls from other nodes.
    state : MemberState
        State of the node itself, not of its backend server.
    backend : BackendRecord, optional
        Absent until a backend server has reported its status.
    crashes : tuple
        Unix time and requests in flight of the last crashes of backend servers next to
        this node.
    """

    node_id: Name
    incarnation: Count
    version: Count
    data_centre: Annotated[str, msgspec.Meta(max_length=65_536)]
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    state: MemberState = MemberState.SERVING
    backend: BackendRecord | None = None
    crashes: Annotated[tuple[Crash, ...], msgspec.Meta(max_length=16)] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among the records of one node, newest highest."""
        return (self.incarnation, self.version)

    @property
    def is_removed(self) -> bool:
        """Whether it only marks that the row of the node was deleted."""
        return self.state is MemberState.STOPPED and self.backend is None

    def has_leave_beyond(self, other: "MemberRecord") -> bool:
        """Return whether only this record has the leave of the same backend server."""
        if other.backend is None:
            return False
        return other.backend.with_leave_of(self.backend) is not other.backend

    def with_leave_of(self, known: BackendRecord | None) -> "MemberRecord":
        """Return this record, with the leave of its backend server if it is known.

        Notes
        -----
        A node that has just started may publish a record before it has restored its
        backend server's. The leave stays in the records of other nodes until the
        removal of the node or another incarnation of the backend server.
        """
        if self.backend is not None:
            backend = self.backend.with_leave_of(known)
        elif known is not None and known.is_leaving and not self.is_removed:
            backend = known
        else:
            return self
        if backend is self.backend:
            return self
        return msgspec.structs.replace(self, backend=backend)

    def successor(self, **changes) -> "MemberRecord":
        """Return a changed record that replaces this one.

        After the last version of an incarnation comes the next incarnation, so that
        every record that can be decoded has a successor that can be encoded.
        """
        incarnation, version = self.incarnation, self.version + 1
        if version > INTEGER_MAX:
            incarnation, version = incarnation + 1, 0
        return msgspec.structs.replace(
            self, incarnation=incarnation, version=version, **changes
        )

    def removed(self) -> "MemberRecord":
        """Return the record that replaces this one after its row was deleted."""
        return self.successor(state=MemberState.STOPPED, backend=None, crashes=())

    def serves(self, service: str) -> bool:
        """Return whether the backend server accepts requests of `service`."""
        backend = self.backend
        return (
            backend is not None
            and backend.service == service
            and backend.state is MemberState.SERVING
            and self.state is MemberState.SERVING
        )


_json_decoder = msgspec.json.Decoder(MemberRecord)
_msgpack_decoder = msgspec.msgpack.Decoder(MemberRecord)


def decode_member(value: bytes) -> MemberRecord:
    """Decode the value of a member's row.

    Raises
    ------
    RecordError
        If the value is invalid.
    """
    return _checked(decode_or_raise(_json_decoder.decode, value, RecordError))


def decode_packed_member(value: bytes) -> MemberRecord:
    """Decode a member record in a frame of another node.

    Raises
    ------
    RecordError
        If the record is invalid.
    """
    record = _checked(decode_or_raise(_msgpack_decoder.decode, value, RecordError))
    size_bytes = len(encode_member(record))
    if size_bytes > ROW_MAX_BYTES:
        raise RecordError(f"a record of {size_bytes} bytes is too long for a row")
    return record


def _checked(record: MemberRecord) -> MemberRecord:
    """Return `record` if the fields without a range of their own can be used."""
    if not is_ip_address(record.host):
        raise RecordError(f"host {record.host[:40]!r} is not an IP address")
    times_ms = [record.incarnation, *(at_ms for at_ms, _ in record.crashes)]
    if record.backend is not None:
        times_ms.append(record.backend.born_ms)
    if not is_plausible_ms(max(times_ms)):
        raise RecordError(f"the time {max(times_ms)} is in the far future")
    return record


def is_ip_address(host: str) -> bool:
    """Tell whether `host` is an IP address; nodes look up no names."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except (OSError, ValueError):
            continue
        return True
    return False


def is_plausible_ms(at_ms: int) -> bool:
    """Tell whether a Unix time of another writer is not far ahead of the clock."""
    return at_ms <= time.time() * MS_PER_S + TIME_LEAD_MS


def encode_member(record: MemberRecord) -> bytes:
    """Encode a record as the value of a member's row."""
    return msgspec.json.encode(record)


class Directory:
    """Newest record of each node.

    Parameters
    ----------
    on_change : callable, optional
        Called with each record that is added or replaces an older one.
    """

    def __init__(self, on_change: Callable[[MemberRecord], None] = lambda record: None):
        self._records: dict[str, MemberRecord] = {}
        self._leaves: dict[str, BackendRecord] = {}
        self._serving: dict[str, list[MemberRecord]] = {}
        self._digests = [0] * DIGEST_BUCKETS
        self._running_count = 0
        self._on_change = on_change

    def __len__(self) -> int:
        return len(self._records)

    @property
    def running_count(self) -> int:
        """Number of running nodes."""
        return self._running_count

    def get(self, node_id: str) -> MemberRecord | None:
        """Return the record of a node."""
        return self._records.get(node_id)

    def get_with_leave(self, node_id: str) -> MemberRecord | None:
        """Return the record of a node, with its leave also if the node was removed.

        Its row may have been deleted by another writer while it was down.
        """
        record = self._records.get(node_id)
        if record is None or not record.is_removed:
            return record
        return msgspec.structs.replace(record, backend=self._leaves.get(node_id))

    def records(self) -> Iterable[MemberRecord]:
        """Return all records."""
        return self._records.values()

    def merge(self, record: MemberRecord) -> bool:
        """Store `record` if it is newer than the known one; return whether it was."""
        known = self._records.get(record.node_id)
        if known is not None and record.order <= known.order:
            return False
        record = record.with_leave_of(self._leaves.get(record.node_id))
        if record.backend is not None:
            if record.backend.is_leaving:
                self._leaves[record.node_id] = record.backend
            else:
                self._leaves.pop(record.node_id, None)
        self._records[record.node_id] = record
        self._serving.clear()
        self._running_count += record.state is MemberState.SERVING
        if known is not None:
            self._running_count -= known.state is MemberState.SERVING
            self._toggle_digest(known)
        self._toggle_digest(record)
        self._on_change(record)
        return True

    def remove(
        self, node_id: str, order: tuple[int, int] | None = None
    ) -> MemberRecord | None:
        """Replace the record of a node that left, unless it is newer than `order`.

        The record that replaces it is newer than the one before, so that it spreads to
        other nodes, and a late record does not bring the member back.

        Returns
        -------
        MemberRecord or None
            The new record, None if nothing was changed.
        """
        known = self._records.get(node_id)
        if known is None or (order is not None and known.order > order):
            return None
        if known.is_removed:
            return None
        record = known.removed()
        self.merge(record)
        return record

    def serving(self, service: str) -> list[MemberRecord]:
        """Return the members that accept requests of `service`."""
        serving = self._serving.get(service)
        if serving is None:
            serving = [r for r in self._records.values() if r.serves(service)]
            self._serving[service] = serving
        return serving

    def digest(self) -> int:
        """Return a digest that is equal for equal directories."""
        combined = 0
        for digest in self._digests:
            combined ^= digest
        return combined

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket of records."""
        return list(self._digests)

    def records_in(self, buckets: Collection[int]) -> list[MemberRecord]:
        """Return the records in some buckets."""
        return [r for r in self._records.values() if _bucket(r.node_id) in buckets]

    def _toggle_digest(self, record: MemberRecord) -> None:
        """Add the digest of a record to its bucket, or remove it from there."""
        content = f"{record.node_id}/{record.incarnation}/{record.version}"
        self._digests[_bucket(record.node_id)] ^= digest_of(content.encode())


def _bucket(node_id: str) -> int:
    return ring_position(node_id) % DIGEST_BUCKETS
