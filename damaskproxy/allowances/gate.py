"""Gate of a node: admits the requests of organisations that have a limit."""

import itertools
import logging
from collections.abc import Callable, Iterable, Mapping

from damaskproxy.allowances import events
from damaskproxy.allowances.accounts import (
    OWN_SHARE_TERM,
    URGENT_MIN,
    Account,
    Deliver,
    OrganisationState,
)
from damaskproxy.allowances.contacts import Contact
from damaskproxy.allowances.limits import AllowanceBounds, Limit
from damaskproxy.allowances.owners import Owners
from damaskproxy.events import log_event
from damaskproxy.forwarding.frames import (
    AllowanceAskFrame,
    AllowanceGrantFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
)

__all__ = ["Gate", "Message"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
ASK_TIMEOUT_S = 0.15
"""Time without an answer to an ask after which an owner is out of touch."""
WAIT_MIN_S = 0.02
"""Shortest time for which requests are refused without another ask."""
RETRY_AFTER_STEP_S = 0.01
"""Least wait of a refused request; Retry-After has two decimals."""
CREDIT_S = 0.5
"""Time for which tokens that were granted for expected requests can be used."""

Message = AllowanceReportFrame | AllowanceAskFrame


class Gate:
    """Admits requests, and tells the owners what was spent.

    Parameters
    ----------
    owners : Owners
        Members, as this node knows them.
    bounds : AllowanceBounds
        Tolerance of the platform.
    send : callable
        Sends a message to the owner with an id. The answer may arrive before it
        returns; a failure must be reported to `lost` later.
    """

    def __init__(
        self,
        owners: Owners,
        bounds: AllowanceBounds,
        send: Callable[[str, Message], None],
    ):
        self._owners = owners
        self._bounds = bounds
        self._send = send
        self._accounts: dict[str, Account] = {}
        self._contacts: dict[str, Contact] = {}
        self._active: set[Contact] = set()
        self._asking: set[str] = set()
        self._sequence = itertools.count(1)

    def apply(self, limits: Mapping[str, Limit], now_s: float) -> None:
        """Put the limits of a new configuration in force."""
        removed = [self._accounts.pop(n) for n in self._accounts.keys() - limits.keys()]
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                account = self._accounts[name] = Account(name, limit, now_s)
            elif account.limit != limit:
                # The wait was computed from the rate before.
                account.refuse_until_s = 0.0
            account.limit = limit
        self.members_changed(now_s)
        if not limits:
            # Nodes of earlier releases must get no frames then.
            self._contacts.clear()
        for account in removed:
            self._asking.discard(account.name)
            _deliver_all([*account.asked, *account.waiting], 0.0)

    def members_changed(self, now_s: float) -> None:
        """Divide the limits anew and choose the owners anew."""
        count, bounds = len(self._owners.members), self._bounds
        for account in self._accounts.values():
            limit = account.limit
            tokens = bounds.guard_tokens(limit, count)
            account.guard.change(bounds.guard_rate_per_s(limit, count), tokens, now_s)
            account.urgent_count = max(URGENT_MIN, int(tokens / 2))
            part = self._owners.whole_part(bounds.detached_tokens, account.name)
            capacity = bounds.detached_capacity(limit, count, part)
            account.own_share.change(limit.rate_per_s / count, capacity, now_s)
        candidates = self._owners.candidates
        for node_id in self._contacts.keys() - candidates:
            if self._contacts[node_id].is_lost:
                del self._contacts[node_id]
        self._choose_owners(now_s)

    def check(self, name: str, now_s: float) -> float | None:
        """Return the wait of a request, 0 if it is admitted, None if it has to ask."""
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        account.arrivals += 1
        contact = account.contact
        if contact is None:
            return self._spend_own_share(account, now_s)
        if account.credit and now_s < account.credit_until_s:
            account.credit -= 1
            account.spent += 1
            return 0.0
        if (
            contact.is_known
            and name not in contact.limited
            and account.guard.take(now_s)
        ):
            account.spent += 1
            if contact.add_spent(name, 1) >= account.urgent_count:
                contact.is_urgent = True
            return 0.0
        if now_s < account.refuse_until_s:
            return max(account.refuse_until_s - now_s, RETRY_AFTER_STEP_S)
        return None

    def ask(self, name: str, deliver: Deliver, now_s: float) -> None:
        """Ask the owner for a token; the answer is delivered later, or at once."""
        account = self._accounts.get(name)
        if account is None:
            deliver(0.0)
            return
        account.waiting.append(deliver)
        if name not in self._asking:
            self._decide_waiting(account, now_s)

    def term(self, name: str) -> int | None:
        """Return the term in which requests are charged now, None without a limit."""
        account = self._accounts.get(name)
        return None if account is None else account.term

    def finish(self, name: str, term: int, reached_count: int, now_s: float) -> None:
        """Record how many servers a request that was charged in a term has reached."""
        account = self._accounts.get(name)
        if account is not None:
            account.settle(term, reached_count, now_s)

    def handle_notice(
        self, node_id: str, notice: AllowanceNoticeFrame, now_s: float
    ) -> None:
        """Handle the answer to a report, or news of an owner."""
        contact = self._contacts.get(node_id)
        if contact is None:
            return
        if not notice.sequence:
            contact.limited.update(notice.limited)
            return
        contact.is_known = notice.sequence >= contact.view_sequence
        contact.limited = set(notice.limited)
        contact.unanswered_s = None
        contact.acknowledge(notice.sequence)
        if contact.is_lost:
            contact.is_lost = False
            log_event(logger, events.OWNER_REGAINED, owner=node_id)
            self._choose_owners(now_s)

    def handle_grant(
        self, node_id: str, grant: AllowanceGrantFrame, now_s: float
    ) -> None:
        """Handle the answer to an ask."""
        account = self._accounts.get(grant.organisation)
        contact = self._contacts.get(node_id)
        if account is None or contact is None or contact.is_lost:
            return
        contact.acknowledge(grant.sequence)
        if account.contact is not contact:
            # A refund to a former owner would be reported when it owns it again.
            return
        if account.sequence != grant.sequence:
            contact.add_spent(grant.organisation, -grant.granted)
            return
        self._asking.discard(account.name)
        account.sequence = 0
        asked, account.asked = account.asked, []
        wait_s = grant.wait_ms / MS_PER_S
        if grant.granted < len(asked):
            account.refuse_until_s = now_s + max(wait_s, WAIT_MIN_S)
        left = grant.granted
        for deliver in asked:
            if left and deliver(0.0):
                left -= 1
                account.spent += 1
            elif not left:
                deliver(max(wait_s, WAIT_MIN_S))
        if left:
            self._add_credit(account, contact, left, now_s)
        if account.waiting and account.name not in self._asking:
            self._decide_waiting(account, now_s)

    def lost(self, node_id: str, now_s: float) -> None:
        """Record that an owner is out of touch."""
        contact = self._contacts.get(node_id)
        if contact is None or contact.is_lost:
            return
        unknown = contact.lose()
        log_event(logger, events.OWNER_LOST, owner=node_id)
        self._choose_owners(now_s, unknown)
        self._probe_candidates(now_s)

    def tick(self, now_s: float) -> None:
        """Send the reports that are due, and detect owners that do not answer."""
        silent = {c.node_id for c in self._contacts.values() if c.is_silent(now_s)}
        for name in self._asking:
            account = self._accounts[name]
            if now_s - account.asked_s > ASK_TIMEOUT_S and account.contact is not None:
                silent.add(account.contact.node_id)
        for node_id in sorted(silent - {self._owners.own_id}):
            self.lost(node_id, now_s)
        for contact in list(self._contacts.values()):
            is_used = contact.is_lost or contact in self._active
            if is_used and contact.is_due(now_s):
                self._report(contact, now_s)

    def describe(self) -> list[OrganisationState]:
        """Return the state of each organisation with a limit."""
        return [
            OrganisationState(
                account.name,
                account.limit.rate_per_s,
                account.limit.burst,
                account.spent,
                account.contact is None
                or not account.contact.is_known
                or account.name in account.contact.limited,
                account.contact.node_id if account.contact else "",
            )
            for account in self._accounts.values()
        ]

    def _probe_candidates(self, now_s: float) -> None:
        """Find out at once which of the other candidates are in touch."""
        for node_id in self._owners.candidates:
            contact = self._contacts.get(node_id)
            if contact is None:
                contact = self._contacts[node_id] = Contact(node_id)
            if not contact.is_lost and contact not in self._active:
                self._report(contact, now_s)

    def _spend_own_share(self, account: Account, now_s: float) -> float:
        bucket = account.own_share
        if bucket.take(now_s):
            account.spent += 1
            return 0.0
        return max(bucket.wait_s(), WAIT_MIN_S)

    def _decide_waiting(self, account: Account, now_s: float) -> None:
        """Ask for the waiting requests, or decide about them here."""
        contact = account.contact
        if contact is not None and now_s >= account.refuse_until_s:
            self._send_ask(account, contact, now_s)
            return
        waiting, account.waiting = account.waiting, []
        for deliver in waiting:
            if contact is not None:
                deliver(max(account.refuse_until_s - now_s, RETRY_AFTER_STEP_S))
            else:
                deliver(self._spend_own_share(account, now_s))

    def _send_ask(self, account: Account, contact: Contact, now_s: float) -> None:
        name = account.name
        self._asking.add(name)
        account.asked, account.waiting = account.waiting, []
        account.sequence = next(self._sequence)
        account.asked_s = now_s
        account.return_credit(contact)
        ask = AllowanceAskFrame(
            account.sequence,
            name,
            len(account.asked),
            account.take_expected(now_s),
            contact.take_spent_of(name, account.sequence),
        )
        self._send(contact.node_id, ask)

    def _add_credit(
        self, account: Account, contact: Contact, count: int, now_s: float
    ) -> None:
        if now_s >= account.credit_until_s:
            account.return_credit(contact)
        account.credit += count
        account.credit_until_s = now_s + CREDIT_S

    def _choose_owners(
        self, now_s: float, unknown: Mapping[str, int] | None = None
    ) -> None:
        """Find the owner of each organisation, and report to old and new owners.

        Parameters
        ----------
        now_s : float
            Current time.
        unknown : mapping of str to int, optional
            Tokens that an owner out of touch may not have learned of; the next owner
            learns of them.
        """
        changed = [a for a in self._accounts.values() if self._choose_owner(a, now_s)]
        for name, count in (unknown or {}).items():
            account = self._accounts.get(name)
            if account is not None and account.contact is not None:
                account.contact.add_spent(name, count)
        before = self._active
        self._active = {a.contact for a in self._accounts.values() if a.contact}
        candidates = self._owners.candidates
        for contact in sorted(before | self._active, key=lambda c: c.node_id):
            if not contact.is_lost:
                contact.is_known = False
                self._report(contact, now_s, True, is_carried=bool(unknown))
        for node_id in self._contacts.keys() - candidates:
            if self._contacts[node_id] not in self._active:
                del self._contacts[node_id]
        for account in changed:
            if account.waiting and account.name not in self._asking:
                self._decide_waiting(account, now_s)

    def _choose_owner(self, account: Account, now_s: float) -> bool:
        """Find the owner of an organisation; return whether it has changed."""
        chosen = None
        for node_id in self._owners.ranking(account.name):
            contact = self._contacts.get(node_id)
            if contact is None:
                contact = self._contacts[node_id] = Contact(node_id)
            if not contact.is_lost:
                chosen = contact
                break
        if chosen is account.contact and (chosen or account.detached_s > 0):
            return False
        account.contact = chosen
        account.term = OWN_SHARE_TERM if chosen is None else next(self._sequence)
        account.credit = 0
        account.refuse_until_s = 0.0
        if account.name in self._asking:
            self._asking.discard(account.name)
            account.waiting = [*account.asked, *account.waiting]
            account.asked, account.sequence = [], 0
        if chosen is None:
            self._detach(account, now_s)
        return True

    def _detach(self, account: Account, now_s: float) -> None:
        """Begin to spend the own share, with the part of the slack once per window."""
        part = self._owners.whole_part(self._bounds.detached_tokens, account.name)
        bucket = account.own_share
        bucket.updated_s = now_s
        if now_s - account.detached_s > self._bounds.window_s:
            bucket.balance = float(part)
        else:
            bucket.balance = min(bucket.balance, float(part))
        account.detached_s = now_s

    def _report(
        self,
        contact: Contact,
        now_s: float,
        is_new_view: bool = False,
        *,
        is_carried: bool = False,
    ) -> None:
        candidates, lost = [], []
        if not contact.is_known:
            candidates = list(self._owners.candidates)
            lost = sorted(c.node_id for c in self._contacts.values() if c.is_lost)
        sequence = next(self._sequence)
        spent = [] if contact.is_lost else contact.take_spent(sequence)
        contact.report_sent(now_s)
        if contact.is_lost:
            contact.unanswered_s = None
        if is_new_view:
            contact.view_sequence = sequence
        self._send(
            contact.node_id,
            AllowanceReportFrame(sequence, candidates, lost, spent, is_carried),
        )


def _deliver_all(waiting: Iterable[Deliver], wait_s: float) -> None:
    for deliver in waiting:
        deliver(wait_s)
