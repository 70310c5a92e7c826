"""How long ago a node heard the newest configuration from a control VM."""

MS_PER_S = 1000
# A control VM answers a poll with what it held some time before.
TRUST_SHARE = 0.6  # of the time in which a change has to reach all nodes


class ContactTrust:
    """Whether a node may rely on what it holds being current.

    A change of which it has not heard yet may be due.
    """

    __slots__ = ('_trust_s', '_trusted_until')

    def __init__(self, reach_ms: int) -> None:
        """Starts without contact.

        :param reach_ms: time in which a change has to reach all nodes
        """
        self._trust_s = reach_ms * TRUST_SHARE / MS_PER_S
        self._trusted_until = float('-inf')

    def record_contact(self, now: float) -> None:
        """Records the answer of a control VM under lease."""
        self._trusted_until = now + self._trust_s

    def is_current(self, now: float) -> bool:
        """Whether the last contact is recent enough."""
        return now < self._trusted_until
