"""Clients that send legal or illegal traffic to tie up a node, and what they send."""

import asyncio
import contextlib
import itertools
import random
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from damaskproxy.forwarding.frames import (
    AnswerFrame,
    HelloFrame,
    PingFrame,
    RunFrame,
    StateFrame,
    encode_frame,
)
from damaskproxy.sidecar.settings import to_address

__all__ = ["FORMS", "Crowd", "Form"]

SEED = 20261206
QUIET_S = 0.4
"""A crowd has settled once none of its clients could send for this time."""
SETTLE_MAX_S = 20.0
"""Longest wait until a crowd has settled."""
RECEIVE_BUFFER_BYTES = 4096
TRICKLE_INTERVAL_S = 1.0
KIB = 1 << 10
HEAD = b"%s %s HTTP/1.1\r\nHost: shop\r\n"
BODY_METHODS = {"control": b"PUT", "caller": b"POST"}
BODY_BYTES = {"caller": 256 * KIB, "control": 60 * KIB}
PROBE_BODY_BYTES = 4000
SHORT_FIELDS_BYTES = 13_800
"""Fields of six bytes that stay within the limit of 16,384 bytes on a head, in which a
field counts with its colon, a space and its line break."""


@dataclass(frozen=True)
class Form:
    """What each client of a crowd sends, and whether it reads.

    Parameters
    ----------
    parts : callable
        Returns the parts that a client sends, from the listener, the path and a random
        generator.
    reads_slowly : bool
        Whether a client reads one byte per second instead of nothing.
    pause_s : float
        Time between two parts.
    """

    parts: Callable[[str, bytes, random.Random], Iterator[bytes]]
    reads_slowly: bool = False
    pause_s: float = 0.0


def _head(listener: str, path: bytes, length: int | None) -> bytes:
    method = BODY_METHODS.get(listener, b"POST")
    framing = (
        b"Transfer-Encoding: chunked\r\n"
        if length is None
        else b"Content-Length: %d\r\n" % length
    )
    return HEAD % (method, path) + framing + b"\r\n"


def _body_bytes(listener: str) -> int:
    return BODY_BYTES.get(listener, PROBE_BODY_BYTES)


def _body_in_one_piece(listener, path, rng):
    size = _body_bytes(listener)
    yield _head(listener, path, size) + rng.randbytes(size - 1)


def _body_in_small_pieces(listener, path, rng):
    size = _body_bytes(listener)
    yield _head(listener, path, size)
    data = rng.randbytes(size - 1)
    step = 2 * KIB
    yield from (data[at : at + step] for at in range(0, len(data), step))


def _body_in_chunks_of_one_byte(listener, path, rng):
    # The last chunk is missing.
    yield _head(listener, path, None) + b"1\r\nx\r\n" * min(_body_bytes(listener), 8000)


def _body_too_long_with_a_length(listener, path, rng):
    yield _head(listener, path, 64 << 20)
    part = rng.randbytes(256 * KIB)
    yield from itertools.repeat(part, 48)


def _body_too_long_without_a_length(listener, path, rng):
    yield _head(listener, path, None)
    part = b"%x\r\n%s\r\n" % (256 * KIB, rng.randbytes(256 * KIB))
    yield from itertools.repeat(part, 48)


def _short_fields(limit_bytes: int) -> bytes:
    """Return fields of six bytes, without the blank line that ends a head."""
    count = limit_bytes // 6
    return b"".join(
        b"%c%c:%c\r\n" % (97 + n % 26, 97 + n // 26 % 26, 97 + n // 676 % 26)
        for n in range(count)
    )


def _fields_of_an_incomplete_head(listener, path, rng):
    yield HEAD % (b"GET", path) + _short_fields(SHORT_FIELDS_BYTES)


def _fields_of_queued_requests(listener, path, rng):
    head = HEAD % (b"GET", path) + _short_fields(SHORT_FIELDS_BYTES) + b"\r\n"
    yield head * 12


def _long_value_without_an_end(listener, path, rng):
    yield HEAD % (b"GET", path) + b"X-Long: "
    yield b"x" * 250 * KIB


def _short_fields_in_the_trailer(listener, path, rng):
    yield _head(listener, path, None) + b"1\r\nx\r\n0\r\n"
    yield _short_fields(SHORT_FIELDS_BYTES)


def _long_value_in_the_trailer(listener, path, rng):
    yield _head(listener, path, None) + b"1\r\nx\r\n0\r\nX-Long: "
    yield from itertools.repeat(b"x" * 64 * KIB, 16)


def _pipelined_requests(listener, path, rng):
    yield (HEAD % (b"GET", path) + b"\r\n") * 3000


def _pipelined_large_answers(listener, path, rng):
    yield (HEAD % (b"GET", path) + b"\r\n") * 40


def _one_byte_per_second(listener, path, rng):
    size = _body_bytes(listener)
    yield _head(listener, path, size) + bytes(size // 2)
    yield from itertools.repeat(b"x")


def _half_a_request(listener, path, rng):
    yield (HEAD % (b"GET", path))[:-4]


def _nothing(listener, path, rng):
    yield from ()


HELLO = encode_frame(HelloFrame("stranger", 1, True))
CALL = RunFrame(0, 1, 0, 0, 0, 0, b"/", [], b"", b"1", 0, 1, False, 1000, False)


def _silent_peer(listener, path, rng):
    yield HELLO


def _peer_state_one_byte_short(listener, path, rng):
    yield HELLO
    yield encode_frame(StateFrame(rng.randbytes(900 * KIB), []))[:-1]


def _peer_small_frame_one_byte_short(listener, path, rng):
    yield HELLO
    yield encode_frame(StateFrame(rng.randbytes(60 * KIB), []))[:-1]


def _peer_call_one_byte_short(listener, path, rng):
    yield HELLO
    call = msgspec.structs.replace(CALL, body=rng.randbytes(256 * KIB))
    yield encode_frame(call)[:-1]


def _peer_answer_one_byte_short(listener, path, rng):
    yield HELLO
    body = rng.randbytes(256 * KIB)
    yield encode_frame(AnswerFrame(0, 1, 200, [], body, None))[:-1]


def _peer_state_before_hello(listener, path, rng):
    yield encode_frame(StateFrame(rng.randbytes(900 * KIB), []))[:-1]


def _peer_pings(listener, path, rng):
    yield HELLO
    yield encode_frame(PingFrame()) * 20_000


def _peer_http(listener, path, rng):
    yield _head(listener, path, 1000)


FORMS: dict[str, Form] = {
    "body in one piece": Form(_body_in_one_piece),
    "body in small pieces": Form(_body_in_small_pieces),
    "body in chunks of one byte": Form(_body_in_chunks_of_one_byte),
    "body too long, with a length": Form(_body_too_long_with_a_length),
    "body too long, without a length": Form(_body_too_long_without_a_length),
    "fields of an incomplete head": Form(_fields_of_an_incomplete_head),
    "fields of queued requests": Form(_fields_of_queued_requests),
    "long value without an end": Form(_long_value_without_an_end),
    "fields of a trailer": Form(_short_fields_in_the_trailer),
    "long value in a trailer": Form(_long_value_in_the_trailer),
    "pipelined requests": Form(_pipelined_requests),
    "unread answers": Form(_pipelined_large_answers),
    "answers read slowly": Form(_pipelined_large_answers, reads_slowly=True),
    "one byte per second": Form(
        _one_byte_per_second, reads_slowly=True, pause_s=TRICKLE_INTERVAL_S
    ),
    "half a request": Form(_half_a_request),
    "nothing": Form(_nothing),
    "silent peer": Form(_silent_peer),
    "state one byte short": Form(_peer_state_one_byte_short),
    "small frame one byte short": Form(_peer_small_frame_one_byte_short),
    "call one byte short": Form(_peer_call_one_byte_short),
    "answer one byte short": Form(_peer_answer_one_byte_short),
    "state before hello": Form(_peer_state_before_hello),
    "pings": Form(_peer_pings),
    "HTTP": Form(_peer_http),
}


class Crowd:
    """Clients with one connection each, which all send the same form.

    Parameters
    ----------
    address : str
        Address of the listener.
    count : int
        Number of connections.
    form : Form
        What each of them sends.
    listener : str
        Name of the listener.
    path : bytes
        Path of the requests.
    """

    def __init__(self, address: str, count: int, form: Form, listener: str, path=b"/"):
        self._address = to_address(address)
        self._count = count
        self._form = form
        self._listener = listener
        self._path = path
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []
        self._progress = 0

    async def open(self) -> None:
        """Open the connections, and send until nothing more can be sent."""
        rng = random.Random(SEED)
        for _ in range(self._count):
            task = asyncio.create_task(self._send(random.Random(rng.random())))
            self._tasks.append(task)
        await self.settle()

    async def settle(self) -> None:
        """Wait until no client makes progress, `SETTLE_MAX_S` at most."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + SETTLE_MAX_S
        before = -1
        while before != self._progress and loop.time() < end_s:
            before = self._progress
            await asyncio.sleep(QUIET_S)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _send(self, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, (self._address.host, self._address.port))
            self._progress += 1
            if self._form.reads_slowly:
                self._tasks.append(asyncio.create_task(self._read_slowly(sock)))
            for part in self._form.parts(self._listener, self._path, rng):
                await self._send_all(sock, part)
                await asyncio.sleep(self._form.pause_s)

    async def _send_all(self, sock: socket.socket, part: bytes) -> None:
        loop = asyncio.get_running_loop()
        view = memoryview(part)
        while view:
            piece = view[: 64 * KIB]
            await loop.sock_sendall(sock, piece)
            view = view[len(piece) :]
            self._progress += not self._form.pause_s

    async def _read_slowly(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(sock, 1):  # noqa: ASYNC110
                await asyncio.sleep(TRICKLE_INTERVAL_S)
