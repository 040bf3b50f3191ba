"""Admin listener: health, readiness, metrics and status."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

__all__ = ["AdminListener"]

OK = 200
UNAVAILABLE = 503


class AdminListener:
    """Handler of the ``admin`` listener.

    Parameters
    ----------
    registry : CollectorRegistry
        Metrics that ``/metrics`` exposes.
    not_ready_reason : callable
        Returns why the node is not ready, empty if it is.
    status : callable
        Returns the object that ``/status`` serves as JSON.
    refresh : callable
        Updates the gauges.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        not_ready_reason: Callable[[], str],
        status: Callable[[], dict],
        refresh: Callable[[], None],
    ):
        self._registry = registry
        self._not_ready_reason = not_ready_reason
        self._status = status
        self._refresh = refresh
        self._pages: dict[str, Callable[[], Awaitable[web.Response]]] = {
            "/healthz": self._health,
            "/readyz": self._ready,
            "/metrics": self._metrics,
            "/status": self._show_status,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one page."""
        page = self._pages.get(request.path)
        if page is None:
            paths = ", ".join(self._pages)
            return web.Response(status=404, text=f"pages: {paths}\n")
        if request.method not in ("GET", "HEAD"):
            return web.Response(status=405, headers={"Allow": "GET, HEAD"})
        return await page()

    async def _health(self) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self) -> web.Response:
        reason = self._not_ready_reason()
        status = UNAVAILABLE if reason else OK
        return web.Response(status=status, text=f"{reason or 'ready'}\n")

    async def _metrics(self) -> web.Response:
        self._refresh()
        return web.Response(
            body=generate_latest(self._registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def _show_status(self) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._status()), content_type="application/json"
        )
