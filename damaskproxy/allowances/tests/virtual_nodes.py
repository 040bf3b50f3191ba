"""Nodes with gates and ledgers on a virtual clock, with links that fail."""

import heapq
import itertools
import random
from bisect import bisect_left

from damaskproxy.allowances import AllowanceBounds, Gate, Ledger, Limit, Owners
from damaskproxy.forwarding.frames import (
    AllowanceAskFrame,
    AllowanceNoticeFrame,
    AllowanceReportFrame,
)

__all__ = [
    "BOUNDS",
    "FLOOD",
    "NAME",
    "USUAL",
    "VirtualNodes",
    "largest_sum",
    "make_nodes",
]

BOUNDS = AllowanceBounds()
NAME = "guild"
TICK_S = 0.1
DELAY_S = (0.0005, 0.01)
"""Shortest and longest time that a frame takes, within and between data centres."""
DEADLINE_S = 0.8
USUAL, FLOOD = 1 / 1.6, 7.5 / 1.6
"""Usual and largest demand as multiples of the rate."""


class _Node:
    """One process, from its start to its end."""

    def __init__(self, nodes, node_id):
        self.id = node_id
        self.nodes = nodes
        self.owners = Owners(node_id)
        self.owners.update(nodes.ids)
        self.ledger = Ledger(self.owners, BOUNDS)
        self.gate = Gate(self.owners, BOUNDS, self.send)
        self.is_alive = True

    def send(self, owner_id, message):
        if owner_id == self.id:
            self.handle(self.id, message)
        else:
            self.nodes.transmit(self, owner_id, message)

    def handle(self, sender_id, frame):
        now_s = self.nodes.now_s
        if isinstance(frame, AllowanceReportFrame):
            self.reply(sender_id, self.ledger.handle_report(sender_id, frame, now_s))
        elif isinstance(frame, AllowanceAskFrame):
            self.nodes.ask_count += 1
            self.reply(sender_id, self.ledger.handle_ask(sender_id, frame, now_s))
        elif isinstance(frame, AllowanceNoticeFrame):
            self.gate.handle_notice(sender_id, frame, now_s)
        else:
            self.gate.handle_grant(sender_id, frame, now_s)
        self.push()

    def reply(self, node_id, frame):
        if node_id == self.id:
            self.handle(self.id, frame)
        else:
            self.nodes.transmit(self, node_id, frame)

    def push(self):
        names = self.ledger.take_newly_limited()
        for node_id in self.ledger.fresh_nodes(self.nodes.now_s) if names else ():
            self.reply(node_id, AllowanceNoticeFrame(0, names))

    def tick(self):
        if self.is_alive:
            now_s = self.nodes.now_s
            self.gate.tick(now_s)
            self.ledger.tick(now_s)
            self.push()
            self.nodes.after(TICK_S, self.tick)


class VirtualNodes:
    """Nodes of a mesh, requests of one organisation, and what becomes of them."""

    def __init__(self, count, limit, seed):
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.limit = limit
        self.ids = [f"n{number:03}" for number in range(count)]
        self.nodes = {}
        self.islands = {}
        self.choose = lambda: self.rng.choice(self.ids)
        self.admitted_s = []
        self.refused_s = []
        self.sent_count = self.ask_count = self.frame_count = 0
        self._order = itertools.count()
        self._due = []
        self._delivered_s = {}
        for node_id in self.ids:
            self.after(0.0, lambda node_id=node_id: self.start(node_id))

    def after(self, delay_s, action):
        entry = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._due, entry)

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._due)
            action()
        self.now_s = end_s

    def start(self, node_id):
        node = self.nodes[node_id] = _Node(self, node_id)
        self.apply(node_id, self.limit)
        self.after(self.rng.uniform(0, TICK_S), node.tick)

    def apply(self, node_id, limit):
        node = self.nodes[node_id]
        node.ledger.apply({NAME: limit}, self.now_s)
        node.gate.apply({NAME: limit}, self.now_s)

    def update_members(self, node_id, members):
        node = self.nodes[node_id]
        if node.owners.update(members):
            node.ledger.members_changed()
            node.gate.members_changed(self.now_s)

    def kill(self, node_id, restart_after_s=None):
        self.nodes[node_id].is_alive = False
        for node in self.nodes.values():
            if node.is_alive and not self._is_cut(node.id, node_id):
                self._after_lost(node, node_id)
        if restart_after_s is not None:
            self.after(restart_after_s, lambda: self.start(node_id))

    def transmit(self, sender, receiver_id, frame):
        """Deliver a frame in order; over a cut link once the cut has ended."""
        if not sender.is_alive:
            return
        receiver = self.nodes.get(receiver_id)
        if receiver is None or not receiver.is_alive:
            self._after_lost(sender, receiver_id)
            return
        self.frame_count += 1
        pair = (id(sender), id(receiver))
        at_s = self.now_s + self.rng.uniform(*DELAY_S)
        at_s = self._delivered_s[pair] = max(at_s, self._delivered_s.get(pair, 0.0))

        def deliver():
            if self._is_cut(sender.id, receiver_id):
                self.after(TICK_S, deliver)
            elif receiver.is_alive:
                receiver.handle(sender.id, frame)

        self.after(at_s - self.now_s, deliver)

    def request(self, node_id):
        """Send one request to a node, if it runs."""
        node = self.nodes[node_id]
        if not node.is_alive:
            return
        self.sent_count += 1
        is_decided = []

        def decide(wait_s):
            if is_decided:
                return False
            is_decided.append(True)
            (self.refused_s if wait_s > 0 else self.admitted_s).append(self.now_s)
            return True

        wait_s = node.gate.check(NAME, self.now_s)
        if wait_s is not None:
            decide(wait_s)
        else:
            node.gate.ask(NAME, decide, self.now_s)
            self.after(DEADLINE_S, lambda: decide(1.0))

    def demand(self, rate_per_s, start_s, duration_s):
        """Send requests at random times to the nodes that `choose` names."""
        at_s, end_s = start_s, start_s + duration_s
        while (at_s := at_s + self.rng.expovariate(rate_per_s)) < end_s:
            self.after(at_s, lambda: self.request(self.choose()))

    def owner_id(self):
        """Return the owner of the organisation while all nodes are in touch."""
        return self.nodes[self.ids[0]].owners.ranking(NAME)[0]

    def _is_cut(self, one_id, other_id):
        return self.islands.get(one_id) != self.islands.get(other_id)

    def _after_lost(self, node, owner_id):
        self.after(DELAY_S[0], lambda: node.gate.lost(owner_id, self.now_s))


def largest_sum(times_s, window_s=BOUNDS.window_s):
    """Return the largest number of times within a window."""
    times_s = sorted(times_s)
    return max(
        (
            index + 1 - bisect_left(times_s, at_s - window_s)
            for index, at_s in enumerate(times_s)
        ),
        default=0,
    )


def make_nodes(count, rate_per_s, seed=1):
    """Return nodes with an organisation whose burst is its rate."""
    return VirtualNodes(count, Limit(rate_per_s, rate_per_s), seed)
