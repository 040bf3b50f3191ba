"""Retry allowance of one root request."""

__all__ = ["RetryAllowance"]


class RetryAllowance:
    """Retry tokens that one call holds.

    Parameters
    ----------
    tokens : int
        Tokens of the root request, or lent by the caller.

    Notes
    -----
    Tokens are only moved or taken, never made: what a child gets leaves its parent, and
    a parent gets back no more than it lent. The retries of a call tree thus never
    exceed the tokens of its root, whichever answers are lost.
    """

    __slots__ = ("_lent", "tokens")

    def __init__(self, tokens: int):
        if tokens < 0:
            raise ValueError(f"an allowance needs at least 0 tokens, not {tokens}")
        self.tokens = tokens
        self._lent = 0

    def take(self) -> bool:
        """Take one token for a retry; False when none is left."""
        if self.tokens <= 0:
            return False
        self.tokens -= 1
        return True

    def lend(self, n: int) -> int:
        """Move up to `n` tokens to a child call and return how many."""
        moved = max(0, min(n, self.tokens))
        self.tokens -= moved
        self._lent += moved
        return moved

    def give_back(self, n: int) -> None:
        """Take back what a child call left over.

        Notes
        -----
        The count comes from another node; what exceeds the loan is ignored.
        """
        moved = max(0, min(n, self._lent))
        self._lent -= moved
        self.tokens += moved
