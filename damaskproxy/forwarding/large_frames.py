"""Frames with a large body, which are read and written without copies of the body."""

import io
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from damaskproxy.common import DamaskError
from damaskproxy.common.memory import MemoryAccount
from damaskproxy.forwarding.calls import DISCARDED_BODY

__all__ = [
    "EMPTY_BIN",
    "HEAD_MAX_BYTES",
    "LARGE_BYTES",
    "FrameError",
    "LargeFrame",
    "LinkMemory",
    "body_position",
    "large_bin_header",
]

LARGE_BYTES = 64 << 10
"""Length above which a body is not copied, and is counted in the accounts of calls or
results."""
HEAD_MAX_BYTES = 1 << 20
"""Longest part of a frame before or after a large body."""
UNLIMITED_BYTES = 1 << 62
UNCOUNTED_FRAME_BYTES = 2 << 20
"""Length up to which frames without a large body are read even if the memory for
results is used up; configurations and records are shorter. What has been read of them
counts in `LinkMemory.partial`."""

EMPTY_BIN = b"\xc4\x00"
BIN_32 = 0xC6
TAG_MAX_POSITION = 3
ARRAY_16, ARRAY_32 = 0xDC, 0xDD
FIXED_BYTES = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8, 0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
"""Bytes of an integer by its code."""
SIZE_BYTES = {
    0xC4: 1,
    0xC5: 2,
    0xC6: 4,
    0xD9: 1,
    0xDA: 2,
    0xDB: 4,
    ARRAY_16: 2,
    ARRAY_32: 4,
}
"""Bytes of the length that follows the code of a byte string, string or array."""
CONSTANTS = frozenset({0xC0, 0xC2, 0xC3})
BIN_32_HEADER_BYTES = 5


class FrameError(DamaskError):
    """A peer sent an invalid frame."""


def _unlimited() -> MemoryAccount:
    return MemoryAccount(UNLIMITED_BYTES)


@dataclass(frozen=True, slots=True)
class LinkMemory:
    """Memory that the connections to other nodes hold.

    Parameters
    ----------
    calls : MemoryAccount
        Bodies of calls of other nodes. A call whose body does not fit is not run; its
        body is discarded while it is read.
    results : MemoryAccount
        Partly read results of calls to other nodes, and other long frames. An answer
        that does not fit is discarded while it is read.
    unsent : MemoryAccount
        Frames that peers do not read. Calls and answers that do not fit are not sent.
    partial : MemoryAccount
        Partly read frames apart from large bodies. Beyond its limit, the connection
        that holds most is closed.
    """

    calls: MemoryAccount = field(default_factory=_unlimited)
    results: MemoryAccount = field(default_factory=_unlimited)
    unsent: MemoryAccount = field(default_factory=_unlimited)
    partial: MemoryAccount = field(default_factory=_unlimited)


def _position_of_tag(data: bytes | bytearray) -> int:
    """Return the position of the tag of an encoded frame."""
    return TAG_MAX_POSITION if data[0] == ARRAY_16 else 1


def large_bin_header(length: int) -> bytes:
    """Return the msgpack header of a byte string of at least 64 KiB."""
    return bytes([BIN_32]) + length.to_bytes(4)


def body_position(data: bytes | bytearray, indices: Mapping[int, int]) -> int | None:
    """Return the position of the body in the beginning of an encoded frame.

    Parameters
    ----------
    data : bytes or bytearray
        Beginning of a msgpack array, whose first item is the tag of the frame.
    indices : mapping
        Index of the body among the items, by tag.

    Returns
    -------
    int or None
        Position of the header of the body; None if `data` ends before it, or if the
        frame has none.

    Raises
    ------
    FrameError
        If there is an item that no frame has.
    """
    try:
        position = _position_of_tag(data)
        pending = indices.get(data[position], 0)
        if not pending:
            return None
        while pending:
            code = data[position]
            position += 1
            pending -= 1
            if code in SIZE_BYTES:
                size = SIZE_BYTES[code]
                if position + size > len(data):
                    return None
                count = int.from_bytes(data[position : position + size])
                position += size
                if code in (ARRAY_16, ARRAY_32):
                    pending += count
                else:
                    position += count
            elif 0x90 <= code <= 0x9F:
                pending += code & 0x0F
            elif 0xA0 <= code <= 0xBF:
                position += code & 0x1F
            elif code in FIXED_BYTES:
                position += FIXED_BYTES[code]
            elif not (code <= 0x7F or code >= 0xE0 or code in CONSTANTS):
                raise FrameError(f"a frame has an item of type {code:#x}")
    except IndexError:
        return None
    return position


class LargeFrame:
    """Frame of which a part has been read.

    Parameters
    ----------
    length : int
        Length of the frame.
    indices : mapping
        Index of the body among the items, by tag.
    call_tag : int
        Tag of the frames that are calls.
    memory : LinkMemory
        Accounts that the frame is counted in.
    awaits_result : callable
        Returns whether a result of the peer is awaited; otherwise the body of an answer
        is discarded.

    Attributes
    ----------
    missing_bytes : int
        Bytes that have not been read.
    body : bytes or None
        Large body of the complete frame, `DISCARDED_BODY` if it had no room; None if
        the frame has no large body.

    Notes
    -----
    A body has room as a whole or not at all, so that what is read in part can always be
    read to its end.
    """

    def __init__(
        self,
        length: int,
        indices: Mapping[int, int],
        call_tag: int,
        memory: LinkMemory,
        awaits_result: Callable[[], bool] = lambda: True,
    ):
        self._awaits_result = awaits_result
        self.missing_bytes = length
        self.body: bytes | None = None
        self._length = length
        self._indices = indices
        self._call_tag = call_tag
        self._memory = memory
        self._account = memory.results
        self._held_bytes = 0
        self._is_plain = False
        self._rest = bytearray()
        self._next_search_bytes = 0
        self._buffer: io.BytesIO | None = None
        self._missing_body_bytes = 0
        self._is_body_found = False

    def feed(self, data: memoryview) -> None:
        """Read a part of the frame.

        Raises
        ------
        FrameError
            If the frame is invalid, or too long for the memory.
        """
        self.missing_bytes -= len(data)
        if self._missing_body_bytes:
            data = self._read_body(data)
        self._rest += data
        if self._is_body_found or self._is_plain:
            return
        if len(self._rest) < self._next_search_bytes:
            return
        self._next_search_bytes = 2 * len(self._rest)
        self._search_body()

    def take_rest(self) -> bytearray:
        """Return the encoded frame, with an empty body in place of a large one."""
        if self._is_body_found:
            has_room = self._buffer is not None
            self.body = self._buffer.getvalue() if has_room else DISCARDED_BODY
        return self._rest

    @property
    def rest_bytes(self) -> int:
        """Bytes that are held beside what the accounts of bodies and results count.

        Decoding them takes a copy.
        """
        return 0 if self._is_plain and self._held_bytes else 2 * len(self._rest)

    def close(self) -> None:
        """Stop counting the frame."""
        self._account.release(self._held_bytes)
        self._held_bytes = 0
        self._buffer = None

    def _search_body(self) -> None:
        rest = self._rest
        position = body_position(rest, self._indices)
        if position is None or position + BIN_32_HEADER_BYTES > len(rest):
            tag = rest[_position_of_tag(rest)] if len(rest) > TAG_MAX_POSITION else None
            has_body = tag is None or tag in self._indices
            if not has_body or len(rest) > HEAD_MAX_BYTES:
                self._start_plain()
            return
        body_at = position + BIN_32_HEADER_BYTES
        length = int.from_bytes(rest[position + 1 : body_at])
        if rest[position] != BIN_32 or length <= LARGE_BYTES:
            self._start_plain()
            return
        tail_bytes = self._length - body_at - length
        if not 0 <= tail_bytes <= HEAD_MAX_BYTES:
            raise FrameError(f"a body has {length} bytes in {self._length} bytes")
        self._is_body_found = True
        self._missing_body_bytes = length
        is_call = rest[_position_of_tag(rest)] == self._call_tag
        if self._reserve(length, is_call=is_call):
            self._buffer = io.BytesIO()
        data = bytes(rest[body_at:])
        rest[position:] = EMPTY_BIN
        rest += self._read_body(memoryview(data))

    def _read_body(self, data: memoryview) -> memoryview:
        part = data[: self._missing_body_bytes]
        self._missing_body_bytes -= len(part)
        if self._buffer is not None:
            self._buffer.write(part)
        return data[len(part) :]

    def _reserve(self, length: int, *, is_call: bool) -> bool:
        if is_call:
            self._account = self._memory.calls
            has_room = self._account.fits(length)
        else:
            account = self._account
            has_room = (
                self._awaits_result()
                and account.held_bytes + length <= account.limit_bytes
                and account.budget.make_room(length)
            )
        if has_room:
            self._held_bytes = length
            self._account.hold(length)
        return has_room

    def _start_plain(self) -> None:
        """Read the frame as a whole; decoding it takes a copy."""
        self._is_plain = True
        if self._length <= UNCOUNTED_FRAME_BYTES:
            return
        length = 2 * self._length
        if not self._account.fits(length):
            raise FrameError(f"there is no memory for a frame of {self._length} bytes")
        self._held_bytes = length
        self._account.hold(length)
