"""What a node knows about the owners that it reports to."""

from dataclasses import dataclass, field

__all__ = ["Contact"]

REPORT_S = 0.3
"""Longest time for which spent tokens are not reported."""
ALIVE_S = 0.5
"""Longest time between two reports; owners reserve the share of a node after 1 s."""
ANSWER_TIMEOUT_S = 0.3
"""Time without an answer to a report after which an owner is out of touch; covers
several round trips between regions and the delay of a busy event loop."""
PROBE_S = 0.5
"""Time between two reports to an owner that is out of touch."""


@dataclass(slots=True, eq=False)
class Contact:
    """One owner, as one node sees it.

    Attributes
    ----------
    node_id : str
        Id of the owner.
    is_lost : bool
        Whether it is out of touch.
    is_known : bool
        Whether it has said which organisations are limited.
    is_urgent : bool
        Whether to report at the next opportunity.
    limited : set of str
        Organisations for which it is to be asked.
    spent : dict of str to int
        Tokens that it has not been told of, by organisation.
    reported_s : float
        Time of the last report.
    unanswered_s : float or None
        Time of the first report that it has not answered.
    view_sequence : int
        Number of the first report since it may own other organisations than before;
        the answers to earlier ones do not make it known.
    """

    node_id: str
    is_lost: bool = False
    is_known: bool = False
    is_urgent: bool = False
    limited: set[str] = field(default_factory=set)
    spent: dict[str, int] = field(default_factory=dict)
    reported_s: float = float("-inf")
    unanswered_s: float | None = None
    view_sequence: int = 0

    def add_spent(self, name: str, count: int) -> int:
        """Count tokens to be reported; return those of the organisation."""
        total = self.spent.get(name, 0) + count
        self.spent[name] = total
        return total

    def take_spent(self) -> list[tuple[str, int]]:
        """Return the tokens to be reported, once."""
        spent, self.spent = self.spent, {}
        return [(name, count) for name, count in spent.items() if count]

    def report_sent(self, now_s: float) -> None:
        """Record that a report is sent."""
        self.is_urgent = False
        self.reported_s = now_s
        if self.unanswered_s is None:
            self.unanswered_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether it has left a report without an answer for too long."""
        unanswered_s = self.unanswered_s
        return unanswered_s is not None and now_s - unanswered_s > ANSWER_TIMEOUT_S

    def is_due(self, now_s: float) -> bool:
        """Return whether to send a report."""
        elapsed_s = now_s - self.reported_s
        if self.is_lost:
            return elapsed_s >= PROBE_S
        if elapsed_s >= ALIVE_S or self.is_urgent:
            return True
        return bool(self.spent) and elapsed_s >= REPORT_S

    def lose(self) -> None:
        """Record that it is out of touch; it will not learn what was spent before."""
        self.is_lost = True
        self.is_known = False
        self.limited.clear()
        self.spent.clear()
        self.unanswered_s = None
