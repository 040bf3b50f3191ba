"""Calls to the peer of a link, and whether the peer still responds."""

import asyncio
import itertools

from damaskproxy.common.fibers import Waiter
from damaskproxy.forwarding.call_frames import CallFrames
from damaskproxy.forwarding.calls import Call, NotRun, NotRunReason, Result, Unknown
from damaskproxy.forwarding.frames import CancelFrame, PingFrame
from damaskproxy.forwarding.large_frames import LARGE_BYTES
from damaskproxy.forwarding.link_output import LinkOutput

__all__ = ["OutgoingCalls"]

MS_PER_S = 1000
PING_AFTER_S = 0.15
"""Minimum time without any data from a peer with calls in flight before a ping."""
PING_AFTER_CALLS = 1.5
"""Multiple of the typical latency of a call that must have passed as well before a
ping. Most calls take less, so that a healthy peer is rarely pinged."""
PONG_TIMEOUT_S = 0.25
"""Covers several round trips between regions and the delay of a busy event loop.
Together with the time before the ping, it leaves a call of typical latency enough time
to run elsewhere."""


class OutgoingCalls:
    """Calls to a peer that it owes results of.

    Parameters
    ----------
    output : LinkOutput
        Output of the link.
    frames : CallFrames
        Maker of the frames of the link.

    Attributes
    ----------
    in_flight : dict
        Waiters for the results of calls, by the id of the call.
    is_unresponsive : bool
        Whether the peer owes results and did not respond to a ping.
    ping_sent_s : float or None
        Time of a ping that nothing was received after.
    """

    def __init__(self, output: LinkOutput, frames: CallFrames):
        self.in_flight: dict[int, Waiter] = {}
        self.is_unresponsive = False
        self.ping_sent_s: float | None = None
        self._output = output
        self._frames = frames
        self._call_ids = itertools.count()
        self._idempotent_ids: set[int] = set()
        self._last_received_s = 0.0
        self._typical_call_s = 0.0

    async def run(self, call: Call, now_s: float) -> Result:
        """Run `call` on the peer; cancellation is passed on to it."""
        call_id = next(self._call_ids)
        is_large = len(call.body) > LARGE_BYTES
        if (is_large or self._output.is_paused) and not self._output.may_send(call):
            return NotRun(NotRunReason.MEMORY)
        frame = self._frames.run_frame(call_id, call)
        write = self._output.write_large if is_large else self._output.write
        if not write(frame):
            return NotRun(NotRunReason.PEER_UNREACHABLE)
        waiter = Waiter()
        if not self.in_flight:
            self._last_received_s = now_s
        self.in_flight[call_id] = waiter
        if call.is_idempotent:
            self._idempotent_ids.add(call_id)
        try:
            return await waiter
        except asyncio.CancelledError:
            self._output.write(CancelFrame(call_id))
            raise
        finally:
            self.in_flight.pop(call_id, None)
            self._idempotent_ids.discard(call_id)
            if is_large and self._output.is_paused:
                # Until here, the body has been counted with the request.
                self._output.count(len(call.body))

    def finish(self, call_id: int, result: Result) -> None:
        """End a call with its result, unless nobody awaits it any more."""
        if result.load is not None:
            self._typical_call_s = result.load.latency_ms / MS_PER_S
        waiter = self.in_flight.get(call_id)
        if waiter is not None:
            waiter.set_result(result)

    def end_all(self, result: Result) -> None:
        """End all calls with the same result."""
        # A copy, since a resumed fiber removes its entry at once.
        for waiter in list(self.in_flight.values()):
            waiter.set_result(result)

    def record_receipt(self, now_s: float) -> None:
        """Record that the peer has sent something."""
        self.is_unresponsive = False
        self._last_received_s = now_s
        self.ping_sent_s = None

    def becomes_unresponsive(self, now_s: float) -> bool:
        """Ping a peer that owes results; True once it has not responded to that."""
        if not self.in_flight or self.is_unresponsive:
            return False
        if self.ping_sent_s is None:
            limit_s = max(PING_AFTER_S, PING_AFTER_CALLS * self._typical_call_s)
            if now_s - self._last_received_s >= limit_s:
                self.ping_sent_s = now_s
                self._output.write(PingFrame())
        elif now_s - self.ping_sent_s >= PONG_TIMEOUT_S:
            self.is_unresponsive = True
            return True
        return False

    def end_idempotent(self) -> None:
        """End the idempotent calls, so that they can be retried on other nodes."""
        for call_id in list(self._idempotent_ids):
            waiter = self.in_flight.get(call_id)
            if waiter is None:
                # Its fiber was cancelled when an earlier call of this loop ended.
                continue
            self._output.write(CancelFrame(call_id))
            waiter.set_result(Unknown("the node does not react on an open connection"))
