"""Records the runs and outbound calls of a development backend server."""

import itertools
from typing import BinaryIO

from damaskproxy.common import Outcome
from damaskproxy.history import Recorder
from damaskproxy.standins.callers_results import CONNECTION_CUT, NO_ANSWER, SendResult

__all__ = ["BackendHistory", "open_history", "record_result", "request_identity"]


def request_identity(key: str, digest: str) -> str:
    """Return the identity of a request: its key, or its digest without one."""
    return key or digest


def record_result(
    recorder: Recorder, identity: str, send: str, caller: str, result: SendResult
) -> None:
    """Record the result of a send; a time-out of the caller is left unanswered."""
    if result.reason == NO_ANSWER:
        return
    if result.connection_lost:
        recorder.cut(identity, send=send, caller=caller, detail=CONNECTION_CUT)
    elif 200 <= result.status < 300:
        complete = result.fault != "incomplete"
        recorder.told(
            identity, send=send, caller=caller, answer=result.answer, complete=complete
        )
    else:
        # Without a response nothing is known about the earlier sends of the request.
        outcome = result.outcome if result.status else Outcome.UNKNOWN
        recorder.told(
            identity, send=send, caller=caller, outcome=outcome, detail=result.reason
        )


def open_history(path: str, name: str) -> tuple[Recorder, BinaryIO]:
    """Return a recorder that appends to a file, and the file.

    Parameters
    ----------
    path : str
        History file; several processes may append to it.
    name : str
        Prefix of run ids, unique among the recorders of a history.
    """
    stream = open(path, "ab", buffering=0)  # noqa: SIM115 (closed by the server)
    return Recorder(stream, name=name), stream


class BackendHistory:
    """Records the events of one backend server; does nothing without a recorder.

    The methods have the names of those of `Recorder`.

    Parameters
    ----------
    recorder : Recorder or None
        Destination of the events.
    server : str
        Address of the backend server, the caller of its outbound calls.
    """

    def __init__(self, recorder: Recorder | None, server: str):
        self._recorder = recorder
        self._server = server
        self._sends = itertools.count(1)

    def ran(self, identity: str, attempt: str, request: bytes) -> str:
        """Record the start of a run, before the run has any effect."""
        if self._recorder is None:
            return ""
        return self._recorder.ran(identity, attempt=attempt, request=request)

    def finished(self, identity: str, run: str, answer: bytes) -> None:
        """Record the response of a run."""
        if self._recorder is not None:
            self._recorder.finished(identity, run, answer=answer)

    def sent(self, identity: str, request: bytes, idempotent: bool) -> str:
        """Record an outbound call and return the name of the send."""
        if self._recorder is None:
            return ""
        send = f"{self._server}-{next(self._sends)}"
        self._recorder.sent(
            identity,
            send=send,
            caller=self._server,
            request=request,
            idempotent=idempotent,
        )
        return send

    def told(self, identity: str, send: str, result: SendResult) -> None:
        """Record the result of an outbound call."""
        if self._recorder is not None:
            record_result(self._recorder, identity, send, self._server, result)
