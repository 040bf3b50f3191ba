"""TCP relays that interrupt and delay the links between nodes."""

import asyncio
import os
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

__all__ = ["Link", "Links", "find_process"]

CHUNK_BYTES = 64 << 10
# Columns of /proc/net/tcp.
LOCAL_COLUMN, INODE_COLUMN = 1, 9
SOCKET_NAME = re.compile(r"socket:\[(\d+)\]")


@dataclass(slots=True)
class Link:
    """State of one direction of the connection between two nodes."""

    is_cut: bool = False
    delay_s: float = 0.0


def _inode_of_port(port: int) -> str:
    """Return the inode of the established socket with this local port."""
    suffix = f":{port:04X}"
    with open("/proc/self/net/tcp", encoding="ascii") as table:
        for line in table:
            columns = line.split()
            if columns[LOCAL_COLUMN].endswith(suffix):
                return columns[INODE_COLUMN]
    return ""


def find_process(port: int, pids: Mapping[str, int]) -> str:
    """Return the name of the process whose connection has this local port.

    Parameters
    ----------
    port : int
        Local port of the connection.
    pids : mapping of str to int
        Process ids by name; only these processes are searched.

    Returns
    -------
    str
        Name, empty if none of them has the connection.
    """
    inode = _inode_of_port(port)
    for name, pid in pids.items():
        folder = f"/proc/{pid}/fd"
        try:
            for number in os.listdir(folder):
                found = SOCKET_NAME.match(os.readlink(f"{folder}/{number}"))
                if found and found[1] == inode:
                    return name
        except OSError:
            continue
    return ""


class Links:
    """Relays in front of the ``peer`` and ``control`` listeners of the nodes.

    Parameters
    ----------
    pids : callable
        Returns the process ids of the running nodes by name.

    Notes
    -----
    A cut link delays all bytes until it is restored, as a network that drops packets
    does, because TCP retransmits them.
    """

    def __init__(self, pids: Callable[[], Mapping[str, int]]):
        self._pids = pids
        self._links: dict[tuple[str, str], Link] = {}
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def open(self, name: str, host: str, port: int, target: str) -> None:
        """Relay ``host:port`` to the same port of `target`, where `name` listens."""

        async def handle_connection(reader, writer) -> None:
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._serve(name, (reader, writer), target, port)
            except OSError:
                pass
            finally:
                self._tasks.discard(task)
                writer.close()

        self._servers.append(await asyncio.start_server(handle_connection, host, port))

    async def _serve(self, name, client, target: str, port: int) -> None:
        source = find_process(client[1].get_extra_info("peername")[1], self._pids())
        await self._wait_for_link(source, name)
        listener = await asyncio.open_connection(target, port)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(client[0], listener[1], source, name))
                group.create_task(self._forward(listener[0], client[1], name, source))
        except* OSError:
            pass
        finally:
            listener[1].close()

    async def _forward(self, reader, writer, source: str, to: str) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_for_link(source, to)
            if writer.transport.is_closing():
                raise ConnectionResetError("the other direction of the link is closed")
            writer.write(data)
            await writer.drain()
        await self._wait_for_link(source, to)
        writer.close()

    async def _wait_for_link(self, source: str, to: str) -> None:
        """Wait until the link is not cut, then for its delay."""
        link = self._links.get((source, to))
        if link is None:
            return
        async with self._changed:
            await self._changed.wait_for(lambda: not link.is_cut)
        await asyncio.sleep(link.delay_s)

    async def change(
        self, source: str, to: str, *, is_cut: bool = False, delay_s: float = 0.0
    ) -> None:
        """Set the state of the link from `source` to `to`."""
        async with self._changed:
            link = self._links.setdefault((source, to), Link())
            link.is_cut, link.delay_s = is_cut, delay_s
            self._changed.notify_all()

    async def close(self) -> None:
        """Close all relays."""
        for server in self._servers:
            server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
