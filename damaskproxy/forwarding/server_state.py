"""What the local backend server says of itself in its responses."""

import logging

from damaskproxy.directory import BackendRecord
from damaskproxy.events import log_event
from damaskproxy.forwarding import events
from damaskproxy.forwarding.backend import Backend
from damaskproxy.forwarding.headers import HeaderNames, parse_calls_per_s
from damaskproxy.http1 import Response

__all__ = ["ServerStateRecorder"]

logger = logging.getLogger("damaskproxy.forwarding.target")
"""Logger of the target, whose responses are recorded."""

LEAVING = b"1"
"""Value of the header in which a backend server says that it leaves."""


class ServerStateRecorder:
    """Records the leave and the limit on calls that the backend server names.

    Parameters
    ----------
    backend : Backend
        State of the backend server.
    names : HeaderNames
        Header names of the platform.
    """

    def __init__(self, backend: Backend, names: HeaderNames):
        self._backend = backend
        self._stamp = names.lower("stamp")
        self._not_executed = names.lower("not_executed")
        self._server_limit = names.lower("server_limit")
        self._server_leaving = names.lower("server_leaving")
        self._invalid_limit: bytes | None = None

    def record(self, response: Response, record: BackendRecord, sent_s: float) -> None:
        """Record what the backend server says of itself in a response."""
        is_own = response.header(self._stamp) or response.header(self._not_executed)
        if is_own is None:
            return
        if response.header(self._server_leaving) == LEAVING and (
            self._backend.leave_named(record.incarnation_key)
        ):
            log_event(logger, events.LEAVE_NAMED, instance_id=record.instance_id)
        self._record_limit(response, record, sent_s)

    def _record_limit(
        self, response: Response, record: BackendRecord, sent_s: float
    ) -> None:
        value = response.header(self._server_limit)
        per_s = None
        if value is not None:
            per_s = parse_calls_per_s(value)
            if per_s is None:
                if value != self._invalid_limit:
                    self._invalid_limit = value
                    log_event(logger, events.LIMIT_IGNORED, value=repr(value[:40]))
                return
        if self._backend.limit_named(record.incarnation_key, per_s, sent_s):
            log_event(
                logger,
                events.LIMIT_CHANGED,
                instance_id=record.instance_id,
                calls_per_s=per_s,
            )
