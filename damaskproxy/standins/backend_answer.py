"""Response bodies of the development backend server and their validation."""

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
    """Result of an outbound call."""

    service: str
    status: int
    whole: bool


class BackendAnswer(msgspec.Struct, frozen=True):
    """Body of a response.

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
        Configured length of `filler`.
    """

    digest: str
    server: str
    attempt: str
    key: str
    children: tuple[ChildResult, ...]
    filler: str
    filler_bytes: int


def request_bytes(method: str, path: str, body: bytes) -> bytes:
    """Return the bytes of a request; different requests have different bytes."""
    return f"{method} {path}\n".encode() + body


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path and query without the service name, as the backend server receives them.
    body : bytes
        Body.
    """
    digest = hashlib.sha256(request_bytes(method, path, body))
    return digest.hexdigest()[:DIGEST_CHARACTERS]


def _make_filler(digest: str, length: int) -> str:
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
    """Return a response body as JSON."""
    answer = BackendAnswer(
        digest=digest,
        server=server,
        attempt=attempt,
        key=key,
        children=children,
        filler=_make_filler(digest, filler_bytes),
        filler_bytes=filler_bytes,
    )
    return msgspec.json.encode(answer)


def check_answer(body: bytes, digest: str) -> str:
    """Return the fault of a response to the request with `digest`.

    Returns
    -------
    str
        Empty for the complete response to this request, ``foreign`` for the response to
        another request, else ``incomplete``.
    """
    try:
        answer = msgspec.json.decode(body, type=BackendAnswer)
    except msgspec.MsgspecError:
        return "incomplete"
    if answer.digest != digest:
        return "foreign"
    if answer.filler != _make_filler(digest, answer.filler_bytes):
        return "incomplete"
    return ""
