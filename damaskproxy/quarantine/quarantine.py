"""Quarantine of requests that were in flight when backend servers crashed."""

import asyncio
import hashlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from damaskproxy.common import Outcome, Refusal, RefusalReason
from damaskproxy.events import log_event
from damaskproxy.ledger.entries import fingerprint_of
from damaskproxy.quarantine import events
from damaskproxy.quarantine.records import QuarantineRecord, RecordStore
from damaskproxy.quarantine.settings import QuarantineSettings
from damaskproxy.wire import Call

__all__ = ["Quarantine", "SuspectPermit"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, eq=False)
class SuspectPermit:
    """Permit to run a suspect request; a target node grants one at a time.

    Parameters
    ----------
    identity : str
        Identity of the request.
    avoid : frozenset of str
        Nodes whose backend servers crashed while running the request.
    """

    identity: str
    avoid: frozenset[str] = frozenset()

    def target(self, node_ids: Iterable[str]) -> str | None:
        """Return the node that is to run this request, or None if there is none.

        All dispatching nodes choose the same one by rendezvous hashing, so copies of a
        poison request wait for the same permit instead of crashing a backend server
        each.
        """
        candidates = [node_id for node_id in node_ids if node_id not in self.avoid]
        return min(candidates, key=self._rank, default=None)

    def _rank(self, node_id: str) -> bytes:
        name = f"{self.identity}/{node_id}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()


class Quarantine:
    """Suspect and quarantined requests as known to one node.

    Parameters
    ----------
    wall_ms : callable
        Returns the Unix time in milliseconds.
    settings : QuarantineSettings
        Durations and bounds.

    Notes
    -----
    The dispatching node calls `check` and sets ``Call.suspect``; the target node calls
    `acquire_permit`. A request is quarantined if a backend server crashes while running
    it as a suspect, not if it was merely in flight at two crashes: a frequent request
    is often in flight, and its quarantine would refuse unrelated callers.

    At most two backend servers crash per request as long as all nodes have exchanged
    their records. A node that has not received an update yet, or that has just
    restarted, may cause another crash.
    """

    def __init__(
        self,
        *,
        wall_ms: Callable[[], int],
        settings: QuarantineSettings | None = None,
    ):
        self._settings = settings or QuarantineSettings()
        self._wall_ms = wall_ms
        self._store = RecordStore(wall_ms=wall_ms, settings=self._settings)
        self._permit_lock = asyncio.Lock()
        self._current_permit: SuspectPermit | None = None

    def identity(self, call: Call) -> str:
        """Return the digest of service, method, path and body of `call`."""
        return fingerprint_of(call).hex()

    def check(self, call: Call) -> Refusal | SuspectPermit | None:
        """Check `call` on the node that dispatches it.

        Returns
        -------
        Refusal, SuspectPermit or None
            None for a request that is not suspect. A suspect request is dispatched with
            ``suspect`` set, to no node that the permit lists in ``avoid``, and is not
            hedged. The outcome of a refusal refers to this attempt.
        """
        if not len(self._store):
            # The digest of the body costs more than all other checks of a call.
            return None
        record = self._store.get(self.identity(call))
        if record is None:
            return None
        if self._is_quarantined(record) and not self._is_unrelated(record):
            return self._refusal(record, "the request crashed several backend servers")
        if not record.is_suspect:
            return None
        if not call.idempotent:
            return self._refusal(record, "a backend server died while it ran")
        return SuspectPermit(record.identity, frozenset(record.servers))

    async def acquire_permit(
        self, call: Call, *, timeout_s: float
    ) -> Refusal | SuspectPermit | None:
        """Wait on the target node for the permit to run `call`, if it is suspect.

        Parameters
        ----------
        call : Call
            The call that is about to start.
        timeout_s : float
            Longest wait for another suspect request to end.

        Returns
        -------
        Refusal, SuspectPermit or None
            None if no permit is needed. A permit must be released with `completed`,
            `quarantine_suspect` or `released`.
        """
        decision = self._decide(call)
        if not isinstance(decision, SuspectPermit):
            return decision
        try:
            async with asyncio.timeout(timeout_s):
                await self._permit_lock.acquire()
        except TimeoutError:
            return Refusal(
                RefusalReason.NOT_READY,
                Outcome.NOT_RUN,
                self._settings.retry_after_ms,
                "another suspect request runs on this node",
            )
        # The record may have changed during the wait.
        decision = self._decide(call)
        if isinstance(decision, SuspectPermit):
            self._current_permit = decision
        else:
            self._permit_lock.release()
        return decision

    def completed(self, suspect: SuspectPermit) -> None:
        """Clear a suspect request that completed, and release a permit held here."""
        self._release_permit(suspect)
        record = self._store.get(suspect.identity)
        if record is None or not record.is_suspect:
            return
        # Not before the crash, even if the clock of this node is behind.
        cleared_ms = max(self._wall_ms(), record.suspected_ms)
        self._store.merge([msgspec.structs.replace(record, cleared_ms=cleared_ms)])
        log_event(logger, events.CLEARED, identity=suspect.identity)

    def quarantine_suspect(self, suspect: SuspectPermit, *, server: str) -> None:
        """Quarantine a request that crashed `server`, and release a permit of it."""
        self._release_permit(suspect)
        now_ms = self._wall_ms()
        record = QuarantineRecord(
            suspect.identity,
            suspected_ms=now_ms,
            quarantined_until_ms=now_ms + self._settings.quarantine_ms,
            servers=(server,),
        )
        if self._store.merge([record]):
            log_event(
                logger, events.QUARANTINED, identity=suspect.identity, server=server
            )

    def released(self, suspect: SuspectPermit) -> None:
        """Release a permit whose request neither completed nor crashed its server."""
        self._release_permit(suspect)

    def backend_crashed(self, identities: Iterable[str], *, server: str = "") -> None:
        """Suspect the requests in flight on the backend server of this node.

        Parameters
        ----------
        identities : iterable of str
            Requests in flight; the one that holds the permit is quarantined.
        server : str
            This node.
        """
        identities = set(identities)
        current_permit = self._current_permit
        if current_permit is not None and current_permit.identity in identities:
            identities.discard(current_permit.identity)
            self.quarantine_suspect(current_permit, server=server)
        self.add_suspects(identities, server=server)

    def add_suspects(self, identities: Iterable[str], *, server: str) -> None:
        """Suspect requests that this node had dispatched to a crashed backend server.

        Parameters
        ----------
        identities : iterable of str
            Requests that were dispatched without a permit; those with one are passed
            to `quarantine_suspect` instead.
        server : str
            Node of the backend server.
        """
        identities = set(identities)
        for identity in sorted(identities):
            existing = self._store.get(identity) or QuarantineRecord(identity)
            suspected_ms = max(self._wall_ms(), existing.cleared_ms + 1)
            servers = (server,) if server else ()
            record = QuarantineRecord(identity, suspected_ms, servers=servers)
            self._store.merge([record])
        log_event(logger, events.SUSPECTED, server=server, requests=len(identities))

    def records(self, newer_than: int = 0) -> list[QuarantineRecord]:
        """Return the records to send to other nodes that changed after a `version`."""
        return self._store.all(newer_than)

    def version(self) -> int:
        """Return the version of the records, which increases with each change."""
        return self._store.version

    def merge(self, records: Iterable[QuarantineRecord]) -> bool:
        """Merge records of another node, and return whether anything changed."""
        return self._store.merge(records)

    def _is_quarantined(self, record: QuarantineRecord) -> bool:
        return record.quarantined_until_ms > self._wall_ms()

    def _is_unrelated(self, record: QuarantineRecord) -> bool:
        """Return whether another request was running at all these crashes and at more.

        A suspect request is quarantined without cause if a copy of a poison request
        that is not suspect yet crashes the same server. The poison request has crashed
        more servers, which shows that the other one is unrelated.
        """
        servers = set(record.servers)
        return any(
            self._is_quarantined(other) and servers < set(other.servers)
            for other in self._store.all()
        )

    def _decide(self, call: Call) -> Refusal | SuspectPermit | None:
        decision = self.check(call)
        if decision is None and call.suspect and call.idempotent:
            return SuspectPermit(self.identity(call))
        return decision

    def _release_permit(self, suspect: SuspectPermit) -> None:
        if self._current_permit is suspect:
            self._current_permit = None
            self._permit_lock.release()

    def _refusal(self, record: QuarantineRecord, detail: str) -> Refusal:
        until_ms = max(
            record.quarantined_until_ms,
            record.suspected_ms + self._settings.suspect_ms,
        )
        retry_after_ms = max(0, until_ms - self._wall_ms())
        return Refusal(
            RefusalReason.QUARANTINED, Outcome.NOT_RUN, retry_after_ms, detail
        )
