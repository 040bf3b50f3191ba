"""Records of keys in the form sent to an heir and stored in the table."""

import hashlib

import msgspec

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.wire import Answer, Call, Refused
from damaskproxy.wire.messages import Headers

__all__ = [
    "LedgerEntry",
    "answer_of_entry",
    "fingerprint_of",
    "key_mismatch",
    "refused_of",
]

FINGERPRINT_BYTES = 8


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Record of one key.

    Parameters
    ----------
    key : str
        Issued key.
    fingerprint : bytes
        Digest of service, method, path and body.
    outcome : Outcome
        ``not-run`` allows another dispatch, ``unknown`` never does.
    completed_s : float
        Unix time of the last change.
    tokens_left : int
        Retries left for the key.
    status : int
        HTTP status of the response, 0 without a response.
    headers, body : list, bytes or None
        The response; the body is None if it has been dropped.
    reason : RefusalReason, optional
        Reason of the last refusal if there is no response.
    """

    key: str
    fingerprint: bytes
    outcome: Outcome
    completed_s: float
    tokens_left: int = 0
    status: int = 0
    headers: Headers = []
    body: bytes | None = None
    reason: RefusalReason | None = None

    @property
    def size_bytes(self) -> int:
        """Approximate size of the response."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body or b"")

    def without_body(self) -> "LedgerEntry":
        """Return the entry without the headers and the body of its response."""
        return msgspec.structs.replace(self, headers=[], body=None)


def fingerprint_of(call: Call) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (call.service, call.method, call.path):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.digest()


def answer_of_entry(call: Call, entry: LedgerEntry) -> Answer | Refused:
    """Return the recorded response, addressed to `call`."""
    if entry.fingerprint != fingerprint_of(call):
        return key_mismatch(call)
    if entry.outcome is not Outcome.RUN:
        return Refused(
            call.attempt_id,
            entry.reason or RefusalReason.LEDGER_LOST,
            entry.outcome,
            detail="the recorded attempt has no answer",
        )
    if entry.body is None or not entry.status:
        return Refused(
            call.attempt_id,
            RefusalReason.ANSWER_UNAVAILABLE,
            Outcome.RUN,
            detail="the request has run; its answer cannot be read",
        )
    return Answer(call.attempt_id, entry.status, entry.headers, entry.body)


def key_mismatch(call: Call) -> Refused:
    """Return the refusal of a request whose key was used by a different request.

    The outcome is unknown because the first request with the key may have run; a caller
    that changed the body by mistake must not conclude that its request did not run.
    """
    return Refused(
        call.attempt_id,
        RefusalReason.KEY_MISMATCH,
        Outcome.UNKNOWN,
        detail="the key belongs to a different request",
    )


def refused_of(call: Call, refusal: Refusal) -> Refused:
    """Return `refusal` as a reply frame to `call`."""
    return Refused(
        call.attempt_id,
        refusal.reason,
        refusal.outcome,
        refusal.retry_after_ms,
        refusal.tokens_left,
        refusal.detail,
    )
