"""Client side of the streams between nodes, one WebSocket for each peer."""

import asyncio
import logging
from collections.abc import Callable

import aiohttp

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.events import log_event
from damaskproxy.http1 import is_final_status
from damaskproxy.model import Member
from damaskproxy.routing import events
from damaskproxy.routing.errors import PeerError
from damaskproxy.routing.settings import RoutingSettings
from damaskproxy.wire import (
    Answer,
    Call,
    Cancel,
    Hello,
    Refused,
    WireError,
    decode_frame,
    encode_frame,
)

__all__ = ["PEER_PATH", "PeerStream", "PeerStreams", "StreamLostError"]

logger = logging.getLogger(__name__)

PEER_PATH = "/peer"
MS_PER_S = 1000
FRAME_OVERHEAD_BYTES = 64 << 10


class StreamLostError(PeerError):
    """The stream broke after the call was sent, so the call may have started."""


class PeerStream:
    """Stream to one incarnation of a peer, opened by the first call.

    Parameters
    ----------
    member : Member
        Member record of the peer.
    hello : Hello
        First frame to send, with the identity of this node.
    session : aiohttp.ClientSession
        HTTP client that opens the WebSocket.
    settings : RoutingSettings
        Time-outs and size limits.
    on_late_answer : callable
        Called for a response that no call is waiting for any more.
    """

    def __init__(
        self,
        member: Member,
        hello: Hello,
        session: aiohttp.ClientSession,
        settings: RoutingSettings,
        on_late_answer: Callable[[], None],
    ):
        self.member = member
        self._hello = hello
        self._session = session
        self._settings = settings
        self._on_late_answer = on_late_answer
        self._pending: dict[str, asyncio.Future] = {}
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._task: asyncio.Task | None = None
        self._connected: asyncio.Future | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the stream has been closed, so a new one is needed."""
        return self._task is not None and self._task.done()

    async def call(self, call: Call) -> Answer | Refused:
        """Send `call` and wait for the response.

        Raises
        ------
        PeerError
            If the call was not sent.
        StreamLostError
            If the stream broke after the call was sent, in part at least.
        """
        socket = self._socket or await self._open()
        future = asyncio.get_running_loop().create_future()
        self._pending[call.attempt_id] = future
        try:
            await self._send(socket, encode_frame(call))
            return await future
        except asyncio.CancelledError:
            await self._send_cancel(socket, call.attempt_id)
            raise
        finally:
            self._pending.pop(call.attempt_id, None)

    async def _send(self, socket: aiohttp.ClientWebSocketResponse, data: bytes) -> None:
        try:
            await socket.send_bytes(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            # Part of the frame may have been sent.
            raise StreamLostError(str(error)) from error

    async def _send_cancel(self, socket, attempt_id: str) -> None:
        if not socket.closed:
            try:
                await asyncio.shield(
                    socket.send_bytes(encode_frame(Cancel(attempt_id)))
                )
            except (ConnectionError, aiohttp.ClientError):
                return

    async def _open(self) -> aiohttp.ClientWebSocketResponse:
        if self._task is None:
            self._connected = asyncio.get_running_loop().create_future()
            self._task = asyncio.create_task(self._run(self._connected))
        return await asyncio.shield(self._connected)

    async def _run(self, connected: asyncio.Future) -> None:
        """Connect, then read frames until the stream is closed."""
        try:
            async with asyncio.timeout(self._settings.connect_timeout_ms / MS_PER_S):
                socket = await self._connect()
        except (PeerError, TimeoutError) as error:
            self._report_connect_failure(connected, error)
            return
        self._socket = socket
        if not connected.done():
            connected.set_result(socket)
        log_event(logger, events.PEER_CONNECTED, peer=self.member.node_id)
        try:
            await self._read(socket)
        finally:
            self._socket = None
            self._fail_pending_calls()
            await socket.close()

    def _report_connect_failure(
        self, connected: asyncio.Future, error: Exception
    ) -> None:
        text = str(error) or "time-out"
        log_event(logger, events.PEER_LOST, peer=self.member.node_id, error=text)
        if not connected.done():
            connected.set_exception(
                PeerError(f"cannot reach {self.member.node_id}: {text}")
            )
            connected.exception()

    async def _connect(self) -> aiohttp.ClientWebSocketResponse:
        address = self.member.peer
        limit = self._settings.max_body_bytes + FRAME_OVERHEAD_BYTES
        try:
            socket = await self._session.ws_connect(
                f"http://{address.host}:{address.port}{PEER_PATH}",
                max_msg_size=limit,
                compress=0,
            )
            await socket.send_bytes(encode_frame(self._hello))
            peer_hello = decode_frame(await socket.receive_bytes())
            if not isinstance(peer_hello, Hello):
                raise WireError("the first frame is not a greeting")
        except (aiohttp.ClientError, OSError, TypeError, WireError) as error:
            raise PeerError(str(error)) from error
        # A process that was declared dead by mistake continues under a higher
        # incarnation in the member record than in its Hello frame. A later process
        # sends a higher incarnation than the record.
        is_other_node = peer_hello.node_id != self.member.node_id
        if is_other_node or peer_hello.incarnation > self.member.incarnation:
            await socket.close()
            raise PeerError(
                f"{address} is {peer_hello}, expected {self.member.node_id}"
            )
        return socket

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                continue
            try:
                frame = decode_frame(message.data)
            except WireError as error:
                log_event(
                    logger,
                    events.PEER_FRAME_INVALID,
                    peer=self.member.node_id,
                    error=str(error),
                )
                return
            self._handle_frame(frame)

    def _handle_frame(self, frame) -> None:
        if not isinstance(frame, (Answer, Refused)):
            return
        future = self._pending.get(frame.attempt_id)
        if future is None or future.done():
            self._on_late_answer()
            return
        if isinstance(frame, Answer) and not is_final_status(frame.status):
            frame = Refused(
                frame.attempt_id,
                RefusalReason.BACKEND_ERROR,
                Outcome.UNKNOWN,
                detail=f"the node sent status {frame.status}, which is no response",
                load=frame.load,
            )
        future.set_result(frame)

    def _fail_pending_calls(self) -> None:
        if self._pending:
            log_event(
                logger,
                events.PEER_LOST,
                peer=self.member.node_id,
                waiting=len(self._pending),
            )
        for future in self._pending.values():
            if not future.done():
                future.set_exception(StreamLostError("the stream to the peer broke"))

    @property
    def is_idle(self) -> bool:
        """Whether no call is waiting for a response."""
        return not self._pending

    async def close(self) -> None:
        """Close the stream; pending calls fail with `StreamLostError`."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


class PeerStreams:
    """Streams of this node to its peers, at most one for each peer.

    Parameters
    ----------
    hello : Hello
        First frame to send, with the identity of this node.
    settings : RoutingSettings
        Time-outs and size limits.
    now_s : callable
        Monotonic clock.
    on_late_answer : callable
        Called for a response that no call is waiting for any more.
    """

    def __init__(
        self,
        hello: Hello,
        settings: RoutingSettings,
        now_s: Callable[[], float],
        on_late_answer: Callable[[], None] = lambda: None,
    ):
        self._hello = hello
        self._settings = settings
        self._now_s = now_s
        self._on_late_answer = on_late_answer
        self._streams: dict[str, PeerStream] = {}
        self._last_used_s: dict[str, float] = {}
        self._closing: set[asyncio.Task] = set()
        self._session: aiohttp.ClientSession | None = None

    def __len__(self) -> int:
        return len(self._streams)

    async def call(self, member: Member, call: Call) -> Answer | Refused:
        """Send `call` to `member`; see `PeerStream.call`."""
        # Without an entry, a new stream cannot be closed as the least recently used.
        self._last_used_s.pop(member.node_id, None)
        stream = self._stream(member)
        self._last_used_s[member.node_id] = self._now_s()
        return await stream.call(call)

    def _stream(self, member: Member) -> PeerStream:
        stream = self._streams.get(member.node_id)
        if stream is not None and not stream.is_closed:
            if stream.member.incarnation == member.incarnation:
                return stream
            # Calls sent to the earlier incarnation receive no response any more.
            self._close_in_background(stream)
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        stream = PeerStream(
            member, self._hello, self._session, self._settings, self._on_late_answer
        )
        self._streams[member.node_id] = stream
        if len(self._streams) > self._settings.max_peer_streams:
            self._close_least_recently_used()
        return stream

    def _close_least_recently_used(self) -> None:
        """Close the least recently used idle stream."""
        for node_id in self._last_used_s:
            stream = self._streams.get(node_id)
            if stream is not None and stream.is_idle:
                del self._streams[node_id]
                del self._last_used_s[node_id]
                self._close_in_background(stream)
                return

    def _close_in_background(self, stream: PeerStream) -> None:
        closing = asyncio.ensure_future(stream.close())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def drop(self, node_id: str) -> None:
        """Close the stream to a peer; pending calls fail with `StreamLostError`."""
        stream = self._streams.pop(node_id, None)
        self._last_used_s.pop(node_id, None)
        if stream is not None:
            await stream.close()

    async def close_idle(self) -> None:
        """Close the streams that have been idle for longer than `peer_idle_ms`."""
        before_s = self._now_s() - self._settings.peer_idle_ms / MS_PER_S
        for node_id, stream in list(self._streams.items()):
            if stream.is_idle and self._last_used_s.get(node_id, 0.0) < before_s:
                await self.drop(node_id)

    async def close(self) -> None:
        """Close all streams."""
        for node_id in list(self._streams):
            await self.drop(node_id)
        if self._session is not None:
            await self._session.close()
