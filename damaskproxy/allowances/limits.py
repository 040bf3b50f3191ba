"""Limits of organisations, and the token buckets that enforce them."""

from dataclasses import dataclass

__all__ = ["AllowanceBounds", "Limit", "TokenBucket"]

BURST_EXTRA_SHARE = 0.3
"""Share of the slack that an owner adds to each burst. A small organisation that sends
62 % of its rate at random times exceeds a burst of 3 tokens with every 20th request."""
FIRST_BALANCE_SHARE = 0.3
"""Share of the slack that a new owner starts with."""
DETACHED_SHARE = 0.2
"""Share of the slack that nodes without an owner may spend, all together."""
GUARD_SLACK_SHARE, GUARD_BURST_SHARE = 0.5, 0.5
"""Shares of slack and burst that all nodes together may spend without asking. The owner
learns of this spending and deducts it."""
GUARD_REFILL = 3.0
"""Multiple of its equal share of the rate that a node may spend without asking."""


@dataclass(frozen=True, slots=True)
class Limit:
    """Allowance of one organisation over all nodes.

    Parameters
    ----------
    rate_per_s : float
        Requests per second.
    burst : float
        Requests beyond the rate.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """Tolerance of the platform on the allowances.

    Parameters
    ----------
    window_s : float
        Length of the windows in which requests are counted.
    overshoot : float
        Tolerated excess as a share of the allowance of a window.
    slack : float
        Tolerated excess in requests.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    @property
    def burst_extra(self) -> float:
        """Tokens that an owner adds to each burst."""
        return BURST_EXTRA_SHARE * self.slack

    @property
    def first_balance(self) -> float:
        """Tokens that a new owner starts with."""
        return FIRST_BALANCE_SHARE * self.slack

    @property
    def detached_tokens(self) -> int:
        """Whole tokens that are divided among the nodes without an owner."""
        return int(DETACHED_SHARE * self.slack)

    def largest_sum(self, limit: Limit) -> float:
        """Return the tolerated requests of one window."""
        allowance = limit.rate_per_s * self.window_s + limit.burst
        return allowance * (1 + self.overshoot) + self.slack

    def guard_tokens(self, limit: Limit, node_count: int) -> float:
        """Return the tokens that one node may spend at once without asking."""
        tokens = GUARD_SLACK_SHARE * self.slack + GUARD_BURST_SHARE * limit.burst
        return max(1.0, tokens / node_count)

    def guard_rate_per_s(self, limit: Limit, node_count: int) -> float:
        """Return the rate at which one node may spend without asking."""
        return GUARD_REFILL * limit.rate_per_s / node_count


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity.

    Parameters
    ----------
    rate_per_s, capacity, balance : float
        Rate, capacity and first balance in tokens.
    now_s : float
        Current time.
    """

    __slots__ = ("balance", "capacity", "rate_per_s", "updated_s")

    def __init__(
        self, rate_per_s: float, capacity: float, balance: float, now_s: float
    ):
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.balance = min(balance, capacity)
        self.updated_s = now_s

    def refill(self, now_s: float) -> None:
        """Add the tokens that have accrued."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            self.updated_s = now_s
            balance = self.balance + elapsed_s * self.rate_per_s
            self.balance = balance if balance < self.capacity else self.capacity

    def take(self, now_s: float) -> bool:
        """Spend a token; False if there is none."""
        self.refill(now_s)
        if self.balance < 1:
            return False
        self.balance -= 1
        return True

    def change(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change rate and capacity; a lower capacity clips the balance."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.balance = min(self.balance, capacity)

    def wait_s(self) -> float:
        """Return the time until a token is available."""
        missing = 1 - self.balance
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else float("inf")
