"""Recorder of the requests and replies of callers and of executions."""

import hashlib
import itertools
import time
from collections.abc import Callable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import BinaryIO

import msgspec

from damaskproxy.common import DamaskError, Outcome

__all__ = [
    "EventKind",
    "HistoryError",
    "HistoryEvent",
    "Recorder",
    "digest_of",
    "read_history",
]

DIGEST_BYTES = 8

_encoder = msgspec.json.Encoder()


class HistoryError(DamaskError):
    """A line of a history cannot be decoded."""


class EventKind(StrEnum):
    """Kind of event."""

    SENT = "sent"
    TOLD = "told"
    RAN = "ran"
    FINISHED = "finished"
    CUT = "cut"


class HistoryEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """Event of a history.

    Parameters
    ----------
    kind : EventKind
        Kind of event.
    time_s : float
        Time of the event on the clock of the recorder.
    key : str
        Identity of the request, the same in all sends of it.
    send : str
        Id of one send of the request by its caller.
    caller : str
        Caller that sent the request or received the reply.
    attempt : str
        Attempt id that the backend server received.
    run : str
        Id of one execution by a backend server.
    request, answer : str
        Digests of the bodies, see `digest_of`.
    outcome : Outcome, optional
        Outcome that a refused caller received; None for a response.
    idempotent : bool
        Whether the request may run more than once.
    complete : bool
        Whether the response arrived completely.
    detail : str
        Reason of a refusal, or where a connection was closed.
    """

    kind: EventKind
    time_s: float
    key: str
    send: str = ""
    caller: str = ""
    attempt: str = ""
    run: str = ""
    request: str = ""
    answer: str = ""
    outcome: Outcome | None = None
    idempotent: bool = False
    complete: bool = True
    detail: str = ""


_decoder = msgspec.json.Decoder(HistoryEvent)


class Recorder:
    """Records events in memory or writes them as JSON lines.

    Parameters
    ----------
    stream : binary file, optional
        Receives one JSON object per line; without it, events are kept in `events`.
    now_s : callable
        Clock that all recorders of a history share; by default the Unix time, which
        is common to the processes of one VM.
    name : str
        Prefix of run ids, unique among the recorders of a history.
    """

    def __init__(
        self,
        stream: BinaryIO | None = None,
        *,
        now_s: Callable[[], float] = time.time,
        name: str = "run",
    ):
        self._stream = stream
        self._now_s = now_s
        self._name = name
        self._runs = itertools.count(1)
        self.events: list[HistoryEvent] = []

    def sent(
        self,
        key: str,
        *,
        send: str,
        caller: str = "",
        request: bytes = b"",
        idempotent: bool = False,
    ) -> None:
        """Record a send; to be called before its first byte is sent."""
        self._record(
            EventKind.SENT,
            key,
            send=send,
            caller=caller,
            request=digest_of(request),
            idempotent=idempotent,
        )

    def told(
        self,
        key: str,
        *,
        send: str,
        caller: str = "",
        answer: bytes | None = None,
        outcome: Outcome | str | None = None,
        complete: bool = True,
        detail: str = "",
    ) -> None:
        """Record a reply to a caller: a response `answer`, or else an `outcome`."""
        if (answer is None) == (outcome is None):
            raise ValueError("either an answer or an outcome is required, and not both")
        self._record(
            EventKind.TOLD,
            key,
            send=send,
            caller=caller,
            answer="" if answer is None else digest_of(answer),
            outcome=None if outcome is None else Outcome(outcome),
            complete=complete,
            detail=detail,
        )

    def ran(self, key: str, *, attempt: str = "", request: bytes = b"") -> str:
        """Record the start of an execution and return its run id."""
        run = f"{self._name}-{next(self._runs)}"
        self._record(
            EventKind.RAN, key, attempt=attempt, run=run, request=digest_of(request)
        )
        return run

    def finished(self, key: str, run: str, *, answer: bytes) -> None:
        """Record the response of an execution."""
        self._record(EventKind.FINISHED, key, run=run, answer=digest_of(answer))

    def cut(
        self, key: str, *, send: str = "", caller: str = "", detail: str = ""
    ) -> None:
        """Record that a request in flight was interrupted without a reply."""
        self._record(EventKind.CUT, key, send=send, caller=caller, detail=detail)

    def _record(self, kind: EventKind, key: str, **fields: object) -> None:
        event = HistoryEvent(kind, self._now_s(), key, **fields)
        if self._stream is None:
            self.events.append(event)
            return
        # One unbuffered write per line keeps the lines of a killed process complete.
        self._stream.write(_encoder.encode(event) + b"\n")
        self._stream.flush()


def digest_of(data: bytes) -> str:
    """Return the digest that is used to compare requests and responses."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def read_history(path: Path) -> Iterator[HistoryEvent]:
    """Yield the events of a file of JSON lines.

    Raises
    ------
    HistoryError
        If a line cannot be decoded; an incomplete last line, as written by a killed
        process, is ignored.
    """
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield _decoder.decode(line)
            except msgspec.MsgspecError as error:
                if not line.endswith(b"\n"):
                    return
                raise HistoryError(f"{path}:{number}: {error}") from error
