"""Stand-in for a client on a node's machine."""

import asyncio
import socket
from dataclasses import dataclass

from standins.messages import Closed, encode, read_message
from standins.record import Record

__all__ = ["KeptClient", "Outcome", "send"]


@dataclass(slots=True)
class Outcome:
    """What a client saw of one request."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    stamp: str
    end: str
    is_kept: bool = False


async def send(
    record: Record,
    address: str,
    request_id: str,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_s: float = 5.0,
    bytes_per_s: float | None = None,
) -> Outcome:
    """Send one request on a new connection and read its answer.

    Parameters
    ----------
    record : Record
        Record of the case.
    address : str
        Listener of the node for its callers.
    request_id, path, method, body : str or bytes
        The request.
    deadline_s : float
        Time for which the client waits.
    bytes_per_s : float, optional
        How fast the client reads; as fast as possible when it is left out.
    """
    host, _, port = address.rpartition(":")
    headers = {
        "Host": "shop.example",
        "X-Damaskproxy-Request-Id": request_id,
        "X-Damaskproxy-Deadline-Ms": str(int(deadline_s * 1000)),
    }
    sent_s = record.add("sent", id=request_id, to=address, method=method, path=path)
    status, stamp, end, writer = 0, "", "no connection", None
    try:
        async with asyncio.timeout(deadline_s):
            sock = socket.socket()
            sock.setblocking(False)
            if bytes_per_s is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            # A slow reader keeps little in the buffers of the reading side.
            reader, writer = await asyncio.open_connection(sock=sock, limit=16384)
            end = "closed without an answer"
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            answer = await read_message(reader, bytes_per_s=bytes_per_s)
            status, end = answer.status, "complete"
            stamp = answer.headers.get("x-damaskproxy-server-stamp", "")
    except TimeoutError:
        end = "deadline"
    except Closed as error:
        if error.is_started:
            end = "cut within the answer"
    except OSError as error:
        end = f"{end}: {error.strerror}"
    finally:
        if writer is not None:
            writer.close()
    ended_s = record.add("answer", id=request_id, status=status, end=f"'{end}'")
    return Outcome(request_id, sent_s, ended_s, status, stamp, end)


class KeptClient:
    """Client that sends one request after the other on a connection that it keeps.

    Parameters
    ----------
    record : Record
        Record of the case.
    address : str
        Listener of the node for its callers.
    name : str
        Beginning of its request ids.

    Attributes
    ----------
    outcomes : list of Outcome
        What it saw.
    """

    def __init__(self, record: Record, address: str, name: str):
        self.outcomes: list[Outcome] = []
        self._record = record
        self._address = address
        self._name = name

    async def place_orders(self, path: str, end_s: float) -> None:
        """Send orders until a time of the record; connect again when it has to."""
        host, _, port = self._address.rpartition(":")
        number = 0
        while self._record.now_s() < end_s:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            is_kept = False
            while self._record.now_s() < end_s:
                number += 1
                request_id = f"{self._name}-{number}"
                outcome = await self._exchange(reader, writer, request_id, path)
                outcome.is_kept = is_kept
                self.outcomes.append(outcome)
                if outcome.end != "complete":
                    break
                is_kept = True
            writer.close()

    async def _exchange(self, reader, writer, request_id: str, path: str) -> Outcome:
        headers = {
            "Host": "shop.example",
            "X-Damaskproxy-Request-Id": request_id,
            "X-Damaskproxy-Deadline-Ms": "3000",
        }
        sent_s = self._record.add("sent", id=request_id, to=self._address, path=path)
        status, stamp, end = 0, "", "complete"
        try:
            async with asyncio.timeout(3.0):
                writer.write(encode(f"POST {path} HTTP/1.1", headers, b"one horn"))
                answer = await read_message(reader)
                status = answer.status
                stamp = answer.headers.get("x-damaskproxy-server-stamp", "")
                if answer.is_close:
                    end = "complete, to be closed"
        except TimeoutError:
            end = "deadline"
        except Closed as error:
            is_cut = error.is_started
            end = "cut within the answer" if is_cut else "closed without an answer"
        ended_s = self._record.add(
            "answer", id=request_id, status=status, end=f"'{end}'"
        )
        return Outcome(request_id, sent_s, ended_s, status, stamp, end)
