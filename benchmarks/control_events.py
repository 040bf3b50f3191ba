"""Events of the synthetic mesh that the measured node receives."""

import asyncio
from collections.abc import Awaitable, Callable

from benchmarks.control_peers import DATA_CENTRES, Peers, place_of
from benchmarks.control_subject import SUBJECT_ID
from damaskproxy.membership import Status
from damaskproxy.model import MemberState

__all__ = [
    "churn",
    "lose_data_centre",
    "partition_regions",
    "reconnect_regions",
    "return_lost",
]

DAY_S = 86_400
TARGET_MEMBERS = 5_000
RESTARTS_PER_DAY = 1_900
FAILURES_PER_DAY = 29
SECTION_CHANGES_PER_DAY = 4_500
STATE_CHANGE_S = 1.0
LOST_DATA_CENTRE = f"dc-{DATA_CENTRES - 1}"
# The members of a lost part are detected one after the other, as the ring closes
# around them.
DETECTION_S = (1.0, 6.0)
RECONNECT_S = (0.2, 1.5)


async def churn(peers: Peers, seconds: float, acceleration: float) -> int:
    """Simulate restarts, failures and section changes at random times.

    Parameters
    ----------
    peers : Peers
        Synthetic mesh.
    seconds : float
        Duration of the phase.
    acceleration : float
        Factor on the daily rates, which are scaled to the size of the mesh.

    Returns
    -------
    int
        Number of events.
    """
    per_s = acceleration * peers.count / TARGET_MEMBERS / DAY_S
    events = (
        (RESTARTS_PER_DAY * per_s, lambda: _restart(peers)),
        (FAILURES_PER_DAY * per_s, lambda: _fail(peers)),
        (SECTION_CHANGES_PER_DAY * per_s, lambda: _change_section(peers)),
    )
    generators = (
        _generate_events(peers, rate, seconds, event) for rate, event in events
    )
    return sum(await asyncio.gather(*generators))


async def _generate_events(
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
    """Drain and stop a member, then restart it or add a new one instead."""
    node_id = peers.any_member()
    member = peers.members.get(node_id).member
    peers.change(node_id, state=MemberState.DRAINING)
    await asyncio.sleep(STATE_CHANGE_S)
    peers.change(node_id, state=MemberState.STOPPED)
    await asyncio.sleep(STATE_CHANGE_S)
    if peers.rng.random() < 0.5:
        new_incarnation = {"incarnation": member.incarnation + 1, "version": 0}
        peers.change(node_id, state=MemberState.STARTING, service="", **new_incarnation)
    else:
        node_id = peers.add_member()
    await asyncio.sleep(STATE_CHANGE_S)
    peers.change(node_id, state=MemberState.SERVING, service=member.service)


async def _fail(peers: Peers) -> None:
    """Crash a member and add a new one instead."""
    node_id = peers.any_member()
    service = peers.members.get(node_id).member.service
    peers.failed.add(node_id)
    peers.suspect(node_id)
    await asyncio.sleep(STATE_CHANGE_S)
    new_id = peers.add_member()
    await asyncio.sleep(STATE_CHANGE_S)
    peers.change(new_id, state=MemberState.SERVING, service=service)


async def _change_section(peers: Peers) -> None:
    peers.sections.raise_version(peers.rng.choice(list(peers.sections.versions)))
    peers.propagate([])


def _ids_in(peers: Peers, data_centres: set[str]) -> list[str]:
    return [
        member.node_id
        for member in peers.members.live()
        if member.data_centre in data_centres and member.node_id != SUBJECT_ID
    ]


def _suspect_after_delay(
    peers: Peers, node_ids: list[str], claim: Status, delay_range_s
) -> None:
    def suspect(node_id: str) -> None:
        if peers.members.get(node_id).status is Status.ALIVE:
            peers.suspect(node_id, claim)

    loop = asyncio.get_running_loop()
    for node_id in node_ids:
        loop.call_later(peers.rng.uniform(*delay_range_s), suspect, node_id)


def _rejoin_after_delay(peers: Peers, node_ids: list[str], delay_range_s) -> None:
    loop = asyncio.get_running_loop()
    for node_id in node_ids:
        loop.call_later(peers.rng.uniform(*delay_range_s), peers.rejoin, node_id)


async def lose_data_centre(peers: Peers) -> None:
    """Crash all members of one data centre."""
    peers.crashed.add(LOST_DATA_CENTRE)
    for active_peer in peers.active_peers.values():
        if active_peer.data_centre == LOST_DATA_CENTRE:
            await active_peer.server.stop()
    lost = _ids_in(peers, {LOST_DATA_CENTRE})
    _suspect_after_delay(peers, lost, Status.SUSPECT, DETECTION_S)


async def return_lost(peers: Peers) -> None:
    """Start the members of the lost data centre again."""
    peers.crashed.discard(LOST_DATA_CENTRE)
    for active_peer in peers.active_peers.values():
        if active_peer.data_centre == LOST_DATA_CENTRE:
            await active_peer.server.start(active_peer.own.member.control)
    dead = [
        node_id
        for node_id in peers.members.dead_ids()
        if peers.members.get(node_id).member.data_centre == LOST_DATA_CENTRE
        and node_id not in peers.failed
    ]
    _rejoin_after_delay(peers, dead, DETECTION_S)


def _remote_data_centres() -> set[str]:
    places = map(place_of, range(DATA_CENTRES))
    return {data_centre for region, data_centre in places if region != "region-0"}


async def partition_regions(peers: Peers) -> None:
    """Lose all messages between the regions."""
    peers.partitioned |= _remote_data_centres()
    _suspect_after_delay(
        peers, _ids_in(peers, _remote_data_centres()), Status.SUSPECT, DETECTION_S
    )


async def reconnect_regions(peers: Peers) -> None:
    """Deliver messages between the regions again.

    Members of the remote region rejoin with higher incarnations. Those of the local
    region find that the remote region declared them dead, and rejoin too.
    """
    peers.partitioned.clear()
    remote = [
        node_id
        for node_id in peers.members.dead_ids()
        if peers.members.get(node_id).member.data_centre in _remote_data_centres()
        and node_id not in peers.failed
    ]
    _rejoin_after_delay(peers, remote, RECONNECT_S)
    local = _ids_in(
        peers, {place_of(n)[1] for n in range(DATA_CENTRES)} - _remote_data_centres()
    )
    _suspect_after_delay(peers, local, Status.DEAD, RECONNECT_S)
    later_s = tuple(RECONNECT_S[1] + bound_s for bound_s in RECONNECT_S)
    _rejoin_after_delay(peers, local, later_s)
    peers.suspect(SUBJECT_ID, Status.DEAD)
