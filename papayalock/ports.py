"""The interfaces through which decisions reach the outside world."""

from typing import Protocol

from papayalock.messages import PeerMessage


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Returns seconds from a fixed but unknown start; never goes back."""
        ...

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch; may be adjusted."""
        ...


class Random(Protocol):
    """A source of randomness; ``random.Random`` satisfies it."""

    def random(self) -> float:
        """Returns a number in the half-open range from 0 to 1."""
        ...

    def randrange(self, start: int, /) -> int:
        """Returns an integer from 0 up to, but not including, ``start``."""
        ...


class Disk(Protocol):
    """Files under one data folder; contents last only once synced."""

    def read(self, name: str) -> bytes | None:
        """Returns the contents of a file, or None when there is none."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and syncs it.

        :raises OSError: when the disk refuses the write; the file may then
            end in a part of ``data``
        """
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file as a whole and syncs it and its folder.

        :raises OSError: when the disk refuses the write; the old contents
            then stay
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to ``size`` bytes and syncs it."""
        ...


class Network(Protocol):
    """One-way messages between control VMs; may lose, delay and reorder."""

    def send(self, message: PeerMessage) -> None:
        """Sends a message without waiting for its delivery."""
        ...
