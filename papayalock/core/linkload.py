"""The load of a VM's own link, and when its large responses may be sent.

The load that it answers: a server whose large responses are more than the
link of its VM carries. All that the VM sends waits in one queue there, so
without pacing its polls for the configuration, its heartbeats and its short
responses are late by as much as the large ones are behind.
"""

import itertools

BYTES_PER_MEGABIT = 125_000
LARGE_BYTES = 16_384  # responses above this size are sent in pieces
PIECE_BYTES = 8192
PACKET_BYTES = 1448  # of what is written, that one packet carries
HEADER_BYTES = 66  # of the headers of a packet
LINK_SHARE = 0.9  # of the link that is used; the rest keeps its queue short
BURST_S = 0.02  # time by which an idle link may be used ahead
SIZE_SMOOTHING = 0.1  # weight of the newest response size in its average


class LinkBudget:
    """The bytes that a link carries at its rate, as a token bucket.

    What does not wait is charged too, and then delays what does.
    """

    __slots__ = ('_at', '_level', '_prepaid', 'bytes_per_s')

    def __init__(self, mbps: float) -> None:
        """Starts with an idle link.

        :param mbps: rate of the link in Mbit/s; 0 if it is not known, and
            then nothing has to wait
        """
        self.bytes_per_s = mbps * BYTES_PER_MEGABIT * LINK_SHARE
        self._level = self.bytes_per_s * BURST_S
        self._prepaid = 0
        self._at = 0.0

    def charge(self, size: int, now: float) -> None:
        """Counts bytes that are written now, unless they are paid for."""
        paid = min(self._prepaid, size)
        self._prepaid -= paid
        self._refill(now)
        self._level -= _with_headers(size - paid)

    def prepay(self, size: int, now: float) -> None:
        """Counts bytes that are about to be written."""
        self._refill(now)
        self._level -= _with_headers(size)
        self._prepaid += size

    def refund(self, size: int) -> None:
        """Takes back bytes that were paid for and will not be written."""
        self._prepaid -= size
        self._level += _with_headers(size)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until the link has carried what was charged."""
        if not self.bytes_per_s:
            return 0.0
        self._refill(now)
        return max(0.0, -self._level / self.bytes_per_s)

    def _refill(self, now: float) -> None:
        refill = max(0.0, now - self._at) * self.bytes_per_s
        self._level = min(self.bytes_per_s * BURST_S, self._level + refill)
        self._at = now


def _with_headers(size: int) -> int:
    return size + -(-size // PACKET_BYTES) * HEADER_BYTES


class Transfer:
    """A large response that is being sent, and its place in the order."""

    __slots__ = ('sequence', 'unsent')

    def __init__(self, sequence: int, unsent: int) -> None:
        """Binds the place; the lowest is sent first.

        :param unsent: bytes that have not been handed to the connection
        """
        self.sequence = sequence
        self.unsent = unsent


class LinkLoad:
    """The large responses that a link still has to carry.

    They are sent in the order in which they were ready: by turns, all of them
    would be late together, and one that was overtaken after its call was
    admitted could miss its deadline with most of it sent.
    """

    __slots__ = ('_expected', '_sequence', '_sizes', '_transfers', 'budget')

    def __init__(self, mbps: float = 0.0) -> None:
        """Starts without responses.

        :param mbps: rate of the link in Mbit/s; 0 if it is not known
        """
        self.budget = LinkBudget(mbps)
        self._sizes: dict[str, float] = {}
        self._transfers: set[Transfer] = set()
        self._expected: dict[object, float] = {}
        self._sequence = itertools.count()

    @property
    def transfers(self) -> int:
        """Number of large responses that are being sent."""
        return len(self._transfers)

    def backlog_s(self, now: float) -> float:
        """Returns the seconds until a new large response may be sent.

        Ahead are also those that the running calls are expected to have.
        """
        if not self.budget.bytes_per_s:
            return 0.0
        unsent: float = sum(transfer.unsent for transfer in self._transfers)
        unsent += sum(self._expected.values())
        return unsent / self.budget.bytes_per_s + self.budget.wait_s(now)

    def response_s(self, route: str) -> float:
        """Returns the seconds that the response of one more call takes.

        :returns: 0 for short responses, and while nothing is known
        """
        size = self._expected_size(route)
        return size / self.budget.bytes_per_s if size else 0.0

    def record_size(self, route: str, size: int) -> None:
        """Updates the average response size of a route, in bytes."""
        average = self._sizes.get(route, size)
        self._sizes[route] = average + SIZE_SMOOTHING * (size - average)

    def call_started(self, job: object, route: str) -> None:
        """Counts the response that a running call is expected to have."""
        size = self._expected_size(route)
        if size:
            self._expected[job] = size

    def call_ended(self, job: object) -> None:
        """Ends the expectation; the response itself counts from then on."""
        self._expected.pop(job, None)

    def begin(self, size: int) -> Transfer:
        """Adds a large response that is ready to be sent."""
        transfer = Transfer(next(self._sequence), size)
        self._transfers.add(transfer)
        return transfer

    def end(self, transfer: Transfer) -> None:
        """Removes a response that was sent, or will not be."""
        self._transfers.discard(transfer)

    def _expected_size(self, route: str) -> float:
        size = self._sizes.get(route, 0.0)
        known = self.budget.bytes_per_s > 0
        return size if known and size > LARGE_BYTES else 0.0
