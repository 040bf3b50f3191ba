"""Order of the requests of one class by the shares of their organisations."""

from bisect import bisect_left, bisect_right
from collections.abc import Callable

from damaskproxy.common import Priority
from damaskproxy.common.ids import ORDINAL_COUNT

__all__ = ["FairShares"]

ORGANISATIONS_MAX = 1000
"""Organisations of one class with counts of their own; the others count as one."""
OTHERS = None
REVIEW_S = 0.2
"""Time between reviews of the counts, which take 0.4 ms for 1,000 organisations."""
HALF_LIFE_S = 2.0
"""Half-life of the counts. An organisation that suddenly sends ten times its share has
most of the counts within a second, and a second after it stops, half of them."""
FORGOTTEN_COUNT = 0.05
"""Count below which an organisation is removed, 9 s after a single request."""
SHARE_FACTOR = 3.0
"""Largest ratio of the ordinal to that of a plain hash. Of an organisation, at least a
third of the share below the level is then served. That is a quarter of the served share
of all, which is at most a third above the level."""


class _ClassShares:
    """Requests of one class by organisation, decaying with time.

    Notes
    -----
    The requests of an organisation are spread by their hash over the interval from 0 to
    its rate. Those below a common rate are admitted first, so that each organisation is
    admitted up to that rate (max-min fairness). `_rates` are the rates in increasing
    order, `_shares` the share of all requests that lies below each of them.
    """

    __slots__ = ("_rates", "_shares", "_total", "counts")

    def __init__(self):
        self.counts: dict[str | None, float] = {}
        self._rates: list[float] = []
        self._shares: list[float] = []
        self._total = 0.0

    def add(self, organisation: str, count: int) -> float:
        key = organisation
        if key not in self.counts and len(self.counts) >= ORGANISATIONS_MAX:
            key = OTHERS
        rate = self.counts[key] = self.counts.get(key, 0.0) + count
        return rate

    def rate_of(self, organisation: str) -> float:
        rate = self.counts.get(organisation)
        return self.counts.get(OTHERS, 0.0) if rate is None else rate

    def review(self, decay: float) -> None:
        decayed = {key: count * decay for key, count in self.counts.items()}
        self.counts = {
            key: count for key, count in decayed.items() if count >= FORGOTTEN_COUNT
        }
        self._rates = rates = sorted(self.counts.values())
        self._total = sum(rates)
        self._shares = []
        below = 0.0
        for index, rate in enumerate(rates):
            self._shares.append((below + rate * (len(rates) - index)) / self._total)
            below += rate

    def share_below(self, rate: float) -> float:
        """Return the share of all requests that are spread below a rate."""
        index = bisect_right(self._rates, rate)
        if index == len(self._rates):
            return 1.0
        lower_rate, lower_share = self._point(index)
        return lower_share + (rate - lower_rate) * self._slope(index)

    def rate_of_share(self, share: float) -> float:
        """Return the rate below which a share of all requests lies."""
        index = bisect_left(self._shares, share)
        if index == len(self._shares):
            return self._rates[-1] if self._rates else 0.0
        lower_rate, lower_share = self._point(index)
        return lower_rate + (share - lower_share) / self._slope(index)

    def _point(self, index: int) -> tuple[float, float]:
        return (
            (self._rates[index - 1], self._shares[index - 1]) if index else (0.0, 0.0)
        )

    def _slope(self, index: int) -> float:
        return (len(self._rates) - index) / self._total

    @property
    def is_empty(self) -> bool:
        return not self._rates


class FairShares:
    """Ordinals of new requests by the share that their organisation uses.

    The ordinals of an organisation that sends more than the others are higher, so that
    its requests are refused first when the admission level falls.

    Parameters
    ----------
    now_s : callable
        Returns the time of a monotonic clock, seconds.
    """

    def __init__(self, *, now_s: Callable[[], float]):
        self._now_s = now_s
        self._classes = [_ClassShares() for _ in Priority]
        self._reviewed_s = now_s()

    def ordinal(
        self, priority: int, organisation: str, ordinal: int, earlier_refusals: int = 0
    ) -> int:
        """Count a new request and return its ordinal.

        Parameters
        ----------
        priority : int
            Class of the request.
        organisation : str
            Name of its organisation.
        ordinal : int
            Ordinal from the hash of its id.
        earlier_refusals : int
            Requests of the organisation that its origin has refused since the last one.
        """
        now_s = self._now_s()
        if now_s - self._reviewed_s >= REVIEW_S:
            decay = 0.5 ** ((now_s - self._reviewed_s) / HALF_LIFE_S)
            self._reviewed_s = now_s
            for shares in self._classes:
                shares.review(decay)
        shares = self._classes[priority]
        rate = shares.add(organisation, 1 + earlier_refusals)
        if shares.is_empty:
            return ordinal
        part = (ordinal + 0.5) / ORDINAL_COUNT
        share = min(shares.share_below(part * rate), SHARE_FACTOR * part)
        return min(ORDINAL_COUNT - 1, int(share * ORDINAL_COUNT))

    def level_by_hash(self, priority: int, organisation: str, level: int) -> int:
        """Return the level that requests of an organisation meet by their hash.

        The origin of a request knows only the part of the requests that it sends, and
        compares this level with the ordinal from the hash.

        Parameters
        ----------
        priority : int
            Class of the requests.
        organisation : str
            Name of the organisation.
        level : int
            Admission level, to be compared with ordinals from `ordinal`.
        """
        first = priority * ORDINAL_COUNT
        shares = self._classes[priority]
        rate = shares.rate_of(organisation)
        if not first < level < first + ORDINAL_COUNT or shares.is_empty or not rate:
            return level
        share = (level - first) / ORDINAL_COUNT
        part = max(shares.rate_of_share(share) / rate, share / SHARE_FACTOR)
        return first + min(ORDINAL_COUNT, round(part * ORDINAL_COUNT))
