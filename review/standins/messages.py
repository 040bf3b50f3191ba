"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Closed", "Message", "encode", "read_message"]

CHUNK_BYTES = 65536


class Closed(Exception):
    """The peer closed or reset the connection before a message was complete.

    Parameters
    ----------
    is_started : bool
        Whether a part of the message had arrived.
    """

    def __init__(self, is_started: bool):
        super().__init__("closed within a message" if is_started else "closed")
        self.is_started = is_started


@dataclass(slots=True)
class Message:
    """Start line, headers with lower-case names, and body."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def is_close(self) -> bool:
        """Whether the sender closes the connection after this message."""
        return self.headers.get("connection", "").lower() == "close"


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_message(
    reader: asyncio.StreamReader, *, bytes_per_s: float | None = None
) -> Message:
    """Read a message with a length; `bytes_per_s` limits how fast its body is read.

    Raises
    ------
    Closed
        If the connection ended first.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise Closed(bool(error.partial)) from error
    except OSError as error:
        raise Closed(False) from error
    start, *lines = head.decode("latin-1").split("\r\n")
    message = Message(start)
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.lower()] = value.strip()
    missing = int(message.headers.get("content-length", "0"))
    parts = []
    while missing:
        size = CHUNK_BYTES if bytes_per_s is None else int(bytes_per_s / 20)
        try:
            part = await reader.read(min(missing, size))
        except OSError as error:
            raise Closed(True) from error
        if not part:
            raise Closed(True)
        parts.append(part)
        missing -= len(part)
        if bytes_per_s is not None:
            await asyncio.sleep(len(part) / bytes_per_s)
    message.body = b"".join(parts)
    return message
