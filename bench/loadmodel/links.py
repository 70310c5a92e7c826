"""The network links of simulated VMs."""

import simpy

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


class Link:
    """One direction of the link of a VM; it sends one message after another."""

    def __init__(self, env: simpy.Environment, mbps: float) -> None:
        """Creates an idle link."""
        self._env = env
        self._bytes_per_s = mbps * BITS_PER_MBIT / BITS_PER_BYTE
        self._idle_at = 0.0

    def send(self, size: int) -> simpy.Event:
        """Returns an event at the time at which a message has passed.

        :param size: bytes
        """
        start = max(self._env.now, self._idle_at)
        self._idle_at = start + size / self._bytes_per_s
        return self._env.timeout(self._idle_at - self._env.now)
