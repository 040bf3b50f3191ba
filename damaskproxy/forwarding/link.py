"""Link: a connection between two nodes that multiplexes calls in both directions."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from damaskproxy.common.clock import boot_s
from damaskproxy.common.memory import LargestHolders
from damaskproxy.common.turns import Turns
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.call_frames import CallFrames
from damaskproxy.forwarding.calls import (
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
)
from damaskproxy.forwarding.incoming_calls import IncomingCalls
from damaskproxy.forwarding.large_frames import LinkMemory
from damaskproxy.forwarding.link_input import LinkInput
from damaskproxy.forwarding.link_output import LinkOutput
from damaskproxy.forwarding.outgoing_calls import OutgoingCalls
from damaskproxy.http1.sockets import (
    enable_dead_peer_detection,
    unacknowledged_bytes,
)

__all__ = ["Link", "LinkHandlers"]

logger = logging.getLogger(__name__)


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
        self._handlers = handlers
        self._hello = hello
        self._on_open = on_open
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._closures = Counter() if closures is None else closures
        memory = memory or LinkMemory()
        on_unsent_excess = on_unsent_excess or Link.abort_unread
        self._output = LinkOutput(memory, lambda: on_unsent_excess(self))
        decoder = FrameDecoder(
            memory,
            begins_with_hello=True,
            awaits_result=lambda: self.has_calls_in_flight,
        )
        self._input = LinkInput(
            decoder,
            self._handle,
            self._abort,
            self._fail,
            partial or LargestHolders(memory.partial),
            turns or Turns(),
        )
        self._call_frames = CallFrames(volatile, handlers.configuration_version)
        self._outgoing = OutgoingCalls(self._output, self._call_frames)
        self._incoming = IncomingCalls(self._output, self._call_frames, handlers.run)
        self._requested_version = 0
        self._peer_knows_goodbye = False
        self._is_goodbye_sent = False

    @property
    def is_unresponsive(self) -> bool:
        """Whether the peer owes results of calls and did not respond to a ping."""
        return self._outgoing.is_unresponsive

    @is_unresponsive.setter
    def is_unresponsive(self, value: bool) -> None:
        self._outgoing.is_unresponsive = value

    @property
    def has_calls_in_flight(self) -> bool:
        """Whether calls to the peer are in flight."""
        return bool(self._outgoing.in_flight)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that the kernel has not taken yet."""
        return self._output.unsent_bytes

    @property
    def held_unsent_bytes(self) -> int:
        """Memory of the frames that the peer does not read."""
        return self._output.held_bytes

    @property
    def running_count(self) -> int:
        """Calls of the peer that run on this node."""
        return len(self._incoming.running)

    @property
    def is_unfinished(self) -> bool:
        """Whether a call of the peer runs, or it has not acknowledged all results.

        Notes
        -----
        Heartbeats behind the last result do not count.
        """
        if self._incoming.running:
            return True
        if not self.is_open:
            return False
        waiting_bytes = self.unsent_bytes + unacknowledged_bytes(self._transport)
        return (
            self._output.written_bytes - waiting_bytes
            < self._incoming.results_end_bytes
        )

    def connection_made(self, transport):
        """Send the hello frame on the new connection."""
        self._transport = transport
        self.is_open = True
        enable_dead_peer_detection(transport)
        self._input.connect(transport)
        self._output.connect(transport)
        self.write(self._hello)
        self._on_open(self)

    def connection_lost(self, exc):
        """End the calls in both directions after the loss of the connection."""
        self.is_open = False
        self._input.close()
        self._output.close()
        log_event(
            logger,
            events.LINK_LOST,
            peer=self.peer_id,
            in_flight=len(self._outgoing.in_flight),
        )
        self._on_lost(self)
        self._handlers.lost(self)
        self._outgoing.end_all(Unknown("the connection to the node was lost"))
        self._incoming.cancel_all()

    def data_received(self, data):
        """Handle the frames of the peer."""
        self._outgoing.record_receipt(boot_s())
        self._input.feed(data)

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
        self._input.clear()
        log_event(
            logger,
            events.LINK_LOST,
            peer=self.peer_id,
            reason=reason,
            unsent_bytes=self.unsent_bytes,
        )
        self._transport.abort()

    def _fail(self, error: BaseException) -> None:
        log_event(logger, events.FRAME_FAILED, exc_info=error, peer=self.peer_id)
        self._input.clear()
        self._transport.abort()

    def pause_writing(self):
        """Count what is written from now on, because the peer does not read."""
        self._output.pause()

    def resume_writing(self):
        """Stop counting what has been written."""
        self._output.resume()

    def is_to_earlier_incarnation(self, incarnation: int) -> bool:
        """Tell whether the incarnation of the peer is known to be an earlier one."""
        known = self.peer_incarnation
        return known is not None and known < incarnation

    def write(self, frame: Frame) -> bool:
        """Send a frame; False if the connection is closed or closing."""
        return self._output.write(frame)

    @property
    def awaits_goodbye(self) -> bool:
        """Whether the peer has to learn that its other calls have not run."""
        may_know = self._peer_knows_goodbye or not self.hello_received.is_set()
        return may_know and not self._incoming.running

    def say_goodbye(self) -> None:
        """Tell the peer that its calls without a result have not run, if that is so."""
        if (
            self._peer_knows_goodbye
            and not self._incoming.running
            and not self._is_goodbye_sent
        ):
            self._is_goodbye_sent = self.write(GoodbyeFrame())

    def close(self) -> None:
        """Close the connection once all frames have been sent."""
        if self._transport is not None:
            self._transport.close()

    def run(self, call: Call) -> Awaitable[Result]:
        """Run `call` on the peer; cancellation is passed on to it."""
        self.last_used_s = boot_s()
        return self._outgoing.run(call, self.last_used_s)

    def check_liveness(self, now_s: float) -> None:
        """Ping a peer that owes results, or mark it as unresponsive.

        Notes
        -----
        A VM that loses power closes no connection, and the kernel detects that only
        after seconds, in which all calls sent to it would run into their deadlines.
        Idempotent calls therefore end as unknown, so that they can be retried on other
        nodes. The others continue to wait, since they may be running.
        """
        if self._outgoing.becomes_unresponsive(now_s):
            log_event(
                logger,
                events.LINK_SILENT,
                peer=self.peer_id,
                in_flight=len(self._outgoing.in_flight),
            )
            self._outgoing.end_idempotent()

    def _handle(self, frame: Frame) -> None:
        if isinstance(frame, RunFrame):
            self._start_call(frame)
        elif isinstance(frame, (AnswerFrame, NotRunFrame, UnknownFrame)):
            self._finish_call(frame)
        elif isinstance(frame, CancelFrame):
            self._incoming.cancel(frame.call_id)
        elif isinstance(frame, ControlFrame):
            self.last_used_s = boot_s()
            self._handlers.handle_control(self, frame)
        elif isinstance(frame, AllowanceFrame):
            self.last_used_s = boot_s()
            self._handlers.handle_allowance(self, frame)
        elif isinstance(frame, PingFrame):
            # What a peer has not read yet answers its ping as well.
            if not self._output.is_paused:
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
        call = self._call_frames.to_call(frame)
        self._request_newer_configuration(frame.configuration_version)
        self._incoming.start(frame.call_id, call, self._log_error)

    def _end_calls_not_run(self) -> None:
        """End the calls that the peer has not run, and accept no more."""
        self._transport.close()
        self._outgoing.end_all(NotRun(NotRunReason.STOPPING))

    def _log_error(self, error: BaseException) -> None:
        log_event(logger, events.CALL_FAILED, exc_info=error, peer=self.peer_id)

    def _finish_call(self, frame: AnswerFrame | NotRunFrame | UnknownFrame) -> None:
        result = self._call_frames.to_result(frame)
        if not isinstance(frame, UnknownFrame):
            self._request_newer_configuration(frame.configuration_version)
        self._outgoing.finish(frame.call_id, result)

    def _request_newer_configuration(self, version: int) -> None:
        """Request a newer configuration from the peer, once for each version."""
        own = self._handlers.configuration_version()
        if version > own and version > self._requested_version:
            self._requested_version = version
            self.write(StateRequestFrame(own))
