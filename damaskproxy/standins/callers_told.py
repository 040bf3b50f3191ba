"""What a caller may conclude from what it is told."""

from dataclasses import dataclass

import msgspec

from damaskproxy.common import Outcome
from damaskproxy.standins.backend_answer import check_answer

__all__ = [
    "CONNECTION_CUT",
    "NO_ANSWER",
    "NO_ENTRY",
    "NO_KEY",
    "WITHDRAWN",
    "Told",
    "read_told",
]

# Reasons that the callers give where no node gave one.
NO_ENTRY = "no-entry-node"
CONNECTION_CUT = "connection-cut"
NO_ANSWER = "no-answer"
NO_KEY = "no-key"
WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class Told:
    """What one send of a request brought.

    Parameters
    ----------
    status : int
        HTTP status, 0 without an answer.
    outcome : Outcome
        What may be concluded.
    reason : str
        Reason of the refusal, empty for an answer.
    fault : str
        ``incomplete`` or ``foreign`` for a wrong answer, else empty.
    cut : bool
        Whether the connection ended while the request was in flight.
    answer : bytes
        Body of the answer.
    retry_after_s : float
        Pause that the refusal asks for.
    """

    status: int
    outcome: Outcome
    reason: str = ""
    fault: str = ""
    cut: bool = False
    answer: bytes = b""
    retry_after_s: float = 0.0

    @property
    def whole(self) -> bool:
        """Whether this is the whole answer to the caller's own request."""
        return 200 <= self.status < 300 and not self.fault


class Problem(msgspec.Struct, frozen=True):
    """The fields of a refusal that a caller acts on."""

    reason: str
    outcome: Outcome
    retry_after_ms: int = 0


def read_told(status: int, body: bytes, digest: str) -> Told:
    """Return what an HTTP answer tells about the request of `digest`."""
    if 200 <= status < 300:
        fault = check_answer(body, digest)
        return Told(status, Outcome.RUN, fault=fault, answer=body)
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        # Not a refusal of a node: nothing may be concluded.
        return Told(status, Outcome.UNKNOWN, reason=f"status-{status}", answer=body)
    pause_s = problem.retry_after_ms / 1000
    return Told(status, problem.outcome, problem.reason, retry_after_s=pause_s)
