"""A node's own share of customers' quotas, while it cannot reach the owner.

The owner keeps an equal share of each rate back for every node that is out of
contact (see ``quota``). A node uses its share only once the owner cannot count
it as in contact any more, and then without a burst: tokens come at its rate,
from none at first. A limit too small for all nodes is used by some of them
only, by the places that the owner told them.
"""

import hashlib
from dataclasses import dataclass

from papayalock.messages import Customer, QuotaRes
from papayalock.result import Code

CLOCK_DRIFT = 0.05  # by which two clocks may differ in rate
NO_SHARE = (0.0, 0.0)
HASH_BYTES = 8


@dataclass(slots=True)
class _Share:
    """The tokens of one customer that this node has of its own."""

    level: float
    at: float


class NodeShare:
    """Whether a node is in contact with the owner, and its own tokens."""

    def __init__(self, contact_s: float) -> None:
        """Starts out of contact and without a share.

        :param contact_s: time for which a response keeps a node in contact
        """
        self._contact_s = contact_s * (1 + CLOCK_DRIFT)
        self._contact_until = float('-inf')
        self._nodes = 0
        self._position = 0
        self._shares: dict[str, _Share] = {}

    def in_contact(self, now: float) -> bool:
        """Whether the owner may count this node as in contact."""
        return now < self._contact_until

    def remaining_s(self, now: float) -> float:
        """Returns the seconds until the contact ends without a response."""
        return max(0.0, self._contact_until - now)

    def record_response(self, res: QuotaRes, now: float) -> None:
        """Records a response of the owner that arrived now."""
        if res.code != Code.DONE:
            return
        self._contact_until = now + self._contact_s
        self._nodes = max(1, res.nodes)
        self._position = res.position
        self._shares.clear()

    def take(self, customer: Customer, now: float) -> bool:
        """Takes one token of the node's own share, if there is one.

        Only out of contact.
        """
        if not self._nodes:
            return False  # nobody has told this node what its share is
        rate, burst = self._limit(customer)
        start = _Share(0.0, self._contact_until)
        share = self._shares.setdefault(customer.name, start)
        share.level = min(burst, share.level + rate * (now - share.at))
        share.at = now
        if share.level < 1:
            return False
        share.level -= 1
        return True

    def wait_s(self, customer: Customer) -> float:
        """Returns the seconds in which one token of the share comes."""
        rate, _ = self._limit(customer) if self._nodes else NO_SHARE
        return 1 / rate if rate else float('inf')

    def _limit(self, customer: Customer) -> tuple[float, float]:
        """Returns the node's share of the rate and of the burst."""
        holders = min(self._nodes, max(1, int(customer.burst)))
        turn = (self._position + _offset(customer.name)) % self._nodes
        if turn >= holders:
            return NO_SHARE
        return customer.rate / holders, max(1.0, customer.burst / holders)


def _offset(customer: str) -> int:
    """Returns a number that is fixed for a customer, to spread the holders."""
    digest = hashlib.blake2b(customer.encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')
