"""Seeded open-loop callers of a mesh: counters or households."""

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
from damaskproxy.standins.callers_told import (
    CONNECTION_CUT,
    NO_ANSWER,
    NO_ENTRY,
    NO_KEY,
    Told,
    read_told,
)

__all__ = [
    "CallerConfig",
    "Callers",
    "Observer",
    "PlannedRequest",
    "plan_requests",
]

# A caller waits a little longer than the longest route deadline for an answer.
ANSWER_TIMEOUT_S = 8.0
# Refusals of an entry node that is about to go or cut off; another one takes the call.
ENTRY_REASONS = frozenset(
    (RefusalReason.STOPPING, RefusalReason.NOT_READY, RefusalReason.ISOLATED)
)


@dataclass(frozen=True, slots=True)
class CallerConfig:
    """How the callers behave.

    Parameters
    ----------
    rate_per_s, duration_s : float
        Mean rate of first attempts, and the time after which none starts.
    callers : int
        Number of callers that the requests are spread over.
    sends : int
        Most times that one request is sent, the first included.
    resend_pause_s : float
        Pause before a resend, unless the refusal asks for a longer one.
    body_bytes : int
        Length of the body of a keyed request.
    seed : int
        Seed of the plan and of the choice of entry nodes.
    chosen_share : float
        Share of keyed requests whose key the caller chooses instead of fetching one.
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
    """A request of the plan; `at_s` counts from the start."""

    at_s: float
    number: int
    caller: str
    kind: RequestKind
    path: str
    body: bytes

    @property
    def digest(self) -> str:
        """Digest that the whole answer to this request carries."""
        return request_digest(self.kind.method, self.path, self.body)

    @property
    def content(self) -> bytes:
        """Bytes that the history compares."""
        return request_bytes(self.kind.method, self.path, self.body)


class Observer(Protocol):
    """Records what callers send and are told."""

    def sent(self, request: PlannedRequest, key: str) -> None:
        """Note that a request leaves the caller, each time it does."""

    def told(self, request: PlannedRequest, key: str, told: Told) -> None:
        """Note what one send brought."""


def plan_requests(mesh: Mesh, config: CallerConfig) -> Iterator[PlannedRequest]:
    """Yield the requests of a run; equal arguments give equal plans."""
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
            # The history tells requests without a key apart by their path.
            path += f"?request={config.seed}-{number}"
        else:
            text = f"{caller} {number} "
            body = text.ljust(config.body_bytes, ".").encode()
        yield PlannedRequest(at_s, number, caller, kind, path, body)
        at_s += rng.expovariate(config.rate_per_s)
        number += 1


@dataclass(slots=True)
class Entries:
    """Entry nodes that the callers know; a dead one is passed over for a while."""

    urls: Sequence[str]
    rng: random.Random
    now_s: Callable[[], float]
    shun_s: float = 2.0
    shunned: dict[str, float] = field(default_factory=dict)

    def choose(self) -> str:
        """Return a random entry node, not a shunned one if there is another."""
        now_s = self.now_s()
        open_urls = [url for url in self.urls if self.shunned.get(url, 0) <= now_s]
        return self.rng.choice(open_urls or list(self.urls))

    def shun(self, url: str) -> None:
        """Pass over `url` for a while."""
        self.shunned[url] = self.now_s() + self.shun_s


class Callers:
    """Callers of a mesh that send a plan of requests to its entry nodes.

    Parameters
    ----------
    mesh : Mesh
        Whose callers.
    config : CallerConfig
        Rate, plan and resends.
    entries : sequence of str
        ``host:port`` of the ``call`` listeners of the entry nodes.
    observer : Observer
        Is told of each send and of what it brought.
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
        self._entries = Entries(urls, random.Random(config.seed + 1), now_s)
        self._keys = KeyPool(self._fetch_keys)
        self._session: aiohttp.ClientSession | None = None
        self.latencies_s: dict[str, list[float]] = {k.name: [] for k in mesh.mix}
        self.results: list[tuple[PlannedRequest, Told]] = []

    async def run(self) -> list[tuple[PlannedRequest, Told]]:
        """Send the plan and return what each request brought in the end."""
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
                tasks.add(asyncio.create_task(self._serve(request, due_s)))
            await asyncio.gather(*tasks)
            await self._keys.close()
        return self.results

    async def _serve(self, request: PlannedRequest, due_s: float) -> None:
        """Send one request until it is settled or the sends are spent."""
        key = ""
        if request.kind.has_key:
            key = self._choose_key(request) or await self._keys.take()
        if key is None:
            told = Told(0, Outcome.NOT_RUN, NO_KEY)
        else:
            told = await self._send_until_settled(request, key)
        if told.whole:
            # Counted from the planned time, so that a late sender hides no wait.
            self.latencies_s[request.kind.name].append(self._now_s() - due_s)
        self.results.append((request, told))

    def _choose_key(self, request: PlannedRequest) -> str:
        """Return a key of the caller's own for a share of the requests."""
        rng = random.Random(f"{self._config.seed} {request.number}")
        if rng.random() >= self._config.chosen_share:
            return ""
        return f"{request.caller}-{self._config.seed}-{request.number}"

    async def _send_until_settled(self, request: PlannedRequest, key: str) -> Told:
        for number in range(self._config.sends):
            self._observer.sent(request, key)
            told = await self._send(request, key)
            self._observer.told(request, key, told)
            if not self._may_resend(told) or number + 1 == self._config.sends:
                break
            await asyncio.sleep(max(self._config.resend_pause_s, told.retry_after_s))
        return told

    def _may_resend(self, told: Told) -> bool:
        """Resend after ``unknown``, and where the entry node takes no requests."""
        if told.status == 0 or told.reason in ENTRY_REASONS:
            return True
        return told.outcome is Outcome.UNKNOWN and not told.whole

    async def _send(self, request: PlannedRequest, key: str) -> Told:
        base = self._entries.choose()
        url = f"{base}/{request.kind.service}{request.path}"
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
            told = read_told(response.status, body, request.digest)
            if told.reason in ENTRY_REASONS:
                self._entries.shun(base)
            return told
        except aiohttp.ClientConnectorError:
            self._entries.shun(base)
            return Told(0, Outcome.NOT_RUN, NO_ENTRY)
        except TimeoutError:
            return Told(0, Outcome.UNKNOWN, NO_ANSWER)
        except aiohttp.ClientError:
            self._entries.shun(base)
            return Told(0, Outcome.UNKNOWN, CONNECTION_CUT, cut=True)

    async def _fetch_keys(self, count: int) -> list[str]:
        """Return issued keys; tries each entry node at most once."""
        for _ in self._entries.urls:
            base = self._entries.choose()
            try:
                async with self._session.post(
                    f"{base}/damask/keys",
                    params={"count": count},
                    timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S),
                ) as response:
                    if response.status == 200:
                        return (await response.json())["keys"]
            except (aiohttp.ClientError, TimeoutError):
                pass
            self._entries.shun(base)
        return []
