"""Minimal HTTP/1.1 for stand-ins, with the standard library only."""

import asyncio
import contextlib
from dataclasses import dataclass, field

__all__ = ["Message", "exchange", "read_head", "read_message", "request_bytes"]

HEAD_MAX_BYTES = 1 << 20


@dataclass
class Message:
    """Request or response.

    Parameters
    ----------
    first : list of str
        The three parts of the first line.
    headers : dict
        Headers by lower-case name.
    body : bytes
        Complete body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    order: list[tuple[str, str]] = field(default_factory=list)

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; return None if the peer closes the connection before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    order = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            order.append((name.strip().lower(), value.strip()))
    return Message(lines[0].split(" ", 2), dict(order), b"", order)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length; None if the peer closes before it."""
    message = await read_head(reader)
    if message is None:
        return None
    size = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def request_bytes(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send a request on a new connection; return None without a complete response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=HEAD_MAX_BYTES
            )
            writer.write(request_bytes(method, target, headers, body))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
