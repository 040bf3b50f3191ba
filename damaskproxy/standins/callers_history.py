"""Observer that records the sends of callers and their results in a history."""

from collections import Counter

from damaskproxy.history import Recorder
from damaskproxy.standins.backend_history import record_result, request_identity
from damaskproxy.standins.callers import PlannedRequest
from damaskproxy.standins.callers_results import SendResult

__all__ = ["HistoryObserver"]


class HistoryObserver:
    """Records sends and results with a `Recorder`.

    Parameters
    ----------
    recorder : Recorder
        Recorder of the callers' history.
    """

    def __init__(self, recorder: Recorder):
        self._recorder = recorder
        self._sends: Counter[int] = Counter()

    def sent(self, request: PlannedRequest, key: str) -> None:
        """Record a send."""
        self._sends[request.number] += 1
        self._recorder.sent(
            request_identity(key, request.digest),
            send=self._send_name(request),
            caller=request.caller,
            request=request.content,
            idempotent=not request.kind.has_key,
        )

    def told(self, request: PlannedRequest, key: str, result: SendResult) -> None:
        """Record the result of the latest send of the request."""
        identity = request_identity(key, request.digest)
        send = self._send_name(request)
        record_result(self._recorder, identity, send, request.caller, result)

    def _send_name(self, request: PlannedRequest) -> str:
        return f"{request.number}.{self._sends[request.number]}"
