"""Interfaces to clocks, randomness, disk and network.

The core depends only on these, so that tests can simulate them.
"""

from typing import Protocol

from papayalock.messages import PeerMessage


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never goes backwards."""
        ...

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch; the clock may be adjusted."""
        ...


class Random(Protocol):
    """A source of randomness; ``random.Random`` satisfies it."""

    def random(self) -> float:
        """Returns a float in the half-open range [0, 1)."""
        ...

    def randrange(self, start: int, /) -> int:
        """Returns an integer in the half-open range [0, start)."""
        ...


class Disk(Protocol):
    """Files in the data directory, durable once a method returns."""

    def read(self, name: str) -> bytes | None:
        """Returns the contents of a file, or None if it doesn't exist."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and syncs it.

        :raises OSError: if the write fails; the file may then end with a
            part of ``data``
        """
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and syncs it and its directory.

        :raises OSError: if the write fails; the old contents then remain
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to ``size`` bytes and syncs it."""
        ...


class Network(Protocol):
    """One-way messages between control VMs.

    Messages may be lost, delayed and reordered.
    """

    def send(self, message: PeerMessage) -> None:
        """Sends a message without waiting for its delivery."""
        ...
