"""Ledger of an owner: what organisations may spend over all nodes."""

import logging
import math
from collections import Counter
from collections.abc import Mapping

from damaskproxy.allowances import events
from damaskproxy.allowances.limits import AllowanceBounds, Limit, TokenBucket
from damaskproxy.allowances.owners import Owners, OwnerView
from damaskproxy.events import log_event
from damaskproxy.forwarding.frames import (
    AllowanceAskFrame,
    AllowanceGrantFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
)

__all__ = ["Ledger"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
SILENT_S = 0.75
"""Time without a message after which the share of a node is reserved. Nodes report at
least every 0.5 s, and turn to another owner after 0.3 s without an answer."""
NEW_LIMITED_S = 0.5
"""Time for which a new owner is asked for each request, since the organisation may have
spent its allowance before."""
FIRST_S = 1.0
"""Time in which nodes find a new owner; each brings its part of the first balance, and
what it spent under the owner before. Later, the bucket covers what is carried over."""
START_S = 0.4
"""Time after the first limits are in force in which all members count as nodes that
report here. While all nodes start, they find each other within this time."""
RESERVED_S = 30.0
"""Time for which the share of a silent node is reserved, longer than cuts of links and
restarts of processes take."""
REACTION_S = 0.3
"""Usual time from spending to its deduction and the notice to the nodes."""
LIMITED_SHARE, OPEN_SHARE = 0.25, 0.5
"""Shares of the capacity below and from which an organisation is limited and open."""
RATE_WINDOW_S = 0.5
"""Time constant of the observed rate."""
DEBT_MAX_S = 2.0
"""Largest debt in seconds of the rate; a wrong report must not block for longer."""
WAIT_MIN_S, WAIT_MAX_S = 0.02, 5.0
"""Shortest and longest time for which a node refuses after an ask."""
SPREAD_MAX_S = 0.25
"""Longest wait that only serves to spread asks; with longer ones the tokens of a node
that stops asking would be unused."""
ASKS_PER_TOKEN = 2.0
"""Asks for each token while many nodes ask, so that no token stays unused."""
DEMAND_MAX_AGE_S = 0.5
"""Time for which a node counts among those that ask for an organisation."""


class _Account:
    """What this owner knows about one organisation."""

    __slots__ = (
        "askers",
        "bucket",
        "granted",
        "first_share",
        "first_until_s",
        "ignored",
        "is_limited",
        "limit",
        "limited_until_s",
        "observed_per_s",
        "observed_s",
        "share",
    )

    def __init__(self, limit: Limit, now_s: float):
        self.limit = limit
        self.bucket = TokenBucket(0.0, 0.0, 0.0, now_s)
        self.share = 0.0
        self.first_share = 0.0
        self.first_until_s = 0.0
        self.ignored = 0.0
        self.limited_until_s = 0.0
        self.is_limited = False
        self.observed_per_s = 0.0
        self.observed_s = now_s
        self.askers: dict[str, float] = {}
        self.granted = 0

    def spend(self, count: int, now_s: float) -> None:
        """Deduct tokens, into debt if need be."""
        bucket = self.bucket
        bucket.refill(now_s)
        elapsed_s = max(now_s - self.observed_s, 0.0)
        self.observed_s = now_s
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self.observed_per_s = self.observed_per_s * decay + count / RATE_WINDOW_S
        self.granted += count
        debt = DEBT_MAX_S * self.limit.rate_per_s + self.limit.burst
        bucket.balance = min(max(bucket.balance - count, -debt), bucket.capacity)

    def forget_askers(self, now_s: float) -> None:
        """Forget the nodes that have not asked lately."""
        askers, before_s = self.askers, now_s - DEMAND_MAX_AGE_S
        for node_id in [n for n, at_s in askers.items() if at_s < before_s]:
            del askers[node_id]

    def threshold(self, share: float) -> float:
        """Return the balance at which the state changes."""
        reaction = self.observed_per_s * REACTION_S * share / LIMITED_SHARE
        return max(share * self.bucket.capacity, reaction)

    def update_state(self, now_s: float) -> bool:
        """Update whether it is limited; return whether that has changed."""
        self.bucket.refill(now_s)
        share = OPEN_SHARE if self.is_limited else LIMITED_SHARE
        # At a high rate, the level would otherwise be above that of a full bucket.
        level = min(self.threshold(share), self.bucket.capacity)
        was_limited = self.is_limited
        self.is_limited = self.bucket.balance < level or now_s < self.limited_until_s
        return self.is_limited != was_limited


class Ledger:
    """Token buckets of the organisations that this node owns.

    Each node contributes an equal share of the rate to the owner that it reports to, so
    that all owners together give out one rate, also while nodes disagree on the owner.

    Parameters
    ----------
    owners : Owners
        Members, as this node knows them.
    bounds : AllowanceBounds
        Tolerance of the platform.
    """

    def __init__(self, owners: Owners, bounds: AllowanceBounds):
        self._owners = owners
        self._bounds = bounds
        self._started_s: float | None = None
        self._accounts: dict[str, _Account] = {}
        self._views: dict[str, OwnerView] = {}
        self._heard_s: dict[str, float] = {}
        self._counts: Counter[OwnerView] = Counter()
        self._unused = 0
        self._is_outdated = True
        self._limited: set[str] = set()
        self._newly_limited: set[str] = set()

    def apply(self, limits: Mapping[str, Limit], now_s: float) -> None:
        """Put the limits of a new configuration in force."""
        if self._started_s is None:
            self._started_s = now_s
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
            self._limited.discard(name)
            self._newly_limited.discard(name)
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = account = _Account(limit, now_s)
            account.limit = limit
            self._set_share(name, account, account.share, now_s)
        self._is_outdated = True

    def handle_report(
        self, node_id: str, report: AllowanceReportFrame, now_s: float
    ) -> AllowanceNoticeFrame:
        """Deduct what a node has spent and return the answer to it."""
        view = (tuple(report.candidates), frozenset(report.lost))
        if not report.candidates:
            view = self._views.get(node_id, view)
        if self._views.get(node_id) != view or not self._is_fresh(node_id, now_s):
            self._views[node_id] = view
            self._is_outdated = True
        self._heard_s[node_id] = now_s
        if self._is_outdated:
            self._update_shares(now_s)
        for name, count in report.spent:
            account = self._accounts.get(name)
            # What was spent under an owner before is not known to the bucket here.
            if account is not None and account.share:
                if report.is_carried and now_s < account.first_until_s:
                    ignored = min(max(count, 0), int(account.ignored))
                    account.ignored -= ignored
                    count -= ignored
                account.spend(count, now_s)
                self._update_state(name, account, now_s)
        for name in list(self._limited):
            self._update_state(name, self._accounts[name], now_s)
        return AllowanceNoticeFrame(report.sequence, sorted(self._limited))

    def handle_ask(
        self, node_id: str, ask: AllowanceAskFrame, now_s: float
    ) -> AllowanceGrantFrame:
        """Grant tokens to a node that asks for them."""
        if not self._is_fresh(node_id, now_s):
            self._is_outdated = True
        self._heard_s[node_id] = now_s
        account = self._accounts.get(ask.organisation)
        if account is None:
            # The limit is removed, or not yet in force on all nodes.
            return AllowanceGrantFrame(ask.sequence, ask.organisation, ask.wanted, 0)
        if self._is_outdated:
            self._update_shares(now_s)
        account.askers[node_id] = now_s
        if account.share:
            account.spend(ask.spent, now_s)
        balance = max(int(account.bucket.balance), 0)
        granted = min(ask.wanted, balance)
        if granted == ask.wanted and not account.is_limited:
            spare = balance - granted - account.threshold(OPEN_SHARE)
            granted += max(min(ask.extra, int(spare)), 0)
        if granted:
            account.spend(granted, now_s)
        wait_s = 0.0 if granted >= ask.wanted else self._wait_s(account, now_s)
        self._update_state(ask.organisation, account, now_s)
        return AllowanceGrantFrame(
            ask.sequence, ask.organisation, granted, math.ceil(wait_s * MS_PER_S)
        )

    def tick(self, now_s: float) -> None:
        """Reserve the shares of nodes that have become silent, for a limited time."""
        self._forget(now_s)
        counts = Counter(self._views[n] for n in self.fresh_nodes(now_s))
        unused = self._unused_count(now_s)
        if (counts, unused) != (self._counts, self._unused) or self._is_outdated:
            self._update_shares(now_s)

    def take_newly_limited(self) -> list[str]:
        """Return the organisations that were limited since the last call."""
        names, self._newly_limited = sorted(self._newly_limited), set()
        return names

    def fresh_nodes(self, now_s: float) -> list[str]:
        """Return the nodes that have reported lately."""
        return [node_id for node_id in self._views if self._is_fresh(node_id, now_s)]

    def balance(self, name: str, now_s: float) -> float:
        """Return the balance of an organisation."""
        bucket = self._accounts[name].bucket
        bucket.refill(now_s)
        return bucket.balance

    def members_changed(self) -> None:
        """Compute the shares again, since the members have changed."""
        self._is_outdated = True

    def _is_fresh(self, node_id: str, now_s: float) -> bool:
        return now_s - self._heard_s.get(node_id, -math.inf) < SILENT_S

    def _update_shares(self, now_s: float) -> None:
        """Compute which share of the rate of each organisation is given out here."""
        self._is_outdated = False
        self._forget(now_s)
        self._counts = Counter(self._views[n] for n in self.fresh_nodes(now_s))
        unused = self._unused = self._unused_count(now_s)
        own_view = (self._owners.candidates, frozenset())
        own_id, owner_in = self._owners.own_id, self._owners.owner_in
        member_count = len(self._owners.members)
        for name, account in self._accounts.items():
            account.forget_askers(now_s)
            count = sum(
                nodes
                for view, nodes in self._counts.items()
                if owner_in(view, name) == own_id
            )
            if unused and count and owner_in(own_view, name) == own_id:
                count += unused
            share = min(count / member_count, 1.0)
            if share != account.share:
                self._set_share(name, account, share, now_s)

    def _unused_count(self, now_s: float) -> int:
        """Return how many members have not reported and may not report elsewhere."""
        if self._started_s is None:
            # Nodes with a newer configuration report before the limits are in force.
            return 0
        if START_S <= now_s - self._started_s < RESERVED_S:
            return 0
        heard = self._heard_s
        return sum(node_id not in heard for node_id in self._owners.members)

    def _forget(self, now_s: float) -> None:
        before_s = now_s - RESERVED_S
        for node_id in [n for n, at_s in self._heard_s.items() if at_s < before_s]:
            del self._heard_s[node_id]
            self._views.pop(node_id, None)

    def _set_share(
        self, name: str, account: _Account, share: float, now_s: float
    ) -> None:
        """Change rate and capacity to those of a share of the nodes."""
        limit, bucket, bounds = account.limit, account.bucket, self._bounds
        # The first node that reports must be able to send a request at once.
        capacity = (
            max((limit.burst + bounds.burst_extra) * share, 1.0) if share else 0.0
        )
        bucket.change(limit.rate_per_s * share, capacity, now_s)
        if share and not account.share:
            bucket.balance = account.first_share = 0.0
            account.first_until_s = now_s + FIRST_S
            account.ignored = bounds.carried_tokens(limit)
            account.limited_until_s = now_s + NEW_LIMITED_S
        if share > account.first_share and now_s < account.first_until_s:
            added = bounds.first_balance * (share - account.first_share)
            if not account.first_share:
                added = max(added, 1.0)
            account.first_share = share
            bucket.balance = min(bucket.balance + added, capacity)
        account.share = share
        if not share:
            account.is_limited = False
            self._limited.discard(name)
        else:
            self._update_state(name, account, now_s)

    def _update_state(self, name: str, account: _Account, now_s: float) -> None:
        if not account.update_state(now_s):
            return
        if account.is_limited:
            self._limited.add(name)
            self._newly_limited.add(name)
        else:
            self._limited.discard(name)
            self._newly_limited.discard(name)
        log_event(
            logger,
            events.ALLOWANCE_LIMITED if account.is_limited else events.ALLOWANCE_OPEN,
            organisation=name,
            balance=round(account.bucket.balance, 1),
            observed_per_s=round(account.observed_per_s, 1),
            share=round(account.share, 3),
        )

    def _wait_s(self, account: _Account, now_s: float) -> float:
        account.forget_askers(now_s)
        # Not that of the bucket, since more nodes may report a moment after a start.
        rate_per_s = account.limit.rate_per_s
        missing_s = (1 - account.bucket.balance) / rate_per_s
        spread_s = min(len(account.askers) / rate_per_s / ASKS_PER_TOKEN, SPREAD_MAX_S)
        return min(max(missing_s, spread_s, WAIT_MIN_S), WAIT_MAX_S)
