"""Retry allowance of a root request, shared by its call tree."""

__all__ = ["RetryAllowance"]


class RetryAllowance:
    """Retry tokens held by one call.

    Parameters
    ----------
    tokens : int
        Tokens granted to the root request, or lent by the parent request.

    Notes
    -----
    Tokens are moved or spent, but never created: tokens lent to a child call are
    deducted from its parent, and a parent gets back no more than it lent. The retries
    of a call tree thus never exceed the tokens of its root, even if responses are lost.
    """

    __slots__ = ("_lent", "tokens")

    def __init__(self, tokens: int):
        if tokens < 0:
            raise ValueError(f"retry allowance must not be negative: {tokens} tokens")
        self.tokens = tokens
        self._lent = 0

    def take(self) -> bool:
        """Spend a token for a retry; False when none is left."""
        if self.tokens <= 0:
            return False
        self.tokens -= 1
        return True

    def lend(self, count: int) -> int:
        """Lend up to `count` tokens to a child call and return how many."""
        moved = max(0, min(count, self.tokens))
        self.tokens -= moved
        self._lent += moved
        return moved

    def give_back(self, count: int) -> None:
        """Take back the tokens that a child call did not spend.

        Notes
        -----
        The count comes from another node; an excess over the tokens lent is ignored.
        """
        moved = max(0, min(count, self._lent))
        self._lent -= moved
        self.tokens += moved
