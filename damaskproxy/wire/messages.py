"""Frames of peer streams.

The frames are positional msgpack arrays. A new field is appended with a default, so
that nodes of adjacent releases can decode each other's frames.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

from damaskproxy.common import Outcome, Priority, RefusalReason
from damaskproxy.common.ids import ORDINAL_COUNT

__all__ = ["Answer", "Call", "Cancel", "Frame", "Hello", "Load", "Purpose", "Refused"]

MAX_RETRY_TOKENS = 5
MAX_DEPTH = 32

Budget = Annotated[int, msgspec.Meta(ge=0)]
Headers = list[tuple[str, str]]


class Purpose(StrEnum):
    """What the receiving node does with a call."""

    RUN = "run"
    SUBMIT = "submit"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server, as measured by its node.

    Parameters
    ----------
    in_flight, queued : int
        Number of calls that are running, and that are queued.
    limit : int
        Current concurrency limit.
    level : int
        Admission level, ``priority * 128 + ordinal`` of the first refused call.
    latency_ms : float
        Moving average of the response time, in milliseconds.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    level: int = len(Priority) * ORDINAL_COUNT
    latency_ms: float = 0.0


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First frame of a stream in each direction."""

    node_id: str
    incarnation: int


class Call(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A call that is sent to a ledger node or to a target node.

    ``deadline_ms`` and ``start_by_ms`` are the remaining time budgets when the frame is
    sent; the receiver measures them with its own clock. ``suspect`` makes the target
    node run the call while no other suspect is running, even if the record of the
    suspicion has not reached that node yet.
    """

    attempt_id: str
    request_id: str
    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    priority: Priority
    ordinal: Annotated[int, msgspec.Meta(ge=0, lt=ORDINAL_COUNT)]
    deadline_ms: Budget
    start_by_ms: Budget
    retry_tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_RETRY_TOKENS)] = 0
    key: str = ""
    depth: Annotated[int, msgspec.Meta(ge=0, le=MAX_DEPTH)] = 0
    purpose: Purpose = Purpose.RUN
    idempotent: bool = True
    suspect: bool = False


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The complete response of a backend server."""

    attempt_id: str
    status: int
    headers: Headers
    body: bytes
    tokens_left: int = 0
    load: Load | None = None


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Refusal of a call, with its outcome as far as it is known."""

    attempt_id: str
    reason: RefusalReason
    outcome: Outcome
    retry_after_ms: int = 0
    tokens_left: int = 0
    detail: str = ""
    load: Load | None = None


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Cancels an attempt, even if its call has not been received yet."""

    attempt_id: str


Frame = Hello | Call | Answer | Refused | Cancel
