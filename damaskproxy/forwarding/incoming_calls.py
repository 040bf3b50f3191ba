"""Calls of the peer of a link that run on this node."""

import asyncio
from collections.abc import Awaitable, Callable

from damaskproxy.common.fibers import Fiber
from damaskproxy.forwarding.call_frames import CallFrames
from damaskproxy.forwarding.calls import Answer, Call, Result, Unknown
from damaskproxy.forwarding.frames import UnknownFrame
from damaskproxy.forwarding.large_frames import LARGE_BYTES
from damaskproxy.forwarding.link_output import LinkOutput

__all__ = ["IncomingCalls"]


class IncomingCalls:
    """Calls of a peer that it awaits the results of.

    Parameters
    ----------
    output : LinkOutput
        Output of the link.
    frames : CallFrames
        Maker of the frames of the link.
    run : callable
        Runs a call on the local backend server.

    Attributes
    ----------
    running : dict
        Fibers of the running calls, by the id of the call.
    results_end_bytes : int
        Bytes written to the peer up to the end of the last result.
    """

    def __init__(
        self,
        output: LinkOutput,
        frames: CallFrames,
        run: Callable[[Call], Awaitable[Result]],
    ):
        self.running: dict[int, Fiber] = {}
        self.results_end_bytes = 0
        self._output = output
        self._frames = frames
        self._run = run
        self._cancelled_ids: set[int] = set()

    def start(
        self, call_id: int, call: Call, log_error: Callable[[BaseException], None]
    ) -> None:
        """Run a call and send its result.

        Parameters
        ----------
        call_id : int
            Id of the call on the connection.
        call : Call
            The call.
        log_error : callable
            Logs an exception of the call. It is not kept beyond the call, since it
            refers to the link, which would be left to the garbage collector.
        """
        fiber = Fiber(self._run_call(call_id, call, log_error), log_error)
        if not fiber.is_done:
            self.running[call_id] = fiber

    def cancel(self, call_id: int) -> None:
        """Cancel a call whose result the peer no longer awaits."""
        fiber = self.running.get(call_id)
        if fiber is not None:
            self._cancelled_ids.add(call_id)
            fiber.cancel()

    def cancel_all(self) -> None:
        """Cancel all calls after the loss of the connection."""
        # A copy, since a cancelled fiber removes its entry at once.
        for fiber in list(self.running.values()):
            fiber.cancel()

    async def _run_call(
        self, call_id: int, call: Call, log_error: Callable[[BaseException], None]
    ) -> None:
        try:
            result = await self._run(call)
        except asyncio.CancelledError:
            if call_id in self._cancelled_ids:
                return
            # The peer would take a call without a result for one that has not run.
            result = Unknown("the call was cancelled")
        except Exception as error:
            log_error(error)
            result = Unknown(f"internal error: {error}")
        finally:
            self.running.pop(call_id, None)
            self._cancelled_ids.discard(call_id)
        if isinstance(result, Answer):
            is_written = self._write_answer(call_id, result)
        else:
            is_written = self._output.write(self._frames.result_frame(call_id, result))
        if is_written:
            self.results_end_bytes = self._output.written_bytes

    def _write_answer(self, call_id: int, answer: Answer) -> bool:
        """Send an answer, or that there is no room for it; False if closed."""
        output, size = self._output, len(answer.body)
        is_large = size > LARGE_BYTES
        if (is_large or output.is_paused) and not output.may_send_answer(answer):
            detail = "the answer does not fit in the memory"
            return output.write(UnknownFrame(call_id, detail, answer.load))
        frame = self._frames.result_frame(call_id, answer)
        if not is_large:
            return output.write(frame)
        if not output.write_large(frame):
            return False
        if output.is_paused:
            output.count(size)
        return True
