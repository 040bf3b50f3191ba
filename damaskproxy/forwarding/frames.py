"""Frames between nodes and their codec.

A frame is a length of four bytes followed by a msgpack array. Strings and headers that
repeat on a connection are sent once and then referred to by their index in a table,
since traffic between data centres is charged by the byte.
"""

import logging
from collections.abc import Iterable
from typing import Annotated

import msgspec

from damaskproxy.common.decoding import INTEGER_MAX, Count, decode_or_raise
from damaskproxy.common.hashing import digest_of
from damaskproxy.directory import (
    UNKNOWN_ERA,
    MemberRecord,
    RecordError,
    decode_packed_member,
)
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.calls import LoadReport, NotRunReason
from damaskproxy.forwarding.large_frames import (
    EMPTY_BIN,
    HEAD_MAX_BYTES,
    LARGE_BYTES,
    FrameError,
    LargeFrame,
    LinkMemory,
    body_position,
    large_bin_header,
)

__all__ = [
    "STATE_PATH",
    "AnswerFrame",
    "StateRequestFrame",
    "CancelFrame",
    "ControlFrame",
    "Frame",
    "FrameDecoder",
    "FrameError",
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
    "StringTable",
    "SubscribeFrame",
    "UnknownFrame",
    "UnsubscribeFrame",
    "decode_state",
    "encode_frame",
    "encode_large_frame",
    "fits_frame",
]

logger = logging.getLogger(__name__)

STATE_PATH = b"/damask/state"
"""Path at which a starting node reads the `StateFrame` of another node over HTTP."""
LENGTH_BYTES = 4
FRAME_MAX_BYTES = 80 << 20
"""Larger than the largest body that the limits of a configuration usually allow."""
COPIED_MAX_BYTES = 4096
"""Length up to which it is faster to copy a frame than to create a view of it."""
TABLE_MAX = 512
"""Entries in the string table of each direction of a connection, and in its header
table."""
TABLE_STRING_MAX_BYTES = 64
IGNORED_MAX = 1000
"""Invalid records of a connection that are remembered, so that each is logged once."""

Era = Annotated[int, msgspec.Meta(ge=UNKNOWN_ERA, le=INTEGER_MAX)]
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
    """

    configuration_version: Count
    directory_digest: int
    store_age_ms: Count
    configuration_position: Count
    members_position: Count
    configuration_era: Era = UNKNOWN_ERA
    members_era: Era = UNKNOWN_ERA


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


class _UndecodedStateFrame(msgspec.Struct, array_like=True, tag=7):
    """`StateFrame` whose records are decoded one by one."""

    configuration: bytes
    records: list[msgspec.Raw]
    uptime_ms: Count = 0


class _UndecodedSubscribeFrame(msgspec.Struct, array_like=True, tag=10):
    """`SubscribeFrame` whose record is decoded separately."""

    data_centre: str
    configuration_version: int
    record: msgspec.Raw


_ReceivedFrame = (
    HelloFrame
    | RunFrame
    | AnswerFrame
    | NotRunFrame
    | UnknownFrame
    | CancelFrame
    | StateRequestFrame
    | _UndecodedStateFrame
    | PingFrame
    | PongFrame
    | _UndecodedSubscribeFrame
    | UnsubscribeFrame
    | HeartbeatFrame
    | RecordDigestsFrame
    | RecordRequestFrame
    | GoodbyeFrame
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_ReceivedFrame)
_state_decoder = msgspec.msgpack.Decoder(_UndecodedStateFrame)

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


class FrameDecoder:
    """Incremental decoder of a stream of frames.

    Parameters
    ----------
    memory : LinkMemory, optional
        Accounts that partly read frames are counted in.
    """

    def __init__(self, memory: LinkMemory | None = None):
        self._memory = memory or LinkMemory()
        self._buffer = bytearray()
        self._large: LargeFrame | None = None
        self._records = RecordDecoder()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes.

        Raises
        ------
        FrameError
            If a frame is invalid or too long.
        """
        frames = []
        if self._large is not None:
            data = self._feed_large(memoryview(data), frames)
            if self._large is not None:
                return frames
        buffer = self._buffer
        if buffer:
            buffer += data
            data = buffer
        start, size = 0, len(data)
        while size - start >= LENGTH_BYTES:
            length = int.from_bytes(data[start : start + LENGTH_BYTES])
            if length > FRAME_MAX_BYTES:
                raise FrameError(f"frame of {length} bytes is too long")
            end = start + LENGTH_BYTES + length
            if size < end:
                if length > LARGE_BYTES:
                    self._large = LargeFrame(
                        length, BODY_INDICES, CALL_TAG, self._memory
                    )
                    self._feed_large(memoryview(data)[start + LENGTH_BYTES :], frames)
                    start = size
                break
            start += LENGTH_BYTES
            if length <= COPIED_MAX_BYTES:
                frames.append(self._decode(data[start:end]))
            else:
                frames.append(self._decode(memoryview(data)[start:end]))
            start = end
        if data is buffer:
            del buffer[:start]
        elif start < size:
            buffer += data[start:]
        return frames

    def close(self) -> None:
        """Stop counting a frame that has been read in part."""
        if self._large is not None:
            self._large.close()
            self._large = None

    def _feed_large(self, data: memoryview, frames: list[Frame]) -> memoryview:
        """Add the frame if it is complete, and return the bytes after it."""
        large = self._large
        own_bytes = large.missing_bytes
        large.feed(data[:own_bytes])
        if not large.missing_bytes:
            frame = self._decode(large.take_rest())
            if large.body is not None:
                frame.body = large.body
            frames.append(frame)
            self.close()
        return data[own_bytes:]

    def _decode(self, encoded: bytes | memoryview) -> Frame:
        frame = decode_or_raise(_decoder.decode, encoded, FrameError)
        kind = type(frame)
        if kind is _UndecodedStateFrame:
            records = self._records.decode(frame.records)
            return StateFrame(frame.configuration, records, frame.uptime_ms)
        if kind is _UndecodedSubscribeFrame:
            records = self._records.decode([frame.record])
            return SubscribeFrame(
                frame.data_centre,
                frame.configuration_version,
                records[0] if records else None,
            )
        return frame


class RecordDecoder:
    """Decodes the member records of another node one by one.

    An invalid record, which a node of an earlier release may hold, costs neither the
    valid ones beside it nor the connection. It is logged once.
    """

    def __init__(self):
        self._ignored: set[int] = set()

    def decode(self, records: Iterable[msgspec.Raw]) -> list[MemberRecord]:
        """Return the valid records."""
        valid = []
        for encoded in records:
            try:
                valid.append(decode_packed_member(encoded))
            except RecordError as error:
                self._log(encoded, error)
        return valid

    def _log(self, encoded: msgspec.Raw, error: RecordError) -> None:
        digest = digest_of(encoded)
        if digest in self._ignored or len(self._ignored) >= IGNORED_MAX:
            return
        self._ignored.add(digest)
        log_event(logger, events.RECORD_IGNORED, reason=str(error))


def decode_state(encoded: bytes) -> StateFrame:
    """Decode the state frame that another node sent over HTTP.

    Raises
    ------
    FrameError
        If it is invalid, apart from single records, which are left out.
    """
    frame = decode_or_raise(_state_decoder.decode, encoded, FrameError)
    return StateFrame(frame.configuration, RecordDecoder().decode(frame.records))


class StringTable:
    """Table of the strings and headers sent in one direction of a connection.

    Sender and receiver build the same table from the same sequence of items.

    Parameters
    ----------
    volatile : frozenset of bytes
        Lower-case names of headers whose values differ in each message.
    """

    def __init__(self, volatile: frozenset[bytes]):
        self._volatile = volatile
        self._indices: dict[bytes, int] = {}
        self._strings: list[bytes] = []
        self._header_indices: dict[tuple[bytes, bytes], int] = {}
        self._headers: list[tuple[bytes, bytes]] = []

    def pack(self, string: bytes) -> Item:
        """Return the index of a string that was sent before, or the string itself."""
        index = self._indices.get(string)
        if index is not None:
            return index
        if len(string) <= TABLE_STRING_MAX_BYTES and len(self._indices) < TABLE_MAX:
            self._indices[string] = len(self._indices)
        return string

    def unpack(self, item: Item) -> bytes:
        """Return the string of an item that was packed by the sender.

        Raises
        ------
        FrameError
            If the item is an index that is not in the table.
        """
        if isinstance(item, int):
            if not 0 <= item < len(self._strings):
                raise FrameError(f"string index {item} is not in the table")
            return self._strings[item]
        if len(item) <= TABLE_STRING_MAX_BYTES and len(self._strings) < TABLE_MAX:
            self._strings.append(item)
        return item

    def pack_headers(self, headers: list[tuple[bytes, bytes]]) -> list[HeaderItem]:
        """Return `headers` with known ones replaced by their index."""
        indices = self._header_indices
        return [
            index
            if (index := indices.get(header)) is not None
            else self._pack_header(header)
            for header in headers
        ]

    def unpack_headers(self, items: list[HeaderItem]) -> list[tuple[bytes, bytes]]:
        """Return the headers of items that were packed by the sender."""
        return [self._unpack_header(item) for item in items]

    def _pack_header(self, header: tuple[bytes, bytes]) -> HeaderItem:
        name, value = header
        if name.lower() in self._volatile:
            return (self.pack(name), value)
        string = name + b"\0" + value
        if (
            len(string) <= TABLE_STRING_MAX_BYTES
            and len(self._header_indices) < TABLE_MAX
        ):
            self._header_indices[header] = len(self._header_indices)
        return string

    def _unpack_header(self, item: HeaderItem) -> tuple[bytes, bytes]:
        if isinstance(item, int):
            if not 0 <= item < len(self._headers):
                raise FrameError(f"header index {item} is not in the table")
            return self._headers[item]
        if isinstance(item, tuple):
            return (self.unpack(item[0]), item[1])
        name, _, value = item.partition(b"\0")
        if len(item) <= TABLE_STRING_MAX_BYTES and len(self._headers) < TABLE_MAX:
            self._headers.append((name, value))
        return (name, value)
