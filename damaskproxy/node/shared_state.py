"""Sections and quarantine records in the form in which nodes exchange them."""

import hashlib

import msgspec

from damaskproxy.model import Section
from damaskproxy.move import SectionStore
from damaskproxy.quarantine import Quarantine, QuarantineRecord

__all__ = ["SharedState"]

DIGEST_BYTES = 8


class _Versions(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows, in a form that is equal on nodes that know the same."""

    sections: list[tuple[str, int]]
    quarantine: bytes = b""


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    """What a peer lacks."""

    sections: list[Section]
    quarantine: list[QuarantineRecord]


class SharedState:
    """Exchanges sections and quarantine records with other nodes.

    Parameters
    ----------
    sections : SectionStore
        Sections in force.
    quarantine : Quarantine
        Suspected and quarantined requests.
    """

    def __init__(self, sections: SectionStore, quarantine: Quarantine):
        self._sections = sections
        self._quarantine = quarantine
        self._encoder = msgspec.msgpack.Encoder()
        self._versions_decoder = msgspec.msgpack.Decoder(_Versions)
        self._payload_decoder = msgspec.msgpack.Decoder(_Payload)
        self._state: tuple[tuple[int, bytes], bytes] | None = None
        self._section_changes = 0
        self._heard: dict[str, int] = {}
        sections.on_change(self._section_changed)

    def _section_changed(self, _section: Section) -> None:
        self._section_changes += 1

    def state(self) -> bytes:
        """Return the versions of all that this node knows; cheap when unchanged."""
        quarantine = self._quarantine_digest()
        known = (self._section_changes, quarantine)
        if self._state is None or self._state[0] != known:
            sections = sorted(self._sections.versions().items())
            encoded = self._encoder.encode(_Versions(sections, quarantine))
            self._state = (known, encoded)
        return self._state[1]

    def _quarantine_digest(self) -> bytes:
        """Return a digest of the records, empty while there is none.

        Notes
        -----
        Records expire by time alone, so the digest is made for each message. That
        costs something only while there are records.
        """
        records = self._quarantine.records()
        if not records:
            return b""
        encoded = self._encoder.encode(sorted(records, key=lambda r: r.identity))
        return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()

    def missing(self, versions: bytes) -> bytes:
        """Return what a peer with `versions` lacks, empty if nothing."""
        try:
            known = self._versions_decoder.decode(versions) if versions else None
        except msgspec.MsgspecError:
            known = None
        known = known or _Versions([])
        for name, version in known.sections:
            self._heard[name] = max(version, self._heard.get(name, 0))
        is_same = known.quarantine == self._quarantine_digest()
        payload = _Payload(
            self._sections.newer_than(dict(known.sections)),
            [] if is_same else self._quarantine.records(),
        )
        if not payload.sections and not payload.quarantine:
            return b""
        return self._encoder.encode(payload)

    def heard_versions(self) -> dict[str, int]:
        """Return the newest version of each section that a peer was heard to have.

        Notes
        -----
        Peers send their versions only when they differ from those of this node, so
        equal versions need no entry.
        """
        return self._heard

    def merge(self, payload: bytes) -> None:
        """Take over what a peer sent; a malformed payload changes nothing."""
        if not payload:
            return
        try:
            news = self._payload_decoder.decode(payload)
        except msgspec.MsgspecError:
            return
        for section in news.sections:
            self._sections.apply(section)
        self._quarantine.merge(news.quarantine)
