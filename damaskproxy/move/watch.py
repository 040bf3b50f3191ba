"""State of the sections on the nodes, read from their admin listeners."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

from damaskproxy.store.http import AnswerTooLarge, read_body

__all__ = [
    "MAX_STATUS_BYTES",
    "NodeStatus",
    "Progress",
    "progress_of",
    "read_statuses",
    "status_url",
]

MAX_CONCURRENT = 32
MAX_LISTED = 10
MAX_STATUS_BYTES = 8 << 20
"""Some ten times the status of a node with 5,000 members."""
DRAINING = "draining"
STOPPED = "stopped"


class MemberStatus(msgspec.Struct, frozen=True):
    """A member in the view of a node."""

    node_id: str
    state: str


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of a node, from ``/status``; other fields are ignored.

    Parameters
    ----------
    node_id, state : str
        Name and state of the node.
    sections : dict of str to int
        Versions in force.
    in_flight : int
        Calls that run on its backend server.
    members : list of MemberStatus
        Members in the view of the node.
    hold : str or None
        What its start, its drain or its planned stop waits for.
    """

    node_id: str
    state: str
    sections: dict[str, int] = {}
    in_flight: int = 0
    members: list[MemberStatus] = []
    hold: str | None = ""


@dataclass(frozen=True, slots=True)
class SectionProgress:
    """Nodes on which a section is in force.

    Parameters
    ----------
    name : str
        Name of the section.
    version : int
        Accepted version.
    in_force : int
        Number of nodes that have this version or a newer one.
    behind : tuple of str
        Nodes that have an older version, each with that version.
    """

    name: str
    version: int
    in_force: int
    behind: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Progress:
    """State of the sections on all queried nodes.

    Parameters
    ----------
    sections : tuple of SectionProgress
        One for each section.
    draining : tuple of NodeStatus
        Queried nodes that drain.
    held : tuple of NodeStatus
        Other queried nodes whose start, drain or stop is held.
    unreachable : tuple of str
        Queried nodes that did not return a status.
    node_count : int
        Number of queried nodes.
    unreported : tuple of MemberStatus
        Members in the view of a queried node that returned no status themselves.
    """

    sections: tuple[SectionProgress, ...]
    draining: tuple[NodeStatus, ...]
    held: tuple[NodeStatus, ...]
    unreachable: tuple[str, ...]
    node_count: int
    unreported: tuple[MemberStatus, ...]

    def is_in_force(self) -> bool:
        """Tell whether every section is in force on every queried node."""
        behind = any(section.in_force < self.node_count for section in self.sections)
        return not self.unreachable and not behind

    def is_settled(self) -> bool:
        """Tell whether all sections are in force and no node drains or is held."""
        unreported_drain = any(node.state == DRAINING for node in self.unreported)
        return self.is_in_force() and not (
            self.draining or self.held or unreported_drain
        )

    def lines(self) -> list[str]:
        """Return the state as lines of text for the operator."""
        lines = [self._section_line(section) for section in self.sections]
        lines += [
            f"draining: {node.node_id}, {node.in_flight} in flight{hold_suffix(node)}"
            for node in self.draining
        ]
        lines += [f"waiting: {node.node_id}{hold_suffix(node)}" for node in self.held]
        lines += [f"no response: {node}" for node in self.unreachable]
        return lines + self._unreported_lines()

    def _unreported_lines(self) -> list[str]:
        if not self.unreported:
            return []
        draining = [node.node_id for node in self.unreported if node.state == DRAINING]
        listed = draining[:MAX_LISTED] + ["and more"] * (len(draining) > MAX_LISTED)
        suffix = f"; draining: {', '.join(listed)}" * bool(listed)
        return [f"no status from other members: {len(self.unreported)}{suffix}"]

    def _section_line(self, section: SectionProgress) -> str:
        line = f"{section.name} version {section.version}: in force on"
        line += f" {section.in_force} of {self.node_count} nodes"
        return line + (f"; behind: {', '.join(section.behind)}" * bool(section.behind))


def hold_suffix(node: NodeStatus) -> str:
    """Return what a node waits for, as the end of a line."""
    return f"; {node.hold}" if node.hold else ""


def status_url(node: str) -> str:
    """Return the URL of ``/status`` for ``host:port`` or a base URL."""
    base = node if "://" in node else f"http://{node}"
    return base.rstrip("/") + "/status"


async def read_statuses(
    nodes: Sequence[str], timeout_s: float
) -> dict[str, NodeStatus | None]:
    """Request the status of each node.

    Parameters
    ----------
    nodes : sequence of str
        Admin listeners, as ``host:port`` or base URL.
    timeout_s : float
        Time-out for one node.

    Returns
    -------
    dict
        Status by listener; None for a node that did not return a status.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def request_status(node: str) -> NodeStatus | None:
            async with semaphore:
                return await read_status(session, status_url(node))

        return dict(zip(nodes, await asyncio.gather(*map(request_status, nodes))))


async def read_status(session: aiohttp.ClientSession, url: str) -> NodeStatus | None:
    """Return the status at `url`, or None if the request failed."""
    try:
        async with session.get(url) as response:
            if response.status != 200:
                return None
            body = await read_body(response, MAX_STATUS_BYTES)
            return msgspec.json.decode(body, type=NodeStatus)
    except (
        aiohttp.ClientError,
        OSError,
        TimeoutError,
        msgspec.MsgspecError,
        AnswerTooLarge,
    ):
        return None


def progress_of(
    versions: Mapping[str, int], statuses: Mapping[str, NodeStatus | None]
) -> Progress:
    """Compare the accepted versions with those in force.

    Parameters
    ----------
    versions : mapping of str to int
        Accepted version of each section to report.
    statuses : mapping of str to NodeStatus or None
        Result of `read_statuses`.
    """
    received = [status for status in statuses.values() if status is not None]
    return Progress(
        tuple(section_progress(name, versions[name], received) for name in versions),
        tuple(node for node in received if node.state == DRAINING),
        tuple(node for node in received if node.state != DRAINING and node.hold),
        tuple(name for name, status in statuses.items() if status is None),
        len(statuses),
        unreported_members(received),
    )


def unreported_members(received: Sequence[NodeStatus]) -> tuple[MemberStatus, ...]:
    """Return the members in the views of `received` that are not among these nodes.

    Stopped members are left out.
    """
    responding = {node.node_id for node in received}
    by_id = {
        member.node_id: member
        for node in received
        for member in node.members
        if member.state != STOPPED and member.node_id not in responding
    }
    return tuple(by_id[node_id] for node_id in sorted(by_id))


def section_progress(
    name: str, version: int, nodes: Sequence[NodeStatus]
) -> SectionProgress:
    """Return the progress of one section on `nodes`."""
    behind = [node for node in nodes if node.sections.get(name, 0) < version]
    descriptions = (f"{node.node_id} ({node.sections.get(name, 0)})" for node in behind)
    return SectionProgress(name, version, len(nodes) - len(behind), tuple(descriptions))
