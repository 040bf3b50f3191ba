"""Link: a connection between two nodes that multiplexes calls in both directions."""

import asyncio
import itertools
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Fiber, Waiter
from damaskproxy.common.memory import LargestHolders, UnsentWrites
from damaskproxy.common.turns import Turns
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.calls import (
    DISCARDED_BODY,
    Answer,
    Call,
    NotRun,
    NotRunReason,
    Result,
    Unknown,
)
from damaskproxy.forwarding.frame_decoder import FrameDecoder
from damaskproxy.forwarding.frames import (
    AllowanceFrame,
    AnswerFrame,
    CancelFrame,
    ControlFrame,
    Frame,
    GoodbyeFrame,
    HelloFrame,
    NotRunFrame,
    PingFrame,
    PongFrame,
    RunFrame,
    StateRequestFrame,
    UnknownFrame,
    encode_frame,
    encode_large_frame,
    fits_frame,
)
from damaskproxy.forwarding.large_frames import LARGE_BYTES, FrameError, LinkMemory
from damaskproxy.forwarding.string_table import StringTable
from damaskproxy.http1 import is_final_status
from damaskproxy.http1.sockets import (
    enable_dead_peer_detection,
    unacknowledged_bytes,
)

__all__ = ["DelayMeter", "Link", "LinkHandlers"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
DELAY_WINDOW_S = 10.0
"""Time after which the minimum clock offset is measured again."""
SENT_MS_MASK = 0x7FFFFFFF
PING_AFTER_S = 0.15
"""Minimum time without any data from a peer with calls in flight before a ping."""
PING_AFTER_CALLS = 1.5
"""Multiple of the typical latency of a call that must have passed as well before a
ping. Most calls take less, so that a healthy peer is rarely pinged."""
PONG_TIMEOUT_S = 0.25
"""Covers several round trips between regions and the delay of a busy event loop.
Together with the time before the ping, it leaves a call of typical latency enough time
to run elsewhere."""
UNSENT_CALLS_SHARE = 0.5
"""Share of the memory for unsent frames up to which a call is sent on one connection
that its peer does not read."""
SLICE_BYTES = 4 << 10
"""Bytes that are decoded at once; several frames of calls without a body."""
FRAMES_PER_TURN = 64
"""Frames in a slice after which other connections are served first. Calls and results
are larger, so that their slices have fewer."""
WRITE_BYTES = 128
"""Memory of a write that the transport keeps, beyond its size: a byte string and its
places in two queues."""
UNCOUNTED_UNSENT_BYTES = 32 << 10
"""Unsent bytes of a link up to which its writes are not counted."""
WIRE_REASONS = {NotRunReason.MEMORY: NotRunReason.OVERLOAD}
"""Reasons that peers of earlier releases do not know, and what is sent instead."""


@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """Callbacks of a link into its node.

    Parameters
    ----------
    run : callable
        Runs a call on the local backend server.
    configuration_version : callable
        Returns the version of the configuration in force.
    handle_control : callable
        Handles a frame about configuration or members, with the link that it came on.
    lost : callable
        Called with a link after its connection was lost.
    handle_allowance : callable
        Handles a frame about allowances, with the link that it came on.
    """

    run: Callable[[Call], Awaitable[Result]]
    configuration_version: Callable[[], int]
    handle_control: Callable[["Link", ControlFrame], None]
    lost: Callable[["Link"], None] = lambda link: None
    handle_allowance: Callable[["Link", AllowanceFrame], None] = lambda link, frame: (
        None
    )


class DelayMeter:
    """Estimates the network delay of frames beyond the minimum.

    The clocks of both nodes differ by an unknown offset, so only the excess over the
    minimum difference between receipt and sending can be measured.
    """

    def __init__(self):
        self._min_offset_ms = self._next_min_offset_ms = None
        self._window_end_s = 0.0

    def delay_ms(self, sent_ms: int) -> int:
        """Return the excess delay of a frame that arrives now."""
        now_s = boot_s()
        offset_ms = (int(now_s * MS_PER_S) - sent_ms) & SENT_MS_MASK
        if self._min_offset_ms is None or now_s >= self._window_end_s:
            self._min_offset_ms = (
                offset_ms
                if self._next_min_offset_ms is None
                else self._next_min_offset_ms
            )
            self._next_min_offset_ms = offset_ms
            self._window_end_s = now_s + DELAY_WINDOW_S
        self._next_min_offset_ms = min(self._next_min_offset_ms, offset_ms)
        self._min_offset_ms = min(self._min_offset_ms, offset_ms)
        return offset_ms - self._min_offset_ms


class Link(asyncio.Protocol):
    """Connection to a peer, with calls in both directions.

    Parameters
    ----------
    handlers : LinkHandlers
        Callbacks of this node.
    volatile : frozenset of bytes
        Lower-case names of headers whose values differ in each message.
    hello : HelloFrame
        First frame to send.
    on_open, on_lost : callable
        Called with the link after the connection was opened or lost.
    memory : LinkMemory, optional
        Accounts that the bytes of all links are counted in.
    partial : LargestHolders, optional
        Links by the bytes of their partly read frames, apart from large bodies.
    on_unsent_excess : callable, optional
        Called when the unsent frames of all links exceed their limit, with the link
        that exceeded it; closes that link by default.
    turns : Turns, optional
        Turns of all links on the event loop.
    closures : Counter, optional
        Connections that were closed because of their peers, by kind.
    is_accepted : bool
        Whether the peer opened the connection.

    Attributes
    ----------
    checks_without_hello : int
        How often `Links` has found that the hello frame of the peer is missing.
    peer_incarnation : int or None
        Incarnation of the peer, None until its hello frame has arrived.
    hello_received : asyncio.Event
        Set when the hello frame of the peer has arrived.
    is_unresponsive : bool
        Whether the peer owes results of calls and did not respond to a ping.
    """

    def __init__(
        self,
        handlers: LinkHandlers,
        volatile: frozenset[bytes],
        hello: HelloFrame,
        on_open: Callable[["Link"], None],
        on_lost: Callable[["Link"], None],
        memory: LinkMemory | None = None,
        partial: LargestHolders | None = None,
        on_unsent_excess: Callable[["Link"], None] | None = None,
        *,
        turns: Turns | None = None,
        closures: Counter[str] | None = None,
        is_accepted: bool = False,
    ):
        self.is_accepted = is_accepted
        self.checks_without_hello = 0
        self.peer_id = ""
        self.peer_incarnation: int | None = None
        self.hello_received = asyncio.Event()
        self.last_used_s = boot_s()
        self.is_open = False
        self.is_unresponsive = False
        self._handlers = handlers
        self._hello = hello
        self._on_open = on_open
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._memory = memory or LinkMemory()
        self._decoder = FrameDecoder(
            self._memory,
            begins_with_hello=True,
            awaits_result=lambda: self.has_calls_in_flight,
        )
        self._partial = partial or LargestHolders(self._memory.partial)
        self._partial_bytes = 0
        self._on_unsent_excess = on_unsent_excess or Link.abort_unread
        self._input = memoryview(b"")
        self._is_reading_paused = False
        self._turns = turns or Turns()
        self._closures = Counter() if closures is None else closures
        self._is_writing_paused = False
        self._unsent_writes = UnsentWrites(WRITE_BYTES)
        self._sent_strings, self._received_strings = (
            StringTable(volatile),
            StringTable(volatile),
        )
        self._delay_meter = DelayMeter()
        self._call_ids = itertools.count()
        self._calls_in_flight: dict[int, Waiter] = {}
        self._idempotent_ids: set[int] = set()
        self._last_received_s = 0.0
        self._ping_sent_s: float | None = None
        self._typical_call_s = 0.0
        self._running: dict[int, Fiber] = {}
        self._cancelled_ids: set[int] = set()
        self._requested_version = 0
        self._written_bytes = 0
        self._results_end_bytes = 0
        self._peer_knows_goodbye = False
        self._is_goodbye_sent = False

    @property
    def has_calls_in_flight(self) -> bool:
        """Whether calls to the peer are in flight."""
        return bool(self._calls_in_flight)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() if self.is_open else 0

    @property
    def held_unsent_bytes(self) -> int:
        """Memory of the frames that the peer does not read."""
        return self._unsent_writes.held_bytes

    @property
    def running_count(self) -> int:
        """Calls of the peer that run on this node."""
        return len(self._running)

    @property
    def is_unfinished(self) -> bool:
        """Whether a call of the peer runs, or it has not acknowledged all results.

        Notes
        -----
        Heartbeats behind the last result do not count.
        """
        if self._running:
            return True
        if not self.is_open:
            return False
        waiting_bytes = self.unsent_bytes + unacknowledged_bytes(self._transport)
        return self._written_bytes - waiting_bytes < self._results_end_bytes

    def connection_made(self, transport):
        """Send the hello frame on the new connection."""
        self._transport = transport
        self.is_open = True
        enable_dead_peer_detection(transport)
        transport.set_write_buffer_limits(UNCOUNTED_UNSENT_BYTES)
        self.write(self._hello)
        self._on_open(self)

    def connection_lost(self, exc):
        """End the calls in both directions after the loss of the connection."""
        self.is_open = False
        self._input = memoryview(b"")
        self._decoder.close()
        self._partial.release(self._abort_partial)
        self.resume_writing()
        log_event(
            logger,
            events.LINK_LOST,
            peer=self.peer_id,
            in_flight=len(self._calls_in_flight),
        )
        self._on_lost(self)
        self._handlers.lost(self)
        # Copies, since a resumed or cancelled fiber removes its entry at once.
        for waiter in list(self._calls_in_flight.values()):
            waiter.set_result(Unknown("the connection to the node was lost"))
        for fiber in list(self._running.values()):
            fiber.cancel()

    def data_received(self, data):
        """Handle the frames of the peer."""
        self.is_unresponsive = False
        self._last_received_s = boot_s()
        self._ping_sent_s = None
        if len(data) <= SLICE_BYTES and not self._input:
            self._feed(data)
            return
        # Reading is paused while there is input, but the transport may have more.
        self._input = memoryview(self._input.tobytes() + data if self._input else data)
        self._go_on()

    def _go_on(self) -> None:
        """Handle the input up to a slice with many frames, then let others go on."""
        while self._input and self.is_open:
            size = max(SLICE_BYTES, self._decoder.missing_bytes)
            part, self._input = self._input[:size], self._input[size:]
            if self._feed(part) > FRAMES_PER_TURN and self._input:
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

    def _feed(self, data: bytes | memoryview) -> int:
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
            log_event(logger, events.FRAME_FAILED, exc_info=error, peer=self.peer_id)
            self._input = memoryview(b"")
            self._transport.abort()
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

    def abort_unread(self) -> None:
        """Close the connection, because the peer does not read."""
        reason = "the frames that peers have not read exceed their memory limit"
        self._abort("unread", reason)

    def abort_without_hello(self) -> None:
        """Close the connection, because the peer has not sent its hello frame."""
        self._abort("no-hello", "the peer has not sent its hello frame in time")

    def shed(self) -> None:
        """Close the connection in favour of a new one."""
        self._abort("connections", "there are too many connections of other nodes")

    def _abort(self, kind: str, reason: str) -> None:
        self._closures[kind] += 1
        self._input = memoryview(b"")
        log_event(
            logger,
            events.LINK_LOST,
            peer=self.peer_id,
            reason=reason,
            unsent_bytes=self.unsent_bytes,
        )
        self._transport.abort()

    def pause_writing(self):
        """Count what is written from now on, because the peer does not read."""
        self._is_writing_paused = True

    def resume_writing(self):
        """Stop counting what has been written."""
        self._is_writing_paused = False
        self._memory.unsent.release(self._unsent_writes.clear())

    def is_to_earlier_incarnation(self, incarnation: int) -> bool:
        """Tell whether the incarnation of the peer is known to be an earlier one."""
        known = self.peer_incarnation
        return known is not None and known < incarnation

    def write(self, frame: Frame) -> bool:
        """Send a frame; False if the connection is closed or closing."""
        if not self.is_open or self._transport.is_closing():
            return False
        data = encode_frame(frame)
        self._written_bytes += len(data)
        self._transport.write(data)
        if self._is_writing_paused:
            self._count_unsent(len(data))
        return True

    @property
    def awaits_goodbye(self) -> bool:
        """Whether the peer has to learn that its other calls have not run."""
        may_know = self._peer_knows_goodbye or not self.hello_received.is_set()
        return may_know and not self._running

    def say_goodbye(self) -> None:
        """Tell the peer that its calls without a result have not run, if that is so."""
        if self._peer_knows_goodbye and not self._running and not self._is_goodbye_sent:
            self._is_goodbye_sent = self.write(GoodbyeFrame())

    def close(self) -> None:
        """Close the connection once all frames have been sent."""
        if self._transport is not None:
            self._transport.close()

    async def run(self, call: Call) -> Result:
        """Run `call` on the peer; cancellation is passed on to it."""
        call_id = next(self._call_ids)
        self.last_used_s = boot_s()
        is_large = len(call.body) > LARGE_BYTES
        if (is_large or self._is_writing_paused) and not self._may_send(call):
            return NotRun(NotRunReason.MEMORY)
        frame = self._run_frame(call_id, call)
        if not (self._write_large(frame) if is_large else self.write(frame)):
            return NotRun(NotRunReason.PEER_UNREACHABLE)
        waiter = Waiter()
        if not self._calls_in_flight:
            self._last_received_s = self.last_used_s
        self._calls_in_flight[call_id] = waiter
        if call.is_idempotent:
            self._idempotent_ids.add(call_id)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.write(CancelFrame(call_id))
            raise
        finally:
            self._calls_in_flight.pop(call_id, None)
            self._idempotent_ids.discard(call_id)
            if is_large and self._is_writing_paused:
                # Until here, the body has been counted with the request.
                self._count_unsent(len(call.body))

    def check_liveness(self, now_s: float) -> None:
        """Ping a peer that owes results, or mark it as unresponsive.

        Notes
        -----
        A VM that loses power closes no connection, and the kernel detects that only
        after seconds, in which all calls sent to it would run into their deadlines.
        Idempotent calls therefore end as unknown, so that they can be retried on other
        nodes. The others continue to wait, since they may be running.
        """
        if not self._calls_in_flight or self.is_unresponsive:
            return
        if self._ping_sent_s is None:
            limit_s = max(PING_AFTER_S, PING_AFTER_CALLS * self._typical_call_s)
            if now_s - self._last_received_s >= limit_s:
                self._ping_sent_s = now_s
                self.write(PingFrame())
        elif now_s - self._ping_sent_s >= PONG_TIMEOUT_S:
            self.is_unresponsive = True
            log_event(
                logger,
                events.LINK_SILENT,
                peer=self.peer_id,
                in_flight=len(self._calls_in_flight),
            )
            for call_id in list(self._idempotent_ids):
                waiter = self._calls_in_flight.get(call_id)
                if waiter is None:
                    # Its fiber was cancelled when an earlier call of this loop ended.
                    continue
                self.write(CancelFrame(call_id))
                waiter.set_result(
                    Unknown("the node does not react on an open connection")
                )

    def _may_send(self, call: Call) -> bool:
        """Tell whether a call has room among the unsent frames."""
        size = len(call.body)
        if size > LARGE_BYTES and not fits_frame(call.headers, call.body):
            return False
        max_bytes = UNSENT_CALLS_SHARE * self._memory.unsent.limit_bytes
        return not self._is_writing_paused or self.unsent_bytes + size <= max_bytes

    def _write_large(self, frame: RunFrame | AnswerFrame) -> bool:
        """Send a frame with a large body; False if the connection is closed."""
        if not self.is_open or self._transport.is_closing():
            return False
        parts = encode_large_frame(frame)
        self._written_bytes += sum(map(len, parts))
        self._transport.writelines(parts)
        return True

    def _write_answer(self, call_id: int, answer: Answer) -> bool:
        """Send an answer, or that there is no room for it; False if closed."""
        size = len(answer.body)
        is_large = size > LARGE_BYTES
        if (is_large or self._is_writing_paused) and not self._may_send_answer(answer):
            detail = "the answer does not fit in the memory"
            return self.write(UnknownFrame(call_id, detail, answer.load))
        frame = self._result_frame(call_id, answer)
        if not is_large:
            return self.write(frame)
        if not self._write_large(frame):
            return False
        if self._is_writing_paused:
            self._count_unsent(size)
        return True

    def _may_send_answer(self, answer: Answer) -> bool:
        """Tell whether an answer has room among the unsent frames."""
        size = len(answer.body)
        if size > LARGE_BYTES and not fits_frame(answer.headers, answer.body):
            return False
        unsent = self._memory.unsent
        return (
            unsent.held_bytes + size <= unsent.limit_bytes
            and unsent.budget.make_room(size)
        )

    def _count_unsent(self, size: int) -> None:
        unsent = self._memory.unsent
        unsent.hold(self._unsent_writes.add(size, self.unsent_bytes))
        if unsent.held_bytes > unsent.limit_bytes:
            self._on_unsent_excess(self)

    def _run_frame(self, call_id: int, call: Call) -> RunFrame:
        pack = self._sent_strings.pack
        return RunFrame(
            call_id,
            self._handlers.configuration_version(),
            int(boot_s() * MS_PER_S) & SENT_MS_MASK,
            pack(call.service.encode()),
            pack(call.route.encode()),
            pack(call.method),
            call.target,
            self._sent_strings.pack_headers(call.headers),
            call.body,
            call.request_id,
            pack(call.caller.encode()),
            call.priority,
            call.is_idempotent,
            call.deadline_ms,
            call.is_repeat,
            pack(call.organisation.encode()) if call.organisation else None,
            call.has_begun,
            call.is_shared,
            call.ordinal,
            call.earlier_refusals,
        )

    def _handle(self, frame: Frame) -> None:
        if isinstance(frame, RunFrame):
            self._start_call(frame)
        elif isinstance(frame, (AnswerFrame, NotRunFrame, UnknownFrame)):
            self._finish_call(frame)
        elif isinstance(frame, CancelFrame):
            fiber = self._running.get(frame.call_id)
            if fiber is not None:
                self._cancelled_ids.add(frame.call_id)
                fiber.cancel()
        elif isinstance(frame, ControlFrame):
            self.last_used_s = boot_s()
            self._handlers.handle_control(self, frame)
        elif isinstance(frame, AllowanceFrame):
            self.last_used_s = boot_s()
            self._handlers.handle_allowance(self, frame)
        elif isinstance(frame, PingFrame):
            # What a peer has not read yet answers its ping as well.
            if not self._is_writing_paused:
                self.write(PongFrame())
        elif isinstance(frame, PongFrame):
            # `data_received` has already recorded that the peer responds.
            pass
        elif isinstance(frame, GoodbyeFrame):
            self._end_calls_not_run()
        else:
            self.peer_id = frame.node_id
            self.peer_incarnation = frame.incarnation
            self._peer_knows_goodbye = frame.knows_goodbye
            self.hello_received.set()

    def _start_call(self, frame: RunFrame) -> None:
        self.last_used_s = boot_s()
        unpack = self._received_strings.unpack
        delay_ms = self._delay_meter.delay_ms(frame.sent_ms)
        call = Call(
            unpack(frame.service).decode(),
            unpack(frame.route).decode(),
            unpack(frame.method),
            frame.target,
            self._received_strings.unpack_headers(frame.headers),
            frame.body,
            frame.request_id,
            unpack(frame.caller).decode(),
            frame.priority,
            frame.is_idempotent,
            max(0, frame.deadline_ms - delay_ms),
            frame.is_repeat,
            "" if frame.organisation is None else unpack(frame.organisation).decode(),
            frame.has_begun,
            frame.is_shared,
            frame.ordinal,
            frame.earlier_refusals,
        )
        self._request_newer_configuration(frame.configuration_version)
        fiber = Fiber(self._run_call(frame, call), self._log_error)
        if not fiber.is_done:
            self._running[frame.call_id] = fiber

    async def _run_call(self, frame: RunFrame, call: Call) -> None:
        try:
            result = await self._handlers.run(call)
        except asyncio.CancelledError:
            if frame.call_id in self._cancelled_ids:
                return
            # The peer would take a call without a result for one that has not run.
            result = Unknown("the call was cancelled")
        except Exception as error:
            self._log_error(error)
            result = Unknown(f"internal error: {error}")
        finally:
            self._running.pop(frame.call_id, None)
            self._cancelled_ids.discard(frame.call_id)
        if isinstance(result, Answer):
            is_written = self._write_answer(frame.call_id, result)
        else:
            is_written = self.write(self._result_frame(frame.call_id, result))
        if is_written:
            self._results_end_bytes = self._written_bytes

    def _end_calls_not_run(self) -> None:
        """End the calls that the peer has not run, and accept no more."""
        self._transport.close()
        # A copy, since a resumed fiber removes its entry at once.
        for waiter in list(self._calls_in_flight.values()):
            waiter.set_result(NotRun(NotRunReason.STOPPING))

    def _log_error(self, error: BaseException) -> None:
        log_event(logger, events.CALL_FAILED, exc_info=error, peer=self.peer_id)

    def _result_frame(self, call_id: int, result: Result) -> Frame:
        version = self._handlers.configuration_version()
        if isinstance(result, Answer):
            headers = self._sent_strings.pack_headers(result.headers)
            return AnswerFrame(
                call_id, version, result.status, headers, result.body, result.load
            )
        if isinstance(result, NotRun):
            return NotRunFrame(
                call_id,
                version,
                WIRE_REASONS.get(result.reason, result.reason),
                result.reached_backend,
                result.retry_after_ms,
                result.load,
            )
        return UnknownFrame(call_id, result.detail, result.load)

    def _finish_call(self, frame: AnswerFrame | NotRunFrame | UnknownFrame) -> None:
        if isinstance(frame, AnswerFrame):
            # Unpacked even if nobody awaits the result, to keep the tables in step.
            headers = self._received_strings.unpack_headers(frame.headers)
            result = Answer(frame.status, headers, frame.body, frame.load)
            if frame.body is DISCARDED_BODY:
                detail = "the answer does not fit in the memory of this node"
                result = Unknown(detail, frame.load)
            elif not is_final_status(frame.status):
                # Not an invalid frame, since a node of an earlier release passes on
                # what its backend server sent, and other calls share the connection.
                detail = f"the node sent status {frame.status}, which is no response"
                result = Unknown(detail, frame.load)
            self._request_newer_configuration(frame.configuration_version)
        elif isinstance(frame, NotRunFrame):
            result = NotRun(
                frame.reason, frame.reached_backend, frame.retry_after_ms, frame.load
            )
            self._request_newer_configuration(frame.configuration_version)
        else:
            result = Unknown(frame.detail, frame.load)
        if frame.load is not None:
            self._typical_call_s = frame.load.latency_ms / MS_PER_S
        waiter = self._calls_in_flight.get(frame.call_id)
        if waiter is not None:
            waiter.set_result(result)

    def _request_newer_configuration(self, version: int) -> None:
        """Request a newer configuration from the peer, once for each version."""
        own = self._handlers.configuration_version()
        if version > own and version > self._requested_version:
            self._requested_version = version
            self.write(StateRequestFrame(own))
