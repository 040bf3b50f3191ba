"""Limits on the responses that a client reads, and the memory they may hold."""

from dataclasses import dataclass

from damaskproxy.common.memory import LargestHolders, MemoryAccount, MemoryBudget

__all__ = ["ResponseLimits", "ResponseMemory"]


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on what a server may send in response to one request.

    A server in trouble may send a head or a body without end. Interim responses and
    responses to other requests count towards the limits of the exchange.

    Parameters
    ----------
    max_head_bytes : int
        Bytes of heads and trailers, and the framing of an empty body.
    max_fields : int
        Number of header fields.
    max_body_bytes : int
        Bytes of the body.
    """

    max_head_bytes: int = 64 << 10
    max_fields: int = 256
    max_body_bytes: int = 16 << 20


class ResponseMemory:
    """Limit on the memory of all responses in progress together.

    Parameters
    ----------
    limit_bytes : int
        Bytes that the responses in progress may hold together.
    budget : MemoryBudget, optional
        Budget of the node, which this memory is a part of.

    Notes
    -----
    When the limit is exceeded, the largest response is aborted, so that a server that
    sends without end does not cut the responses to other requests.
    """

    def __init__(self, limit_bytes: int, budget: MemoryBudget | None = None):
        self.account = MemoryAccount(limit_bytes, budget)
        holders = LargestHolders(self.account)
        # Functions, since they are called for each part of a response.
        self.add = holders.add
        self.release = holders.release

    @property
    def total_bytes(self) -> int:
        """Bytes that all responses in progress hold."""
        return self.account.held_bytes
