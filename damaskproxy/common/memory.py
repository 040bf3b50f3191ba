"""Limits on the memory that a node holds for others.

A node holds bytes for others while they send slowly, read slowly or work: bodies that
are being read or wait for a server, responses that are being read or are unsent. All
accounts of a node share one `MemoryBudget`. What has not run yet is refused while the
budget has little room left (`MemoryAccount.fits`). What has run may use the rest; if
that is not enough, the owner of an account gives up the largest holder.
"""

import io
from collections import deque
from collections.abc import Callable

__all__ = [
    "NEW_WORK_SHARE",
    "LargestHolders",
    "MemoryAccount",
    "MemoryBudget",
    "UnsentWrites",
    "add_part",
    "join_parts",
]

NEW_WORK_SHARE = 0.8
"""Share of a budget beyond which no account accepts bytes of work that has not run."""


class MemoryBudget:
    """Limit on the bytes of several accounts together.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all accounts may hold together.

    Attributes
    ----------
    held_bytes : int
        Bytes that all accounts hold.
    """

    __slots__ = ("_reclaim", "held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._reclaim: Callable[[], bool] = lambda: False

    def on_shortage(self, reclaim: Callable[[], bool]) -> None:
        """Set the function that gives up some bytes; it returns False if it cannot."""
        self._reclaim = reclaim

    def make_room(self, count: int = 0) -> bool:
        """Give up what `on_shortage` names until `count` more bytes have room."""
        while self.held_bytes + count > self.limit_bytes:
            if not self._reclaim():
                return False
        return True


class MemoryAccount:
    """Bytes that are held for one purpose.

    Parameters
    ----------
    limit_bytes : int
        Bytes that the account may hold.
    budget : MemoryBudget, optional
        Budget that the account shares with others.

    Attributes
    ----------
    held_bytes : int
        Bytes that the account holds.
    """

    __slots__ = ("budget", "held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int, budget: MemoryBudget | None = None):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.budget = budget or MemoryBudget(limit_bytes)

    def fits(self, count: int) -> bool:
        """Tell whether `count` more bytes of work that has not run may be held."""
        budget = self.budget
        return (
            self.held_bytes + count <= self.limit_bytes
            and budget.held_bytes + count <= NEW_WORK_SHARE * budget.limit_bytes
        )

    @property
    def is_exceeded(self) -> bool:
        """Whether the account or its budget holds more than its limit."""
        return (
            self.held_bytes > self.limit_bytes
            or self.budget.held_bytes > self.budget.limit_bytes
        )

    def hold(self, count: int) -> None:
        """Count `count` more bytes."""
        self.held_bytes += count
        self.budget.held_bytes += count

    def release(self, count: int) -> None:
        """Stop counting `count` bytes."""
        self.held_bytes -= count
        self.budget.held_bytes -= count


class LargestHolders:
    """Holders of an account, of which the largest is given up when memory is short.

    A holder is identified by the function that gives it up.

    Parameters
    ----------
    account : MemoryAccount
        Account that the holders share.
    """

    __slots__ = ("_held_bytes", "account")

    def __init__(self, account: MemoryAccount):
        self.account = account
        self._held_bytes: dict[Callable[[], None], int] = {}

    def add(self, give_up: Callable[[], None], count: int) -> None:
        """Count `count` more bytes of a holder; give up the largest ones if needed."""
        self._held_bytes[give_up] = self._held_bytes.get(give_up, 0) + count
        account = self.account
        budget = account.budget
        account.held_bytes += count
        budget.held_bytes += count
        if (
            account.held_bytes > account.limit_bytes
            or budget.held_bytes > budget.limit_bytes
        ):
            self._give_up_excess()

    def release(self, give_up: Callable[[], None]) -> None:
        """Stop counting a holder."""
        count = self._held_bytes.pop(give_up, 0)
        if count:
            account = self.account
            account.held_bytes -= count
            account.budget.held_bytes -= count

    def _give_up_excess(self) -> None:
        account = self.account
        while account.is_exceeded:
            if account.held_bytes <= account.limit_bytes and account.budget.make_room():
                return
            if not self.give_up_largest():
                return

    def give_up_largest(self) -> bool:
        """Give up the holder with the most bytes; False if there is none."""
        if not self._held_bytes:
            return False
        largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
        self.release(largest)
        largest()
        return True


class UnsentWrites:
    """Sizes of the writes that a slow reader leaves in a transport.

    A transport keeps a buffer until its last byte has been sent, so a write counts in
    full until then.

    Parameters
    ----------
    write_bytes : int
        Memory of a write beyond its size.

    Attributes
    ----------
    held_bytes : int
        Bytes that all writes hold.
    """

    __slots__ = ("_sizes", "_write_bytes", "held_bytes")

    def __init__(self, write_bytes: int = 0):
        self._sizes: deque[int] = deque()
        self._write_bytes = write_bytes
        self.held_bytes = 0

    def add(self, count: int, unsent_bytes: int) -> int:
        """Count a write, and return by how much the held bytes have changed.

        Parameters
        ----------
        count : int
            Size of the write.
        unsent_bytes : int
            Bytes that the transport has not sent, with this write.
        """
        sizes, before_bytes = self._sizes, self.held_bytes
        write_bytes = self._write_bytes
        sizes.append(count)
        size = before_bytes - write_bytes * (len(sizes) - 1) + count
        while len(sizes) > 1 and size - sizes[0] >= unsent_bytes:
            size -= sizes.popleft()
        self.held_bytes = held_bytes = size + write_bytes * len(sizes)
        return held_bytes - before_bytes

    def clear(self) -> int:
        """Stop counting, and return how many bytes were held."""
        held_bytes, self.held_bytes = self.held_bytes, 0
        self._sizes.clear()
        return held_bytes


def add_part(body: bytes | io.BytesIO, part: bytes) -> bytes | io.BytesIO:
    """Return a body that arrives in parts with one more of them.

    Notes
    -----
    The first part is kept as it is. Further parts are collected in a buffer whose
    content becomes the body without a copy, and whose size does not depend on the
    number of parts.
    """
    if not body:
        return part
    if isinstance(body, bytes):
        buffer = io.BytesIO()
        buffer.write(body)
        body = buffer
    body.write(part)
    return body


def join_parts(body: bytes | io.BytesIO) -> bytes:
    """Return a body whose parts were collected with `add_part`."""
    return body if isinstance(body, bytes) else body.getvalue()
