"""State of the document on the nodes, read from their admin listeners."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

__all__ = ["NodeStatus", "Progress", "progress_of", "read_statuses", "status_url"]

MAX_CONCURRENT = 32
DRAINING = "draining"


class NodeStatus(msgspec.Struct, frozen=True):
    """What ``/status`` of a node says; other fields are ignored.

    Parameters
    ----------
    node_id, state : str
        Name and life-cycle state.
    sections : dict of str to int
        Versions in force.
    in_flight : int
        Calls that run on its backend server.
    members : int, dict or list
        Members that it knows: their number, number by state, or records.
    hold : str or None
        What holds its leaving or its planned stop.
    """

    node_id: str
    state: str
    sections: dict[str, int] = {}
    in_flight: int = 0
    members: int | dict[str, int | dict] | list = 0
    hold: str | None = ""

    def member_count(self) -> int:
        """Return how many members the node knows."""
        if isinstance(self.members, int):
            return self.members
        if isinstance(self.members, dict):
            values = self.members.values()
            return sum(value if isinstance(value, int) else 1 for value in values)
        return len(self.members)


@dataclass(frozen=True, slots=True)
class SectionProgress:
    """On which nodes a section is in force.

    Parameters
    ----------
    name : str
        Name of the section.
    version : int
        Accepted version.
    in_force : int
        Nodes that have this version or a newer one.
    behind : tuple of str
        Nodes that answered and have an older version, with that version.
    """

    name: str
    version: int
    in_force: int
    behind: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Progress:
    """State of all sections on all nodes that were asked.

    Parameters
    ----------
    sections : tuple of SectionProgress
        One for each section.
    draining : tuple of NodeStatus
        Nodes that drain.
    held : tuple of NodeStatus
        Other nodes whose leaving is held.
    silent : tuple of str
        Nodes that did not answer.
    asked : int
        Nodes that were asked.
    members : int
        Most members that one node knows.
    """

    sections: tuple[SectionProgress, ...]
    draining: tuple[NodeStatus, ...]
    held: tuple[NodeStatus, ...]
    silent: tuple[str, ...]
    asked: int
    members: int

    def is_in_force(self) -> bool:
        """Tell whether every section is in force on every node asked."""
        behind = any(section.in_force < self.asked for section in self.sections)
        return not self.silent and not behind

    def is_settled(self) -> bool:
        """Tell whether, beyond that, nothing drains or waits to."""
        return self.is_in_force() and not self.draining and not self.held

    def lines(self) -> list[str]:
        """Return the state as lines for a person."""
        lines = [self._section_line(section) for section in self.sections]
        lines += [
            f"draining: {node.node_id}, {node.in_flight} in flight{held_by(node)}"
            for node in self.draining
        ]
        lines += [f"waiting: {node.node_id}{held_by(node)}" for node in self.held]
        lines += [f"no answer: {node}" for node in self.silent]
        if self.members > self.asked:
            missing = self.members - self.asked
            lines.append(f"not asked: {missing} of {self.members} known members")
        return lines

    def _section_line(self, section: SectionProgress) -> str:
        line = f"{section.name} version {section.version}: in force on"
        line += f" {section.in_force} of {self.asked} nodes"
        return line + (f"; behind: {', '.join(section.behind)}" * bool(section.behind))


def held_by(node: NodeStatus) -> str:
    """Return what holds a node, as the end of a line."""
    return f"; {node.hold}" if node.hold else ""


def status_url(node: str) -> str:
    """Return the URL of ``/status`` for ``host:port`` or a base URL."""
    base = node if "://" in node else f"http://{node}"
    return base.rstrip("/") + "/status"


async def read_statuses(
    nodes: Sequence[str], timeout_s: float
) -> dict[str, NodeStatus | None]:
    """Ask each node for its status.

    Parameters
    ----------
    nodes : sequence of str
        Admin listeners, as ``host:port`` or base URL.
    timeout_s : float
        Longest wait for one node.

    Returns
    -------
    dict
        Status by listener; None for one that did not answer with a status.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    places = asyncio.Semaphore(MAX_CONCURRENT)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def ask(node: str) -> NodeStatus | None:
            async with places:
                return await read_status(session, status_url(node))

        return dict(zip(nodes, await asyncio.gather(*map(ask, nodes))))


async def read_status(session: aiohttp.ClientSession, url: str) -> NodeStatus | None:
    """Return the status at `url`, or None."""
    try:
        async with session.get(url) as response:
            body = await response.read()
            return msgspec.json.decode(body, type=NodeStatus)
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
        return None


def progress_of(
    versions: Mapping[str, int], statuses: Mapping[str, NodeStatus | None]
) -> Progress:
    """Compare what is accepted with what is in force.

    Parameters
    ----------
    versions : mapping of str to int
        Accepted version of each section to report.
    statuses : mapping of str to NodeStatus or None
        Result of `read_statuses`.
    """
    answered = [status for status in statuses.values() if status is not None]
    return Progress(
        tuple(section_progress(name, versions[name], answered) for name in versions),
        tuple(node for node in answered if node.state == DRAINING),
        tuple(node for node in answered if node.state != DRAINING and node.hold),
        tuple(name for name, status in statuses.items() if status is None),
        len(statuses),
        max((node.member_count() for node in answered), default=0),
    )


def section_progress(
    name: str, version: int, nodes: Sequence[NodeStatus]
) -> SectionProgress:
    """Return on which of `nodes` a section is in force."""
    behind = [node for node in nodes if node.sections.get(name, 0) < version]
    described = (f"{node.node_id} ({node.sections.get(name, 0)})" for node in behind)
    return SectionProgress(name, version, len(nodes) - len(behind), tuple(described))
