"""Sends, answers and applies ``Exchange`` messages."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import msgspec

from damaskproxy.common.hashing import digest_of
from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.messages import (
    Exchange,
    Mark,
    MemberRecord,
    Status,
    to_record,
)
from damaskproxy.membership.own import OwnRecord
from damaskproxy.membership.records import MemberList
from damaskproxy.model import Address

__all__ = ["ControlCall", "Exchanger", "Extras"]

# With 5,000 members, 32 of the 256 buckets hold about 640, some 100 KB of records.
BUCKETS_PER_MESSAGE = 32
# A single difference is usually an update that is still being disseminated.
DIFFERENCES_BEFORE_SYNC = 2

ControlCall = Callable[[Address, str, object], Awaitable]

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Extras:
    """Sections and quarantine records, opaque state that is gossiped with the members.

    Parameters
    ----------
    versions : callable
        Returns the encoded versions, equal on nodes with equal state. It is called for
        each message, so it must be cheap.
    missing : callable
        Returns a payload with what a peer with the given encoded versions lacks.
    merge : callable
        Merges a payload into the state.
    """

    versions: Callable[[], bytes] = lambda: b""
    missing: Callable[[bytes], bytes] = lambda versions: b""
    merge: Callable[[bytes], object] = lambda payload: None


class Exchanger:
    """Synchronizes members and extras with other nodes, one peer per call.

    Parameters
    ----------
    own : OwnRecord
        Record of this node.
    members : MemberList
        Member list to update.
    call : callable
        Calls a method of the control service.
    extras : Extras
        Sections and quarantine records.
    on_records_changed : callable
        Called with the ids of the members that changed and the id of the node that
        sent the changes.
    on_extra_changed : callable
        Called with the id of a node whose extras changed those of this node.
    on_reply : callable
        Called for each reply of another node.
    """

    def __init__(
        self,
        own: OwnRecord,
        members: MemberList,
        *,
        call: ControlCall,
        extras: Extras,
        on_records_changed: Callable[[list[str], str], None],
        on_extra_changed: Callable[[str], None],
        on_reply: Callable[[], None],
    ):
        self._own = own
        self._members = members
        self._call = call
        self._extras = extras
        self._on_news = on_records_changed
        self._on_extra_news = on_extra_changed
        self._on_reply = on_reply
        self._differences: dict[str, int] = {}
        self._extra_versions = b""
        self._extra_digest = digest_of(b"")
        self._syncing = False
        self._joining = False

    # Sending

    async def exchange(
        self,
        address: Address,
        node_id: str = "",
        *,
        push: Iterable[str] = (),
        eager: bool = False,
    ) -> str:
        """Send an ``Exchange`` to the node at `address` and apply its reply.

        Parameters
        ----------
        address : Address
            Control address.
        node_id : str
            Expected node, empty if it is not known.
        push : iterable of str
            Ids of the members whose records or marks are sent.
        eager : bool
            Whether to synchronize the member lists at the first difference; otherwise
            only if the digests differ repeatedly.

        Returns
        -------
        str
            Id of the node that replied.

        Raises
        ------
        ControlError
            If there was no reply. Failures of the calls that follow the first reply
            are ignored.
        """
        records, marks = self._split_pushed(push)
        known = self._members.get(node_id) if node_id else None
        if known is not None and known.status is not Status.ALIVE:
            marks.append(known.mark)
        reply = await self._send(address, members=records, marks=marks)
        responder = reply.sender.node_id
        if responder != self._own.member.node_id:
            await self._reconcile(address, reply, eager)
        return responder

    def _split_pushed(
        self, push: Iterable[str]
    ) -> tuple[list[MemberRecord], list[Mark]]:
        """Return records to send, and marks for suspects, whose records peers have."""
        records, marks = [], []
        for node_id in push:
            entry = self._members.get(node_id)
            if entry is None:
                continue
            if entry.status is Status.SUSPECT:
                marks.append(entry.mark)
            else:
                records.append(self._members.record(node_id))
        return records, marks

    async def _send(self, address: Address, **fields) -> Exchange:
        reply = await self._call(address, "Exchange", self._message(**fields))
        if reply.sender.node_id != self._own.member.node_id:
            self._on_reply()
            self._apply(reply)
        return reply

    def _message(self, **fields) -> Exchange:
        return Exchange(
            to_record(self._own.member),
            digest=self._members.digest,
            extra_digest=self._digest_of_extras(),
            **fields,
        )

    def _digest_of_extras(self) -> int:
        versions = self._extras.versions()
        if versions != self._extra_versions:
            self._extra_versions = versions
            self._extra_digest = digest_of(versions)
        return self._extra_digest

    async def _reconcile(self, address: Address, reply: Exchange, eager: bool) -> None:
        try:
            known = reply.extra_versions
            if known is not None and reply.extra_digest != self._digest_of_extras():
                await self._exchange_extras(address, known, reply.sender.node_id)
            if self._differs(reply, eager):
                await self._sync(address)
        except ControlError:
            # The first reply has shown that the peer is alive, and the next exchange
            # starts over.
            return

    async def _exchange_extras(
        self, address: Address, versions: bytes, node_id: str
    ) -> None:
        await self._send(
            address,
            extra=self._missing_extras(versions, node_id),
            extra_versions=self._extras.versions(),
            want_extra=True,
        )

    def _differs(self, reply: Exchange, eager: bool) -> bool:
        peer = reply.sender.node_id
        if reply.digest == self._members.digest:
            self._differences.pop(peer, None)
            return False
        count = self._differences.get(peer, 0) + 1
        self._differences[peer] = count
        return eager or count >= DIFFERENCES_BEFORE_SYNC

    def retain_peers(self, node_ids: Iterable[str]) -> None:
        """Discard the difference counts of peers other than `node_ids`."""
        kept = set(node_ids)
        self._differences = {k: v for k, v in self._differences.items() if k in kept}

    async def _sync(self, address: Address) -> None:
        """Synchronize the member lists in both directions, bucket by bucket."""
        if self._syncing:
            return
        self._syncing = True
        # A node that knows at most one other gets only records that its peers already
        # have, so it does not push them.
        self._joining = len(self._members.ring) <= 2
        try:
            await self._compare_buckets(address)
        finally:
            self._syncing = self._joining = False

    async def _compare_buckets(self, address: Address) -> None:
        reply = await self._send(address, want_buckets=True)
        differing = self._members.differing_buckets(reply.buckets)
        requested: list[MemberRecord] = []
        for start in range(0, len(differing), BUCKETS_PER_MESSAGE):
            chunk = differing[start : start + BUCKETS_PER_MESSAGE]
            marks = self._members.marks(chunk)
            reply = await self._send(
                address, members=requested, bucket_ids=chunk, bucket_marks=marks
            )
            requested = self._records(reply.wanted)
        if requested:
            await self._send(address, members=requested)

    def _records(self, node_ids: Iterable[str]) -> list[MemberRecord]:
        return [
            self._members.record(node_id)
            for node_id in node_ids
            if self._members.get(node_id) is not None
        ]

    # Receiving

    def handle(self, request: Exchange) -> Exchange:
        """Apply a request and return the reply."""
        sender_id = request.sender.node_id
        self._apply(request)
        newer, older = [], []
        if request.bucket_ids:
            newer, older = self._members.compare(
                request.bucket_ids, request.bucket_marks
            )
        known = self._members.get(sender_id)
        is_not_alive = known is not None and known.status is not Status.ALIVE
        reply = self._message(
            members=self._records(newer),
            marks=[known.mark] if is_not_alive else [],
            wanted=older,
            buckets=self._members.bucket_digests() if request.want_buckets else b"",
        )
        return self._with_extras(request, reply)

    def _with_extras(self, request: Exchange, reply: Exchange) -> Exchange:
        if request.want_extra:
            versions = request.extra_versions or b""
            extra = self._missing_extras(versions, request.sender.node_id)
            return msgspec.structs.replace(reply, extra=extra)
        if request.extra_digest != reply.extra_digest:
            return msgspec.structs.replace(
                reply, extra_versions=self._extras.versions()
            )
        return reply

    def _apply(self, message: Exchange) -> None:
        """Merge records, marks and extras; report what changed to the callbacks."""
        own_id = self._own.member.node_id
        changed_ids = []
        for record in (message.sender, *message.members):
            if record.node_id == own_id:
                self._own.handle_claim(record)
            elif self._members.merge(record):
                changed_ids.append(record.node_id)
        for mark in message.marks:
            if mark.node_id == own_id:
                self._own.handle_claim(mark)
            elif self._members.merge_mark(mark):
                changed_ids.append(mark.node_id)
        if changed_ids and not self._joining:
            self._on_news(changed_ids, message.sender.node_id)
        if message.extra:
            self._merge_extra(message)

    def _missing_extras(self, versions: bytes, node_id: str) -> bytes:
        try:
            return self._extras.missing(versions)
        except Exception:
            log_event(_log, events.EXTRA_REJECTED, exc_info=True, sender=node_id)
            return b""

    def _merge_extra(self, message: Exchange) -> None:
        sender_id = message.sender.node_id
        before = self._extras.versions()
        try:
            self._extras.merge(message.extra)
        except Exception:
            # An invalid payload of a peer must not stop failure detection.
            log_event(_log, events.EXTRA_REJECTED, exc_info=True, sender=sender_id)
        if self._extras.versions() != before:
            self._on_extra_news(sender_id)
