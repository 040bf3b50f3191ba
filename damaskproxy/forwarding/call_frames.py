"""Conversion between calls with their results and the frames of a link."""

from collections.abc import Callable

from damaskproxy.common.clock import boot_s
from damaskproxy.forwarding.calls import (
    DISCARDED_BODY,
    Answer,
    Call,
    NotRun,
    NotRunReason,
    Result,
    Unknown,
)
from damaskproxy.forwarding.delay_meter import SENT_MS_MASK, DelayMeter
from damaskproxy.forwarding.frames import (
    AnswerFrame,
    Frame,
    NotRunFrame,
    RunFrame,
    UnknownFrame,
)
from damaskproxy.forwarding.string_table import StringTable
from damaskproxy.http1 import is_final_status

__all__ = ["CallFrames"]

MS_PER_S = 1000
WIRE_REASONS = {NotRunReason.MEMORY: NotRunReason.OVERLOAD}
"""Reasons that peers of earlier releases do not know, and what is sent instead."""


class CallFrames:
    """Makes and reads the frames of calls and results on one connection.

    Both nodes keep tables of the strings that were sent, so all frames of a connection
    have to be made and read in the order in which they are sent.

    Parameters
    ----------
    volatile : frozenset of bytes
        Lower-case names of headers whose values differ in each message.
    configuration_version : callable
        Returns the version of the configuration in force.
    """

    def __init__(
        self, volatile: frozenset[bytes], configuration_version: Callable[[], int]
    ):
        self._configuration_version = configuration_version
        self._sent_strings = StringTable(volatile)
        self._received_strings = StringTable(volatile)
        self._delay_meter = DelayMeter()

    def run_frame(self, call_id: int, call: Call) -> RunFrame:
        """Return the frame that sends a call."""
        pack = self._sent_strings.pack
        return RunFrame(
            call_id,
            self._configuration_version(),
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

    def to_call(self, frame: RunFrame) -> Call:
        """Return the call in a frame, its deadline less the delay of the frame."""
        unpack = self._received_strings.unpack
        delay_ms = self._delay_meter.delay_ms(frame.sent_ms)
        return Call(
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

    def result_frame(self, call_id: int, result: Result) -> Frame:
        """Return the frame that sends the result of a call."""
        version = self._configuration_version()
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

    def to_result(self, frame: AnswerFrame | NotRunFrame | UnknownFrame) -> Result:
        """Return the result in a frame."""
        if isinstance(frame, NotRunFrame):
            return NotRun(
                frame.reason, frame.reached_backend, frame.retry_after_ms, frame.load
            )
        if isinstance(frame, UnknownFrame):
            return Unknown(frame.detail, frame.load)
        # Unpacked even if nobody awaits the result, to keep the tables in step.
        headers = self._received_strings.unpack_headers(frame.headers)
        if frame.body is DISCARDED_BODY:
            detail = "the answer does not fit in the memory of this node"
            return Unknown(detail, frame.load)
        if not is_final_status(frame.status):
            # Not an invalid frame, since a node of an earlier release passes on
            # what its backend server sent, and other calls share the connection.
            detail = f"the node sent status {frame.status}, which is no response"
            return Unknown(detail, frame.load)
        return Answer(frame.status, headers, frame.body, frame.load)
