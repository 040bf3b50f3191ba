"""Answers of the development backend server, and their check."""

import hashlib

import msgspec

__all__ = [
    "BackendAnswer",
    "build_answer",
    "check_answer",
    "request_bytes",
    "request_digest",
]

DIGEST_CHARACTERS = 32


class ChildResult(msgspec.Struct, frozen=True):
    """What an outbound call brought."""

    service: str
    status: int
    whole: bool


class BackendAnswer(msgspec.Struct, frozen=True):
    """Body of an answer.

    Parameters
    ----------
    digest : str
        Digest of the request that was served.
    server : str
        Address of the backend server.
    attempt, key : str
        ``Damask-Attempt`` and ``Idempotency-Key`` of the request.
    children : tuple of ChildResult
        Results of the outbound calls.
    filler : str
        The digest, repeated to the configured length.
    filler_bytes : int
        That length.
    """

    digest: str
    server: str
    attempt: str
    key: str
    children: tuple[ChildResult, ...]
    filler: str
    filler_bytes: int


def request_bytes(method: str, path: str, body: bytes) -> bytes:
    """Return one byte string for a request; no two requests share one."""
    return f"{method} {path}\n".encode() + body


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path and query below the service, as the backend server receives it.
    body : bytes
        Body.
    """
    digest = hashlib.sha256(request_bytes(method, path, body))
    return digest.hexdigest()[:DIGEST_CHARACTERS]


def _filler(digest: str, length: int) -> str:
    return (digest * (length // len(digest) + 1))[:length]


def build_answer(
    digest: str,
    *,
    server: str,
    attempt: str,
    key: str,
    children: tuple[ChildResult, ...],
    filler_bytes: int,
) -> bytes:
    """Return the body of an answer as JSON."""
    answer = BackendAnswer(
        digest=digest,
        server=server,
        attempt=attempt,
        key=key,
        children=children,
        filler=_filler(digest, filler_bytes),
        filler_bytes=filler_bytes,
    )
    return msgspec.json.encode(answer)


def check_answer(body: bytes, digest: str) -> str:
    """Return what is wrong with an answer to the request of `digest`.

    Returns
    -------
    str
        Empty for the whole answer to this request, else ``incomplete`` or ``foreign``.
    """
    try:
        answer = msgspec.json.decode(body, type=BackendAnswer)
    except msgspec.MsgspecError:
        return "incomplete"
    if answer.digest != digest:
        return "foreign"
    if answer.filler != _filler(digest, answer.filler_bytes):
        return "incomplete"
    return ""
