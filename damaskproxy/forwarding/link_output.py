"""Output of a link: frames to a peer, and the memory of those that it has not read."""

import asyncio
from collections.abc import Callable

from damaskproxy.common.memory import UnsentWrites
from damaskproxy.forwarding.calls import Answer, Call
from damaskproxy.forwarding.frames import (
    AnswerFrame,
    Frame,
    RunFrame,
    encode_frame,
    encode_large_frame,
    fits_frame,
)
from damaskproxy.forwarding.large_frames import LARGE_BYTES, LinkMemory

__all__ = ["LinkOutput"]

UNSENT_CALLS_SHARE = 0.5
"""Share of the memory for unsent frames up to which a call is sent on one connection
that its peer does not read."""
WRITE_BYTES = 128
"""Memory of a write that the transport keeps, beyond its size: a byte string and its
places in two queues."""
UNCOUNTED_UNSENT_BYTES = 32 << 10
"""Unsent bytes of a link up to which its writes are not counted."""


class LinkOutput:
    """Frames to a peer, counted while it does not read them.

    Parameters
    ----------
    memory : LinkMemory
        Accounts that the bytes of all links are counted in.
    on_excess : callable
        Called when the unsent frames of all links exceed their limit.

    Attributes
    ----------
    written_bytes : int
        Bytes of all frames that have been written.
    is_paused : bool
        Whether the peer does not read, so that writes are counted.
    """

    def __init__(self, memory: LinkMemory, on_excess: Callable[[], None]):
        self.written_bytes = 0
        self.is_paused = False
        self._memory = memory
        self._on_excess = on_excess
        self._transport: asyncio.Transport | None = None
        self._unsent_writes = UnsentWrites(WRITE_BYTES)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that the kernel has not taken yet."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """Memory of the frames that the peer does not read."""
        return self._unsent_writes.held_bytes

    def connect(self, transport: asyncio.Transport) -> None:
        """Set the transport of an opened connection."""
        self._transport = transport
        transport.set_write_buffer_limits(UNCOUNTED_UNSENT_BYTES)

    def close(self) -> None:
        """Write nothing more after the loss of the connection.

        The callback refers to the link, which would otherwise be left to the garbage
        collector.
        """
        self._transport = None
        self._on_excess = lambda: None
        self.resume()

    def pause(self) -> None:
        """Count what is written from now on, because the peer does not read."""
        self.is_paused = True

    def resume(self) -> None:
        """Stop counting what has been written."""
        self.is_paused = False
        self._memory.unsent.release(self._unsent_writes.clear())

    def write(self, frame: Frame) -> bool:
        """Send a frame; False if the connection is closed or closing."""
        if self._transport is None or self._transport.is_closing():
            return False
        data = encode_frame(frame)
        self.written_bytes += len(data)
        self._transport.write(data)
        if self.is_paused:
            self.count(len(data))
        return True

    def write_large(self, frame: RunFrame | AnswerFrame) -> bool:
        """Send a frame with a large body; False if the connection is closed.

        The body is not counted, see `count`.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        parts = encode_large_frame(frame)
        self.written_bytes += sum(map(len, parts))
        self._transport.writelines(parts)
        return True

    def count(self, size: int) -> None:
        """Count a write that the peer has not read."""
        unsent = self._memory.unsent
        unsent.hold(self._unsent_writes.add(size, self.unsent_bytes))
        if unsent.held_bytes > unsent.limit_bytes:
            self._on_excess()

    def may_send(self, call: Call) -> bool:
        """Tell whether a call has room among the unsent frames."""
        size = len(call.body)
        if size > LARGE_BYTES and not fits_frame(call.headers, call.body):
            return False
        max_bytes = UNSENT_CALLS_SHARE * self._memory.unsent.limit_bytes
        return not self.is_paused or self.unsent_bytes + size <= max_bytes

    def may_send_answer(self, answer: Answer) -> bool:
        """Tell whether an answer has room among the unsent frames."""
        size = len(answer.body)
        if size > LARGE_BYTES and not fits_frame(answer.headers, answer.body):
            return False
        unsent = self._memory.unsent
        return (
            unsent.held_bytes + size <= unsent.limit_bytes
            and unsent.budget.make_room(size)
        )
