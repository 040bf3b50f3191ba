"""The record of this node, and how it refutes wrong claims of other nodes."""

import logging
from collections.abc import Callable
from dataclasses import replace

from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.messages import Mark, MemberRecord, Status, from_record
from damaskproxy.model import Member

__all__ = ["OwnRecord"]

# Two processes with the same id would otherwise supersede each other in a tight loop.
SUPERSEDE_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class OwnRecord:
    """Record of this node, which only this node may change.

    Parameters
    ----------
    member : Member
        Initial record.
    now_s : callable
        Monotonic clock.
    on_change : callable
        Called with each new record.
    """

    def __init__(
        self,
        member: Member,
        *,
        now_s: Callable[[], float],
        on_change: Callable[[Member], None],
    ):
        self.member = member
        self._now_s = now_s
        self._on_change = on_change
        self._superseded_s = float("-inf")

    def update(self, **changes) -> None:
        """Change fields of the record; its version rises if anything differs."""
        changed = replace(self.member, **changes)
        if changed != self.member:
            self._set(replace(changed, version=changed.version + 1))

    def _set(self, member: Member) -> None:
        self.member = member
        self._on_change(member)

    def rejoin(self) -> None:
        """Raise the incarnation, since other nodes may have declared this one dead."""
        log_event(_log, events.REJOINED, incarnation=self.member.incarnation)
        self._supersede(self.member.incarnation)

    def handle_claim(self, claim: Mark | MemberRecord) -> None:
        """Refute a claim of another node about this one.

        A suspicion is refuted with a higher version. A claim that this node is dead is
        superseded with a higher incarnation, and so is a record that is not older but
        comes from another process with this node id, a second or an earlier one.
        """
        own = self.member
        if (claim.incarnation, claim.version) < own.order:
            return
        if claim.status is Status.ALIVE:
            self._handle_alive_claim(claim)
        elif claim.status is Status.SUSPECT and claim.incarnation == own.incarnation:
            log_event(_log, events.REFUTED, version=claim.version)
            self._set(replace(own, version=claim.version + 1))
        else:
            log_event(_log, events.REJOINED, incarnation=claim.incarnation)
            self._supersede(claim.incarnation)

    def _handle_alive_claim(self, claim: Mark | MemberRecord) -> None:
        own = self.member
        same_version = (claim.incarnation, claim.version) == own.order
        if same_version and (isinstance(claim, Mark) or from_record(claim) == own):
            return
        now_s = self._now_s()
        if now_s - self._superseded_s < SUPERSEDE_INTERVAL_S:
            return
        self._superseded_s = now_s
        if isinstance(claim, MemberRecord) and claim.control != (
            own.control.host,
            own.control.port,
        ):
            log_event(_log, events.SAME_NODE_ID, control=claim.control)
        self._supersede(claim.incarnation)

    def _supersede(self, incarnation: int) -> None:
        self._set(replace(self.member, incarnation=incarnation + 1, version=0))
