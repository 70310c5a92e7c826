"""Grants the tokens of customers' quotas, for all nodes together.

The owner is the control VM that leads the replicated log. It divides the rate
of a customer: nodes in contact share what they ask for, and for each node out
of contact an equal share is kept back, which that node uses by itself (see
``quotashare``). A node counts as in contact until some time after the owner
sent the newest response that the node is known to have received; the node
itself counts from its receipt, so no share is used twice.

The load that it answers: one customer that sends many times its limit through
every node at once, beside many that send a few calls each.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field

from papayalock.messages import Customer, QuotaReq, QuotaRes
from papayalock.result import Code

log = logging.getLogger(__name__)

MS_PER_S = 1000
FORGET_S = 60.0  # after which a silent node's share goes to the others
MAX_UNANSWERED = 16  # responses of one node that may still be acknowledged
MIN_WAIT_S = 0.01  # until a node asks again for a customer without tokens
CONTENDER_S = 0.5  # time for which a node without tokens counts as waiting
ROUNDING = 1e-9  # of a level that is the sum of many small steps


@dataclass(slots=True)
class _Contact:
    """The contact to one process of a node; times are monotonic seconds."""

    boot_ms: int
    until: float = float('-inf')
    sent_at: dict[int, float] = field(default_factory=dict)  # by sequence

    def acknowledge(self, sequence: int, contact_s: float) -> None:
        """Extends the contact from the response that the node received."""
        sent_at = self.sent_at.get(sequence)
        if sent_at is None:
            return
        self.until = max(self.until, sent_at + contact_s)
        self.sent_at = {
            newer: at for newer, at in self.sent_at.items() if newer >= sequence
        }

    def record_sent(self, sequence: int, now: float) -> None:
        """Records a response; the oldest unacknowledged ones are dropped."""
        self.sent_at[sequence] = now
        if len(self.sent_at) > MAX_UNANSWERED:
            self.sent_at.pop(next(iter(self.sent_at)))


class _Bucket:
    """The tokens of one customer. It starts empty."""

    __slots__ = ('_contenders', '_filled', '_level')

    def __init__(self, filled: float) -> None:
        """Starts at a state of the owner's fill, see ``QuotaOwner``."""
        self._filled = filled
        self._level = 0.0
        self._contenders: dict[str, float] = {}

    def take(self, wanted: int, limit: Customer, filled: float) -> int:
        """Takes up to a number of tokens, and returns how many there were."""
        self._level += limit.rate * (filled - self._filled)
        self._level = min(self._level, max(1.0, limit.burst))
        self._filled = filled
        granted = min(wanted, int(self._level + ROUNDING))
        self._level -= granted
        return granted

    def give_back(self, tokens: int) -> None:
        """Takes back tokens whose calls were not run."""
        self._level += tokens

    def wait_s(self, node: str, limit: Customer, now: float) -> float:
        """Returns the time until a node that got too few may ask again.

        All nodes that wait share the tokens, so each has its turn after one
        token for each of them.
        """
        self._contenders[node] = now
        self._contenders = {
            other: at
            for other, at in self._contenders.items()
            if at > now - CONTENDER_S
        }
        return max(MIN_WAIT_S, len(self._contenders) / limit.rate)


class QuotaOwner:
    """The buckets of all customers, while this control VM is the owner.

    ``_filled`` is the time, in seconds, for which the buckets have been filled
    so far; it passes more slowly while nodes are out of contact.
    """

    def __init__(self, contact_s: float, takeover_s: float) -> None:
        """Starts as no owner.

        :param contact_s: time for which a response keeps a node in contact
        :param takeover_s: time after which no former owner grants any more
        """
        self._contact_s = contact_s
        self._takeover_s = takeover_s
        self._term = 0
        self._ready_at = float('inf')
        self._contacts: dict[str, _Contact] = {}
        self._seen: dict[str, float] = {}
        self._positions: dict[str, int] = {}  # of the nodes seen, in order
        self._buckets: dict[str, _Bucket] = {}
        self._filled = 0.0
        self._filled_before = 0.0  # the term of this owner
        self._at = 0.0

    @property
    def nodes(self) -> int:
        """Number of nodes among which a rate is divided."""
        return len(self._seen)

    def in_contact(self, now: float) -> int:
        """Returns the number of nodes in contact."""
        return sum(contact.until >= now for contact in self._contacts.values())

    def observe(self, addresses: set[str], now: float) -> None:
        """Records the nodes that are known to run, also while no owner."""
        for address in addresses:
            self._seen[address] = now
        for address, seen_at in list(self._seen.items()):
            if seen_at < now - FORGET_S:
                self._seen.pop(address)
                self._contacts.pop(address, None)
        self._positions.clear()

    def _position(self, address: str) -> int:
        if address not in self._positions:
            self._positions = {
                node: position
                for position, node in enumerate(sorted(self._seen))
            }
        return self._positions[address]

    def lead(self, term: int, now: float) -> None:
        """Begins as the owner of a term, with empty buckets."""
        if term == self._term:
            return
        self._term = term
        self._ready_at = now + self._takeover_s
        log.info('quotas owned', extra={'term': term, 'nodes': self.nodes})
        self._contacts.clear()
        self._buckets.clear()
        self._filled_before = self._filled

    def handle(
        self, req: QuotaReq, customers: Mapping[str, Customer], now: float
    ) -> QuotaRes:
        """Grants tokens to a node, and keeps it in contact.

        :param customers: the customers of the newest version, by name
        """
        self._fill(now)
        if req.leaving:
            self._contacts.pop(req.node, None)
            self._seen.pop(req.node, None)
            self._positions.clear()
            return QuotaRes(code=Code.DONE, term=self._term, nodes=self.nodes)
        self._seen[req.node] = now
        if now < self._ready_at:
            return QuotaRes(code=Code.BUSY, term=self._term)
        contact = self._contacts.get(req.node)
        if contact is None or contact.boot_ms != req.boot_ms:
            contact = _Contact(req.boot_ms)
            self._contacts[req.node] = contact
        if req.term == self._term:
            contact.acknowledge(req.answered, self._contact_s)
            self._take_back(req.returned)
        contact.record_sent(req.sequence, now)
        return self._grant(req, customers, now)

    def _take_back(self, returned: Mapping[str, int]) -> None:
        for name, tokens in returned.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.give_back(tokens)

    def _grant(
        self, req: QuotaReq, customers: Mapping[str, Customer], now: float
    ) -> QuotaRes:
        res = QuotaRes(
            code=Code.DONE,
            term=self._term,
            nodes=self.nodes,
            position=self._position(req.node),
        )
        for name, wanted in req.wants.items():
            limit = customers.get(name)
            if limit is None or not limit.rate:
                res.granted[name] = wanted
                continue
            bucket = self._buckets.setdefault(
                name, _Bucket(self._filled_before)
            )
            granted = bucket.take(wanted, limit, self._filled)
            res.granted[name] = granted
            if granted < wanted:
                wait_s = bucket.wait_s(req.node, limit, now)
                res.wait_ms[name] = round(wait_s * MS_PER_S)
        return res

    def _fill(self, now: float) -> None:
        """Fills all buckets for the time since the last request.

        The nodes that are in contact now have been so all that time, since a
        contact begins or lasts longer only with a request.
        """
        share = self.in_contact(now) / max(1, self.nodes)
        self._filled += (now - self._at) * min(1.0, share)
        self._at = now
