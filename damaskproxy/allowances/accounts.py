"""State of one organisation at the gate of a node."""

from collections.abc import Callable
from dataclasses import dataclass

from damaskproxy.allowances.contacts import Contact
from damaskproxy.allowances.limits import Limit, TokenBucket

__all__ = ["URGENT_MIN", "Account", "Deliver", "OrganisationState"]

EXPECTED_S = 0.1
"""Time over which expected requests are counted, several round trips of an ask."""
URGENT_MIN = 2
"""Tokens that a node spends before it reports early. Most organisations send less than
one request in `contacts.REPORT_S` to a node."""

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
        "urgent_count",
        "waiting",
    )

    def __init__(self, name: str, limit: Limit, now_s: float):
        self.name = name
        self.limit = limit
        self.contact: Contact | None = None
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

    def take_expected(self, now_s: float) -> int:
        """Return the requests that are expected soon, from those that arrived."""
        elapsed_s = max(now_s - self.counted_s, EXPECTED_S)
        expected = int(self.arrivals * EXPECTED_S / elapsed_s)
        if elapsed_s > EXPECTED_S:
            self.arrivals, self.counted_s = 0, now_s
        return expected
