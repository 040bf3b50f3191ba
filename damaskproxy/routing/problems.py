"""RFC 9457 problem details for refusals."""

import math

import msgspec
from aiohttp import web

from damaskproxy.common import Refusal, RefusalReason
from damaskproxy.routing.headers import OUTCOME, REQUEST_ID

__all__ = ["problem_response", "status_of"]

MS_PER_S = 1000
DEFAULT_STATUS = 503
_STATUS = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.KEY_INVALID: 400,
    RefusalReason.PRIORITY_NOT_ALLOWED: 400,
    RefusalReason.TOO_DEEP: 400,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.KEY_EXPIRED: 410,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.KEY_MISMATCH: 422,
    RefusalReason.HEADER_TOO_LARGE: 431,
    RefusalReason.BACKEND_DIED: 502,
    RefusalReason.BACKEND_UNREACHABLE: 502,
    RefusalReason.BACKEND_ERROR: 502,
    RefusalReason.PEER_LOST: 502,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.START_BY_PASSED: 504,
}
DEFAULT_RETRY_AFTER_MS = 1000


def status_of(reason: RefusalReason) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS.get(reason, DEFAULT_STATUS)


def problem_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the HTTP response that reports `refusal` to a caller.

    Parameters
    ----------
    refusal : Refusal
        Reason and outcome.
    request_id : str
        Request id, for finding the request in the logs.

    Returns
    -------
    aiohttp.web.Response
        Problem details, with ``Retry-After`` if a resend can succeed.
    """
    status = status_of(refusal.reason)
    retry_after_ms = refusal.retry_after_ms
    if not retry_after_ms and status == DEFAULT_STATUS:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    body = {
        "type": f"urn:damaskproxy:problem:{refusal.reason}",
        "title": refusal.reason.replace("-", " "),
        "status": status,
        "detail": refusal.detail or refusal.reason.replace("-", " "),
        "reason": refusal.reason,
        "outcome": refusal.outcome,
        "request_id": request_id,
        "retry_after_ms": retry_after_ms,
    }
    headers = {REQUEST_ID: request_id, OUTCOME: refusal.outcome}
    if retry_after_ms:
        headers["Retry-After"] = str(math.ceil(retry_after_ms / MS_PER_S))
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/problem+json",
        headers=headers,
    )
