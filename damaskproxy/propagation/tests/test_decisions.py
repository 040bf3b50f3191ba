"""Whom a node follows and when it calls the store, case by case."""

import random
import unittest

import msgspec
from nose2.tools import params

from damaskproxy.directory import UNKNOWN_ERA, StorePosition
from damaskproxy.forwarding.frames import HeartbeatFrame
from damaskproxy.propagation import (
    FANOUT,
    Ranking,
    StoreContact,
    local_candidates,
    remote_candidates,
)
from damaskproxy.propagation.feed_turns import (
    DETECTION_S,
    FEED_LATE_S,
    renewal_interval_s,
)
from damaskproxy.propagation.store_contact import (
    DISTRUST_S,
    MISSED_CHANGE_S,
    STALE_S,
    START_GRACE_S,
    STORE_CHECK_SPREAD_S,
)
from damaskproxy.sidecar.lifecycle import PROPAGATION_TICK_S

BOUND_S = 2.0
"""Bound on the time until a confirmed configuration is in force."""


def make_ranking(data_centre, count):
    """Return the order of `count` nodes."""
    ranking = Ranking(data_centre)
    for number in range(count):
        ranking.add(f"{data_centre}-{number}")
    return ranking


class RankingTests(unittest.TestCase):
    """Guards against cycles of sources and against nodes without a source."""

    @params(1, 2, 33, 34, 900)
    def test_sources_come_before_the_node_in_the_order(self, count):
        ranking = make_ranking("a", count)
        for rank in range(count):
            candidates = local_candidates(ranking, ranking.at(rank))
            self.assertEqual(bool(candidates), rank > 0)
            self.assertTrue(all(ranking.rank(name) < rank for name in candidates))

    def test_number_of_followers_of_a_node_is_bounded(self):
        ranking = make_ranking("a", 900)
        followers = {}
        for rank in range(1, 900):
            parent = local_candidates(ranking, ranking.at(rank))[0]
            followers[parent] = followers.get(parent, 0) + 1
        self.assertLessEqual(max(followers.values()), FANOUT)

    def test_a_node_that_leaves_changes_few_sources(self):
        ranking = make_ranking("a", 30)
        before = {n: local_candidates(ranking, n)[:1] for n in self.ids(ranking)}
        ranking.remove(ranking.at(15))
        after = {n: local_candidates(ranking, n)[:1] for n in self.ids(ranking)}
        self.assertTrue(all(before[name] == source for name, source in after.items()))

    @staticmethod
    def ids(ranking):
        """Return the nodes in their order."""
        return [ranking.at(rank) for rank in range(len(ranking))]

    @params(("a", "b"), ("b", "c"), ("c", "a"), ("lost", "a"))
    def test_data_centres_follow_each_other_in_a_ring(self, own, expected):
        rankings = {name: make_ranking(name, 3) for name in ("a", "b", "c")}
        rankings["empty"] = Ranking("empty")
        first = remote_candidates(rankings, own)[0]
        self.assertEqual(first, rankings[expected].at(0))


class StoreContactTests(unittest.TestCase):
    """Guards against calls that are needless, and against trust in a lost store."""

    def setUp(self):
        self.now_s = 100.0
        self.changes = 0
        self.has_configuration = True
        self.data_centres = ["a", "b", "c"]
        self.contact = StoreContact(
            node_id="n1",
            data_centre=lambda: "b",
            data_centres=lambda: self.data_centres,
            has_source=lambda: True,
            has_configuration=lambda: self.has_configuration,
            rank_of={"first": 0, "n1": 3, "last": 7}.get,
            on_change=self.changed,
            rng=random.Random(1),
            configuration_bound_s=BOUND_S,
            now_s=lambda: self.now_s,
        )
        self.contact.start(is_first_start=False)

    def changed(self):
        self.changes += 1

    def wait(self, seconds):
        """Let time pass, with an update at its end."""
        self.now_s += seconds
        self.contact.update()

    def test_age_is_finite_before_any_contact(self):
        contact = StoreContact(
            node_id="n1",
            data_centre=lambda: "b",
            data_centres=lambda: ["b"],
            has_source=lambda: False,
            has_configuration=lambda: False,
            rank_of=lambda node_id: None,
            on_change=self.changed,
            rng=random.Random(1),
            configuration_bound_s=BOUND_S,
            now_s=lambda: self.now_s,
        )
        self.assertGreater(int(contact.age_s() * 1000), STALE_S)

    def test_starting_node_waits_for_a_source_before_it_asks_the_store(self):
        self.has_configuration = False
        self.contact.update()
        self.assertFalse(self.contact.wants_store)
        self.wait(START_GRACE_S + 0.01)
        self.assertTrue(self.contact.wants_store)

    def test_node_with_a_source_in_touch_makes_no_calls(self):
        for _ in range(20):
            self.contact.report("source", 0.2)
            self.wait(0.4)
            self.assertFalse(self.contact.wants_store)

    @params((0.0, False), (STALE_S + 1, True))
    def test_report_of_a_source_replaces_the_one_before(self, age_s, wants_store):
        self.contact.report("source", 0.0)
        self.contact.report("source", age_s)
        self.wait(0.5)
        self.assertEqual(self.contact.wants_store, wants_store)

    @params(("remote", True), (None, True), ("last", False))
    def test_first_node_distrusts_other_data_centres_after_a_failure(
        self, contact_id, is_stale
    ):
        self.contact.is_first = True
        self.contact.store_succeeded(StorePosition(0, 5))
        self.wait(10)
        self.contact.store_failed()
        self.contact.report("peer", 0.0, contact_id)
        self.assertEqual(self.contact.age_s() > STALE_S, is_stale)
        self.wait(DISTRUST_S)
        self.contact.report("peer", 0.0, contact_id)
        self.assertLessEqual(self.contact.age_s(), STALE_S)

    @params(
        # Contact that a peer reports, whether the feed is kept.
        ("first", False),
        ("last", True),
        ("remote", True),
        ("n1", True),
        (None, True),
    )
    def test_stand_in_keeps_its_feed_until_a_node_before_it_has_one(
        self, contact_id, is_kept
    ):
        self.wait(STALE_S)
        self.contact.store_succeeded(StorePosition(0, 5))
        self.contact.report("source", 0.0, contact_id)
        self.wait(STALE_S / 2)
        self.assertEqual(self.contact.wants_store, is_kept)

    def test_own_contact_that_comes_back_is_no_report(self):
        self.wait(STALE_S)
        self.contact.store_succeeded(StorePosition(0, 5))
        self.contact.report("source", 0.0, "n1")
        self.contact.store_failed()
        self.assertGreater(self.contact.age_s(), STALE_S)
        self.wait(STALE_S)
        self.assertTrue(self.contact.wants_store)

    def test_change_from_a_peer_that_the_feed_missed_renews_the_feed(self):
        self.contact.is_first = True
        self.contact.store_succeeded(StorePosition(0, 5))
        self.contact.configuration_received()
        self.wait(MISSED_CHANGE_S / 2)
        self.assertFalse(self.contact._feed_stuck.is_set())
        self.wait(MISSED_CHANGE_S)
        self.assertTrue(self.contact._feed_stuck.is_set())

    @params(
        # Data centres, clock of the store, expected wait. The turns are 0.75 s apart.
        ("abc", 22.5, 0.75),
        ("abc", 23.5, 2.0),
        ("abc", 23.2, 2.3),
        ("bc", 22.75, 1.25),
        ("b", 22.75, 0.5),
        ("b", 0, 0.5),
    )
    def test_feeds_are_renewed_in_turn(self, data_centres, clock_s, expected_s):
        self.data_centres = list(data_centres)
        self.contact.store_succeeded(StorePosition(0, 5), clock_s)
        self.assertAlmostEqual(self.contact.feed_wait_s(), expected_s)

    @params((2.0, 0.75), (2.5, 1.25), (3.0, 1.75), (0.1, 0.5), (60.0, 3.0))
    def test_a_change_behind_a_silent_feed_is_found_within_the_bound(
        self, bound_s, expected_s
    ):
        self.assertEqual(renewal_interval_s(bound_s), expected_s)
        ticks_s = 2 * PROPAGATION_TICK_S
        self.assertLess(FEED_LATE_S + ticks_s + STORE_CHECK_SPREAD_S, DETECTION_S)

    @params((FEED_LATE_S / 2, True), (2 * FEED_LATE_S, False))
    def test_feed_that_does_not_end_in_time_is_no_contact(self, late_s, is_live):
        self.contact.is_first = True
        self.contact.store_succeeded(StorePosition(0, 5))
        self.wait(self.contact.feed_wait_s() + late_s)
        self.assertEqual(self.contact.has_live_feed, is_live)
        self.assertEqual(self.contact.age_s() <= STALE_S, is_live)
        self.assertEqual(self.contact._feed_stuck.is_set(), not is_live)
        self.contact.store_succeeded(StorePosition(0, 5))
        self.assertTrue(self.contact.has_live_feed)

    def test_rise_of_the_era_renews_the_feed_and_is_counted_once(self):
        self.contact.is_first = True
        self.contact.note_era(3)
        self.contact.store_succeeded(StorePosition(3, 5))
        self.assertFalse(self.contact._feed_stuck.is_set())
        for era in (4, 4, 3):
            self.contact.note_era(era)
        self.assertTrue(self.contact._feed_stuck.is_set())
        self.assertEqual((self.contact.era, self.contact.restores), (4, 1))

    @params(
        # Kept, heard from another node, expected.
        ((1, 12), (1, 14), (1, 14)),
        ((1, 12), (2, 8), (2, 8)),
        ((2, 8), (1, 14), (2, 8)),
        ((2, 8), (-1, 14), (2, 8)),
    )
    def test_positions_of_a_newer_era_are_newer(self, kept, heard, expected):
        newest = max(StorePosition(*kept), StorePosition(*heard))
        self.assertEqual(newest, StorePosition(*expected))

    def test_heartbeat_of_an_earlier_release_has_no_era(self):
        encoded = msgspec.msgpack.encode([12, 4, 7, 100, 9, 8])
        heartbeat = msgspec.msgpack.decode(encoded, type=HeartbeatFrame)
        self.assertEqual(heartbeat, HeartbeatFrame(4, 7, 100, 9, 8))
        self.assertEqual(heartbeat.configuration_era, UNKNOWN_ERA)
        self.assertIsNone(heartbeat.contact_id)

    def test_contact_is_that_of_the_node_that_was_in_touch(self):
        self.contact.report("source", 0.2, "n7")
        self.assertEqual(self.contact.contact().node_id, "n7")
        self.contact.store_succeeded(StorePosition(0, 5))
        self.assertEqual(self.contact.contact().node_id, "n1")

    def test_loss_and_return_of_the_store_are_announced_once(self):
        self.contact.is_first = True
        self.contact.store_succeeded(StorePosition(0, 5))
        self.wait(5)
        self.changes = 0
        self.contact.store_failed()
        self.wait(3)
        self.assertEqual(self.changes, 1)
        self.contact.store_succeeded(StorePosition(0, 6))
        self.wait(3)
        self.assertEqual(self.changes, 2)
