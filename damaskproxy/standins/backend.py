"""Development backend server with slots, stragglers, cold start and outbound calls."""

import asyncio
import logging
import os
import random
import time
from collections.abc import Awaitable, Callable
from typing import BinaryIO

import aiohttp
from aiohttp import web

from damaskproxy.common import Outcome
from damaskproxy.context import (
    OutboundClient,
    current_request,
    request_middleware,
)
from damaskproxy.context.request import NOT_STARTED_HEADERS
from damaskproxy.events import log_event
from damaskproxy.history import Recorder
from damaskproxy.standins.backend_announce import Announcer
from damaskproxy.standins.backend_answer import (
    ChildResult,
    build_answer,
    request_bytes,
    request_digest,
)
from damaskproxy.standins.backend_events import (
    BACKEND_CRASHING,
    BACKEND_DRAINING,
    BACKEND_STARTED,
    BACKEND_STOPPED,
)
from damaskproxy.standins.backend_history import (
    BackendHistory,
    open_history,
    request_identity,
)
from damaskproxy.standins.backend_settings import BackendConfig, ChildCall
from damaskproxy.standins.backend_work import LaggingLoad, ServiceTimes
from damaskproxy.standins.callers_results import (
    CONNECTION_CUT,
    NO_ANSWER,
    NO_ENTRY,
    WITHDRAWN,
    SendResult,
    read_result,
)

__all__ = ["RunningBackend", "start_backend"]

CRASH_EXIT_STATUS = 70
# Time to send the last response before the listener closes.
CLOSE_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 1_048_576

logger = logging.getLogger(__name__)


def exit_without_cleanup() -> None:
    """End the process without cleanup, to simulate a crash."""
    os._exit(CRASH_EXIT_STATUS)


class RunningBackend:
    """A development backend server that is listening.

    Parameters
    ----------
    config : BackendConfig
        Settings.
    crash : callable
        Called for a request that contains the crash mark.
    recorder : Recorder, optional
        History of the runs, unless `config` names a file.
    sleep : callable
        Coroutine function that waits for the service time.
    now_s : callable
        Monotonic clock.
    unix_s : callable
        Wall clock, for ``Damask-Start-By``.

    Attributes
    ----------
    host, port : str, int
        Address of the listener.
    announcer : Announcer or None
        Sender of the announcements, if a node is configured.
    stopped : asyncio.Event
        Set when the server has drained after a request to stop.
    """

    def __init__(
        self,
        config: BackendConfig,
        *,
        crash: Callable[[], None] = exit_without_cleanup,
        recorder: Recorder | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        now_s: Callable[[], float] = time.monotonic,
        unix_s: Callable[[], float] = time.time,
    ):
        self.config = config
        self.host = config.host
        self.port = config.port
        self.announcer: Announcer | None = None
        self.stopped = asyncio.Event()
        self.draining = False
        self._crash = crash
        self._recorder = recorder
        self._sleep = sleep
        self._unix_s = unix_s
        self._history_file: BinaryIO | None = None
        self._history = BackendHistory(recorder, "")
        self._service_times = ServiceTimes(config, random.Random(config.seed), now_s)
        self._load = LaggingLoad(config.load_lag_ms / 1000, now_s)
        self._slots = asyncio.Semaphore(config.slots)
        self._in_flight = 0
        self._running = 0
        self._tasks: set[asyncio.Task] = set()
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._outbound: OutboundClient | None = None
        self._announce_task: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Start the listener and announce the server to its node."""
        app = web.Application(
            middlewares=[request_middleware(unix_s=self._unix_s)],
            client_max_size=MAX_BODY_BYTES,
        )
        app.router.add_post("/damask/stop", self._handle_stop)
        app.router.add_get("/damask/load", self._handle_load)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.config.host, self.config.port)
        await site.start()
        self.host, self.port = self._runner.addresses[0][:2]
        self._open_history()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        if self.config.node:
            self._start_announcer()
        log_event(
            logger,
            BACKEND_STARTED,
            service=self.config.service,
            address=self.address,
            node=self.config.node,
        )

    def stop(self) -> None:
        """Start to drain; `stopped` is set when no request is in flight."""
        if not self.draining:
            self.draining = True
            log_event(
                logger,
                BACKEND_DRAINING,
                service=self.config.service,
                in_flight=self._in_flight,
            )
        self._check_drained()

    async def close(self) -> None:
        """Stop announcing and close the listener and all connections."""
        if self._announce_task is not None:
            self._announce_task.cancel()
            await asyncio.gather(self._announce_task, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()
        if self._history_file is not None:
            self._history_file.close()
        log_event(logger, BACKEND_STOPPED, service=self.config.service)

    def _open_history(self) -> None:
        recorder = self._recorder
        if self.config.history:
            name = f"{self.address}-{os.getpid()}"
            recorder, self._history_file = open_history(self.config.history, name)
        self._history = BackendHistory(recorder, self.address)

    def _start_announcer(self) -> None:
        body = {
            "service": self.config.service,
            "host": self.host,
            "port": self.port,
            "slots": self.config.slots,
        }
        self._outbound = OutboundClient(self._session, f"http://{self.config.node}")
        self.announcer = Announcer(self._session, self.config.node, body)
        delay_s = self.config.start_delay_ms / 1000
        self._announce_task = asyncio.create_task(self.announcer.run(delay_s))

    def _check_drained(self) -> None:
        if self.draining and self._in_flight == 0:
            self.stopped.set()

    def _record_load(self) -> None:
        self._load.record(self._running, self._in_flight - self._running)

    async def _handle_stop(self, _request: web.Request) -> web.Response:
        # The response is sent before `stopped` can close the listener.
        asyncio.get_running_loop().call_soon(self.stop)
        return web.json_response({"in_flight": self._in_flight}, status=202)

    async def _handle_load(self, _request: web.Request) -> web.Response:
        running, waiting = self._load.report()
        return web.json_response(
            {"running": running, "waiting": waiting, "slots": self.config.slots}
        )

    async def _handle_request(self, request: web.Request) -> web.Response:
        """Serve a request; one with a key runs on when its connection is closed."""
        body = await request.read()
        if self.draining:
            return self._not_started_response("draining")
        if self._in_flight >= self.config.slots + self.config.waiting:
            return self._not_started_response("no slot")
        self._in_flight += 1
        task = asyncio.ensure_future(
            self._run_in_slot(request.method, request.path_qs, body)
        )
        self._tasks.add(task)
        task.add_done_callback(self._on_request_done)
        if current_request().key:
            return await asyncio.shield(task)
        return await task

    def _on_request_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        self._in_flight -= 1
        self._record_load()
        self._check_drained()

    def _not_started_response(self, reason: str) -> web.Response:
        return web.Response(status=503, text=f"{reason}\n", headers=NOT_STARTED_HEADERS)

    async def _run_in_slot(self, method: str, path: str, body: bytes) -> web.Response:
        async with self._slots:
            # The start-by time may have passed while the request waited for a slot.
            if not current_request().may_start(self._unix_s()):
                return self._not_started_response("start-by passed")
            self._running += 1
            self._record_load()
            try:
                return await self._run_request(method, path, body)
            finally:
                self._running -= 1

    async def _run_request(self, method: str, path: str, body: bytes) -> web.Response:
        context = current_request()
        digest = request_digest(method, path, body)
        identity = request_identity(context.key, digest)
        request_content = request_bytes(method, path, body)
        run = self._history.ran(identity, context.attempt, request_content)
        mark = self.config.crash_mark
        if mark and (mark in path or mark.encode() in body):
            log_event(logger, BACKEND_CRASHING, service=self.config.service)
            self._crash()
        await self._sleep(self._service_times.draw_s(path))
        children = await self._call_children(path, digest)
        answer = build_answer(
            digest,
            server=self.address,
            attempt=context.attempt,
            key=context.key,
            children=children,
            filler_bytes=self.config.answer_bytes,
        )
        self._history.finished(identity, run, answer)
        return web.Response(body=answer, content_type="application/json")

    async def _call_children(self, path: str, digest: str) -> tuple[ChildResult, ...]:
        if self._outbound is None:
            return ()
        calls = [call for call in self.config.children if path.startswith(call.prefix)]
        return tuple([await self._call_child(call, digest) for call in calls])

    async def _call_child(self, call: ChildCall, parent: str) -> ChildResult:
        """Make an outbound call; the response reports a failed one."""
        # The attempt distinguishes the calls of two hedged attempts in the history.
        path = f"{call.path}?parent={parent}&attempt={current_request().attempt}"
        digest = request_digest(call.method, path, b"")
        headers = {}
        key = ""
        if current_request().key and call.method != "GET":
            key = f"{current_request().key}.{call.service}"
            headers["Idempotency-Key"] = key
        identity = request_identity(key, digest)
        request_content = request_bytes(call.method, path, b"")
        send = self._history.sent(identity, request_content, idempotent=not key)
        # Recorded if the request that makes the call is cancelled during the call.
        result = SendResult(0, Outcome.UNKNOWN, WITHDRAWN)
        try:
            result = await self._send_child(call, path, headers, digest)
        finally:
            self._history.told(identity, send, result)
        return ChildResult(call.service, result.status, result.is_complete)

    async def _send_child(
        self, call: ChildCall, path: str, headers: dict[str, str], digest: str
    ) -> SendResult:
        try:
            async with self._outbound.request(
                call.method, call.service, path, headers=headers
            ) as response:
                return read_result(response.status, await response.read(), digest)
        except aiohttp.ClientConnectorError:
            return SendResult(0, Outcome.NOT_RUN, NO_ENTRY)
        except TimeoutError:
            return SendResult(0, Outcome.UNKNOWN, NO_ANSWER)
        except aiohttp.ClientError:
            return SendResult(0, Outcome.UNKNOWN, CONNECTION_CUT, connection_lost=True)


async def start_backend(
    config: BackendConfig,
    *,
    crash: Callable[[], None] = exit_without_cleanup,
    recorder: Recorder | None = None,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    unix_s: Callable[[], float] = time.time,
) -> RunningBackend:
    """Start a development backend server in this process.

    Parameters
    ----------
    config : BackendConfig
        Settings; port 0 selects a free port.
    crash : callable
        Called for a request that contains the crash mark; ends the process by default.
    recorder : Recorder, optional
        History of the runs, unless `config` names a file.
    sleep : callable
        Coroutine function that waits for the service time.
    unix_s : callable
        Wall clock, for ``Damask-Start-By``.

    Returns
    -------
    RunningBackend
        The server, which listens and announces itself; the caller closes it.
    """
    backend = RunningBackend(
        config, crash=crash, recorder=recorder, sleep=sleep, unix_s=unix_s
    )
    await backend.start()
    return backend
