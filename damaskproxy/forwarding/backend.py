"""The backend server beside this node, as its status reports describe it."""

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
"""Status reports in a row that may be late or lost before the server counts as gone."""
RETRY_CONNECT_S = 0.2
"""Pause after a refused connection, so that a crashed server costs no connection for
each call."""


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Checked status report of a backend server.

    Parameters
    ----------
    instance_id : str
        Name of its lifetime.
    service : str
        Service that it runs.
    slots : int
        Requests that it runs at once.
    is_draining : bool
        Whether it leaves.
    born_ms : int
        Unix time of its start.
    sequence : int
        Rises with each report of a lifetime.
    cold_ms : int
        Time until it runs at full speed.
    """

    instance_id: str
    service: str
    slots: int
    is_draining: bool
    born_ms: int
    sequence: int
    cold_ms: int = 0


class Backend:
    """State of the backend server.

    Parameters
    ----------
    heartbeat_interval_ms : int
        Usual time between status reports.
    on_change : callable
        Called when the record for other nodes changed.

    Attributes
    ----------
    record : BackendRecord or None
        Newest known state.
    """

    def __init__(self, heartbeat_interval_ms: int, on_change: Callable[[], None]):
        self.record: BackendRecord | None = None
        self._heartbeat_s = heartbeat_interval_ms / MS_PER_S
        self._on_change = on_change
        self._reported_s = boot_s()
        self._is_missing = False
        self._unreachable_until_s = 0.0
        self._left: BackendRecord | None = None

    @property
    def is_serving(self) -> bool:
        """Whether new calls may be sent to it."""
        return (
            self.record is not None
            and self.record.state is MemberState.SERVING
            and not self._is_missing
        )

    @property
    def is_reachable(self) -> bool:
        """Whether no connection was refused just now."""
        return boot_s() >= self._unreachable_until_s

    def restore(self, record: BackendRecord) -> None:
        """Take over what this node stored before its restart."""
        if self.record is None:
            self.record = record.with_leave_of(self._left)
            self._reported_s = boot_s()
            self._on_change()

    def restore_leave(self, record: BackendRecord) -> None:
        """Take over a leave that this node had confirmed and only told its peers."""
        if not record.is_leaving:
            return
        self._left = record
        known = self.record
        if known is not None and (left := known.with_leave_of(record)) is not known:
            self._apply(left, force=True)

    def report(self, report: StatusReport) -> bool:
        """Apply a status report; False if a newer one was applied before."""
        known = self.record
        if known is not None and not _is_newer(report, known):
            return False
        is_same_lifetime = known is not None and known.born_ms == report.born_ms
        state = MemberState.DRAINING if report.is_draining else MemberState.SERVING
        # A lifetime that leaves never returns, whatever a report says.
        if is_same_lifetime and known.state is not MemberState.SERVING:
            state = known.state
        self._reported_s = boot_s()
        was_missing, self._is_missing = self._is_missing, False
        self._unreachable_until_s = 0.0
        warm_at_ms = int(time.time() * MS_PER_S) + report.cold_ms
        if is_same_lifetime and known.instance_id == report.instance_id:
            warm_at_ms = known.warm_at_ms
        record = BackendRecord(
            report.instance_id,
            report.service,
            report.slots,
            state,
            report.born_ms,
            report.sequence,
            warm_at_ms if report.cold_ms else 0,
        )
        self._apply(record.with_leave_of(self._left), force=was_missing)
        return True

    def mark_stopped(self, instance_id: str, born_ms: int | None = None) -> None:
        """Note that a lifetime leaves without further reports."""
        known = self.record
        if known is None or known.instance_id != instance_id:
            return
        if born_ms is not None and born_ms < known.born_ms:
            return
        if known.state is not MemberState.STOPPED:
            self._apply(_with_state(known, MemberState.STOPPED), force=True)

    def connection_refused(self) -> None:
        """Note that nothing listens at its address."""
        self._unreachable_until_s = boot_s() + RETRY_CONNECT_S

    def check_heartbeat(self) -> None:
        """Take a server whose reports stay away out of service."""
        silence_s = boot_s() - self._reported_s
        is_missing = silence_s > MISSED_REPORTS_MAX * self._heartbeat_s
        if self.record is not None and is_missing and not self._is_missing:
            self._is_missing = True
            self._on_change()

    def published_record(self) -> BackendRecord | None:
        """Return the record for other nodes."""
        if self.record is not None and self._is_missing:
            return _with_state(self.record, MemberState.STARTING)
        return self.record

    def _apply(self, record: BackendRecord, *, force: bool) -> None:
        known, self.record = self.record, record
        if force or known is None or _announced_part(known) != _announced_part(record):
            self._on_change()


def _is_newer(report: StatusReport, known: BackendRecord) -> bool:
    if report.born_ms != known.born_ms:
        return report.born_ms > known.born_ms
    if report.instance_id != known.instance_id:
        return False
    return report.sequence > known.sequence


def _announced_part(record: BackendRecord) -> tuple:
    """Return the fields whose change other nodes must learn."""
    return (
        record.instance_id,
        record.born_ms,
        record.service,
        record.slots,
        record.state,
    )


def _with_state(record: BackendRecord, state: MemberState) -> BackendRecord:
    return msgspec.structs.replace(record, state=state)
