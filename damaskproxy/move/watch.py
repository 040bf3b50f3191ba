"""State of the document on the nodes, read from their admin listeners."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

__all__ = ["NodeStatus", "Progress", "progress_of", "read_statuses", "status_url"]

MAX_CONCURRENT = 32
MAX_NAMED = 10
DRAINING = "draining"
STOPPED = "stopped"


class MemberStatus(msgspec.Struct, frozen=True):
    """A member, as a node knows it."""

    node_id: str
    state: str


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
    members : list of MemberStatus
        Members that it knows.
    hold : str or None
        What holds its start, its leaving or its planned stop.
    """

    node_id: str
    state: str
    sections: dict[str, int] = {}
    in_flight: int = 0
    members: list[MemberStatus] = []
    hold: str | None = ""


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
        Other nodes that wait for something.
    silent : tuple of str
        Nodes that did not answer.
    asked : int
        Nodes that were asked.
    unheard : tuple of MemberStatus
        Members that a node knows and that did not answer themselves.
    """

    sections: tuple[SectionProgress, ...]
    draining: tuple[NodeStatus, ...]
    held: tuple[NodeStatus, ...]
    silent: tuple[str, ...]
    asked: int
    unheard: tuple[MemberStatus, ...]

    def is_in_force(self) -> bool:
        """Tell whether every section is in force on every node asked."""
        behind = any(section.in_force < self.asked for section in self.sections)
        return not self.silent and not behind

    def is_settled(self) -> bool:
        """Tell whether, beyond that, no node drains or waits."""
        drains = any(node.state == DRAINING for node in self.unheard)
        return self.is_in_force() and not (self.draining or self.held or drains)

    def lines(self) -> list[str]:
        """Return the state as lines for a person."""
        lines = [self._section_line(section) for section in self.sections]
        lines += [
            f"draining: {node.node_id}, {node.in_flight} in flight{held_by(node)}"
            for node in self.draining
        ]
        lines += [f"waiting: {node.node_id}{held_by(node)}" for node in self.held]
        lines += [f"no answer: {node}" for node in self.silent]
        return lines + self._unheard_lines()

    def _unheard_lines(self) -> list[str]:
        if not self.unheard:
            return []
        draining = [node.node_id for node in self.unheard if node.state == DRAINING]
        named = draining[:MAX_NAMED] + ["and more"] * (len(draining) > MAX_NAMED)
        tail = f"; draining: {', '.join(named)}" * bool(named)
        return [f"not heard: {len(self.unheard)} other members{tail}"]

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
        unheard_members(answered),
    )


def unheard_members(answered: Sequence[NodeStatus]) -> tuple[MemberStatus, ...]:
    """Return the members that are known, not stopped, and not in `answered`."""
    heard = {node.node_id for node in answered}
    found = {
        member.node_id: member
        for node in answered
        for member in node.members
        if member.state != STOPPED and member.node_id not in heard
    }
    return tuple(found[node_id] for node_id in sorted(found))


def section_progress(
    name: str, version: int, nodes: Sequence[NodeStatus]
) -> SectionProgress:
    """Return on which of `nodes` a section is in force."""
    behind = [node for node in nodes if node.sections.get(name, 0) < version]
    described = (f"{node.node_id} ({node.sections.get(name, 0)})" for node in behind)
    return SectionProgress(name, version, len(nodes) - len(behind), tuple(described))
