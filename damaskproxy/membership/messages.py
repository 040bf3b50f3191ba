"""Control messages between nodes, encoded as positional msgpack arrays.

Add new fields at the end, with a default: nodes of adjacent releases exchange these
messages during an upgrade.
"""

from enum import IntEnum
from functools import lru_cache
from sys import intern
from typing import Annotated

import msgspec

from damaskproxy.model import Address, Member, MemberState

__all__ = [
    "BUCKET_COUNT",
    "Describe",
    "DescribeReply",
    "Exchange",
    "Handover",
    "HandoverReply",
    "Mark",
    "MemberRecord",
    "ProbeReply",
    "ProbeVia",
    "Status",
    "from_record",
    "to_record",
]

BUCKET_COUNT = 256
MAX_ID_LENGTH = 200
ADDRESS_CACHE_SIZE = 32_768

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
NodeId = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Status(IntEnum):
    """Status of a member as known to a node; the highest wins within a version."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A `Member` on the wire, with its status as known to the sender.

    ``age_ms`` is the time since the member was declared dead or stopped. Receivers
    continue to count from it, so that all nodes remove the member at about the same
    time and do not send it to each other for ever.
    """

    node_id: NodeId
    incarnation: Count
    version: Count
    region: str
    data_centre: str
    peer: tuple[str, Port]
    control: tuple[str, Port]
    call: tuple[str, Port]
    state: MemberState
    service: str
    slots: Count
    heir: str = ""
    sealed: bool = False
    status: Status = Status.ALIVE
    age_ms: Count = 0


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """Version and status of a member, without the rest of its record."""

    node_id: NodeId
    incarnation: Count
    version: Count
    status: Status


class Exchange(msgspec.Struct, frozen=True, array_like=True):
    """Probe, push and anti-entropy in one message; the reply has the same type.

    Parameters
    ----------
    sender : MemberRecord
        Current record of the sender.
    members : list of MemberRecord
        Records that the receiver may lack.
    marks : list of Mark
        Statuses of members whose records the receiver has.
    digest : int
        XOR of the digests of all records of the sender.
    extra_digest : int
        Digest of the sender's versions of sections and quarantine records.
    buckets : bytes
        64-bit digest of each bucket of the sender's member list, or empty.
    bucket_ids : list of int
        Numbers of the buckets that this message compares.
    bucket_marks : list of Mark
        Marks of all members in the buckets ``bucket_ids``.
    wanted : list of str
        Ids of the members whose records the sender requests.
    extra_versions : bytes or None
        Opaque versions of the sender's sections and quarantine records, sent if the
        extra digests differ.
    extra : bytes
        Opaque sections and quarantine records, or empty.
    want_buckets : bool
        Whether the reply must contain ``buckets``.
    want_extra : bool
        Whether ``extra`` of the reply must contain what ``extra_versions`` lacks.
    """

    sender: MemberRecord
    members: list[MemberRecord] = []
    marks: list[Mark] = []
    digest: Annotated[int, msgspec.Meta(ge=0)] = 0
    extra_digest: Annotated[int, msgspec.Meta(ge=0)] = 0
    buckets: bytes = b""
    bucket_ids: list[Annotated[int, msgspec.Meta(ge=0, lt=BUCKET_COUNT)]] = []
    bucket_marks: list[Mark] = []
    wanted: list[str] = []
    extra_versions: bytes | None = None
    extra: bytes = b""
    want_buckets: bool = False
    want_extra: bool = False


class ProbeVia(msgspec.Struct, frozen=True, array_like=True):
    """Asks the receiver to probe a member on behalf of the sender."""

    node_id: NodeId
    control: tuple[str, Port]


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the member of a `ProbeVia` replied to the receiver."""

    reached: bool


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """The ledger of a stopping node; ``entries`` is opaque to membership."""

    handover_id: str
    node_id: NodeId
    incarnation: Count
    entries: bytes = b""
    sealed: bool = False


class HandoverReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the heir has taken over the ledger."""

    accepted: bool


class Describe(msgspec.Struct, frozen=True, array_like=True):
    """Asks a node for its current load and sections."""


class DescribeReply(msgspec.Struct, frozen=True, array_like=True):
    """Load, section versions, and whether the backend server's cold start is over."""

    state: MemberState
    in_flight: Count = 0
    limit: Count = 0
    latency_ms: float = 0.0
    warm: bool = False
    section_versions: dict[str, int] = {}


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _address(host: str, port: int) -> Address:
    return Address(intern(host), port)


def to_record(
    member: Member, status: Status = Status.ALIVE, age_ms: int = 0
) -> MemberRecord:
    """Return the wire form of `member`."""
    return MemberRecord(
        member.node_id,
        member.incarnation,
        member.version,
        member.region,
        member.data_centre,
        (member.peer.host, member.peer.port),
        (member.control.host, member.control.port),
        (member.call.host, member.call.port),
        member.state,
        member.service,
        member.slots,
        member.heir,
        member.sealed,
        status,
        age_ms,
    )


def from_record(record: MemberRecord) -> Member:
    """Return the member in `record`; equal strings are shared to save memory."""
    return Member(
        intern(record.node_id),
        record.incarnation,
        record.version,
        intern(record.region),
        intern(record.data_centre),
        _address(*record.peer),
        _address(*record.control),
        _address(*record.call),
        record.state,
        intern(record.service),
        record.slots,
        intern(record.heir),
        record.sealed,
    )
