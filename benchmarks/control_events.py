"""Events of a mesh that are played to the measured node."""

import asyncio
from collections.abc import Awaitable, Callable

from benchmarks.control_peers import DATA_CENTRES, Peers, place_of
from benchmarks.control_subject import SUBJECT_ID
from damaskproxy.membership import Status
from damaskproxy.model import MemberState

__all__ = ["churn", "join_regions", "lose_data_centre", "part_regions", "return_lost"]

DAY_S = 86_400
TARGET_MEMBERS = 5_000
RESTARTS_A_DAY = 1_900
FAILURES_A_DAY = 29
SECTION_CHANGES_A_DAY = 4_500
STEP_S = 1.0
LOST_DATA_CENTRE = f"dc-{DATA_CENTRES - 1}"
# Members of a lost part are noticed one after the other, as the ring closes.
NOTICE_S = (1.0, 6.0)
MEETING_S = (0.2, 1.5)


async def churn(peers: Peers, seconds: float, acceleration: float) -> int:
    """Play restarts, failures and section changes at random times.

    Parameters
    ----------
    peers : Peers
        Synthetic mesh.
    seconds : float
        Length of the phase.
    acceleration : float
        Factor on the daily rates, which are scaled to the size of the mesh.

    Returns
    -------
    int
        Number of events.
    """
    per_s = acceleration * peers.count / TARGET_MEMBERS / DAY_S
    events = (
        (RESTARTS_A_DAY * per_s, lambda: _restart(peers)),
        (FAILURES_A_DAY * per_s, lambda: _fail(peers)),
        (SECTION_CHANGES_A_DAY * per_s, lambda: _change_section(peers)),
    )
    plays = (_play(peers, rate, seconds, event) for rate, event in events)
    return sum(await asyncio.gather(*plays))


async def _play(
    peers: Peers, rate: float, seconds: float, event: Callable[[], Awaitable[None]]
) -> int:
    end_s = peers.now_s() + seconds
    count = 0
    while True:
        pause_s = peers.rng.expovariate(rate)
        if peers.now_s() + pause_s > end_s:
            await asyncio.sleep(max(0.0, end_s - peers.now_s()))
            return count
        await asyncio.sleep(pause_s)
        peers.tasks.append(asyncio.create_task(event()))
        count += 1


async def _restart(peers: Peers) -> None:
    """Stop a member gracefully; it comes back, or another one takes its place."""
    node_id = peers.any_member()
    member = peers.members.get(node_id).member
    peers.change(node_id, state=MemberState.DRAINING)
    await asyncio.sleep(STEP_S)
    peers.change(node_id, state=MemberState.STOPPED)
    await asyncio.sleep(STEP_S)
    if peers.rng.random() < 0.5:
        life = {"incarnation": member.incarnation + 1, "version": 0}
        peers.change(node_id, state=MemberState.STARTING, service="", **life)
    else:
        node_id = peers.add_member()
    await asyncio.sleep(STEP_S)
    peers.change(node_id, state=MemberState.SERVING, service=member.service)


async def _fail(peers: Peers) -> None:
    """Let a member die; another one takes its place."""
    node_id = peers.any_member()
    service = peers.members.get(node_id).member.service
    peers.failed.add(node_id)
    peers.suspect(node_id)
    await asyncio.sleep(STEP_S)
    new_id = peers.add_member()
    await asyncio.sleep(STEP_S)
    peers.change(new_id, state=MemberState.SERVING, service=service)


async def _change_section(peers: Peers) -> None:
    peers.sections.raise_version(peers.rng.choice(list(peers.sections.versions)))
    peers.spread([])


def _ids_in(peers: Peers, data_centres: set[str]) -> list[str]:
    return [
        member.node_id
        for member in peers.members.live()
        if member.data_centre in data_centres and member.node_id != SUBJECT_ID
    ]


def _suspect_soon(peers: Peers, node_ids: list[str], claim: Status, span_s) -> None:
    def suspect(node_id: str) -> None:
        if peers.members.get(node_id).status is Status.ALIVE:
            peers.suspect(node_id, claim)

    loop = asyncio.get_running_loop()
    for node_id in node_ids:
        loop.call_later(peers.rng.uniform(*span_s), suspect, node_id)


def _rejoin_soon(peers: Peers, node_ids: list[str], span_s) -> None:
    loop = asyncio.get_running_loop()
    for node_id in node_ids:
        loop.call_later(peers.rng.uniform(*span_s), peers.rejoin, node_id)


async def lose_data_centre(peers: Peers) -> None:
    """Crash all members of one data centre."""
    peers.down.add(LOST_DATA_CENTRE)
    for identity in peers.identities.values():
        if identity.data_centre == LOST_DATA_CENTRE:
            await identity.server.stop()
    lost = _ids_in(peers, {LOST_DATA_CENTRE})
    _suspect_soon(peers, lost, Status.SUSPECT, NOTICE_S)


async def return_lost(peers: Peers) -> None:
    """Start the members of the lost data centre again."""
    peers.down.discard(LOST_DATA_CENTRE)
    for identity in peers.identities.values():
        if identity.data_centre == LOST_DATA_CENTRE:
            await identity.server.start(identity.own.member.control)
    dead = [
        node_id
        for node_id in peers.members.dead_ids()
        if peers.members.get(node_id).member.data_centre == LOST_DATA_CENTRE
        and node_id not in peers.failed
    ]
    _rejoin_soon(peers, dead, NOTICE_S)


def _far() -> set[str]:
    places = map(place_of, range(DATA_CENTRES))
    return {data_centre for region, data_centre in places if region != "region-0"}


async def part_regions(peers: Peers) -> None:
    """Lose every message between the regions."""
    peers.hung |= _far()
    _suspect_soon(peers, _ids_in(peers, _far()), Status.SUSPECT, NOTICE_S)


async def join_regions(peers: Peers) -> None:
    """Carry messages between the regions again.

    Members of the far region come back with higher incarnations. Those of the near
    region hear that the far region declared them dead, and do the same.
    """
    peers.hung.clear()
    far = [
        node_id
        for node_id in peers.members.dead_ids()
        if peers.members.get(node_id).member.data_centre in _far()
        and node_id not in peers.failed
    ]
    _rejoin_soon(peers, far, MEETING_S)
    near = _ids_in(peers, {place_of(n)[1] for n in range(DATA_CENTRES)} - _far())
    _suspect_soon(peers, near, Status.DEAD, MEETING_S)
    later_s = tuple(MEETING_S[1] + bound_s for bound_s in MEETING_S)
    _rejoin_soon(peers, near, later_s)
    peers.suspect(SUBJECT_ID, Status.DEAD)
