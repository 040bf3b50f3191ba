"""Records of ten bytes per key, without the response.

Records are kept for the key lifetime, 24 h by default. A full record takes about 350
bytes; at a few non-idempotent requests per second and node, full records would exceed a
resident memory of 128 MB.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from damaskproxy.common import Outcome

__all__ = ["BLOCK_SERIALS", "CompactBlock", "CompactRecord", "CompactRecords"]

# Small blocks waste little memory on keys that were issued but never used.
BLOCK_SERIALS = 64
ROW = struct.Struct("<8sH")
OUTCOMES = (None, Outcome.NOT_RUN, Outcome.RUN, Outcome.UNKNOWN)
OUTCOME_BITS = 2
TOKEN_BITS = 3
TOKENS_MAX = (1 << TOKEN_BITS) - 1
STATUS_SHIFT = OUTCOME_BITS + TOKEN_BITS
STATUS_MAX = (1 << (16 - STATUS_SHIFT)) - 1


class CompactBlock(msgspec.Struct, frozen=True, array_like=True):
    """A block in the form that is sent to an heir.

    Parameters
    ----------
    number : int
        First serial of the block divided by `BLOCK_SERIALS`.
    expiry_s : int
        Latest expiry of the keys in the block, in Unix time.
    data : bytes
        One row per serial.
    """

    number: int
    expiry_s: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CompactRecord:
    """Reduced form of a record."""

    fingerprint: bytes
    outcome: Outcome
    status: int
    tokens_left: int


@dataclass(slots=True, eq=False)
class _Block:
    expiry_s: int
    data: bytearray = field(default_factory=lambda: bytearray(BLOCK_SERIALS * ROW.size))


class CompactRecords:
    """Compact records of one issuer, by serial."""

    def __init__(self):
        self._blocks: dict[int, _Block] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def get(self, serial: int) -> CompactRecord | None:
        """Return the record of `serial`, or None if there is none."""
        number, position = divmod(serial, BLOCK_SERIALS)
        block = self._blocks.get(number)
        if block is None:
            return None
        fingerprint, state = ROW.unpack_from(block.data, position * ROW.size)
        outcome = OUTCOMES[state & (1 << OUTCOME_BITS) - 1]
        if outcome is None:
            return None
        tokens_left = state >> OUTCOME_BITS & (1 << TOKEN_BITS) - 1
        return CompactRecord(fingerprint, outcome, state >> STATUS_SHIFT, tokens_left)

    def has_room(self, serial: int, blocks_left: int) -> bool:
        """Return whether `serial` fits, with at most `blocks_left` new blocks."""
        return blocks_left > 0 or serial // BLOCK_SERIALS in self._blocks

    def put(self, serial: int, expiry_s: int, record: CompactRecord) -> None:
        """Store the record of `serial`."""
        number, position = divmod(serial, BLOCK_SERIALS)
        block = self._blocks.get(number)
        if block is None:
            block = self._blocks[number] = _Block(expiry_s)
        block.expiry_s = max(block.expiry_s, expiry_s)
        state = OUTCOMES.index(record.outcome)
        state |= min(record.tokens_left, TOKENS_MAX) << OUTCOME_BITS
        state |= min(record.status, STATUS_MAX) << STATUS_SHIFT
        ROW.pack_into(block.data, position * ROW.size, record.fingerprint, state)

    def remove(self, serial: int) -> None:
        """Remove the record of `serial`, which has a full record again."""
        number, position = divmod(serial, BLOCK_SERIALS)
        block = self._blocks.get(number)
        if block is not None:
            ROW.pack_into(block.data, position * ROW.size, b"", 0)

    def drop_expired(self, limit_s: float) -> int:
        """Drop blocks whose keys all expired before `limit_s`.

        Returns
        -------
        int
            Latest expiry among the dropped keys, 0 if none was dropped.
        """
        expired = [n for n, block in self._blocks.items() if block.expiry_s < limit_s]
        return max((self._blocks.pop(number).expiry_s for number in expired), default=0)

    def blocks(self) -> list[CompactBlock]:
        """Return all blocks in the form that is sent to an heir."""
        return [
            CompactBlock(number, block.expiry_s, bytes(block.data))
            for number, block in self._blocks.items()
        ]

    def merge(self, blocks: Iterable[CompactBlock]) -> None:
        """Add the records of `blocks` whose serials have no record here."""
        for block in blocks:
            other = CompactRecords()
            data = block.data.ljust(BLOCK_SERIALS * ROW.size, b"\0")
            other._blocks[block.number] = _Block(block.expiry_s, bytearray(data))
            first = block.number * BLOCK_SERIALS
            for serial in range(first, first + BLOCK_SERIALS):
                record = other.get(serial)
                if record is not None and self.get(serial) is None:
                    self.put(serial, block.expiry_s, record)
