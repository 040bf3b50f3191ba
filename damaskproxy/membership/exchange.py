"""Building, answering and absorbing of ``Exchange`` messages."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import msgspec

from damaskproxy.events import log_event
from damaskproxy.membership import events
from damaskproxy.membership.errors import ControlError
from damaskproxy.membership.hashing import digest_of
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

__all__ = ["Caller", "Exchanger", "Extras"]

# 32 of 256 buckets hold about 640 members at 5,000, some 100 KB of records.
BUCKETS_PER_MESSAGE = 32
# A difference seen once is mostly an update that is still on its way.
DIFFERENCES_BEFORE_SYNC = 2

Caller = Callable[[Address, str, object], Awaitable]

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Extras:
    """Opaque state that travels with the members: sections and quarantine records.

    Parameters
    ----------
    state : callable
        Returns the versions as bytes, equal on nodes that know the same. It is called
        for each message, so it must be cheap.
    missing : callable
        Returns a payload of what a peer with the given versions lacks.
    merge : callable
        Takes over a payload.
    """

    state: Callable[[], bytes] = lambda: b""
    missing: Callable[[bytes], bytes] = lambda versions: b""
    merge: Callable[[bytes], object] = lambda payload: None


class Exchanger:
    """Exchanges members and extras with one peer at a time.

    Parameters
    ----------
    own : OwnRecord
        Record of this node.
    members : MemberList
        Member list that is kept up to date.
    call : callable
        Control transport.
    extras : Extras
        Opaque state that is exchanged too.
    on_records_changed : callable
        Called with the ids that changed and the node id they came from.
    on_extra_changed : callable
        Called with the node id from which new extras came.
    on_reply : callable
        Called when another node replied.
    """

    def __init__(
        self,
        own: OwnRecord,
        members: MemberList,
        *,
        call: Caller,
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
        self._extra_state = b""
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
        """Exchange with the node at `address`.

        Parameters
        ----------
        address : Address
            Control address.
        node_id : str
            Expected node, empty when it is not known.
        push : iterable of str
            Members whose records or marks are sent.
        eager : bool
            Whether to compare member lists at the first difference.

        Returns
        -------
        str
            Id of the node that replied.

        Raises
        ------
        ControlError
            If no reply came. Later steps of the exchange do not raise.
        """
        records, marks = self._split(push)
        held = self._members.get(node_id) if node_id else None
        if held is not None and held.status is not Status.ALIVE:
            marks.append(held.mark)
        reply = await self._send(address, members=records, marks=marks)
        replier = reply.sender.node_id
        if replier != self._own.member.node_id:
            await self._follow_up(address, reply, eager)
        return replier

    def _split(self, push: Iterable[str]) -> tuple[list[MemberRecord], list[Mark]]:
        """Return full records, and only marks for suspects, which are known already."""
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
            self._learn(reply)
        return reply

    def _message(self, **fields) -> Exchange:
        return Exchange(
            to_record(self._own.member),
            digest=self._members.digest,
            extra_digest=self._digest_of_extras(),
            **fields,
        )

    def _digest_of_extras(self) -> int:
        state = self._extras.state()
        if state != self._extra_state:
            self._extra_state = state
            self._extra_digest = digest_of(state)
        return self._extra_digest

    async def _follow_up(self, address: Address, reply: Exchange, eager: bool) -> None:
        try:
            known = reply.extra_versions
            if known is not None and reply.extra_digest != self._digest_of_extras():
                await self._swap_extras(address, known, reply.sender.node_id)
            if self._differs(reply, eager):
                await self._sync(address)
        except ControlError:
            # The next exchange starts over; the first reply has shown the peer alive.
            return

    async def _swap_extras(
        self, address: Address, versions: bytes, node_id: str
    ) -> None:
        await self._send(
            address,
            extra=self._missing_extras(versions, node_id),
            extra_versions=self._extras.state(),
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

    def keep_peers(self, node_ids: Iterable[str]) -> None:
        """Drop what is noted about peers other than `node_ids`."""
        kept = set(node_ids)
        self._differences = {k: v for k, v in self._differences.items() if k in kept}

    async def _sync(self, address: Address) -> None:
        """Compare the member lists bucket by bucket, in both directions."""
        if self._syncing:
            return
        self._syncing = True
        # A node that knows nobody else learns only what the others know already.
        self._joining = len(self._members.ring) <= 2
        try:
            await self._compare_buckets(address)
        finally:
            self._syncing = self._joining = False

    async def _compare_buckets(self, address: Address) -> None:
        reply = await self._send(address, want_buckets=True)
        differing = self._members.differing_buckets(reply.buckets)
        owed: list[MemberRecord] = []
        for start in range(0, len(differing), BUCKETS_PER_MESSAGE):
            chunk = differing[start : start + BUCKETS_PER_MESSAGE]
            marks = self._members.marks(chunk)
            reply = await self._send(
                address, members=owed, bucket_ids=chunk, bucket_marks=marks
            )
            owed = self._records(reply.wanted)
        if owed:
            await self._send(address, members=owed)

    def _records(self, node_ids: Iterable[str]) -> list[MemberRecord]:
        return [
            self._members.record(node_id)
            for node_id in node_ids
            if self._members.get(node_id) is not None
        ]

    # Receiving

    def handle(self, request: Exchange) -> Exchange:
        """Absorb a request and return the reply."""
        sender_id = request.sender.node_id
        self._learn(request)
        newer, older = [], []
        if request.bucket_ids:
            newer, older = self._members.compare(
                request.bucket_ids, request.bucket_marks
            )
        held = self._members.get(sender_id)
        doubted = held is not None and held.status is not Status.ALIVE
        reply = self._message(
            members=self._records(newer),
            marks=[held.mark] if doubted else [],
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
            return msgspec.structs.replace(reply, extra_versions=self._extras.state())
        return reply

    def _learn(self, message: Exchange) -> None:
        """Take over everything that is news and report it."""
        own_id = self._own.member.node_id
        news = []
        for record in (message.sender, *message.members):
            if record.node_id == own_id:
                self._own.hear(record)
            elif self._members.merge(record):
                news.append(record.node_id)
        for mark in message.marks:
            if mark.node_id == own_id:
                self._own.hear(mark)
            elif self._members.merge_mark(mark):
                news.append(mark.node_id)
        if news and not self._joining:
            self._on_news(news, message.sender.node_id)
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
        before = self._extras.state()
        try:
            self._extras.merge(message.extra)
        except Exception:
            # Sections of a peer must not stop the failure detection of this node.
            log_event(_log, events.EXTRA_REJECTED, exc_info=True, sender=sender_id)
        if self._extras.state() != before:
            self._on_extra_news(sender_id)
