"""Seeded open-loop load generator: the callers of a mesh (counters or households)."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import aiohttp

from damaskproxy.common import Outcome, RefusalReason
from damaskproxy.standins.backend_answer import request_bytes, request_digest
from damaskproxy.standins.callers_keys import KeyPool
from damaskproxy.standins.callers_meshes import Mesh, RequestKind
from damaskproxy.standins.callers_results import (
    CONNECTION_CUT,
    NO_ANSWER,
    NO_ENTRY,
    NO_KEY,
    SendResult,
    read_result,
)

__all__ = [
    "CallerConfig",
    "Callers",
    "Observer",
    "PlannedRequest",
    "plan_requests",
]

# Slightly longer than the longest route deadline.
ANSWER_TIMEOUT_S = 8.0
# The entry node is stopping, not ready or partitioned; another one may take the call.
ENTRY_UNAVAILABLE_REASONS = frozenset(
    (RefusalReason.STOPPING, RefusalReason.NOT_READY, RefusalReason.ISOLATED)
)


@dataclass(frozen=True, slots=True)
class CallerConfig:
    """Load and resend settings of the callers.

    Parameters
    ----------
    rate_per_s, duration_s : float
        Mean rate of new requests, and the time during which they are sent.
    callers : int
        Number of callers over which the requests are spread.
    sends : int
        Maximum number of sends of one request, including the first.
    resend_pause_s : float
        Pause before a resend, unless the refusal specifies a longer one.
    body_bytes : int
        Minimum length of the body of a request with a key.
    seed : int
        Seed of the plan and of the selection of entry nodes.
    chosen_share : float
        Share of requests with a key whose key the caller chooses instead of fetching
        an issued one.
    """

    rate_per_s: float
    duration_s: float
    callers: int = 20
    sends: int = 5
    resend_pause_s: float = 0.1
    body_bytes: int = 256
    seed: int = 0
    chosen_share: float = 0.0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request of the plan, due `at_s` after the start."""

    at_s: float
    number: int
    caller: str
    kind: RequestKind
    path: str
    body: bytes

    @property
    def digest(self) -> str:
        """Digest that a response to this request contains."""
        return request_digest(self.kind.method, self.path, self.body)

    @property
    def content(self) -> bytes:
        """Bytes by which the history compares requests."""
        return request_bytes(self.kind.method, self.path, self.body)


class Observer(Protocol):
    """Records the sends of callers and their results."""

    def sent(self, request: PlannedRequest, key: str) -> None:
        """Record a send, before the request is written."""

    def told(self, request: PlannedRequest, key: str, result: SendResult) -> None:
        """Record the result of the latest send."""


def plan_requests(mesh: Mesh, config: CallerConfig) -> Iterator[PlannedRequest]:
    """Yield the planned requests; equal arguments give equal plans."""
    rng = random.Random(config.seed)
    shares = [kind.share for kind in mesh.mix]
    at_s = rng.expovariate(config.rate_per_s)
    number = 0
    while at_s < config.duration_s:
        kind = rng.choices(mesh.mix, shares)[0]
        caller = f"{mesh.caller}-{rng.randrange(config.callers)}"
        path = kind.path.replace("{n}", str(rng.randrange(10_000)))
        body = b""
        if not kind.has_key:
            # The history distinguishes requests without a key by their path.
            path += f"?request={config.seed}-{number}"
        else:
            text = f"{caller} {number} "
            body = text.ljust(config.body_bytes, ".").encode()
        yield PlannedRequest(at_s, number, caller, kind, path, body)
        at_s += rng.expovariate(config.rate_per_s)
        number += 1


@dataclass(slots=True)
class EntryNodes:
    """Entry nodes of the callers, with back-off after failures."""

    urls: Sequence[str]
    rng: random.Random
    now_s: Callable[[], float]
    backoff_s: float = 2.0
    backoff_until_s: dict[str, float] = field(default_factory=dict)

    def choose(self) -> str:
        """Return the URL of a random entry node, if possible of one not in back-off."""
        now_s = self.now_s()
        available_urls = [
            url for url in self.urls if self.backoff_until_s.get(url, 0) <= now_s
        ]
        return self.rng.choice(available_urls or list(self.urls))

    def start_backoff(self, url: str) -> None:
        """Avoid `url` for `backoff_s`."""
        self.backoff_until_s[url] = self.now_s() + self.backoff_s


class Callers:
    """Callers of a mesh that send a plan of requests to its entry nodes.

    Parameters
    ----------
    mesh : Mesh
        Mesh that the callers belong to.
    config : CallerConfig
        Load and resend settings.
    entries : sequence of str
        ``host:port`` of the ``call`` listeners of the entry nodes.
    observer : Observer
        Records each send and its result.
    """

    def __init__(
        self,
        mesh: Mesh,
        config: CallerConfig,
        entries: Sequence[str],
        observer: Observer,
        *,
        now_s: Callable[[], float] = time.monotonic,
    ):
        self._mesh = mesh
        self._config = config
        self._observer = observer
        self._now_s = now_s
        urls = [f"http://{address}" for address in entries]
        self._entries = EntryNodes(urls, random.Random(config.seed + 1), now_s)
        self._keys = KeyPool(self._fetch_keys)
        self._session: aiohttp.ClientSession | None = None
        self.latencies_s: dict[str, list[float]] = {k.name: [] for k in mesh.mix}
        self.results: list[tuple[PlannedRequest, SendResult]] = []

    async def run(self) -> list[tuple[PlannedRequest, SendResult]]:
        """Send the planned requests and return the final result of each."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        ) as self._session:
            await self._keys.fill()
            tasks = set()
            start_s = self._now_s()
            for request in plan_requests(self._mesh, self._config):
                await asyncio.sleep(max(0, start_s + request.at_s - self._now_s()))
                due_s = start_s + request.at_s
                tasks.add(asyncio.create_task(self._send_planned(request, due_s)))
            await asyncio.gather(*tasks)
            await self._keys.close()
        return self.results

    async def _send_planned(self, request: PlannedRequest, due_s: float) -> None:
        """Send one request, with resends, and record its final result and latency."""
        key = ""
        if request.kind.has_key:
            key = self._choose_key(request) or await self._keys.take()
        if key is None:
            result = SendResult(0, Outcome.NOT_RUN, NO_KEY)
        else:
            result = await self._send_with_resends(request, key)
        if result.is_complete:
            # Measured from the planned time, so that a late send doesn't hide queueing.
            self.latencies_s[request.kind.name].append(self._now_s() - due_s)
        self.results.append((request, result))

    def _choose_key(self, request: PlannedRequest) -> str:
        """Return a caller-chosen key for a share of the requests, else ``""``."""
        rng = random.Random(f"{self._config.seed} {request.number}")
        if rng.random() >= self._config.chosen_share:
            return ""
        return f"{request.caller}-{self._config.seed}-{request.number}"

    async def _send_with_resends(self, request: PlannedRequest, key: str) -> SendResult:
        for number in range(self._config.sends):
            self._observer.sent(request, key)
            result = await self._send(request, key)
            self._observer.told(request, key, result)
            if not self._may_resend(result) or number + 1 == self._config.sends:
                break
            await asyncio.sleep(max(self._config.resend_pause_s, result.retry_after_s))
        return result

    def _may_resend(self, result: SendResult) -> bool:
        """Return whether the outcome is unknown or the entry node is unavailable."""
        if result.status == 0 or result.reason in ENTRY_UNAVAILABLE_REASONS:
            return True
        return result.outcome is Outcome.UNKNOWN and not result.is_complete

    async def _send(self, request: PlannedRequest, key: str) -> SendResult:
        entry_url = self._entries.choose()
        url = f"{entry_url}/{request.kind.service}{request.path}"
        headers = {"Idempotency-Key": key} if key else {}
        try:
            async with self._session.request(
                request.kind.method,
                url,
                data=request.body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S),
            ) as response:
                body = await response.read()
            result = read_result(response.status, body, request.digest)
            if result.reason in ENTRY_UNAVAILABLE_REASONS:
                self._entries.start_backoff(entry_url)
            return result
        except aiohttp.ClientConnectorError:
            self._entries.start_backoff(entry_url)
            return SendResult(0, Outcome.NOT_RUN, NO_ENTRY)
        except TimeoutError:
            return SendResult(0, Outcome.UNKNOWN, NO_ANSWER)
        except aiohttp.ClientError:
            self._entries.start_backoff(entry_url)
            return SendResult(0, Outcome.UNKNOWN, CONNECTION_CUT, connection_lost=True)

    async def _fetch_keys(self, count: int) -> list[str]:
        """Return issued keys; makes at most one request per entry node."""
        for _ in self._entries.urls:
            entry_url = self._entries.choose()
            try:
                async with self._session.post(
                    f"{entry_url}/damask/keys",
                    params={"count": count},
                    timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S),
                ) as response:
                    if response.status == 200:
                        return (await response.json())["keys"]
            except (aiohttp.ClientError, TimeoutError):
                pass
            self._entries.start_backoff(entry_url)
        return []
