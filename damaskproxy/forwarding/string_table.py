"""Tables of the strings and headers that repeat on a connection between nodes."""

from damaskproxy.forwarding.frames import HeaderItem, Item
from damaskproxy.forwarding.large_frames import FrameError

__all__ = ["StringTable"]

TABLE_MAX = 512
"""Entries in the string table of each direction of a connection, and in its header
table."""
TABLE_STRING_MAX_BYTES = 64


class StringTable:
    """Table of the strings and headers sent in one direction of a connection.

    Sender and receiver build the same table from the same sequence of items.

    Parameters
    ----------
    volatile : frozenset of bytes
        Lower-case names of headers whose values differ in each message.
    """

    def __init__(self, volatile: frozenset[bytes]):
        self._volatile = volatile
        self._indices: dict[bytes, int] = {}
        self._strings: list[bytes] = []
        self._header_indices: dict[tuple[bytes, bytes], int] = {}
        self._headers: list[tuple[bytes, bytes]] = []

    def pack(self, string: bytes) -> Item:
        """Return the index of a string that was sent before, or the string itself."""
        index = self._indices.get(string)
        if index is not None:
            return index
        if len(string) <= TABLE_STRING_MAX_BYTES and len(self._indices) < TABLE_MAX:
            self._indices[string] = len(self._indices)
        return string

    def unpack(self, item: Item) -> bytes:
        """Return the string of an item that was packed by the sender.

        Raises
        ------
        FrameError
            If the item is an index that is not in the table.
        """
        if isinstance(item, int):
            if not 0 <= item < len(self._strings):
                raise FrameError(f"string index {item} is not in the table")
            return self._strings[item]
        if len(item) <= TABLE_STRING_MAX_BYTES and len(self._strings) < TABLE_MAX:
            self._strings.append(item)
        return item

    def pack_headers(self, headers: list[tuple[bytes, bytes]]) -> list[HeaderItem]:
        """Return `headers` with known ones replaced by their index."""
        indices = self._header_indices
        return [
            index
            if (index := indices.get(header)) is not None
            else self._pack_header(header)
            for header in headers
        ]

    def unpack_headers(self, items: list[HeaderItem]) -> list[tuple[bytes, bytes]]:
        """Return the headers of items that were packed by the sender."""
        return [self._unpack_header(item) for item in items]

    def _pack_header(self, header: tuple[bytes, bytes]) -> HeaderItem:
        name, value = header
        if name.lower() in self._volatile:
            return (self.pack(name), value)
        string = name + b"\0" + value
        if (
            len(string) <= TABLE_STRING_MAX_BYTES
            and len(self._header_indices) < TABLE_MAX
        ):
            self._header_indices[header] = len(self._header_indices)
        return string

    def _unpack_header(self, item: HeaderItem) -> tuple[bytes, bytes]:
        if isinstance(item, int):
            if not 0 <= item < len(self._headers):
                raise FrameError(f"header index {item} is not in the table")
            return self._headers[item]
        if isinstance(item, tuple):
            return (self.unpack(item[0]), item[1])
        name, _, value = item.partition(b"\0")
        if len(item) <= TABLE_STRING_MAX_BYTES and len(self._headers) < TABLE_MAX:
            self._headers.append((name, value))
        return (name, value)
