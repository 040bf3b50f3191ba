"""Observer that records what callers send and are told in a history."""

from collections import Counter

from damaskproxy.history import Recorder
from damaskproxy.standins.backend_history import record_told, request_identity
from damaskproxy.standins.callers import PlannedRequest
from damaskproxy.standins.callers_told import Told

__all__ = ["HistoryObserver"]


class HistoryObserver:
    """Writes to a recorder.

    Parameters
    ----------
    recorder : Recorder
        History of the callers.
    """

    def __init__(self, recorder: Recorder):
        self._recorder = recorder
        self._sends: Counter[int] = Counter()

    def sent(self, request: PlannedRequest, key: str) -> None:
        """Record a send."""
        self._sends[request.number] += 1
        self._recorder.sent(
            request_identity(key, request.digest),
            send=self._send(request),
            caller=request.caller,
            request=request.content,
            idempotent=not request.kind.has_key,
        )

    def told(self, request: PlannedRequest, key: str, told: Told) -> None:
        """Record what the latest send of the request brought."""
        identity = request_identity(key, request.digest)
        send = self._send(request)
        record_told(self._recorder, identity, send, request.caller, told)

    def _send(self, request: PlannedRequest) -> str:
        return f"{request.number}.{self._sends[request.number]}"
