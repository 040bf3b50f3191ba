"""Control transport: unary gRPC calls with msgpack bodies."""

import logging
import os
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

# The gRPC library prints unstructured lines to standard error, between the logs.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

import grpc
import msgspec

from damaskproxy.common import DamaskError
from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.messages import (
    Describe,
    DescribeReply,
    Exchange,
    Handover,
    HandoverReply,
    ProbeReply,
    ProbeVia,
)
from damaskproxy.membership.settings import MembershipSettings
from damaskproxy.model import Address

__all__ = ["ControlClient", "ControlServer", "Handler"]

SERVICE = "damask.Control"
MS_PER_S = 1_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Neighbours are called at least every 30 s, so only other channels become idle.
IDLE_S = 60.0
METHODS: dict[str, tuple[type, type]] = {
    "Exchange": (Exchange, Exchange),
    "ProbeVia": (ProbeVia, ProbeReply),
    "Handover": (Handover, HandoverReply),
    "Describe": (Describe, DescribeReply),
}
# Messages are small and rare. The probes for the bandwidth estimate (BDP) of HTTP/2
# would double the thread switches of each call.
COMMON_OPTIONS = [
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.bdp_probe", 0),
]
# Without a shared connection pool, a channel that replaces a failed one reaches a
# restarted node at once and not after the backoff of the pool.
CHANNEL_OPTIONS = [*COMMON_OPTIONS, ("grpc.use_local_subchannel_pool", 1)]
# Without SO_REUSEPORT a second process cannot share the port by mistake.
SERVER_OPTIONS = [*COMMON_OPTIONS, ("grpc.so_reuseport", 0)]

Handler = Callable[[object], Awaitable[object]]

_log = logging.getLogger(__name__)
_encode = msgspec.msgpack.Encoder().encode
_decode_request = {
    name: msgspec.msgpack.Decoder(types[0]).decode for name, types in METHODS.items()
}
_decode_reply = {
    name: msgspec.msgpack.Decoder(types[1]).decode for name, types in METHODS.items()
}


def _serve(name: str, handler: Handler) -> grpc.RpcMethodHandler:
    """Return a gRPC handler that decodes the request and maps errors to statuses."""
    decode = _decode_request[name]

    async def handle(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            request = decode(data)
        except msgspec.MsgspecError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        try:
            return _encode(await handler(request))
        except DamaskError as error:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
        except Exception as error:
            log_event(_log, events.HANDLER_FAILED, exc_info=True, method=name)
            await context.abort(grpc.StatusCode.INTERNAL, type(error).__name__)

    return grpc.unary_unary_rpc_method_handler(handle)


class ControlServer:
    """Listener of the control service.

    Parameters
    ----------
    handlers : mapping of str to callable
        Coroutine functions for ``Exchange``, ``ProbeVia``, ``Handover`` and
        ``Describe``; a method without a handler fails as unimplemented.
    """

    def __init__(self, handlers: Mapping[str, Handler]):
        unknown = handlers.keys() - METHODS.keys()
        if unknown:
            raise ValueError(f"unknown control methods: {', '.join(sorted(unknown))}")
        self._handlers = handlers
        self._server: grpc.aio.Server | None = None

    async def start(self, address: Address) -> Address:
        """Listen, and return the address with the port that was bound.

        Raises
        ------
        ControlError
            If the address cannot be bound.
        """
        server = grpc.aio.server(options=SERVER_OPTIONS)
        methods = {name: _serve(name, h) for name, h in self._handlers.items()}
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        server.add_generic_rpc_handlers((generic,))
        try:
            port = server.add_insecure_port(str(address))
        except RuntimeError as error:
            raise ControlError(f"cannot listen on {address}: {error}") from error
        await server.start()
        self._server = server
        return Address(address.host, port)

    async def stop(self, grace_s: float = 0.0) -> None:
        """Stop listening, and wait up to `grace_s` for calls in progress."""
        if self._server is not None:
            await self._server.stop(grace_s or None)
            self._server = None


@dataclass(slots=True)
class _Connection:
    channel: grpc.aio.Channel
    used_s: float
    in_flight: int = 0
    retired: bool = False
    methods: dict[str, Callable] = field(default_factory=dict)

    def method(self, name: str) -> Callable:
        if name not in self.methods:
            self.methods[name] = self.channel.unary_unary(f"/{SERVICE}/{name}")
        return self.methods[name]


class ControlClient:
    """Calls of the control service over a bounded number of cached connections.

    Parameters
    ----------
    settings : MembershipSettings
        Deadlines and number of connections.
    now_s : callable
        Monotonic clock.

    Notes
    -----
    Closing a channel cancels the tasks that wait for its calls. A connection is
    therefore only closed when none of its calls is in flight.
    """

    def __init__(self, settings: MembershipSettings, *, now_s: Callable[[], float]):
        self._now_s = now_s
        self._max_channels = settings.max_channels
        self._connections: OrderedDict[Address, _Connection] = OrderedDict()
        probe_s = settings.probe_timeout_ms / MS_PER_S
        self._deadlines_s = {
            "Exchange": probe_s,
            "ProbeVia": 2 * probe_s,
            "Handover": settings.handover_timeout_ms / MS_PER_S,
            "Describe": settings.describe_timeout_ms / MS_PER_S,
        }

    async def call(self, address: Address, method: str, message: object) -> object:
        """Call a control method of the node at `address`.

        Raises
        ------
        ControlError
            If there was no valid reply before the deadline.
        """
        connection = self._connection(address)
        connection.in_flight += 1
        try:
            data = await connection.method(method)(
                _encode(message), timeout=self._deadlines_s[method]
            )
            return _decode_reply[method](data)
        except grpc.aio.AioRpcError as error:
            if error.code() is not grpc.StatusCode.FAILED_PRECONDITION:
                self._retire(address, connection)
            detail = f"{error.code().name.lower()}: {error.details()}"
            raise ControlError(f"{method} to {address}: {detail}") from error
        except msgspec.MsgspecError as error:
            raise ControlError(f"{method} to {address}: {error}") from error
        finally:
            connection.in_flight -= 1
            await self._close_unused(connection)

    def _connection(self, address: Address) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            channel = grpc.aio.insecure_channel(str(address), options=CHANNEL_OPTIONS)
            connection = _Connection(channel, self._now_s())
            self._connections[address] = connection
        connection.used_s = self._now_s()
        self._connections.move_to_end(address)
        return connection

    def _retire(self, address: Address, connection: _Connection) -> None:
        connection.retired = True
        if self._connections.get(address) is connection:
            del self._connections[address]

    async def _close_unused(self, connection: _Connection) -> None:
        idle_before_s = self._now_s() - IDLE_S
        unused = [connection] if connection.retired and not connection.in_flight else []
        for address, held in list(self._connections.items()):
            too_many = len(self._connections) > self._max_channels
            if not too_many and held.used_s > idle_before_s:
                break
            if not held.in_flight:
                self._retire(address, held)
                unused.append(held)
        for held in unused:
            await held.channel.close()

    async def close(self) -> None:
        """Close all connections."""
        connections = list(self._connections.values())
        self._connections.clear()
        for connection in connections:
            await connection.channel.close()
