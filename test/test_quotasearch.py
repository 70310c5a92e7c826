"""Searches for a schedule of faults in which a quota is exceeded.

Owners and nodes are the real decisions; this test loses, delays and crosses
their messages, cuts nodes off, restarts and freezes them, and changes owners.
"""

import heapq
import itertools
import random

import pytest

from papayalock.core.quota import QuotaOwner
from papayalock.core.quotashare import CLOCK_DRIFT, NodeShare
from papayalock.messages import Customer, QuotaReq, QuotaRes
from papayalock.result import Code

NODES = 12
CONTACT_S = 1.0
TAKEOVER_S = 1.0
RENEW_S = 0.25
ASK_TIMEOUT_S = 0.25
LENGTH_S = 60.0
WINDOW_S = 5.0
LIMITS = (Customer('c', rate=24.0, burst=72.0), Customer('c', rate=12, burst=6))
QUIET_S = 4.0  # of every QUIET_EACH_S no call arrives, so buckets fill
QUIET_EACH_S = 15.0
SEEDS = range(20)


class SearchNode:
    """One process of a node; its calls arrive all the time."""

    def __init__(self, number: int, boot_ms: int) -> None:
        self.address = f'n{number}'
        self.boot_ms = boot_ms
        self.share = NodeShare(CONTACT_S)
        self.sequence = 0
        self.answered = 0
        self.term = 0
        self.asked_at = float('-inf')
        self.frozen_until = 0.0
        self.cut_until = 0.0


class Search:
    """One seeded schedule. A lease keeps at most one owner at a time."""

    delays_s = (0.002, 0.002, 0.1, 1.5)

    def __init__(self, seed: int, owner_type, share_type=NodeShare) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.owner_type = owner_type
        self.share_type = share_type
        self.boots = itertools.count(1)
        self.nodes = [self.start_node(number) for number in range(NODES)]
        self.owner = owner_type(CONTACT_S, TAKEOVER_S)
        self.term = 1
        self.owner_down_until = 0.0
        self.events: list = []
        self.order = itertools.count()
        self.runs: list[float] = []
        self.limit = LIMITS[0]

    def start_node(self, number: int) -> SearchNode:
        node = SearchNode(number, next(self.boots))
        node.share = self.share_type(CONTACT_S)
        return node

    def play(self) -> list[float]:
        step_s = 0.01
        while self.now < LENGTH_S:
            self.now += step_s
            self.cause_faults(step_s)
            while self.events and self.events[0][0] <= self.now:
                _, _, event = heapq.heappop(self.events)
                event()
            for node in self.nodes:
                self.step(node)
        return self.runs

    def later(self, seconds: float, event) -> None:
        heapq.heappush(
            self.events, (self.now + seconds, next(self.order), event)
        )

    def cause_faults(self, step_s: float) -> None:
        chance = self.rng.random
        if chance() < step_s / 8:
            for node in self.rng.sample(self.nodes, self.rng.randint(1, NODES)):
                node.cut_until = self.now + self.rng.uniform(0.1, 8)
        if chance() < step_s / 6:
            number = self.rng.randrange(NODES)
            self.nodes[number] = self.start_node(number)
        if chance() < step_s / 6:
            node = self.rng.choice(self.nodes)
            node.frozen_until = self.now + self.rng.uniform(0.1, 3)
        if chance() < step_s / 10:
            self.change_owner()

    def change_owner(self) -> None:
        """Has another VM lead once the lease of the former one has ended."""
        self.owner_down_until = self.now + self.rng.uniform(0.2, 4)
        self.term += 1
        if self.rng.random() < 0.7:
            seen = self.owner._seen
            self.owner = self.owner_type(CONTACT_S, TAKEOVER_S)
            self.owner.observe(set(seen), self.now)

    @property
    def is_quiet(self) -> bool:
        return self.now % QUIET_EACH_S < QUIET_S

    def step(self, node: SearchNode) -> None:
        if node.frozen_until > self.now:
            return
        if not self.is_quiet and not node.share.in_contact(self.now):
            while self.rng.random() < 0.5 and node.share.take(
                self.limit, self.now
            ):
                self.runs.append(self.now)
        due = self.now - node.asked_at >= self.rng.uniform(0.01, RENEW_S)
        if due:
            self.ask(node)

    def ask(self, node: SearchNode) -> None:
        node.sequence += 1
        node.asked_at = self.now
        req = QuotaReq(
            node=node.address,
            boot_ms=node.boot_ms,
            sequence=node.sequence,
            term=node.term,
            answered=node.answered,
            wants={'c': 0 if self.is_quiet else self.rng.randint(0, 6)},
        )
        if node.cut_until <= self.now or self.rng.random() < 0.1:
            delay_s = self.rng.choice(self.delays_s)
            self.later(delay_s, lambda: self.arrive(node, req))

    def arrive(self, node: SearchNode, req: QuotaReq) -> None:
        if self.owner_down_until > self.now:
            return
        self.owner.lead(self.term, self.now)
        res = self.owner.handle(req, {'c': self.limit}, self.now)
        sent_at = node.asked_at if node.sequence == req.sequence else 0.0
        if node.cut_until <= self.now:
            delay_s = self.rng.choice(self.delays_s[:3])
            self.later(delay_s, lambda: self.receive(node, req, res, sent_at))

    def receive(
        self, node: SearchNode, req: QuotaReq, res: QuotaRes, sent_at: float
    ) -> None:
        late = self.now - sent_at > ASK_TIMEOUT_S
        if late or node.frozen_until > self.now or res.code != Code.DONE:
            return
        if node not in self.nodes:
            return
        node.answered = req.sequence
        node.term = res.term
        node.share.record_response(res, self.now)
        self.runs += [self.now] * res.granted['c']


def most_in_window(runs: list[float]) -> int:
    """Returns the most calls that ran in any window."""
    most = start = 0
    for end, at in enumerate(runs):
        while runs[start] < at - WINDOW_S:
            start += 1
        most = max(most, end - start + 1)
    return most


def exceeds(owner_type, share_type=NodeShare) -> bool:
    """Returns whether a schedule of some seed exceeds the limit."""
    return any(
        most_in_window(Search(seed, owner_type, share_type).play()) > ALLOWED
        for seed in SEEDS
    )


ALLOWED = LIMITS[0].rate * WINDOW_S + LIMITS[0].burst


class Calm(Search):
    """A schedule without faults."""

    delays_s = (0.002,)

    def cause_faults(self, step_s: float) -> None:
        """Causes none."""


class FullAtStart(QuotaOwner):
    """A mutant whose buckets start full."""

    def lead(self, term: int, now: float) -> None:
        renewed = term != self._term
        super().lead(term, now)
        if renewed:
            self._filled_before -= LIMITS[0].burst / LIMITS[0].rate


class CountsReceipt(QuotaOwner):
    """A mutant that counts a node as in contact from its request on."""

    def handle(self, req, customers, now):
        res = super().handle(req, customers, now)
        contact = self._contacts.get(req.node)
        if contact is not None:
            contact.until = now + 3 * CONTACT_S
        return res


class ForgetsTheSilent(QuotaOwner):
    """A mutant that divides a rate among the nodes in contact alone."""

    @property
    def nodes(self) -> int:
        return max(1, self.in_contact(self._at))


class HastyShare(NodeShare):
    """A mutant that uses its share before its contact has ended."""

    def record_response(self, res, now: float) -> None:
        kept = dict(self._shares)
        super().record_response(res, now)
        self._contact_until = now + 0.1 * CONTACT_S
        self._shares.update(kept)


class WholeRate(NodeShare):
    """A mutant that takes the whole rate while out of contact."""

    def _limit(self, customer):
        return customer.rate, customer.burst


class TestSearch:
    def test_no_schedule_exceeds_a_limit(self):
        assert not exceeds(QuotaOwner)

    @pytest.mark.parametrize(
        'owner_type', [FullAtStart, CountsReceipt, ForgetsTheSilent]
    )
    def test_an_owner_with_a_fault_is_found(self, owner_type):
        assert exceeds(owner_type)

    @pytest.mark.parametrize('share_type', [HastyShare, WholeRate])
    def test_a_node_with_a_fault_is_found(self, share_type):
        assert exceeds(QuotaOwner, share_type)

    def test_the_limit_is_used_while_nothing_fails(self):
        runs = Calm(1, QuotaOwner).play()
        busy_share = 1 - QUIET_S / QUIET_EACH_S
        assert len(runs) > LIMITS[0].rate * busy_share * LENGTH_S


class TestLoweredLimit:
    def test_it_binds_one_window_after_all_know_it(self):
        for seed in SEEDS:
            search = Search(seed, QuotaOwner)
            lowered_at = LENGTH_S / 3

            def lower(search=search) -> None:
                search.limit = LIMITS[1]

            search.later(lowered_at, lower)
            binds_at = lowered_at + WINDOW_S
            after = [at for at in search.play() if at > binds_at]
            allowed = LIMITS[1].rate * WINDOW_S + LIMITS[1].burst
            assert most_in_window(after) <= allowed


class TestClocks:
    def test_a_node_waits_longer_than_the_owner_counts(self):
        share = NodeShare(CONTACT_S)
        share.record_response(QuotaRes(code=0, term=1, nodes=1), 10.0)
        assert share.in_contact(10.0 + CONTACT_S * (1 + CLOCK_DRIFT / 2))
        assert not share.in_contact(10.0 + CONTACT_S * 1.2)
