"""Whether the store is in touch, and when a node calls it for the configuration."""

import asyncio
import logging
import random
from collections.abc import Callable

from damaskproxy.directory import UNKNOWN_ERA, StorePosition
from damaskproxy.events import log_event
from damaskproxy.propagation import events
from damaskproxy.propagation.contact_reports import Contact, ContactReports
from damaskproxy.propagation.feed_turns import FeedTurns, renewal_interval_s
from damaskproxy.propagation.peer import Peer

__all__ = ["STALE_S", "StoreContact"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
STALE_S = 1.5
"""Age of the last contact with the store from which on a node asks the store itself.
Above the sum of two heartbeat intervals and the checks of two levels of sources."""
NO_CONTACT_AGE_S = 3600.0
START_GRACE_S = 0.15
"""Time that a starting node waits for a source before it asks the store; some round
trips within the data centre."""
FIRST_START_GRACE_S = 0.8
"""The same when all nodes start, which takes them 0.3 s."""
DISTRUST_S = 0.6
"""Time after the failure of its own feed in which a node does not rely on contacts of
other data centres. Their first nodes may be cut off from the store as well and notice
it later; in the meantime the nodes that follow this one ask the store."""
MISSED_CHANGE_S = 0.5
"""Time after which a feed is renewed that has not delivered a configuration that came
from another node; the response of the store was probably lost."""
STORE_CHECK_SPREAD_S = 0.2
"""Spreads the calls of the nodes whose source has lost the store."""
FIRST_RETRY = (0.2, 2.0, 1.0)
OTHER_RETRY = (1.0, 3.0, 8.0)
"""First pause after a failed call to the store, growth, and longest pause, in seconds.

The first node of each data centre notices the return of the store within the 3 s after
which the limits hold again, and the others hear of it from there. They try for
themselves only in case that the store serves just some of the nodes."""
MEMBERS_POLL_FIRST_S = 1.0
MEMBERS_POLL_S = 5.0
"""Interval between reads of changed member rows by one of the nodes that follow the
store, in turn. They find what reached no node directly; the store keeps changes for
20 s. A node that begins to follow reads sooner once."""


TURNS_MAX = 20
"""Data centres that are counted for turns; odd rows may name any number of them."""
RESTORE_TURN_S = 0.3
"""Time between the nodes that write lost member rows again, one for each data centre.
Usually the first one writes all of them and the others only compare. With six data
centres the last one begins within the 2 s in which the rows have to be back."""
RESTORE_RETRY_S = 0.5


class StoreContact:
    """Contact with the store, own and reported; implements `directory.StorePlan`.

    Parameters
    ----------
    node_id : str
        Id of this node.
    data_centre : callable
        Returns the data centre of this node.
    data_centres : callable
        Returns the data centres with running nodes, in order.
    has_source : callable
        Returns whether this node follows another one.
    has_configuration : callable
        Returns whether a configuration is in force.
    rank_of : callable
        Returns the rank of a running node of this data centre, None for other nodes.
    on_change : callable
        Called when the store was lost or is in touch again.
    configuration_bound_s : float
        Time from the confirmation of a configuration until it has to be in force.
    rng : random.Random
        Spreads calls to the store.
    now_s : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    configuration_position, members_position : StorePosition
        Position of the store up to which the configuration and the member records are
        known.
    is_first : bool
        Whether this node follows the store for its data centre.
    is_feed_open : bool
        Whether a call of the configuration feed waits for the next change.
    has_outcome : bool
        Whether a call of this node for the configuration has succeeded or failed.
    era : int
        Newest known era of the store; it rises when the store returns from an older
        copy.
    restores : int
        Number of times that the era was seen to rise.
    """

    def __init__(
        self,
        *,
        node_id: str,
        data_centre: Callable[[], str],
        data_centres: Callable[[], list[str]],
        has_source: Callable[[], bool],
        has_configuration: Callable[[], bool],
        rank_of: Callable[[str], int | None],
        on_change: Callable[[], None],
        configuration_bound_s: float,
        rng: random.Random,
        now_s: Callable[[], float],
    ):
        self.configuration_position = StorePosition()
        self.members_position = StorePosition()
        self.is_first = False
        self.is_feed_open = False
        self.has_outcome = False
        self.era = UNKNOWN_ERA
        self.restores = 0
        self._node_id = node_id
        self._data_centre = data_centre
        self._data_centres = data_centres
        self._has_source = has_source
        self._has_configuration = has_configuration
        self._on_change = on_change
        self._rng = rng
        self._now_s = now_s
        interval_s = renewal_interval_s(configuration_bound_s)
        self._feed = FeedTurns(interval_s, self._turn, self._turns, now_s)
        self._is_feed_late = False
        self._is_started = False
        self._was_stale = True
        self._reports = ContactReports(node_id, rank_of)
        self._start_contact_s = float("-inf")
        self._own_contact_s = float("-inf")
        self._distrust_until_s = float("-inf")
        self._check_at_s: float | None = None
        self._missed_change_s: float | None = None
        self._members_poll_due_s = 0.0
        self._restored_era = UNKNOWN_ERA
        self._restore_due_s = 0.0
        self._feed_stuck = asyncio.Event()
        self._store_wanted = asyncio.Event()

    def start(self, *, is_first_start: bool) -> None:
        """Begin to call the store when it is needed."""
        now_s = self._now_s()
        self._is_started = True
        grace_s = FIRST_START_GRACE_S if is_first_start else START_GRACE_S
        self._start_contact_s = now_s - STALE_S + grace_s
        self._members_poll_due_s = now_s + MEMBERS_POLL_FIRST_S

    def became_first(self) -> None:
        """Record that this node follows the store for its data centre from now on."""
        self._members_poll_due_s = self._now_s() + MEMBERS_POLL_FIRST_S

    # Reports of other nodes.

    def age_s(self) -> float:
        """Return the time since the store was last known to be in touch.

        It is `NO_CONTACT_AGE_S` at most, also before the first contact.
        """
        last_s = self.contact().last_s
        return min(self._now_s() - last_s, NO_CONTACT_AGE_S)

    def contact(self) -> Contact:
        """Return the contact with the store that this node relies on."""
        if self.has_live_feed:
            return Contact(self._node_id, self._now_s())
        reported = self._reported()
        if self._own_contact_s > reported.last_s:
            return Contact(self._node_id, self._own_contact_s)
        return reported

    def report(self, peer: Peer, age_s: float, contact_id: str | None = None) -> None:
        """Record what a peer reports.

        Parameters
        ----------
        peer : Peer
            The peer.
        age_s : float
            Time since the contact.
        contact_id : str, optional
            Id of the node that was in touch.
        """
        self._reports.record(peer, Contact(contact_id, self._now_s() - age_s))
        self.update()

    def forget(self, peer: Peer) -> None:
        """Drop the report of a peer that is no neighbour any more."""
        self._reports.forget(peer)

    def configuration_received(self) -> None:
        """Record that a peer sent a newer configuration."""
        if self.is_feed_open:
            self._missed_change_s = self._now_s()

    def update(self) -> None:
        """Bring up to date what follows from the clock and the reports."""
        now_s = self._now_s()
        if self.has_live_feed and self._feed.is_feed_late():
            self._is_feed_late = True
            self._lose_own_contact()
            self._feed_stuck.set()
        missed_s = self._missed_change_s
        if missed_s is not None and now_s - missed_s >= MISSED_CHANGE_S:
            self._missed_change_s = None
            self._feed_stuck.set()
        is_stale = self.age_s() > STALE_S
        if is_stale != self._was_stale:
            self._was_stale = is_stale
            log_event(
                logger,
                events.CONTACT_LOST if is_stale else events.CONTACT_REGAINED,
                contact=self.contact().node_id,
                age_ms=int(self.age_s() * MS_PER_S),
            )
            self._on_change()
        if self._is_store_wanted(now_s):
            self._store_wanted.set()
        else:
            self._store_wanted.clear()

    def _reported(self) -> Contact:
        """Return the contact that other nodes have reported, local ones first."""
        now_s = self._now_s()
        reported = self._reports.local(now_s - STALE_S)
        if reported is None and now_s >= self._distrust_until_s:
            reported = self._reports.newest()
        return reported or Contact(None, self._start_contact_s)

    def _is_store_wanted(self, now_s: float) -> bool:
        if not self._is_started:
            return False
        if self.is_first:
            return True
        if self.has_live_feed:
            # A feed is given up only for another one in the same data centre.
            holder = self._reports.local(now_s - STALE_S)
            return holder is None or not self._reports.has_foremost(holder)
        if now_s - self._reported().last_s <= STALE_S:
            self._check_at_s = None
            return False
        if not self._has_configuration():
            return True
        if self._check_at_s is None:
            spread_s = self._rng.random() * STORE_CHECK_SPREAD_S
            self._check_at_s = now_s + (spread_s if self._has_source() else 0.0)
        return now_s >= self._check_at_s

    def _turns(self) -> int:
        """Return the number of nodes that take turns, one for each data centre."""
        return min(len(self._data_centres()), TURNS_MAX)

    def _turn(self) -> int:
        """Return the turn of this node, from 0."""
        return min(self._data_centres().index(self._data_centre()), TURNS_MAX - 1)

    # Calls to the store.

    @property
    def wants_store(self) -> bool:
        """Whether the configuration is to be read from the store."""
        return self._store_wanted.is_set()

    async def wait_until_store_wanted(self) -> None:
        """Wait until the configuration is to be read from the store."""
        await self._store_wanted.wait()

    @property
    def has_live_feed(self) -> bool:
        """Whether the feed is open and its response is not late."""
        return self.is_feed_open and not self._is_feed_late

    def feed_wait_s(self) -> float:
        """Return how long the next call of the configuration feed may wait."""
        return self._feed.begin_feed()

    def store_retry_s(self, failures: int) -> float:
        """Return the pause after a number of failed calls in a row."""
        first_s, growth, max_s = FIRST_RETRY if self.is_first else OTHER_RETRY
        pause_s = min(first_s * growth ** min(failures - 1, 10), max_s)
        return pause_s * (0.75 + 0.5 * self._rng.random())

    def feed_closed(self) -> None:
        """Record that no call of the feed waits any more."""
        self.is_feed_open = False
        self._feed.end_feed()

    async def wait_until_feed_stuck(self) -> None:
        """Wait until the feed has evidently missed a change."""
        self._feed_stuck.clear()
        await self._feed_stuck.wait()

    def store_succeeded(self, position: StorePosition, clock_s: float = 0.0) -> None:
        """Record a response of the store that has all changes up to `position`.

        Parameters
        ----------
        position : StorePosition
            Position of the store.
        clock_s : float
            Clock of the store when it responded, 0 if it names none.
        """
        self.has_outcome = True
        self._own_contact_s = self._now_s()
        self._is_feed_late = False
        self._feed.end_feed()
        self._feed.set_store_clock(clock_s)
        self._missed_change_s = None
        self._check_at_s = None
        self.is_feed_open = True
        self.configuration_position = position
        self.update()

    def note_era(self, era: int) -> None:
        """Record an era of the store; log and renew the feed if it has risen."""
        if era <= self.era:
            return
        known, self.era = self.era, era
        if known == UNKNOWN_ERA:
            self._restored_era = era
            return
        self.restores += 1
        self._restore_due_s = self._now_s() + self._turn() * RESTORE_TURN_S
        self._feed_stuck.set()
        log_event(
            logger,
            events.STORE_RESTORED,
            old_era=known,
            new_era=era,
            configuration_position=self.configuration_position.version,
            members_position=self.members_position.version,
        )

    def store_failed(self) -> None:
        """Record that a call to the store failed."""
        self.has_outcome = True
        if self.is_feed_open:
            self._lose_own_contact()
        self.feed_closed()
        self.update()

    def _lose_own_contact(self) -> None:
        self._distrust_until_s = self._now_s() + DISTRUST_S
        self._own_contact_s = float("-inf")

    def is_members_poll_due(self) -> bool:
        """Tell whether to read the changes of the member rows now; at most once."""
        now_s = self._now_s()
        if not self.is_first:
            return False
        if self.must_restore_members and now_s >= self._restore_due_s:
            self._restore_due_s = now_s + RESTORE_RETRY_S
            return True
        if now_s < self._members_poll_due_s:
            return False
        self._members_poll_due_s = now_s + MEMBERS_POLL_S * self._turns()
        return True

    @property
    def must_restore_members(self) -> bool:
        """Whether rows that the store has lost are to be written again."""
        return self.era > self._restored_era

    def members_restored(self, position: StorePosition) -> None:
        """Record that all known members are in the store as of a position."""
        self._restored_era = position.era
        self.members_position = position
