"""Exchange of sections and quarantine records between nodes."""

import hashlib

import msgspec

from damaskproxy.model import Section
from damaskproxy.move import SectionStore
from damaskproxy.quarantine import Quarantine, QuarantineRecord

__all__ = ["SharedState"]

DIGEST_BYTES = 8


class _Versions(msgspec.Struct, frozen=True, array_like=True):
    """Section versions and quarantine digest; equal on nodes with equal state."""

    sections: list[tuple[str, int]]
    quarantine: bytes = b""


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    """Sections and records that a peer lacks."""

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
        self._cached_state: tuple[tuple[int, bytes], bytes] | None = None
        self._section_changes = 0
        self._peer_versions: dict[str, int] = {}
        sections.on_change(self._section_changed)

    def _section_changed(self, _section: Section) -> None:
        self._section_changes += 1

    def state(self) -> bytes:
        """Return the encoded versions of this node's state; cached while unchanged."""
        quarantine = self._quarantine_digest()
        cache_key = (self._section_changes, quarantine)
        if self._cached_state is None or self._cached_state[0] != cache_key:
            sections = sorted(self._sections.versions().items())
            encoded = self._encoder.encode(_Versions(sections, quarantine))
            self._cached_state = (cache_key, encoded)
        return self._cached_state[1]

    def _quarantine_digest(self) -> bytes:
        """Return a digest of the records, empty while there is none.

        Notes
        -----
        Records also expire without an event, so the digest is computed for each
        message. That has a cost only while there are records.
        """
        records = self._quarantine.records()
        if not records:
            return b""
        encoded = self._encoder.encode(sorted(records, key=lambda r: r.identity))
        return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()

    def missing(self, versions: bytes) -> bytes:
        """Return what a peer with `versions` lacks, empty if nothing."""
        try:
            peer_state = self._versions_decoder.decode(versions) if versions else None
        except msgspec.MsgspecError:
            peer_state = None
        peer_state = peer_state or _Versions([])
        for name, version in peer_state.sections:
            self._peer_versions[name] = max(version, self._peer_versions.get(name, 0))
        is_same = peer_state.quarantine == self._quarantine_digest()
        payload = _Payload(
            self._sections.newer_than(dict(peer_state.sections)),
            [] if is_same else self._quarantine.records(),
        )
        if not payload.sections and not payload.quarantine:
            return b""
        return self._encoder.encode(payload)

    def peer_versions(self) -> dict[str, int]:
        """Return the newest version of each section received from any peer.

        Notes
        -----
        Peers send their versions only when these differ from the versions of this node,
        so a section that is equal everywhere may be missing.
        """
        return self._peer_versions

    def merge(self, payload: bytes) -> None:
        """Merge the payload of a peer; a malformed one is ignored."""
        if not payload:
            return
        try:
            received = self._payload_decoder.decode(payload)
        except msgspec.MsgspecError:
            return
        for section in received.sections:
            self._sections.apply(section)
        self._quarantine.merge(received.quarantine)
