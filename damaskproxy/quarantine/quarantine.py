"""Requests that were in flight when a backend server died."""

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
    """Permission to run a suspect request.

    Parameters
    ----------
    identity : str
        Identity of the request.
    avoid : frozenset of str
        Nodes whose backend servers died while it ran.
    """

    identity: str
    avoid: frozenset[str] = frozenset()

    def target(self, node_ids: Iterable[str]) -> str | None:
        """Return the node that shall run this suspect, None without one.

        All dispatching nodes choose the same one (rendezvous hash), so copies of a
        poison request wait for the same turn and do not cost a server each.
        """
        candidates = [node_id for node_id in node_ids if node_id not in self.avoid]
        return min(candidates, key=self._rank, default=None)

    def _rank(self, node_id: str) -> bytes:
        name = f"{self.identity}/{node_id}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()


class Quarantine:
    """Suspect and quarantined identities of one node.

    Parameters
    ----------
    wall_ms : callable
        Unix time in milliseconds.
    settings : QuarantineSettings
        Durations and bounds.

    Notes
    -----
    The dispatching node asks `check` and sets ``Call.suspect``; the target node asks
    `turn`. An identity is quarantined when a server dies while it runs as a suspect,
    not when it merely was in flight at two deaths: a popular request is often in
    flight, and quarantining it would refuse innocent callers.

    The limit of two servers per request holds among nodes that have the records of each
    other. A node that the news has not reached, or that has just restarted, may cost a
    further server.
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
        self._turn = asyncio.Lock()
        self._holder: SuspectPermit | None = None

    def identity(self, call: Call) -> str:
        """Return the digest of service, method, path and body of `call`."""
        return fingerprint_of(call).hex()

    def check(self, call: Call) -> Refusal | SuspectPermit | None:
        """Decide about `call` on the node that dispatches it.

        Returns
        -------
        Refusal, SuspectPermit or None
            None for a request that is not suspect. A suspect is dispatched with
            ``suspect`` set, to no server named in the pass, and is not hedged. The
            outcome of a refusal speaks about this attempt.
        """
        if not len(self._store):
            # The digest of a body costs more than all other checks of a call.
            return None
        record = self._store.get(self.identity(call))
        if record is None:
            return None
        if self._is_quarantined(record) and not self._is_explained(record):
            return self._refusal(record, "the request crashed several backend servers")
        if not record.is_suspect:
            return None
        if not call.idempotent:
            return self._refusal(record, "a backend server died while it ran")
        return SuspectPermit(record.identity, frozenset(record.servers))

    async def acquire_permit(
        self, call: Call, *, timeout_s: float
    ) -> Refusal | SuspectPermit | None:
        """Wait on the target node until `call` may run.

        Parameters
        ----------
        call : Call
            The call that is about to start.
        timeout_s : float
            Longest time to wait for another suspect to end.

        Returns
        -------
        Refusal, SuspectPermit or None
            A pass must be returned with `completed`, `died` or `released`.
        """
        decision = self._decide(call)
        if not isinstance(decision, SuspectPermit):
            return decision
        try:
            async with asyncio.timeout(timeout_s):
                await self._turn.acquire()
        except TimeoutError:
            return Refusal(
                RefusalReason.NOT_READY,
                Outcome.NOT_RUN,
                self._settings.retry_after_ms,
                "another suspect request runs on this node",
            )
        # The wait may have been long enough for the verdict to change.
        decision = self._decide(call)
        if isinstance(decision, SuspectPermit):
            self._holder = decision
        else:
            self._turn.release()
        return decision

    def completed(self, suspect: SuspectPermit) -> None:
        """Clear a suspect that was answered."""
        self._end_turn(suspect)
        record = self._store.get(suspect.identity)
        if record is None or not record.is_suspect:
            return
        # Not before the death, also when this clock is behind that of the other node.
        cleared_ms = max(self._wall_ms(), record.suspected_ms)
        self._store.merge([msgspec.structs.replace(record, cleared_ms=cleared_ms)])
        log_event(logger, events.CLEARED, identity=suspect.identity)

    def quarantine_suspect(self, suspect: SuspectPermit, *, server: str) -> None:
        """Quarantine a suspect whose backend server died."""
        self._end_turn(suspect)
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
        """Return a pass whose request neither was answered nor lost its server."""
        self._end_turn(suspect)

    def backend_crashed(self, identities: Iterable[str], *, server: str = "") -> None:
        """Suspect the requests that were in flight on the backend server of this node.

        Parameters
        ----------
        identities : iterable of str
            Requests in flight; the one that holds the turn here is quarantined.
        server : str
            This node.
        """
        identities = set(identities)
        holder = self._holder
        if holder is not None and holder.identity in identities:
            identities.discard(holder.identity)
            self.quarantine_suspect(holder, server=server)
        self.add_suspects(identities, server=server)

    def add_suspects(self, identities: Iterable[str], *, server: str) -> None:
        """Suspect requests that this node had dispatched to a server that died.

        Parameters
        ----------
        identities : iterable of str
            Requests without a pass; one that was dispatched with a pass is reported by
            `died` instead.
        server : str
            Node beside the backend server.
        """
        identities = set(identities)
        for identity in sorted(identities):
            known = self._store.get(identity) or QuarantineRecord(identity)
            suspected_ms = max(self._wall_ms(), known.cleared_ms + 1)
            servers = (server,) if server else ()
            record = QuarantineRecord(identity, suspected_ms, servers=servers)
            self._store.merge([record])
        log_event(logger, events.SUSPECTED, server=server, requests=len(identities))

    def records(self, newer_than: int = 0) -> list[QuarantineRecord]:
        """Return the records to disseminate that changed after a `version`."""
        return self._store.all(newer_than)

    def version(self) -> int:
        """Return a number that rises with each change of the records."""
        return self._store.version

    def merge(self, records: Iterable[QuarantineRecord]) -> bool:
        """Merge records of another node, and tell whether anything changed."""
        return self._store.merge(records)

    def _is_quarantined(self, record: QuarantineRecord) -> bool:
        return record.quarantined_until_ms > self._wall_ms()

    def _is_explained(self, record: QuarantineRecord) -> bool:
        """Tell whether another request was there at each of these deaths and at more.

        An innocent suspect is quarantined when an unsuspected copy of the poison
        request takes its server down. The copies of the poison request are known from
        more servers, which shows the innocent one to be a bystander.
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

    def _end_turn(self, suspect: SuspectPermit) -> None:
        if self._holder is suspect:
            self._holder = None
            self._turn.release()

    def _refusal(self, record: QuarantineRecord, detail: str) -> Refusal:
        until_ms = max(
            record.quarantined_until_ms,
            record.suspected_ms + self._settings.suspect_ms,
        )
        retry_after_ms = max(0, until_ms - self._wall_ms())
        return Refusal(
            RefusalReason.QUARANTINED, Outcome.NOT_RUN, retry_after_ms, detail
        )
