"""Limits on the responses that a client reads, and the memory they may hold."""

from dataclasses import dataclass

from damaskproxy.common.memory import LargestHolders, MemoryAccount, MemoryBudget

__all__ = ["ResponseLimits", "ResponseMemory"]

FRAMING_PER_BODY_BYTE = 8
"""Bytes of chunk framing per byte of the body; a chunk of one byte takes five."""


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

    def excess(self, received_bytes: int, body_bytes: int) -> str:
        """Return what an exchange has too much of, empty if it is within the limits.

        Parameters
        ----------
        received_bytes : int
            All bytes that the exchange has received.
        body_bytes : int
            Bytes of bodies among them.
        """
        if body_bytes > self.max_body_bytes:
            return f"a body of more than {self.max_body_bytes} bytes"
        if received_bytes - body_bytes > (
            self.max_head_bytes + FRAMING_PER_BODY_BYTE * body_bytes
        ):
            return f"a head of more than {self.max_head_bytes} bytes"
        if received_bytes > self.max_head_bytes + self.max_body_bytes:
            return "more framing than body"
        return ""


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
