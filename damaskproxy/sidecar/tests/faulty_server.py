"""Backend server that corrupts or loses some of its responses."""

import asyncio
import contextlib
import socket
import struct

from damaskproxy.sidecar.tests.raw_server import ID, RawServer

__all__ = ["FORGED", "LATE_S", "FaultyServer"]

FORGED = b"forged"
"""Body that no caller may get; the body of a proper response is ``proper``."""
NO_LINGER = struct.pack("ii", 1, 0)
GAP_S = 0.01
"""Time between the parts of a response."""
LATE_S = 0.2
"""Time that a late response takes."""


def _response(request_id, body=b"proper", extra=b"X-Damaskproxy-Server-Stamp: s\r\n"):
    return b"HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        ID,
        request_id,
        extra,
        len(body),
        body,
    )


class FaultyServer(RawServer):
    """Backend server with one fault for each of the next responses.

    Parameters
    ----------
    instance_id : str
        Id of its incarnation.
    faults : list of str
        Faults of the next responses, the last one first; servers may share the list.
        Afterwards responses are proper. ``close`` and ``reset`` end the connection
        without a response, ``cut`` in the middle of one. ``silent`` sends nothing and
        keeps the connection open, ``late`` responds after `LATE_S`. ``other id`` and
        ``no id`` change the id of the request, ``no MAC`` leaves out the MAC. ``more``
        and ``more later`` send a second response after a proper one; ``twice`` sends
        the last response of the connection before the proper one.

    Attributes
    ----------
    opened_count : int
        Connections that nodes have opened.
    """

    def __init__(self, instance_id: str, faults: list[str]):
        super().__init__(instance_id)
        self.faults = faults
        self.opened_count = 0
        self._writers: set[asyncio.StreamWriter] = set()

    def end_connections(self) -> None:
        """Close all connections, as when the process ends."""
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.opened_count += 1
        self._writers.add(writer)
        is_faulty = False
        last_id = b""
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            async for _, request_id in self._requests(reader, writer):
                fault = self.faults.pop() if self.faults else ""
                is_faulty = is_faulty or bool(fault)
                if fault in ("close", "reset", "cut"):
                    await self._end(writer, fault, request_id)
                    return
                if fault == "late":
                    await asyncio.sleep(LATE_S)
                for part in self._parts(fault, request_id, last_id):
                    writer.write(part)
                    await asyncio.sleep(GAP_S)
                last_id = request_id
        self.closed_count += is_faulty

    async def _end(self, writer, fault, request_id):
        if fault == "cut":
            writer.write(_response(request_id)[:-1])
            await writer.drain()
        elif fault == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
        self.closed_count += 1

    def _parts(self, fault, request_id, last_id):
        """Return what is sent for a request."""
        proper = _response(request_id)
        forged = _response(b"other", FORGED)
        return {
            "": [proper],
            "silent": [],
            "late": [_response(request_id, FORGED)],
            "other id": [forged],
            "no id": [forged.replace(ID + b": other\r\n", b"")],
            "no MAC": [_response(request_id, FORGED, b"")],
            "more": [proper + forged],
            "more later": [proper, forged],
            "twice": [_response(last_id, FORGED), proper],
        }[fault]
