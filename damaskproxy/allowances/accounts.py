"""State of one organisation at the gate of a node."""

from collections.abc import Callable
from dataclasses import dataclass

from damaskproxy.allowances.contacts import Contact
from damaskproxy.allowances.limits import Limit, TokenBucket

__all__ = ["OWN_SHARE_TERM", "URGENT_MIN", "Account", "Deliver", "OrganisationState"]

EXPECTED_S = 0.1
"""Time over which expected requests are counted, several round trips of an ask."""
URGENT_MIN = 2
"""Tokens that a node spends before it reports early. Most organisations send less than
one request in `contacts.REPORT_S` to a node."""
OWN_SHARE_TERM = 0
"""Term of all times without an owner, since they charge the same bucket."""

Deliver = Callable[[float], bool]
"""Takes the wait of a request, 0 if it is admitted; False if nobody waits for it."""


@dataclass(frozen=True, slots=True)
class OrganisationState:
    """State of one organisation at one node, for operators.

    Parameters
    ----------
    name : str
        Name of the organisation.
    rate_per_s, burst : float
        Its limit.
    spent : int
        Tokens that this node has spent since the limit came into force.
    is_limited : bool
        Whether the owner is asked for each request.
    owner : str
        Id of its owner, empty if none is in touch.
    """

    name: str
    rate_per_s: float
    burst: float
    spent: int
    is_limited: bool
    owner: str


class Account:
    """What a node knows about one organisation.

    Attributes
    ----------
    contact : Contact or None
        Its owner, None if no candidate is in touch.
    term : int
        Number of the time since the owner was chosen, `OWN_SHARE_TERM` without one.
    guard : TokenBucket
        Tokens that may be spent without asking in the open state.
    own_share : TokenBucket
        Tokens that may be spent without an owner.
    detached_s : float
        Time since when there is no owner, or was none the last time.
    credit : int
        Tokens that were granted for expected requests, valid until `credit_until_s`.
    refuse_until_s : float
        Time until which requests are refused without an ask.
    waiting, asked : list of callable
        Requests that are in no ask yet, and those in the ask in flight.
    sequence : int
        Number of the ask in flight, 0 if there is none.
    """

    __slots__ = (
        "arrivals",
        "asked",
        "asked_s",
        "contact",
        "counted_s",
        "credit",
        "credit_until_s",
        "detached_s",
        "guard",
        "limit",
        "name",
        "own_share",
        "refuse_until_s",
        "sequence",
        "spent",
        "term",
        "urgent_count",
        "waiting",
    )

    def __init__(self, name: str, limit: Limit, now_s: float):
        self.name = name
        self.limit = limit
        self.contact: Contact | None = None
        self.term = OWN_SHARE_TERM
        self.guard = TokenBucket(0.0, float("inf"), float("inf"), now_s)
        self.own_share = TokenBucket(0.0, 0.0, 0.0, now_s)
        self.detached_s = float("-inf")
        self.credit = 0
        self.credit_until_s = 0.0
        self.refuse_until_s = 0.0
        self.arrivals = 0
        self.counted_s = now_s
        self.spent = 0
        self.urgent_count = URGENT_MIN
        self.waiting: list[Deliver] = []
        self.asked: list[Deliver] = []
        self.sequence = 0
        self.asked_s = 0.0

    def settle(self, term: int, reached_count: int, now_s: float) -> None:
        """Charge a request for each server that it has reached, instead of for one.

        A refund returns to what was charged. One to an earlier owner is dropped: it may
        not have learned of the charge, and the present owner may not have deducted it.

        Parameters
        ----------
        term : int
            Term in which it was charged.
        reached_count : int
            Servers that it has reached, or may have.
        now_s : float
            Current time.
        """
        extra = reached_count - 1
        if not extra:
            return
        self.spent += extra
        if extra > 0 or term == self.term:
            if self.contact is not None:
                self.contact.add_spent(self.name, extra)
            bucket = self.guard if self.contact is not None else self.own_share
            bucket.refill(now_s)
        elif term == OWN_SHARE_TERM:
            # Not refilled, since it accrues nothing while there is an owner.
            bucket = self.own_share
        else:
            return
        bucket.balance = min(bucket.balance - extra, bucket.capacity)

    def return_credit(self, contact: Contact) -> None:
        """Give the unused tokens for expected requests back to the owner."""
        if self.credit:
            contact.add_spent(self.name, -self.credit)
            self.credit = 0

    def take_expected(self, now_s: float) -> int:
        """Return the requests that are expected soon, from those that arrived."""
        elapsed_s = max(now_s - self.counted_s, EXPECTED_S)
        expected = int(self.arrivals * EXPECTED_S / elapsed_s)
        if elapsed_s > EXPECTED_S:
            self.arrivals, self.counted_s = 0, now_s
        return expected
