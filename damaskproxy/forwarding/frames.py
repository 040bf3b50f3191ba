"""Frames between nodes and their encoding.

A frame is a length of four bytes followed by a msgpack array. Strings and headers that
repeat on a connection are sent once and then referred to by their index in a table,
since traffic between data centres is charged by the byte.
"""

from typing import Annotated

import msgspec

from damaskproxy.common.decoding import INTEGER_MAX, Count, Name
from damaskproxy.common.ids import ORDINAL_COUNT
from damaskproxy.directory import UNKNOWN_ERA, MemberRecord
from damaskproxy.forwarding.allowance_frames import (
    AllowanceAskFrame,
    AllowanceFrame,
    AllowanceGrantFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
)
from damaskproxy.forwarding.calls import LoadReport, NotRunReason
from damaskproxy.forwarding.large_frames import (
    EMPTY_BIN,
    HEAD_MAX_BYTES,
    body_position,
    large_bin_header,
)

__all__ = [
    "STATE_PATH",
    "AllowanceAskFrame",
    "AllowanceFrame",
    "AllowanceGrantFrame",
    "AllowanceNoticeFrame",
    "AllowanceReportFrame",
    "AnswerFrame",
    "StateRequestFrame",
    "CancelFrame",
    "ControlFrame",
    "Frame",
    "GoodbyeFrame",
    "HeartbeatFrame",
    "HelloFrame",
    "NotRunFrame",
    "PingFrame",
    "PongFrame",
    "RecordDigestsFrame",
    "RecordRequestFrame",
    "RunFrame",
    "StateFrame",
    "SubscribeFrame",
    "UnknownFrame",
    "UnsubscribeFrame",
    "encode_frame",
    "encode_large_frame",
    "fits_frame",
]

STATE_PATH = b"/damask/state"
"""Path at which a starting node reads the `StateFrame` of another node over HTTP."""
LENGTH_BYTES = 4
FRAME_MAX_BYTES = 80 << 20
"""Larger than the largest body that the limits of a configuration usually allow."""

Era = Annotated[int, msgspec.Meta(ge=UNKNOWN_ERA, le=INTEGER_MAX)]
Ordinal = Annotated[int, msgspec.Meta(ge=0, lt=ORDINAL_COUNT)]
Item = int | bytes
HeaderItem = int | bytes | tuple[Item, bytes]


class HelloFrame(msgspec.Struct, array_like=True, tag=0):
    """First frame that each side of a connection sends.

    Parameters
    ----------
    node_id : str
        Id of the sender.
    incarnation : int
        Incarnation of the sender, which increases with each start of its process.
    knows_goodbye : bool
        Whether the sender handles `GoodbyeFrame`. Senders of earlier releases leave it
        out.
    """

    node_id: str
    incarnation: int
    knows_goodbye: bool = False


class RunFrame(msgspec.Struct, array_like=True, tag=1):
    """Request to run a call; for the other fields see `Call`.

    Parameters
    ----------
    call_id : int
        Id of the call, unique among those of one direction of the connection.
    configuration_version : int
        Version in force at the sender.
    sent_ms : int
        Clock of the sender, from which the receiver estimates the network delay.
    organisation : int, bytes or None
        None without an organisation. Senders of earlier releases leave it out.
    has_begun, is_shared : bool
        Senders of earlier releases leave them out, and the next two.
    """

    call_id: int
    configuration_version: int
    sent_ms: int
    service: Item
    route: Item
    method: Item
    target: bytes
    headers: list[HeaderItem]
    body: bytes
    request_id: bytes
    caller: Item
    priority: int
    is_idempotent: bool
    deadline_ms: int
    is_repeat: bool
    organisation: Item | None = None
    has_begun: bool = False
    is_shared: bool = False
    ordinal: Ordinal | None = None
    earlier_refusals: Count = 0


class AnswerFrame(msgspec.Struct, array_like=True, tag=2):
    """Response of the backend server."""

    call_id: int
    configuration_version: int
    status: Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    headers: list[HeaderItem]
    body: bytes
    load: LoadReport | None


class NotRunFrame(msgspec.Struct, array_like=True, tag=3):
    """The call has not run and never will."""

    call_id: int
    configuration_version: int
    reason: NotRunReason
    reached_backend: bool
    retry_after_ms: int
    load: LoadReport | None


class UnknownFrame(msgspec.Struct, array_like=True, tag=4):
    """The call may have run."""

    call_id: int
    detail: str
    load: LoadReport | None


class CancelFrame(msgspec.Struct, array_like=True, tag=5):
    """Cancellation of a call whose result is no longer awaited."""

    call_id: int


class StateRequestFrame(msgspec.Struct, array_like=True, tag=6):
    """Request for a newer configuration.

    Parameters
    ----------
    configuration_version : int
        Version in force at the sender.
    """

    configuration_version: int


class StateFrame(msgspec.Struct, array_like=True, tag=7):
    """Newer configuration, empty if there is none, and records of members.

    Parameters
    ----------
    configuration : bytes
        Encoded configuration.
    records : list of MemberRecord
        Records of members.
    uptime_ms : int
        Time since the sender was started, in the answer to a `RecordRequestFrame`.
        Otherwise, and from senders of earlier releases, 0.
    """

    configuration: bytes
    records: list[MemberRecord]
    uptime_ms: int = 0


class PingFrame(msgspec.Struct, array_like=True, tag=8):
    """Liveness check of a peer that has not sent anything for a while."""


class PongFrame(msgspec.Struct, array_like=True, tag=9):
    """Response to a ping."""


class SubscribeFrame(msgspec.Struct, array_like=True, tag=10):
    """Request for heartbeats, newer configurations and changed records.

    Parameters
    ----------
    data_centre : str
        Data centre of the sender.
    configuration_version : int
        Version in force at the sender.
    record : MemberRecord or None
        Record of the sender, None if this node received an invalid one.
    """

    data_centre: str
    configuration_version: int
    record: MemberRecord | None


class UnsubscribeFrame(msgspec.Struct, array_like=True, tag=11):
    """End of a subscription."""


class HeartbeatFrame(msgspec.Struct, array_like=True, tag=12):
    """Sign of life for subscribers, and what the sender knows.

    Parameters
    ----------
    configuration_version : int
        Version in force at the sender.
    directory_digest : int
        Digest of its member records.
    store_age_ms : int
        Time since the store was last known to be in touch with the sender or with one
        of its sources.
    configuration_position, members_position : int
        Version of the store up to which the sender has the configuration and the member
        records, 0 if it is not known.
    configuration_era, members_era : int
        Eras of the store that these versions belong to. Senders of earlier releases
        leave them out.
    contact_id : str or None
        Id of the node that was in touch with the store `store_age_ms` ago. None if it
        is not known, and from senders of earlier releases.
    """

    configuration_version: Count
    directory_digest: int
    store_age_ms: Count
    configuration_position: Count
    members_position: Count
    configuration_era: Era = UNKNOWN_ERA
    members_era: Era = UNKNOWN_ERA
    contact_id: Name | None = None


class RecordDigestsFrame(msgspec.Struct, array_like=True, tag=13):
    """Digests of the member records by bucket, to find those that differ.

    Parameters
    ----------
    digests : list of int
        Digest of each bucket.
    is_reply : bool
        Whether the receiver sent its own digests before.
    """

    digests: list[int]
    is_reply: bool


class RecordRequestFrame(msgspec.Struct, array_like=True, tag=14):
    """Request for the record of one node."""

    node_id: str


class GoodbyeFrame(msgspec.Struct, array_like=True, tag=15):
    """Last frame of a node that stops.

    The sender has sent the results of all calls of this connection that it has run. The
    others have not run and never will.
    """


Frame = (
    HelloFrame
    | RunFrame
    | AnswerFrame
    | NotRunFrame
    | UnknownFrame
    | CancelFrame
    | StateRequestFrame
    | StateFrame
    | PingFrame
    | PongFrame
    | SubscribeFrame
    | UnsubscribeFrame
    | HeartbeatFrame
    | RecordDigestsFrame
    | RecordRequestFrame
    | GoodbyeFrame
    | AllowanceReportFrame
    | AllowanceNoticeFrame
    | AllowanceAskFrame
    | AllowanceGrantFrame
)

ControlFrame = (
    StateRequestFrame
    | StateFrame
    | SubscribeFrame
    | UnsubscribeFrame
    | HeartbeatFrame
    | RecordDigestsFrame
    | RecordRequestFrame
)
"""Frames about configuration and members."""

_encoder = msgspec.msgpack.Encoder()

CALL_TAG, ANSWER_TAG = 1, 2
BODY_INDICES = {
    CALL_TAG: RunFrame.__struct_fields__.index("body") + 1,
    ANSWER_TAG: AnswerFrame.__struct_fields__.index("body") + 1,
}
"""Index of the body in the array that the frames are encoded as."""


def encode_frame(frame: Frame) -> bytes:
    """Return `frame` with its length prefix."""
    data = _encoder.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES) + data


def encode_large_frame(frame: RunFrame | AnswerFrame) -> tuple[bytes, bytes, bytes]:
    """Return the parts of a frame with a large body, which is not copied."""
    body, frame.body = frame.body, b""
    data = _encoder.encode(frame)
    frame.body = body
    position = body_position(data, BODY_INDICES)
    head = data[:position] + large_bin_header(len(body))
    tail = data[position + len(EMPTY_BIN) :]
    length = len(head) + len(body) + len(tail)
    return length.to_bytes(LENGTH_BYTES) + head, body, tail


def fits_frame(headers: list[tuple[bytes, bytes]], body: bytes) -> bool:
    """Tell whether a peer accepts a frame with these headers and a large body.

    Notes
    -----
    This has to be known before the headers are packed, since that changes the tables of
    a connection.
    """
    head_bytes = sum(len(name) + len(value) for name, value in headers)
    return (
        2 * head_bytes <= HEAD_MAX_BYTES
        and len(body) + 2 * HEAD_MAX_BYTES <= FRAME_MAX_BYTES
    )
