"""Announcements of a backend server to its node."""

import asyncio
import logging

import aiohttp
import msgspec

from damaskproxy.events import log_event
from damaskproxy.standins.backend_events import ANNOUNCE_FAILED

__all__ = ["Announcer"]

DEFAULT_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.9

logger = logging.getLogger(__name__)


class AnnounceReply(msgspec.Struct, frozen=True):
    """Reply of the node; fields that the backend server does not use are ignored."""

    identity: str = ""
    node_id: str = ""
    data_centre: str = ""
    announce_every_ms: int = int(DEFAULT_INTERVAL_S * 1000)
    state: str = ""


class Announcer:
    """Renews the lease of a backend server at its node.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the backend server.
    node : str
        ``host:port`` of the node's ``backend`` listener.
    body : dict
        Announcement: service, host, port, slots.
    """

    def __init__(self, session: aiohttp.ClientSession, node: str, body: dict):
        self._session = session
        self._url = f"http://{node}/damask/announce"
        self._body = msgspec.json.encode(body)
        self.reply: AnnounceReply | None = None
        self.accepted = asyncio.Event()

    async def run(self, start_delay_s: float = 0.0) -> None:
        """Announce until cancelled."""
        await asyncio.sleep(start_delay_s)
        while True:
            pause_s = await self._announce()
            await asyncio.sleep(pause_s)

    async def _announce(self) -> float:
        """Announce once and return the seconds until the next announcement."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        try:
            async with self._session.post(
                self._url,
                data=self._body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                body = await response.read()
                if response.status >= 300:
                    raise ValueError(f"status {response.status}: {body[:200]!r}")
                self.reply = msgspec.json.decode(body, type=AnnounceReply)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            detail = str(error) or type(error).__name__
            log_event(logger, ANNOUNCE_FAILED, url=self._url, detail=detail)
            return DEFAULT_INTERVAL_S
        self.accepted.set()
        return max(0.05, self.reply.announce_every_ms / 1000)
