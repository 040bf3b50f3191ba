"""Refuses requests whose answer would have no room in the memory of the node."""

from collections.abc import Callable

__all__ = ["AnswerSizes"]

SMALL_ANSWER_BYTES = 64 << 10
"""Answers up to this size are neither remembered nor reserved."""
DECAY = 0.9
"""Factor of the remembered size with each smaller answer."""


class AnswerSizes:
    """Sizes that the answers of each route have, and room reserved for them.

    A request must not be refused after it has run. Its answer is therefore expected to
    be as large as recent ones of its route, and room is reserved before it runs.

    Parameters
    ----------
    has_room : callable
        Tells whether there is room for a number of bytes of answers that are still to
        come, together.
    max_bytes : int
        Largest reservation; a request of any route is accepted while nothing else uses
        the memory.

    Attributes
    ----------
    reserved_bytes : int
        Bytes of the answers that are still to come.
    """

    def __init__(self, has_room: Callable[[int], bool], max_bytes: int):
        self.reserved_bytes = 0
        self._has_room = has_room
        self._max_bytes = max_bytes
        self._sizes: dict[str, int] = {}

    def reserve(self, route: str) -> int | None:
        """Reserve room for an answer, and return its size; None if there is none."""
        size = self._sizes.get(route)
        if size is None:
            return 0
        if not self._has_room(self.reserved_bytes + size):
            return None
        self.reserved_bytes += size
        return size

    def finish(self, route: str, reserved: int, size: int | None) -> None:
        """End a reservation.

        Parameters
        ----------
        route : str
            Route of the request.
        reserved : int
            Bytes that were reserved.
        size : int or None
            Size of the answer, None without a successful one.
        """
        if not reserved and (size is None or size <= SMALL_ANSWER_BYTES):
            return
        self.reserved_bytes -= reserved
        if size is None:
            return
        known = int(self._sizes.get(route, 0) * DECAY)
        expected = min(max(size, known), self._max_bytes)
        if expected > SMALL_ANSWER_BYTES:
            self._sizes[route] = expected
        else:
            self._sizes.pop(route, None)
