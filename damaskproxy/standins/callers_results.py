"""Results of sends, and the outcomes that a caller may conclude from them."""

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
    "SendResult",
    "read_result",
]

# Reasons recorded by the callers when no node has given one.
NO_ENTRY = "no-entry-node"
CONNECTION_CUT = "connection-cut"
NO_ANSWER = "no-answer"
NO_KEY = "no-key"
WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class SendResult:
    """Result of one send of a request.

    Parameters
    ----------
    status : int
        HTTP status, 0 without a response.
    outcome : Outcome
        Outcome that the caller may conclude.
    reason : str
        Reason of the refusal or failure, empty for a successful response.
    fault : str
        ``incomplete`` or ``foreign`` for a wrong response, else empty.
    connection_lost : bool
        Whether the connection was closed while the request was in flight.
    answer : bytes
        Body of the response.
    retry_after_s : float
        Minimum pause before a resend that the refusal specifies.
    """

    status: int
    outcome: Outcome
    reason: str = ""
    fault: str = ""
    connection_lost: bool = False
    answer: bytes = b""
    retry_after_s: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether this is the complete response to the caller's own request."""
        return 200 <= self.status < 300 and not self.fault


class Problem(msgspec.Struct, frozen=True):
    """The fields of a refusal that a caller acts on."""

    reason: str
    outcome: Outcome
    retry_after_ms: int = 0


def read_result(status: int, body: bytes, digest: str) -> SendResult:
    """Return the result that an HTTP response gives to the request with `digest`."""
    if 200 <= status < 300:
        fault = check_answer(body, digest)
        return SendResult(status, Outcome.RUN, fault=fault, answer=body)
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        # Not a refusal by a node: the outcome is unknown.
        return SendResult(
            status, Outcome.UNKNOWN, reason=f"status-{status}", answer=body
        )
    pause_s = problem.retry_after_ms / 1000
    return SendResult(status, problem.outcome, problem.reason, retry_after_s=pause_s)
