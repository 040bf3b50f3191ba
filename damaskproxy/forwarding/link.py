"""One connection between two nodes, with many calls at once in both directions."""

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from damaskproxy.common.clock import boot_s
from damaskproxy.common.fibers import Fiber, Waiter
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.calls import (
    Answer,
    Call,
    NotRun,
    NotRunReason,
    Result,
    Unknown,
)
from damaskproxy.forwarding.frames import (
    AnswerFrame,
    CancelFrame,
    Frame,
    FrameDecoder,
    FrameError,
    HelloFrame,
    NotRunFrame,
    PingFrame,
    PongFrame,
    RunFrame,
    StateFrame,
    StateRequestFrame,
    TextTable,
    UnknownFrame,
    encode_frame,
)
from damaskproxy.http1.sockets import enable_dead_peer_detection

__all__ = ["DelayMeter", "Link", "LinkHandlers"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
DELAY_WINDOW_S = 10.0
"""Time after which the shortest delay seen is measured anew."""
SENT_MS_MASK = 0x7FFFFFFF
PING_AFTER_S = 0.15
"""Shortest silence of a peer with calls in flight before it is asked for a sign of
life."""
PING_USUAL_CALLS = 1.5
"""Usual call times of the backend server that the silence must exceed as well. Most
calls take less, so that a peer that works is rarely asked."""
PONG_TIMEOUT_S = 0.25
"""Several round trips between regions and the delay of a busy event loop; with the
silence before it, a call of usual length has time left to run elsewhere."""


@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """What a link asks of its node.

    Parameters
    ----------
    run : callable
        Runs a call on the backend server.
    configuration_version : callable
        Returns the version in force.
    answer_state_request : callable
        Returns what the peer does not know, None without anything.
    learn : callable
        Takes what the peer told.
    """

    run: Callable[[Call], Awaitable[Result]]
    configuration_version: Callable[[], int]
    answer_state_request: Callable[[StateRequestFrame], StateFrame | None]
    apply_state: Callable[[StateFrame], None]


class DelayMeter:
    """Estimates how much longer than usual a frame was on its way."""

    def __init__(self):
        self._least_ms = self._next_least_ms = None
        self._renew_s = 0.0

    def delay_ms(self, sent_ms: int) -> int:
        """Return the delay beyond the shortest seen of a frame that arrives now."""
        now_s = boot_s()
        offset_ms = (int(now_s * MS_PER_S) - sent_ms) & SENT_MS_MASK
        if self._least_ms is None or now_s >= self._renew_s:
            self._least_ms = (
                offset_ms if self._next_least_ms is None else self._next_least_ms
            )
            self._next_least_ms = offset_ms
            self._renew_s = now_s + DELAY_WINDOW_S
        self._next_least_ms = min(self._next_least_ms, offset_ms)
        self._least_ms = min(self._least_ms, offset_ms)
        return offset_ms - self._least_ms


class Link(asyncio.Protocol):
    """One connection, with calls in both directions.

    Parameters
    ----------
    handlers : LinkHandlers
        Of this node.
    volatile : frozenset of bytes
        Lower-case names of headers whose values do not repeat.
    hello : HelloFrame
        Sent first.

    Attributes
    ----------
    peer_incarnation : int or None
        Start of the peer's process, None until its first frame has come.
    greeted : asyncio.Event
        Set when the peer's first frame has come.
    is_silent : bool
        Whether the peer owes results and did not answer a ping.
    """

    def __init__(
        self,
        handlers: LinkHandlers,
        volatile: frozenset[bytes],
        hello: HelloFrame,
        on_open: Callable[["Link"], None],
        on_lost: Callable[["Link"], None],
    ):
        self.peer_id = ""
        self.peer_incarnation: int | None = None
        self.greeted = asyncio.Event()
        self.used_s = boot_s()
        self.is_open = False
        self.is_silent = False
        self._handlers = handlers
        self._hello = hello
        self._on_open = on_open
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._decoder = FrameDecoder()
        self._sent, self._received = TextTable(volatile), TextTable(volatile)
        self._delays = DelayMeter()
        self._call_ids = itertools.count()
        self._waiting: dict[int, Waiter] = {}
        self._repeatable: set[int] = set()
        self._heard_s = 0.0
        self._pinged_s: float | None = None
        self._usual_call_s = 0.0
        self._running: dict[int, Fiber] = {}
        self._asked_version = 0

    @property
    def is_waiting(self) -> bool:
        """Whether calls are in flight at the peer."""
        return bool(self._waiting)

    @property
    def running_count(self) -> int:
        """Calls of the peer that run here."""
        return len(self._running)

    def connection_made(self, transport):
        """Take over the connection."""
        self._transport = transport
        self.is_open = True
        enable_dead_peer_detection(transport)
        self.write(self._hello)
        self._on_open(self)

    def connection_lost(self, exc):
        """End the calls in both directions."""
        self.is_open = False
        log_event(
            logger, events.LINK_LOST, peer=self.peer_id, in_flight=len(self._waiting)
        )
        self._on_lost(self)
        # Copies, since each fiber takes itself out as it goes on.
        for waiter in list(self._waiting.values()):
            waiter.set_result(Unknown("the connection to the node was lost"))
        for fiber in list(self._running.values()):
            fiber.cancel()

    def data_received(self, data):
        """Handle the frames of the peer."""
        self.is_silent = False
        self._heard_s = boot_s()
        self._pinged_s = None
        try:
            for frame in self._decoder.feed(data):
                self._handle(frame)
        except FrameError as error:
            log_event(logger, events.LINK_LOST, peer=self.peer_id, reason=str(error))
            self._transport.abort()

    def is_to_earlier(self, incarnation: int) -> bool:
        """Tell whether the peer is known to have started before `incarnation`."""
        known = self.peer_incarnation
        return known is not None and known < incarnation

    def write(self, frame: Frame) -> bool:
        """Send a frame, and tell whether the connection was open."""
        if not self.is_open or self._transport.is_closing():
            return False
        self._transport.write(encode_frame(frame))
        return True

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    async def run(self, call: Call) -> Result:
        """Run `call` at the peer; cancelling it cancels it there."""
        call_id = next(self._call_ids)
        self.used_s = boot_s()
        if not self.write(self._run_frame(call_id, call)):
            return NotRun(NotRunReason.PEER_UNREACHABLE)
        waiter = Waiter()
        if not self._waiting:
            self._heard_s = self.used_s
        self._waiting[call_id] = waiter
        if call.is_idempotent:
            self._repeatable.add(call_id)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.write(CancelFrame(call_id))
            raise
        finally:
            self._waiting.pop(call_id, None)
            self._repeatable.discard(call_id)

    def check_silence(self, now_s: float) -> None:
        """Ask a peer that owes results for a sign of life, and note that none came.

        Notes
        -----
        A machine without power closes no connection, and the kernel finds that out
        after seconds. Until then all calls sent there would end with their deadline.
        Calls that are not idempotent wait on: they may be running.
        """
        if not self._waiting or self.is_silent:
            return
        if self._pinged_s is None:
            limit_s = max(PING_AFTER_S, PING_USUAL_CALLS * self._usual_call_s)
            if now_s - self._heard_s >= limit_s:
                self._pinged_s = now_s
                self.write(PingFrame())
        elif now_s - self._pinged_s >= PONG_TIMEOUT_S:
            self.is_silent = True
            log_event(
                logger,
                events.LINK_SILENT,
                peer=self.peer_id,
                in_flight=len(self._waiting),
            )
            for call_id in list(self._repeatable):
                waiter = self._waiting.get(call_id)
                if waiter is None:
                    # Ended together with one that was given up before it.
                    continue
                self.write(CancelFrame(call_id))
                waiter.set_result(
                    Unknown("the node does not react on an open connection")
                )

    def _run_frame(self, call_id: int, call: Call) -> RunFrame:
        pack = self._sent.pack
        return RunFrame(
            call_id,
            self._handlers.configuration_version(),
            int(boot_s() * MS_PER_S) & SENT_MS_MASK,
            pack(call.service.encode()),
            pack(call.route.encode()),
            pack(call.method),
            call.target,
            self._sent.pack_headers(call.headers),
            call.body,
            call.request_id,
            pack(call.caller.encode()),
            call.priority,
            call.is_idempotent,
            call.deadline_ms,
            call.is_repeat,
        )

    def _handle(self, frame: Frame) -> None:
        if isinstance(frame, RunFrame):
            self._start(frame)
        elif isinstance(frame, (AnswerFrame, NotRunFrame, UnknownFrame)):
            self._finish(frame)
        elif isinstance(frame, CancelFrame):
            fiber = self._running.get(frame.call_id)
            if fiber is not None:
                fiber.cancel()
        elif isinstance(frame, StateRequestFrame):
            told = self._handlers.answer_state_request(frame)
            if told is not None:
                self.write(told)
        elif isinstance(frame, StateFrame):
            self._handlers.apply_state(frame)
        elif isinstance(frame, PingFrame):
            self.write(PongFrame())
        elif isinstance(frame, PongFrame):
            # Any bytes of the peer are a sign of life.
            pass
        else:
            self.peer_id = frame.node_id
            self.peer_incarnation = frame.incarnation
            self.greeted.set()

    def _start(self, frame: RunFrame) -> None:
        self.used_s = boot_s()
        unpack = self._received.unpack
        delay_ms = self._delays.delay_ms(frame.sent_ms)
        call = Call(
            unpack(frame.service).decode(),
            unpack(frame.route).decode(),
            unpack(frame.method),
            frame.target,
            self._received.unpack_headers(frame.headers),
            frame.body,
            frame.request_id,
            unpack(frame.caller).decode(),
            frame.priority,
            frame.is_idempotent,
            max(0, frame.deadline_ms - delay_ms),
            frame.is_repeat,
        )
        self._note_version(frame.configuration_version)
        fiber = Fiber(self._run_here(frame, call), self._report)
        if not fiber.is_done:
            self._running[frame.call_id] = fiber

    async def _run_here(self, frame: RunFrame, call: Call) -> None:
        try:
            result = await self._handlers.run(call)
        except asyncio.CancelledError:
            return
        except Exception as error:
            self._report(error)
            result = Unknown(f"internal error: {error}")
        finally:
            self._running.pop(frame.call_id, None)
        self.write(self._result_frame(frame.call_id, result))

    def _report(self, error: BaseException) -> None:
        log_event(logger, events.CALL_FAILED, exc_info=error, peer=self.peer_id)

    def _result_frame(self, call_id: int, result: Result) -> Frame:
        version = self._handlers.configuration_version()
        if isinstance(result, Answer):
            headers = self._sent.pack_headers(result.headers)
            return AnswerFrame(
                call_id, version, result.status, headers, result.body, result.load
            )
        if isinstance(result, NotRun):
            return NotRunFrame(
                call_id,
                version,
                result.reason,
                result.reached_backend,
                result.retry_after_ms,
                result.load,
            )
        return UnknownFrame(call_id, result.detail, result.load)

    def _finish(self, frame: AnswerFrame | NotRunFrame | UnknownFrame) -> None:
        if isinstance(frame, AnswerFrame):
            # Unpacked also when nobody waits: it may number texts.
            headers = self._received.unpack_headers(frame.headers)
            result = Answer(frame.status, headers, frame.body, frame.load)
            self._note_version(frame.configuration_version)
        elif isinstance(frame, NotRunFrame):
            result = NotRun(
                frame.reason, frame.reached_backend, frame.retry_after_ms, frame.load
            )
            self._note_version(frame.configuration_version)
        else:
            result = Unknown(frame.detail, frame.load)
        if frame.load is not None:
            self._usual_call_s = frame.load.latency_ms / MS_PER_S
        waiter = self._waiting.get(frame.call_id)
        if waiter is not None:
            waiter.set_result(result)

    def _note_version(self, version: int) -> None:
        """Ask a peer with a newer configuration for it, once for each version."""
        own = self._handlers.configuration_version()
        if version > own and version > self._asked_version:
            self._asked_version = version
            self.write(StateRequestFrame(own))
