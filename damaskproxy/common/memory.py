"""Memory that a node holds for others."""

import io

__all__ = ["add_part", "join_parts"]


def add_part(body: bytes | io.BytesIO, part: bytes) -> bytes | io.BytesIO:
    """Return a body that arrives in parts with one more of them.

    Notes
    -----
    The first part is kept as it is. Further parts are collected in a buffer whose
    content becomes the body without a copy, and whose size does not depend on the
    number of parts.
    """
    if not body:
        return part
    if isinstance(body, bytes):
        buffer = io.BytesIO()
        buffer.write(body)
        body = buffer
    body.write(part)
    return body


def join_parts(body: bytes | io.BytesIO) -> bytes:
    """Return a body whose parts were collected with `add_part`."""
    return body if isinstance(body, bytes) else body.getvalue()
