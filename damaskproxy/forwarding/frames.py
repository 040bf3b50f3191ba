"""Frames between nodes and their codec.

A frame is four bytes of length and a msgpack array. Texts and headers that repeat on a
connection are sent once and then by number, since bytes between data centres are
charged.
"""

import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.directory import MemberRecord
from damaskproxy.forwarding.calls import LoadReport, NotRunReason

__all__ = [
    "STATE_PATH",
    "AnswerFrame",
    "StateRequestFrame",
    "CancelFrame",
    "Frame",
    "FrameDecoder",
    "FrameError",
    "HelloFrame",
    "NotRunFrame",
    "PingFrame",
    "PongFrame",
    "RunFrame",
    "StateFrame",
    "TextTable",
    "UnknownFrame",
    "encode_frame",
]

STATE_PATH = b"/damask/state"
"""Where a starting node reads the `StateFrame` of another one over HTTP."""
LENGTH_BYTES = 4
FRAME_MAX_BYTES = 80 << 20
"""Above the largest body that the limits of a configuration usually allow."""
TABLE_MAX = 512
"""Texts that one side of a connection numbers."""
TABLE_TEXT_MAX_BYTES = 64

Item = int | bytes
HeaderItem = int | bytes | tuple[Item, bytes]


class FrameError(DamaskError):
    """A peer sent a frame that is not valid."""


class HelloFrame(msgspec.Struct, array_like=True, tag=0):
    """First frame of each side of a connection.

    Parameters
    ----------
    node_id : str
        Name of the sender.
    incarnation : int
        Start of its process.
    """

    node_id: str
    incarnation: int


class RunFrame(msgspec.Struct, array_like=True, tag=1):
    """Ask the peer to run a call; see `Call`.

    Parameters
    ----------
    call_id : int
        Unique on the connection.
    configuration_version : int
        Version in force at the sender.
    sent_ms : int
        Sender's clock, from which the receiver estimates the delay.
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
    status: int
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
    """The caller no longer waits."""

    call_id: int


class StateRequestFrame(msgspec.Struct, array_like=True, tag=6):
    """Ask for a newer configuration and for members that this side does not know.

    Parameters
    ----------
    configuration_version : int
        Version in force at the sender.
    directory_digest : int or None
        Digest of the members that the sender knows; None asks for none.
    """

    configuration_version: int
    directory_digest: int | None = None


class StateFrame(msgspec.Struct, array_like=True, tag=7):
    """Newer configuration, empty without one, and records of members."""

    configuration: bytes
    records: list[MemberRecord]


class PingFrame(msgspec.Struct, array_like=True, tag=8):
    """Ask the peer for a sign of life."""


class PongFrame(msgspec.Struct, array_like=True, tag=9):
    """Answer a ping."""


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
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of `frame`."""
    data = _encoder.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES) + data


class FrameDecoder:
    """Splits a stream into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes.

        Raises
        ------
        FrameError
            If the stream is not valid.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + LENGTH_BYTES])
            if length > FRAME_MAX_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = start + LENGTH_BYTES + length
            if len(buffer) < end:
                break
            try:
                frames.append(
                    _decoder.decode(bytes(buffer[start + LENGTH_BYTES : end]))
                )
            except msgspec.MsgspecError as error:
                raise FrameError(str(error)) from error
            start = end
        del buffer[:start]
        return frames


class TextTable:
    """Numbers of the texts that one side of a connection has sent.

    Parameters
    ----------
    volatile : frozenset of bytes
        Lower-case names of headers whose values do not repeat.
    """

    def __init__(self, volatile: frozenset[bytes]):
        self._volatile = volatile
        self._numbers: dict[bytes, int] = {}
        self._texts: list[bytes] = []
        self._header_numbers: dict[tuple[bytes, bytes], int] = {}
        self._headers: list[tuple[bytes, bytes]] = []

    def pack(self, text: bytes) -> Item:
        """Return the number of a text that was sent before, else the text."""
        number = self._numbers.get(text)
        if number is not None:
            return number
        if len(text) <= TABLE_TEXT_MAX_BYTES and len(self._numbers) < TABLE_MAX:
            self._numbers[text] = len(self._numbers)
        return text

    def unpack(self, item: Item) -> bytes:
        """Return the text of an item that the other side packed.

        Raises
        ------
        FrameError
            If the number is unknown.
        """
        if isinstance(item, int):
            if not 0 <= item < len(self._texts):
                raise FrameError(f"unknown text number {item}")
            return self._texts[item]
        if len(item) <= TABLE_TEXT_MAX_BYTES and len(self._texts) < TABLE_MAX:
            self._texts.append(item)
        return item

    def pack_headers(self, headers: list[tuple[bytes, bytes]]) -> list[HeaderItem]:
        """Return `headers` for the wire."""
        numbers = self._header_numbers
        return [
            number
            if (number := numbers.get(header)) is not None
            else self._pack_header(header)
            for header in headers
        ]

    def unpack_headers(self, items: list[HeaderItem]) -> list[tuple[bytes, bytes]]:
        """Return the headers of `items`."""
        return [self._unpack_header(item) for item in items]

    def _pack_header(self, header: tuple[bytes, bytes]) -> HeaderItem:
        name, value = header
        if name.lower() in self._volatile:
            return (self.pack(name), value)
        text = name + b"\0" + value
        if len(text) <= TABLE_TEXT_MAX_BYTES and len(self._header_numbers) < TABLE_MAX:
            self._header_numbers[header] = len(self._header_numbers)
        return text

    def _unpack_header(self, item: HeaderItem) -> tuple[bytes, bytes]:
        if isinstance(item, int):
            if not 0 <= item < len(self._headers):
                raise FrameError(f"unknown header number {item}")
            return self._headers[item]
        if isinstance(item, tuple):
            return (self.unpack(item[0]), item[1])
        name, _, value = item.partition(b"\0")
        if len(item) <= TABLE_TEXT_MAX_BYTES and len(self._headers) < TABLE_MAX:
            self._headers.append((name, value))
        return (name, value)
