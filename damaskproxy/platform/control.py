"""Handlers of the requests of the platform and of the backend server."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from damaskproxy.directory import RecordError
from damaskproxy.events import log_event
from damaskproxy.forwarding import STATE_PATH, Backend
from damaskproxy.http1 import Request, Response
from damaskproxy.platform import events
from damaskproxy.platform.messages import (
    check_instance_id,
    decode_born_ms,
    decode_report,
)

__all__ = ["make_control_handler", "make_readiness_handler"]

logger = logging.getLogger(__name__)

INSTANCES_PATH = "/api/instances/"
INSTANCE_ID_LOGGED = 200
"""Characters of an instance id in the log."""
STORE_WAIT_S = 0.6
"""Maximum time that the response to a leaving backend server waits for the store.

The backend server itself gives up after 1 s."""
ANNOUNCE_AFTER_S = 0.3
"""Time after which a leave that is not stored yet is announced to all connected nodes.
The rest of `STORE_WAIT_S` covers several round trips between regions."""


def make_control_handler(
    backend: Backend,
    address: str,
    has_service: Callable[[str], bool],
    wait_until_stored: Callable[[], Awaitable[None]],
    announce_leave: Callable[[], None],
    unconfirmed_reason: Callable[[], str],
    encoded_state: Callable[[], bytes],
):
    """Return the handler of status reports and of state requests of starting nodes.

    Parameters
    ----------
    backend : Backend
        State of the backend server.
    address : str
        Address of the backend server.
    has_service : callable
        Returns whether the configuration has a service.
    wait_until_stored : callable
        Waits until the record from before the start of this node is restored and its
        newest record is in the store.
    announce_leave : callable
        Sends the newest record of this node to all connected nodes and asks them to
        acknowledge it.
    unconfirmed_reason : callable
        Returns why a leave that is not in the store is not to be confirmed, or an empty
        string.
    encoded_state : callable
        Returns the encoded configuration and members for a starting node.
    """

    async def handle(request: Request) -> Response:
        target = request.target.partition(b"?")[0]
        if target == STATE_PATH and request.method == b"GET":
            return Response(200, body=encoded_state())
        path = target.decode("latin-1")
        if not path.startswith(INSTANCES_PATH):
            return Response(404)
        instance_id = unquote(path.removeprefix(INSTANCES_PATH))
        if request.method == b"PUT":
            return await report(instance_id, request.body)
        if request.method == b"DELETE":
            try:
                check_instance_id(instance_id)
            except RecordError as error:
                return refuse(instance_id, error)
            backend.mark_stopped(instance_id, decode_born_ms(request.body))
            return await confirm_leave(instance_id)
        return Response(404)

    async def report(instance_id: str, body: bytes) -> Response:
        try:
            status = decode_report(instance_id, body, address)
            if not has_service(status.service):
                raise RecordError(f"unknown service {status.service!r}")
        except RecordError as error:
            return refuse(instance_id, error)
        if not backend.report(status):
            log_event(
                logger,
                events.REPORT_IGNORED,
                instance_id=instance_id,
                reason="a newer report or another incarnation is known",
                sequence=status.sequence,
            )
            if status.is_draining:
                # A leave is final, whatever reports have overtaken this one.
                backend.leave_named((instance_id, status.born_ms))
        if status.is_draining:
            return await confirm_leave(instance_id)
        return _json(200, b"{}")

    def refuse(instance_id: str, error: RecordError) -> Response:
        log_event(
            logger,
            events.REPORT_IGNORED,
            instance_id=instance_id[:INSTANCE_ID_LOGGED],
            reason=str(error),
        )
        return Response(400)

    async def confirm_leave(instance_id: str) -> Response:
        """Confirm a leave once it is stored, or known to more than this process."""
        stored = asyncio.create_task(wait_until_stored())
        try:
            await asyncio.wait([stored], timeout=ANNOUNCE_AFTER_S)
            if not stored.done():
                announce_leave()
                remaining_s = STORE_WAIT_S - ANNOUNCE_AFTER_S
                await asyncio.wait([stored], timeout=remaining_s)
            is_stored = stored.done()
        finally:
            stored.cancel()
        if not is_stored:
            reason = unconfirmed_reason()
            if reason:
                log_event(
                    logger,
                    events.LEAVE_NOT_CONFIRMED,
                    instance_id=instance_id,
                    reason=reason,
                )
                return _json(503, b"{}")
            log_event(logger, events.CONFIRMED_UNSTORED, instance_id=instance_id)
        return _json(200, b"{}")

    return handle


def make_readiness_handler(is_ready: Callable[[], bool]):
    """Return the handler of the platform's readiness check."""

    async def handle(request: Request) -> Response:
        return Response(200 if is_ready() else 503)

    return handle


def _json(status: int, body: bytes) -> Response:
    return Response(status, [(b"Content-Type", b"application/json")], body)
