"""Listener for the local backend server: announcements and outbound calls."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

from damaskproxy.common import Refusal, RefusalReason, new_attempt_id
from damaskproxy.routing import headers as names
from damaskproxy.routing.attempts import AttemptRegistry
from damaskproxy.routing.gateway import CallHandler
from damaskproxy.routing.local_backend import Announcement, LocalBackend
from damaskproxy.routing.requests import decode_json, make_refusal

__all__ = ["AnnouncementReply", "BackendListener"]

ANNOUNCE_PATH = "/damask/announce"


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Response to the announcement of a backend server."""

    identity: str
    node_id: str
    data_centre: str
    outbound: str
    announce_every_ms: int
    state: str


class BackendListener:
    """Handler of the ``backend`` listener.

    Parameters
    ----------
    handler : CallHandler
        Runs outbound calls.
    backend : LocalBackend
        Applies announcements.
    attempts : AttemptRegistry
        Attempts that the backend server is running.
    make_reply : callable
        Returns the response to an announcement.
    rng : random.Random
        Source of request ids.
    """

    def __init__(
        self,
        handler: CallHandler,
        backend: LocalBackend,
        attempts: AttemptRegistry,
        make_reply: Callable[[], AnnouncementReply],
        rng: random.Random,
    ):
        self._handler = handler
        self._backend = backend
        self._attempts = attempts
        self._make_reply = make_reply
        self._rng = rng

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of the backend server."""
        if request.path == ANNOUNCE_PATH:
            return await self._announce(request)
        return await self._outbound(request)

    async def _announce(self, request: web.BaseRequest) -> web.Response:
        announcement = decode_json(await request.read(), Announcement)
        if isinstance(announcement, Refusal):
            return self._refuse(announcement)
        problem = self._backend.announce(announcement)
        if problem is not None:
            return web.json_response({"error": problem}, status=409)
        body = msgspec.json.encode(self._make_reply())
        return web.Response(body=body, content_type="application/json")

    async def _outbound(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run an outbound call on behalf of the attempt that makes it."""
        attempt_id = request.headers.get(names.ATTEMPT)
        trace_id = names.parse_trace_id(request.headers.get(names.TRACEPARENT))
        parent = self._attempts.find(attempt_id, trace_id)
        if parent is None and attempt_id is not None:
            detail = f"{names.ATTEMPT} names no request in progress on this node"
            return self._refuse(make_refusal(RefusalReason.CANCELLED, detail))
        if parent is None:
            return await self._handler.handle(request)
        task = asyncio.current_task()
        parent.add_child(task)
        try:
            return await self._handler.handle(request, parent)
        finally:
            parent.remove_child(task)

    def _refuse(self, refusal: Refusal) -> web.Response:
        return self._handler.refusal_response(refusal, new_attempt_id(self._rng))
