"""Limits on the responses that a client reads, and the memory they may hold."""

from collections.abc import Callable
from dataclasses import dataclass

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

    Notes
    -----
    When the limit is exceeded, the largest response is aborted, so that a server that
    sends without end does not cut the responses to other requests.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._held_bytes: dict[Callable[[], None], int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes that all responses in progress hold."""
        return self._total_bytes

    def add(self, abort: Callable[[], None], count: int) -> None:
        """Count `count` more bytes for the response that `abort` aborts."""
        self._held_bytes[abort] = self._held_bytes.get(abort, 0) + count
        self._total_bytes += count
        while self._total_bytes > self._limit_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self.release(largest)
            largest()

    def release(self, abort: Callable[[], None]) -> None:
        """Stop counting a response that is complete or aborted."""
        self._total_bytes -= self._held_bytes.pop(abort, 0)
