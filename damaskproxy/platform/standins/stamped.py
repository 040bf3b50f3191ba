"""Stand-in for a backend server, with stamped responses and configurable faults."""

import asyncio
import time
from collections import Counter

from damaskproxy.http1 import HttpServer, Request, Response

__all__ = ["StampedBackend"]


HEALTH_PATH = b"/health"
ENDLESS_BYTES = 1 << 20
"""Length of a header that stands for one without end; beyond all limits."""


class StampedBackend:
    """Backend server beside a node, which stamps its responses.

    Parameters
    ----------
    instance_id : str
        Id of its incarnation.
    service : str
        Service that it provides.

    Attributes
    ----------
    runs : Counter
        Number of executions by request id.
    requests : list of Request
        All requests that were executed.
    received_s : list of float
        Monotonic times at which they were received.
    faults : dict
        Faults by path: ``shed``, ``error``, ``hang``, ``encoded``, ``unstamped``,
        ``cut``, ``endless``.
    answer_bytes : dict
        Sizes of bodies by path, other than that of the usual body.
    extra_headers : list of tuple of bytes
        Headers that are added to all responses to executed requests.
    is_leaving : bool
        Whether its health check fails, as from the moment at which it leaves.
    health_checks : int
        Number of health checks.
    padding : bytes
        Appended to the body of all responses to executed requests.
    """

    def __init__(self, instance_id: str, service: str):
        self.instance_id = instance_id
        self.service = service
        self.runs: Counter[bytes] = Counter()
        self.rejected = 0
        self.cancelled = 0
        self.requests: list[Request] = []
        self.received_s: list[float] = []
        self.faults: dict[bytes, str] = {}
        self.answer_bytes: dict[bytes, int] = {}
        self.extra_headers: list[tuple[bytes, bytes]] = []
        self.padding = b""
        self.is_leaving = False
        self.health_checks = 0
        self.work_s = 0.0
        self.server = HttpServer("stamped backend", self._handle)

    async def open(self, port: int = 0) -> str:
        """Listen on a loopback port and return the address."""
        await self.server.open("127.0.0.1", port)
        return f"127.0.0.1:{self.server.port}"

    async def close(self) -> None:
        """Close all connections, as after a crash."""
        await self.server.close()

    async def _handle(self, request: Request) -> Response:
        if request.target == HEALTH_PATH:
            return self._check_health()
        request_id = request.header(b"x-damaskproxy-request-id")
        echo = (b"X-Damaskproxy-Request-Id", request_id)
        target = request.header(b"x-damaskproxy-target-instance")
        fault = self.faults.get(request.target)
        if target != self.instance_id.encode():
            self.rejected += 1
            return Response(421, [echo])
        if fault == "shed":
            self.rejected += 1
            return Response(503, [echo, (b"X-Damaskproxy-Not-Executed", b"1")])
        self.runs[request_id] += 1
        self.requests.append(request)
        self.received_s.append(time.monotonic())
        try:
            await asyncio.sleep(3600 if fault == "hang" else self.work_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if fault == "cut":
            for connection in list(self.server.connections):
                connection.abort("the test cuts the response")
        if fault == "endless":
            return Response(200, [echo, (b"X-Endless", b"x" * ENDLESS_BYTES)])
        stamp = (b"X-Damaskproxy-Server-Stamp", b"stamp-" + self.instance_id.encode())
        headers = [echo, stamp, (b"Content-Type", b"text/plain")]
        headers += self.extra_headers
        if fault == "encoded":
            headers.append((b"Content-Encoding", b"gzip"))
        if fault == "unstamped":
            headers.remove(stamp)
        status = 500 if fault == "error" else 200
        size = self.answer_bytes.get(request.target)
        body = b"from " + self.instance_id.encode() if size is None else b"x" * size
        body += self.padding
        return Response(status, headers, body)

    def _check_health(self) -> Response:
        self.health_checks += 1
        headers = [(b"X-Damaskproxy-Instance-Id", self.instance_id.encode())]
        return Response(503 if self.is_leaving else 200, headers)
