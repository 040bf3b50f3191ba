"""Input of a link: slices of what a peer sends, decoded to frames."""

import asyncio
from collections.abc import Callable

from damaskproxy.common.memory import LargestHolders
from damaskproxy.common.turns import Turns
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.forwarding.frames import Frame
from damaskproxy.forwarding.large_frames import FrameError

__all__ = ["LinkInput"]

SLICE_BYTES = 4 << 10
"""Bytes that are decoded at once; several frames of calls without a body."""
FRAMES_PER_TURN = 64
"""Frames in a slice after which other connections are served first. Calls and results
are larger, so that their slices have fewer."""


class LinkInput:
    """Bytes of a peer that have not been handled, and its partly read frame.

    Parameters
    ----------
    decoder : FrameDecoder
        Decoder of the frames of the peer.
    handle : callable
        Handles a frame.
    abort : callable
        Closes the connection because of the peer, given the kind of the closure and
        the reason.
    fail : callable
        Closes the connection because of an exception in the handling of a frame.
    partial : LargestHolders
        Links by the bytes of their partly read frames, apart from large bodies.
    turns : Turns
        Turns of all links on the event loop.
    """

    def __init__(
        self,
        decoder: FrameDecoder,
        handle: Callable[[Frame], None],
        abort: Callable[[str, str], None],
        fail: Callable[[BaseException], None],
        partial: LargestHolders,
        turns: Turns,
    ):
        self._decoder = decoder
        self._handle = handle
        self._abort = abort
        self._fail = fail
        self._partial = partial
        self._partial_bytes = 0
        self._turns = turns
        self._transport: asyncio.Transport | None = None
        self._input = memoryview(b"")
        self._is_reading_paused = False

    def connect(self, transport: asyncio.Transport) -> None:
        """Set the transport whose reading is paused while there is input."""
        self._transport = transport

    def feed(self, data: bytes) -> None:
        """Handle the frames that `data` completes, perhaps some of them later."""
        if len(data) <= SLICE_BYTES and not self._input:
            self._feed_decoder(data)
            return
        # Reading is paused while there is input, but the transport may have more.
        self._input = memoryview(self._input.tobytes() + data if self._input else data)
        self._go_on()

    def clear(self) -> None:
        """Discard the input that has not been handled."""
        self._input = memoryview(b"")

    def close(self) -> None:
        """Discard all input and drop the callbacks after the loss of the connection.

        The callbacks refer to the link, which would otherwise be left to the garbage
        collector.
        """
        self.clear()
        self._decoder.close()
        self._partial.release(self._abort_partial)
        self._handle = self._abort = self._fail = _ignore

    def _go_on(self) -> None:
        """Handle the input up to a slice with many frames, then let others go on."""
        while self._input:
            size = max(SLICE_BYTES, self._decoder.missing_bytes)
            part, self._input = self._input[:size], self._input[size:]
            if self._feed_decoder(part) > FRAMES_PER_TURN and self._input:
                self._turns.add(self._go_on)
                self._pause_reading()
                return
        self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _feed_decoder(self, data: bytes | memoryview) -> int:
        """Handle the frames that `data` completes, and return how many they are."""
        frames = []
        try:
            frames = self._decoder.feed(data)
            for frame in frames:
                self._handle(frame)
            partial_bytes = self._decoder.partial_bytes
            if partial_bytes != self._partial_bytes:
                self._count_partial(partial_bytes)
        except FrameError as error:
            self._abort("invalid-frame", str(error))
        except Exception as error:
            self._fail(error)
        return len(frames)

    def _count_partial(self, size: int) -> None:
        """Count the partly read frame; the largest ones are given up if needed."""
        self._partial_bytes = size
        self._partial.release(self._abort_partial)
        if size and not self._transport.is_closing():
            self._partial.add(self._abort_partial, size)

    def _abort_partial(self) -> None:
        reason = "the partly read frames of peers exceed their memory limit"
        self._abort("no-memory", reason)


def _ignore(*args: object) -> None:
    """Replace the callbacks of a closed link."""
