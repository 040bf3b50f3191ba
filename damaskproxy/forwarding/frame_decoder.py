"""Decoder of the frames that a peer sends."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from damaskproxy.common.decoding import Count, decode_or_raise
from damaskproxy.common.hashing import digest_of
from damaskproxy.directory import MemberRecord, RecordError, decode_packed_member
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.frames import (
    BODY_INDICES,
    CALL_TAG,
    FRAME_MAX_BYTES,
    LENGTH_BYTES,
    AllowanceAskFrame,
    AllowanceGrantFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
    AnswerFrame,
    CancelFrame,
    Frame,
    GoodbyeFrame,
    HeartbeatFrame,
    HelloFrame,
    NotRunFrame,
    PingFrame,
    PongFrame,
    RecordDigestsFrame,
    RecordRequestFrame,
    RunFrame,
    StateFrame,
    StateRequestFrame,
    SubscribeFrame,
    UnknownFrame,
    UnsubscribeFrame,
)
from damaskproxy.forwarding.large_frames import (
    LARGE_BYTES,
    FrameError,
    LargeFrame,
    LinkMemory,
)

__all__ = ["FrameDecoder", "RecordDecoder", "decode_state"]

logger = logging.getLogger(__name__)

HELLO_MAX_BYTES = 4096
"""Length of the first frame of a peer. A hello frame has the id of a node, which is
100 characters long at most, and numbers."""
COPIED_MAX_BYTES = 4096
"""Length up to which it is faster to copy a frame than to create a view of it."""
IGNORED_MAX = 1000
"""Invalid records of a connection that are remembered, so that each is logged once."""


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
    | AllowanceReportFrame
    | AllowanceNoticeFrame
    | AllowanceAskFrame
    | AllowanceGrantFrame
)

_decoder = msgspec.msgpack.Decoder(_ReceivedFrame)
_state_decoder = msgspec.msgpack.Decoder(_UndecodedStateFrame)


def _no_result() -> bool:
    return False


class FrameDecoder:
    """Incremental decoder of a stream of frames.

    Parameters
    ----------
    memory : LinkMemory, optional
        Accounts that partly read frames are counted in.
    begins_with_hello : bool
        Whether the first frame has to be a hello frame.
    awaits_result : callable
        Returns whether a result of the peer is awaited.
    """

    def __init__(
        self,
        memory: LinkMemory | None = None,
        *,
        begins_with_hello: bool = False,
        awaits_result: Callable[[], bool] = lambda: True,
    ):
        self._awaits_result = awaits_result
        self._memory = memory or LinkMemory()
        self._awaits_hello = begins_with_hello
        self._frame_max_bytes = (
            HELLO_MAX_BYTES if begins_with_hello else FRAME_MAX_BYTES
        )
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
            if length > self._frame_max_bytes:
                raise FrameError(f"frame of {length} bytes is too long")
            end = start + LENGTH_BYTES + length
            if size < end:
                if length > LARGE_BYTES:
                    self._large = LargeFrame(
                        length,
                        BODY_INDICES,
                        CALL_TAG,
                        self._memory,
                        self._awaits_result,
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
            if self._awaits_hello:
                self._check_hello(frames[0])
        if data is buffer:
            del buffer[:start]
        elif start < size:
            buffer += data[start:]
        return frames

    @property
    def missing_bytes(self) -> int:
        """Bytes that a long frame lacks, 0 without one that has been read in part."""
        return 0 if self._large is None else self._large.missing_bytes

    @property
    def partial_bytes(self) -> int:
        """Bytes of a partly read frame, apart from a large body."""
        rest_bytes = 0 if self._large is None else self._large.rest_bytes
        return len(self._buffer) + rest_bytes

    def close(self) -> None:
        """Forget a frame that has been read in part, and the connection."""
        self._buffer = bytearray()
        self._awaits_result = _no_result
        if self._large is not None:
            self._close_large()

    def _close_large(self) -> None:
        self._large.close()
        self._large = None

    def _check_hello(self, frame: Frame) -> None:
        if type(frame) is not HelloFrame:
            raise FrameError("the first frame is no hello frame")
        self._awaits_hello = False
        self._frame_max_bytes = FRAME_MAX_BYTES

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
            self._close_large()
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
