"""State of the local backend server, from its status reports."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from damaskproxy.common.clock import boot_s
from damaskproxy.directory import BackendRecord
from damaskproxy.model import MemberState

__all__ = ["Backend", "StatusReport"]

MS_PER_S = 1000
MISSED_REPORTS_MAX = 4
"""Consecutive status reports that may be late or lost before the server is taken out of
service."""
LIMIT_TOLERANCE = 0.1
"""Relative change of a named limit that is ignored, since each change is stored."""
LIMIT_HELD_S = 1.0
"""Time after the last answer that named a limit in which others do not end it. Answers
may be sent in another order than they arrive."""
RETRY_CONNECT_S = 0.2
"""Pause after a refused connection, so that a crashed server does not cost a connection
attempt for each call."""
LEFT_MAX = 16
"""Servers remembered as left; an address is reused by few within the life of a node."""
REPORT_DELAY_MAX_S = 10.0
"""Longest time that a status report is on its way."""


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Validated status report of a backend server.

    Parameters
    ----------
    instance_id : str
        Id of its incarnation, one run of the server process.
    service : str
        Service that it belongs to.
    slots : int
        Requests that it runs concurrently.
    is_draining : bool
        Whether it takes no new requests.
    born_ms : int
        Unix time at which the incarnation started.
    sequence : int
        Increases with each report of an incarnation.
    cold_ms : int
        Time until it has warmed up to full speed.
    """

    instance_id: str
    service: str
    slots: int
    is_draining: bool
    born_ms: int
    sequence: int
    cold_ms: int = 0


class Backend:
    """State of the local backend server.

    Parameters
    ----------
    heartbeat_interval_ms : int
        Interval of the status reports.
    on_change : callable
        Called after the record for other nodes has changed.

    Attributes
    ----------
    record : BackendRecord or None
        Newest state, None before the first report.
    """

    def __init__(self, heartbeat_interval_ms: int, on_change: Callable[[], None]):
        self.record: BackendRecord | None = None
        self._heartbeat_s = heartbeat_interval_ms / MS_PER_S
        self._on_change = on_change
        self._started_s = boot_s()
        self._reported_s = boot_s()
        self._is_overdue = False
        self._verified: tuple[str, int] | None = None
        self._verified_from_ms = 0
        self._unreachable_until_s = 0.0
        self._restored_leave: BackendRecord | None = None
        self._restored_limit: BackendRecord | None = None
        self._limit_named_s = float("-inf")
        self._left: dict[str, int] = {}

    @property
    def is_serving(self) -> bool:
        """Whether it may be sent new calls."""
        return (
            self.record is not None
            and self.record.state is MemberState.SERVING
            and not self._is_overdue
            and self._is_verified(self.record)
        )

    @property
    def must_verify(self) -> bool:
        """Whether it would be served if it were known that it has not left."""
        return (
            self.record is not None
            and self.record.state is MemberState.SERVING
            and not self._is_overdue
            and not self._is_verified(self.record)
        )

    @property
    def is_reachable(self) -> bool:
        """Whether it has not refused a connection within `RETRY_CONNECT_S`."""
        return boot_s() >= self._unreachable_until_s

    def restore(self, record: BackendRecord) -> None:
        """Apply the record that this node stored before its restart.

        A status report may have arrived before the record was read. It does not say
        what the server has named in its answers.
        """
        if self.record is not None:
            self.restore_named(record)
            return
        # The next report counts whatever its number is: those from before the restart
        # went to the former process, and another writer may have changed the row.
        record = msgspec.structs.replace(record, sequence=0)
        self.record = self._with_left(
            self._with_limit_of_peers(record).with_leave_of(self._restored_leave)
        )
        self._reported_s = boot_s()
        self._is_overdue = False
        self._on_change()

    def restore_named(self, record: BackendRecord) -> None:
        """Apply a leave or a limit that was on record before the restart."""
        if record.max_calls_per_s is not None and self._limit_named_s < 0:
            self._restored_limit = record
            self.limit_named(record.incarnation_key, record.max_calls_per_s, 0.0)
        if not record.is_leaving:
            return
        self._restored_leave = record
        current = self.record
        if (
            current is not None
            and (withdrawn := current.with_leave_of(record)) is not current
        ):
            self._apply(withdrawn, force=True)

    def report(self, report: StatusReport) -> bool:
        """Apply a status report; False if it is older than the current record."""
        current = self.record
        if current is not None and not _is_newer(report, current):
            return False
        is_same_incarnation = current is not None and current.born_ms == report.born_ms
        state = MemberState.DRAINING if report.is_draining else MemberState.SERVING
        # An incarnation that drains or has stopped never serves again, whatever a late
        # or reordered report says.
        if is_same_incarnation and current.state is not MemberState.SERVING:
            state = current.state
        self._reported_s = boot_s()
        was_overdue, self._is_overdue = self._is_overdue, False
        self._unreachable_until_s = 0.0
        becomes_verified = False
        if boot_s() - self._started_s > REPORT_DELAY_MAX_S and not report.is_draining:
            # Sent after this process began, which a server that has left does not do.
            becomes_verified = self.must_verify
            self._verified = (report.instance_id, report.born_ms)
        warm_at_ms = int(time.time() * MS_PER_S) + report.cold_ms
        if is_same_incarnation and current.instance_id == report.instance_id:
            warm_at_ms = current.warm_at_ms
        record = BackendRecord(
            report.instance_id,
            report.service,
            report.slots,
            state,
            report.born_ms,
            report.sequence,
            warm_at_ms if report.cold_ms else 0,
            current.max_calls_per_s if is_same_incarnation else None,
        )
        if current is None:
            record = self._with_limit_of_peers(record)
        record = self._with_left(record.with_leave_of(self._restored_leave))
        self._apply(record, force=was_overdue or becomes_verified)
        return True

    def require_verification(self, from_ms: int) -> None:
        """Serve an incarnation that may have left before only after `verify`.

        Parameters
        ----------
        from_ms : int
            Unix time of the earliest start of an incarnation that cannot have left
            before this process began.
        """
        was_serving, self._verified_from_ms = self.is_serving, from_ms
        if was_serving and not self.is_serving:
            self._on_change()

    def verify(self, incarnation: tuple[str, int]) -> None:
        """Record that an incarnation has not left before this process began."""
        was_serving, self._verified = self.is_serving, incarnation
        if self.is_serving and not was_serving:
            self._on_change()

    def mark_stopped(self, instance_id: str, born_ms: int | None = None) -> None:
        """Record that an incarnation leaves and sends no further reports.

        It may be unknown: before the record from before a restart is restored, or
        before its first report, which may arrive late. The leave is applied then.

        Parameters
        ----------
        instance_id : str
            Id of the incarnation.
        born_ms : int, optional
            Unix time at which it started. Without it, incarnations with this id that
            have started until now leave.
        """
        current = self.record
        if born_ms is None:
            born_ms = int(time.time() * MS_PER_S)
            if current is not None and current.instance_id == instance_id:
                born_ms = max(born_ms, current.born_ms)
        born_ms = max(born_ms, self._left.pop(instance_id, 0))
        self._left[instance_id] = born_ms
        if len(self._left) > LEFT_MAX:
            del self._left[next(iter(self._left))]
        if current is not None and (left := self._with_left(current)) is not current:
            self._apply(left, force=True)

    def leave_named(self, incarnation: tuple[str, int]) -> bool:
        """Record that an incarnation has said that it leaves.

        Returns
        -------
        bool
            Whether this was news.
        """
        current = self.record
        if current is None or current.incarnation_key != incarnation:
            return False
        if current.is_leaving:
            return False
        self._apply(_with_state(current, MemberState.DRAINING), force=True)
        return True

    def limit_named(
        self, incarnation: tuple[str, int], per_s: float | None, sent_s: float
    ) -> bool:
        """Record the limit that an answer named.

        Parameters
        ----------
        incarnation : tuple
            Key of the incarnation that answered.
        per_s : float or None
            Calls per second that it takes from all nodes together, None for no limit.
        sent_s : float
            Time at which the call was sent to it. Answers to calls that were sent
            before a limit was named do not end the limit.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        current = self.record
        if current is None or current.incarnation_key != incarnation:
            return False
        known_per_s = current.max_calls_per_s
        if per_s is None:
            if known_per_s is None or sent_s < self._limit_named_s + LIMIT_HELD_S:
                return False
        else:
            self._limit_named_s = boot_s()
            if (
                known_per_s is not None
                and abs(per_s - known_per_s) <= LIMIT_TOLERANCE * known_per_s
            ):
                return False
        changed = msgspec.structs.replace(current, max_calls_per_s=per_s)
        self._apply(changed, force=False)
        return True

    def connection_refused(self) -> None:
        """Record that no process listens at its address."""
        self._unreachable_until_s = boot_s() + RETRY_CONNECT_S

    def check_heartbeat(self) -> None:
        """Take the server out of service when its status reports are overdue."""
        since_report_s = boot_s() - self._reported_s
        is_overdue = since_report_s > MISSED_REPORTS_MAX * self._heartbeat_s
        if self.record is not None and is_overdue and not self._is_overdue:
            self._is_overdue = True
            self._on_change()

    def published_record(self) -> BackendRecord | None:
        """Return the record for other nodes.

        A leave stays in it when reports are overdue, so that the node knows it after a
        restart.
        """
        record = self.record
        if record is not None and not self.is_serving and not record.is_leaving:
            return _with_state(record, MemberState.STARTING)
        return record

    def _is_verified(self, record: BackendRecord) -> bool:
        """Tell whether an incarnation has not left before this process began."""
        return (
            record.born_ms >= self._verified_from_ms
            or record.incarnation_key == self._verified
        )

    def _with_left(self, record: BackendRecord) -> BackendRecord:
        """Return a record, stopped if its incarnation was marked as stopped."""
        left_born_ms = self._left.get(record.instance_id)
        if left_born_ms is None or record.born_ms > left_born_ms:
            return record
        if record.state is MemberState.STOPPED:
            return record
        return _with_state(record, MemberState.STOPPED)

    def _with_limit_of_peers(self, record: BackendRecord) -> BackendRecord:
        """Return the first record since the start, with a limit that peers know."""
        known = self._restored_limit
        if known is not None and known.incarnation_key == record.incarnation_key:
            per_s = known.max_calls_per_s
            record = msgspec.structs.replace(record, max_calls_per_s=per_s)
        if record.max_calls_per_s is not None:
            self._limit_named_s = boot_s()
        return record

    def _apply(self, record: BackendRecord, *, force: bool) -> None:
        current, self.record = self.record, record
        if (
            force
            or current is None
            or _published_fields(current) != _published_fields(record)
        ):
            self._on_change()


def _is_newer(report: StatusReport, current: BackendRecord) -> bool:
    if report.born_ms != current.born_ms:
        return report.born_ms > current.born_ms
    if report.instance_id != current.instance_id:
        return False
    return report.sequence > current.sequence


def _published_fields(record: BackendRecord) -> tuple:
    """Return the fields whose changes are published to other nodes."""
    return (
        record.instance_id,
        record.born_ms,
        record.service,
        record.slots,
        record.state,
        record.max_calls_per_s,
    )


def _with_state(record: BackendRecord, state: MemberState) -> BackendRecord:
    return msgspec.structs.replace(record, state=state)
